//! Decides when a host that relays a batch of calls returns the results that it has.
//!
//! Answers the load of gathers over many shards on slow hosts, where a few endpoints always pause: each
//! message with results costs the host that gathers as much as several calls, and results that are
//! held back for a paused endpoint come too late.

use super::timing::FlushTimes;
use crate::core::time::{Span, Time};

/// Divisor of the time until the first results are returned that gives the time without an end after which
/// the calls still open are taken to be paused.
const QUIET_DIVISOR: u64 = 4;
/// Least such time, since a slow host reads answers one after another.
const QUIET_MIN: Span = Span::millis(2);

/// Results of one batch that are not returned yet.
#[derive(Clone, Copy, Debug)]
pub struct Flush {
    calls: usize,
    ended: usize,
    unsent: usize,
    last_end: Time,
    quiet: Span,
    /// Whether results were returned before.
    returned: bool,
    /// Earliest time of the next message, if calls still end or most are open.
    next: Time,
    /// Pause between two messages, so that late results do not come in a message each.
    pause: Span,
    /// Latest time at which results can meet the objective.
    useful_until: Time,
}

impl Flush {
    /// A batch of so many calls that arrived at `started`.
    pub fn new(started: Time, calls: usize, times: FlushTimes) -> Self {
        let first = times.first;
        Self {
            calls,
            ended: 0,
            unsent: 0,
            last_end: started,
            quiet: Span(first.0 / QUIET_DIVISOR).max(QUIET_MIN),
            returned: false,
            next: started + first,
            pause: first,
            useful_until: started + times.useful,
        }
    }

    /// Records that a call ended.
    pub fn record_end(&mut self, now: Time) {
        (self.ended, self.unsent, self.last_end) = (self.ended + 1, self.unsent + 1, now);
    }

    /// When the results so far are returned; `None` while there are none.
    pub fn due(&self) -> Option<Time> {
        if self.unsent == 0 {
            return None;
        }
        if self.is_finished() {
            return Some(self.last_end);
        }
        let quiet = self.last_end + self.quiet;
        let most_ended = self.ended * 2 >= self.calls;
        let at = if most_ended && !self.returned { quiet } else { quiet.max(self.next) };
        Some(if self.last_end <= self.useful_until { at.min(self.useful_until) } else { at })
    }

    /// Whether all calls have ended.
    pub const fn is_finished(&self) -> bool {
        self.ended == self.calls
    }

    /// Records that the results so far were returned.
    pub fn record_message(&mut self, now: Time) {
        (self.unsent, self.returned) = (0, true);
        self.next = now + self.pause;
    }
}
