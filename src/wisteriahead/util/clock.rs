//! The system's steady clock.

use crate::core::time::Span;
use rustix::time::{ClockId, clock_gettime};

/// Time since the machine started. It counts the time for which the machine was suspended, unlike
/// [`Instant`](std::time::Instant): messages grow older then.
pub fn since_boot() -> Span {
    let t = clock_gettime(ClockId::Boottime);
    let (secs, nanos) = (t.tv_sec.unsigned_abs(), t.tv_nsec.unsigned_abs());
    Span(secs * 1_000_000 + nanos / 1_000)
}
