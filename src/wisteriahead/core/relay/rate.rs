//! Limits the rate at which one host sends to an endpoint in cold start.

use crate::core::time::{Span, Time};
use std::collections::VecDeque;

/// Length of the sliding window: one second, plus a margin for differing network delays.
const WINDOW: Span = Span::millis(1_150);

/// Sliding-window limit on the requests per second to one endpoint.
#[derive(Clone, Debug, Default)]
pub struct RateLimiter {
    sent: VecDeque<Time>,
}

impl RateLimiter {
    /// Whether a request may be sent now under a limit of `max_rate` requests per second.
    pub fn allows(&self, now: Time, max_rate: u32) -> bool {
        let expired = self.sent.iter().take_while(|at| now.since(**at) >= WINDOW).count();
        self.sent.len() - expired < max_rate as usize
    }

    /// Counts a request as sent now, unless it would exceed `max_rate` requests per second.
    pub fn try_acquire(&mut self, now: Time, max_rate: u32) -> bool {
        let granted = self.allows(now, max_rate);
        if granted {
            self.record(now);
        }
        granted
    }

    /// Counts a request as sent now. Those sent before an endpoint falls back into cold start count
    /// against its limit too, since the host hears of it late.
    pub fn record(&mut self, now: Time) {
        while self.sent.front().is_some_and(|at| now.since(*at) >= WINDOW) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }
}
