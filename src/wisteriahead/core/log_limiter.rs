//! How many log lines of one kind are written in a second, and how many were left out.

use super::time::{Span, Time};

/// The span in which lines are counted.
const SECOND: Span = Span::secs(1);

/// Lines of one kind in the current second.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogLimiter {
    since: Time,
    written: u32,
    dropped: u64,
}

impl LogLimiter {
    /// Takes the right to write one of at most `most` lines a second; gives the lines that were
    /// left out since the last one written.
    pub fn admit(&mut self, now: Time, most: u32) -> Option<u64> {
        if now.since(self.since) >= SECOND {
            (self.since, self.written) = (now, 0);
        }
        if self.written >= most {
            self.dropped += 1;
            return None;
        }
        self.written += 1;
        Some(std::mem::take(&mut self.dropped))
    }
}
