//! How fast one host may send to an endpoint in cold start.

use crate::core::time::{Span, Time};
use std::collections::VecDeque;

/// The span in which arrivals are counted, with a margin for the time that they are under way.
const SECOND: Span = Span::millis(1_150);

/// When requests were sent to one endpoint lately.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    sent: VecDeque<Time>,
}

impl Pace {
    /// Whether a request may be sent now, of at most `most` in a second.
    pub fn allows(&self, now: Time, most: u32) -> bool {
        let old = self.sent.iter().take_while(|at| now.since(**at) >= SECOND).count();
        self.sent.len() - old < most as usize
    }

    /// Takes the right to send one request now, of at most `most` in a second.
    pub fn take(&mut self, now: Time, most: u32) -> bool {
        while self.sent.front().is_some_and(|at| now.since(*at) >= SECOND) {
            self.sent.pop_front();
        }
        let granted = self.allows(now, most);
        if granted {
            self.sent.push_back(now);
        }
        granted
    }
}
