//! Rate limit for log lines of one kind, with a count of the dropped lines.

use super::time::{Span, Time};

/// Length of the window in which lines are counted.
const WINDOW: Span = Span::secs(1);

/// Counts of the lines of one kind in the current window.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogLimiter {
    window_start: Time,
    written: u32,
    dropped: u64,
}

impl LogLimiter {
    /// Whether a line may be written now, if at most `max_lines` may be written per window. Returns
    /// the number of lines dropped since the last written one, or `None` if this line is to be
    /// dropped too.
    pub fn admit(&mut self, now: Time, max_lines: u32) -> Option<u64> {
        if now.since(self.window_start) >= WINDOW {
            (self.window_start, self.written) = (now, 0);
        }
        if self.written >= max_lines {
            self.dropped += 1;
            return None;
        }
        self.written += 1;
        Some(std::mem::take(&mut self.dropped))
    }
}
