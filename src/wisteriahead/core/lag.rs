//! Detects that this host is short of processor time: its timers fire late.
//!
//! Everything that a host does waits as long as a timer does. A host whose timers are seconds late
//! applies plans and announcements that much later, too.

use super::time::{Span, Time};

/// Delay of a timer from which on it is logged. Timers that fire on time are late by the length of
/// the work in progress, some 10 ms on the slowest hosts.
const LATE_AFTER: Span = Span::millis(200);
/// Least time between two log lines.
const REPORT_INTERVAL: Span = Span::secs(1);

/// Delays of a periodic timer.
#[derive(Clone, Copy, Debug, Default)]
pub struct LagMonitor {
    due: Option<Time>,
    /// Longest delay since the last report.
    worst: Span,
    reported: Time,
}

impl LagMonitor {
    /// Records that the timer fired now and is due again after `period`. Returns the longest delay
    /// since the last report if it is to be reported.
    pub fn fired(&mut self, now: Time, period: Span) -> Option<Span> {
        let late = self.due.map_or(Span::ZERO, |due| now.since(due));
        self.due = Some(now + period);
        self.worst = self.worst.max(late);
        if self.worst < LATE_AFTER || now.since(self.reported) < REPORT_INTERVAL {
            return None;
        }
        self.reported = now;
        Some(std::mem::take(&mut self.worst))
    }
}
