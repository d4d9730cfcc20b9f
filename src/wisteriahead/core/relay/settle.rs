//! When a host goes over from one plan to the next.
//!
//! A plan may name endpoints that have only just started. As long as the plan before can be served
//! and the operators' bound allows, requests go on by that one.

use crate::core::time::{Span, Time};

/// How long the newest plan has been waiting.
#[derive(Clone, Copy, Debug, Default)]
pub struct Settle {
    /// Since when a plan waits.
    since: Option<Time>,
}

impl Settle {
    /// Whether a newer plan is taken: it `fits`, or has waited for `most`. Plans that come while
    /// one waits wait no longer than that one.
    pub fn takes(&mut self, now: Time, fits: bool, most: Span) -> bool {
        let since = *self.since.get_or_insert(now);
        let takes = fits || now.since(since) >= most;
        if takes {
            self.since = None;
        }
        takes
    }
}
