//! Decides when a host switches from one plan to the next.
//!
//! A new plan may name endpoints that have only just started. Requests follow the previous plan
//! as long as it can be served and the wait stays within the operators' limit.

use crate::core::time::{Span, Time};

/// Tracks how long a newer plan has been held back.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlanSwitch {
    /// When the first plan that is held back arrived.
    waiting_since: Option<Time>,
}

impl PlanSwitch {
    /// Time for which a newer plan has been held back.
    pub fn waiting_for(&self, now: Time) -> Span {
        self.waiting_since.map_or(Span::ZERO, |since| now.since(since))
    }

    /// Whether to switch to a newer plan: it `fits`, or has waited for `max_wait`.
    ///
    /// Plans that arrive while one waits share its deadline.
    pub fn should_switch(&mut self, now: Time, fits: bool, max_wait: Span) -> bool {
        let since = *self.waiting_since.get_or_insert(now);
        let switch = fits || now.since(since) >= max_wait;
        if switch {
            self.waiting_since = None;
        }
        switch
    }
}
