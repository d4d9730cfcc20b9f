//! Which availability zones answer this host.
//!
//! A zone is silent when several requests went to its endpoints since the last word from any of
//! them and the first is overdue. One endpoint that keeps silent says nothing of its zone, since
//! the others answer.

use crate::core::time::{Span, Time};
use indexmap::IndexMap;
use std::sync::Arc;

/// Requests without a word from which a zone may count as silent: one slow endpoint has fewer in
/// flight from one host.
const ASKED_MIN: u32 = 8;
/// Shortest wait for a word, over a pause of an endpoint on the users' sheets (200 ms).
const WORD_MIN: Span = Span::millis(250);
/// Usual times that a word may take.
const USUAL_TIMES: u64 = 3;

/// What was sent to a zone since its last word.
#[derive(Clone, Copy, Debug, Default)]
struct Zone {
    asked: u32,
    /// When the first word is due.
    due: Time,
}

/// The zones that requests were sent to.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    zones: IndexMap<Arc<str>, Zone>,
}

impl Reach {
    /// Notes a request to a zone, which is usually answered within `usual`.
    pub fn asked(&mut self, now: Time, zone: &Arc<str>, usual: Span) {
        let due = now + Span(usual.0.saturating_mul(USUAL_TIMES)).max(WORD_MIN);
        let z = self.zones.entry(zone.clone()).or_default();
        z.due = if z.asked == 0 { due } else { z.due.min(due) };
        z.asked = z.asked.saturating_add(1);
    }

    /// Notes a word from a zone: any answer, a refusal among them.
    pub fn heard(&mut self, zone: &str) {
        if let Some(z) = self.zones.get_mut(zone) {
            z.asked = 0;
        }
    }

    /// Whether a zone is silent.
    pub fn is_silent(&self, now: Time, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|z| z.asked >= ASKED_MIN && now >= z.due)
    }

    /// The zones that are silent.
    pub fn silent(&self, now: Time) -> Vec<Arc<str>> {
        self.zones.keys().filter(|zone| self.is_silent(now, zone)).cloned().collect()
    }
}
