//! Detects a host that no longer answers while calls wait for it.
//!
//! Answers a host that freezes, loses power or is cut off, or a connection that goes silent without a
//! reset. Nothing is sent while no call waits.

use super::super::time::{Span, Time};

/// Time without a word from the host after which it is asked for one.
const PROBE_AFTER: Span = Span::millis(800);
/// Time after which a host that was asked and says nothing is taken to be gone.
const ANSWER_TIMEOUT: Span = Span::millis(800);

/// What to do about a silent host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Check {
    /// No call waits.
    Rest,
    /// Check again at this time.
    Wait(Time),
    /// Ask the host for a word, and check again at this time.
    Probe(Time),
    /// Close the connection.
    Close,
}

/// Silence on one connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct Silence {
    /// When the host was last heard, or the first call began to wait if that was later.
    since: Option<Time>,
    probed: Option<Time>,
}

impl Silence {
    /// The host was heard.
    pub fn record_heard(&mut self, now: Time) {
        (self.since, self.probed) = (Some(now), None);
    }

    /// What to do now, if calls wait or not.
    pub fn check(&mut self, now: Time, calls_wait: bool) -> Check {
        if !calls_wait {
            *self = Self::default();
            return Check::Rest;
        }
        if let Some(probed) = self.probed {
            let due = probed + ANSWER_TIMEOUT;
            return if now < due { Check::Wait(due) } else { Check::Close };
        }
        let due = *self.since.get_or_insert(now) + PROBE_AFTER;
        if now < due {
            return Check::Wait(due);
        }
        self.probed = Some(now);
        Check::Probe(now + ANSWER_TIMEOUT)
    }
}
