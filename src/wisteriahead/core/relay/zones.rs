//! Detects availability zones that do not respond to this host.
//!
//! A zone is unresponsive when several requests were sent to its endpoints since the last response
//! from any of them, and the first response is overdue. A single slow endpoint does not make its
//! zone unresponsive, since the other endpoints respond.

use crate::core::time::{Span, Time};
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

impl Zone {
    fn is_unresponsive(self, now: Time) -> bool {
        self.unanswered >= UNANSWERED_MIN && now >= self.due
    }
}

/// Zones that requests were sent to.
#[derive(Clone, Debug, Default)]
pub struct ZoneMonitor {
    /// Few, and looked up for each replica of a request.
    zones: Vec<(Arc<str>, Zone)>,
}

impl ZoneMonitor {
    /// Records a request to a zone that usually responds within `usual`.
    pub fn request_sent(&mut self, now: Time, zone: &Arc<str>, usual: Span) {
        let due = now + Span(usual.0.saturating_mul(RESPONSE_WAIT_FACTOR)).max(RESPONSE_WAIT_MIN);
        let known = self.zones.iter().position(|(z, _)| z == zone);
        let position = known.unwrap_or_else(|| {
            self.zones.push((zone.clone(), Zone::default()));
            self.zones.len() - 1
        });
        let z = &mut self.zones[position].1;
        z.due = if z.unanswered == 0 { due } else { z.due.min(due) };
        z.unanswered = z.unanswered.saturating_add(1);
    }

    /// Records a response from a zone; refusals count too.
    pub fn response_received(&mut self, zone: &str) {
        if let Some((_, z)) = self.zones.iter_mut().find(|(z, _)| **z == *zone) {
            z.unanswered = 0;
        }
    }

    /// Whether a zone is unresponsive.
    pub fn is_unresponsive(&self, now: Time, zone: &str) -> bool {
        let found = self.zones.iter().find(|(z, _)| **z == *zone);
        found.is_some_and(|(_, z)| z.is_unresponsive(now))
    }

    /// Zones that are unresponsive.
    pub fn unresponsive(&self, now: Time) -> Vec<Arc<str>> {
        let silent = self.zones.iter().filter(|(_, z)| z.is_unresponsive(now));
        silent.map(|(zone, _)| zone.clone()).collect()
    }
}
