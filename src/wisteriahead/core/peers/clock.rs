//! Age of the messages of one connection, from two clocks that are not in step.
//!
//! Answers messages that wait in a socket, behind a lost packet or at a host that stood still: the receiver
//! learns how old a message is, however long it took.
//!
//! The offset of the two clocks lies between two bounds. A message arrives after it was sent, which bounds the
//! offset from above. A sender reads its clock after it was asked to, which bounds it from below. The bounds
//! move apart as the clocks drift, until the sender is asked again.

use super::super::time::{Span, Time};
use serde::{Deserialize, Serialize};

/// Inverse of the drift of two clocks against each other: 500 ppm, the most that time synchronization slews.
const DRIFT_DIVISOR: u64 = 2_000;
/// Distance of the bounds from which on the sender is asked again.
const PRECISION: Span = Span::millis(10);
/// Least time between two questions.
const ASK_INTERVAL: Span = Span::secs(5);

/// A reading of another host's clock, in microseconds since an unknown moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Reading(pub u64);

impl From<Time> for Reading {
    fn from(now: Time) -> Self {
        Self(now.0)
    }
}

/// Bounds of the age of a message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Age {
    /// It is at least this old.
    pub least: Span,
    /// It is at most this old.
    pub most: Span,
}

/// Bound of the offset in microseconds, and when it was found.
#[derive(Clone, Copy, Debug)]
struct Bound {
    offset: i64,
    at: Time,
}

/// Bounds of the offset between this host's clock and that of the host at the other end.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClockOffset {
    lowest: Option<Bound>,
    highest: Option<Bound>,
    asked: Option<Time>,
}

impl ClockOffset {
    /// Records the arrival of a message that was sent at this reading or later.
    pub fn record_arrival(&mut self, now: Time, sent: Reading) {
        let offset = difference(now.0, sent.0);
        if self.highest(now).is_none_or(|highest| offset < highest) {
            self.highest = Some(Bound { offset, at: now });
        }
    }

    /// Records a reading that was taken after the question asked at `asked` had arrived.
    pub fn record_answer(&mut self, now: Time, asked: Time, reading: Reading) {
        let offset = difference(asked.0.min(now.0), reading.0);
        if self.lowest(now).is_none_or(|lowest| offset > lowest) {
            self.lowest = Some(Bound { offset, at: now });
        }
    }

    /// Age of a message that was sent at this reading; `None` before the first answer.
    pub fn age(&self, now: Time, sent: Reading) -> Option<Age> {
        let apart = difference(now.0, sent.0);
        let span = |offset: i64| Span(apart.saturating_sub(offset).max(0).unsigned_abs());
        let most = span(self.lowest(now)?);
        Some(Age { least: self.highest(now).map_or(Span::ZERO, span).min(most), most })
    }

    /// Whether the other host is to be asked for its clock now; a question is assumed to be sent then.
    pub fn take_question(&mut self, now: Time) -> bool {
        let precise = match (self.lowest(now), self.highest(now)) {
            (Some(lowest), Some(highest)) => highest.saturating_sub(lowest) <= PRECISION.0 as i64,
            _ => false,
        };
        let due = self.asked.is_none_or(|asked| now.since(asked) >= ASK_INTERVAL);
        let asks = due && !precise;
        if asks {
            self.asked = Some(now);
        }
        asks
    }

    fn lowest(&self, now: Time) -> Option<i64> {
        self.lowest.map(|b| b.offset.saturating_sub(drift(now, b.at)))
    }

    fn highest(&self, now: Time) -> Option<i64> {
        self.highest.map(|b| b.offset.saturating_add(drift(now, b.at)))
    }
}

/// Most that the clocks have drifted apart since `then`, in microseconds.
fn drift(now: Time, then: Time) -> i64 {
    i64::try_from(now.since(then).0 / DRIFT_DIVISOR).unwrap_or(i64::MAX)
}

fn difference(a: u64, b: u64) -> i64 {
    let signed = |n: u64| i64::try_from(n).unwrap_or(i64::MAX);
    signed(a).saturating_sub(signed(b))
}
