//! Delays between attempts to connect to a host.
//!
//! Answers a zone or a whole tier that starts or heals at once, and a host that accepts connections and
//! ends them right away: delays grow and are spread at random, and only a connection that lasted counts
//! as a success.

use super::super::time::{Span, Time};

/// Delay after the first failure.
const DELAY_MIN: Span = Span::millis(100);
/// Maximum delay.
const DELAY_MAX: Span = Span::secs(2);
/// Time that a connection must last to count as a success.
const LASTED_MIN: Span = Span::secs(1);

/// Number of failures in a row after which operators are told.
pub const REPORT_FAILURES: u32 = 8;

/// Delays of one host.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reconnect {
    /// Failures in a row.
    failures: u32,
}

impl Reconnect {
    /// Delay after a failed attempt; `random` is drawn from 0 to 1.
    pub fn after_failure(&mut self, random: f64) -> Span {
        let doubled = DELAY_MIN.0.saturating_mul(2u64.saturating_pow(self.failures));
        let longest = Span(doubled).min(DELAY_MAX);
        self.failures = self.failures.saturating_add(1);
        Span((longest.0 as f64 * (0.5 + random / 2.0)) as u64)
    }

    /// Records that the host was seen to run: the delays start anew.
    pub fn record_seen(&mut self) {
        *self = Self::default();
    }

    /// Whether operators are to be told of the failures now: once, until a connection lasts.
    pub const fn is_to_be_reported(&self) -> bool {
        self.failures == REPORT_FAILURES
    }

    /// Delay after the end of a connection that was open from `opened` to `closed`.
    pub fn after_end(&mut self, opened: Time, closed: Time, random: f64) -> Span {
        if closed.since(opened) >= LASTED_MIN {
            self.record_seen();
            return Span::ZERO;
        }
        self.after_failure(random)
    }
}
