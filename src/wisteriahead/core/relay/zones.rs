//! Detects availability zones that do not respond to this host.
//!
//! A zone is unresponsive when several requests were sent to its endpoints since the last response
//! from any of them, and the first response is overdue. A single slow endpoint does not make its
//! zone unresponsive, since the other endpoints respond.

use crate::core::time::{Span, Time};
use indexmap::IndexMap;
use std::sync::Arc;

/// Minimum unanswered requests that make a zone unresponsive; a single slow endpoint has fewer in
/// flight from one host.
const UNANSWERED_MIN: u32 = 8;
/// Minimum time allowed for a response; longer than the pauses that endpoints are specified to
/// make (200 ms).
const RESPONSE_WAIT_MIN: Span = Span::millis(250);
/// Time allowed for a response, as a multiple of the usual response time.
const RESPONSE_WAIT_FACTOR: u64 = 3;

/// Requests sent to a zone since its last response.
#[derive(Clone, Copy, Debug, Default)]
struct Zone {
    unanswered: u32,
    /// When the first response is due.
    due: Time,
}

/// Zones that requests were sent to.
#[derive(Clone, Debug, Default)]
pub struct ZoneMonitor {
    zones: IndexMap<Arc<str>, Zone>,
}

impl ZoneMonitor {
    /// Records a request to a zone that usually responds within `usual`.
    pub fn request_sent(&mut self, now: Time, zone: &Arc<str>, usual: Span) {
        let due = now + Span(usual.0.saturating_mul(RESPONSE_WAIT_FACTOR)).max(RESPONSE_WAIT_MIN);
        let z = self.zones.entry(zone.clone()).or_default();
        z.due = if z.unanswered == 0 { due } else { z.due.min(due) };
        z.unanswered = z.unanswered.saturating_add(1);
    }

    /// Records a response from a zone; refusals count too.
    pub fn response_received(&mut self, zone: &str) {
        if let Some(z) = self.zones.get_mut(zone) {
            z.unanswered = 0;
        }
    }

    /// Whether a zone is unresponsive.
    pub fn is_unresponsive(&self, now: Time, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|z| z.unanswered >= UNANSWERED_MIN && now >= z.due)
    }

    /// Zones that are unresponsive.
    pub fn unresponsive(&self, now: Time) -> Vec<Arc<str>> {
        self.zones.keys().filter(|zone| self.is_unresponsive(now, zone)).cloned().collect()
    }
}
