//! Endpoints that may be in cold start though they have not said so.
//!
//! Answers two load patterns: an endpoint ends and starts again under its name, and gets all requests
//! at once before its first announcement is here; a host stands still, goes on, and sends by what it
//! knew before.

use crate::core::endpoint::EndpointKey;
use crate::core::routes::Target;
use crate::core::time::{Span, Time};
use slotmap::SecondaryMap;

/// Time without a sign of life of this host's own timers after which it is taken to have stood still.
const STALL_MIN: Span = Span::millis(1_500);
/// Time after a host has stood still until it knows what it has missed: the period at which hosts
/// compare what they know of endpoints.
const CATCH_UP_TIME: Span = Span::secs(1);

/// What this host has seen that may have left endpoints cold.
#[derive(Debug, Default)]
pub struct ColdSigns {
    /// Incarnation and last refused connection of endpoints at whose address nothing listened.
    ended: SecondaryMap<EndpointKey, (u64, Time)>,
    /// When a timer of this host last fired.
    alive: Option<Time>,
    catching_up_until: Time,
}

impl ColdSigns {
    /// Records that nothing listens at an endpoint's address. When something does again, it is a process
    /// that has just started.
    pub fn record_end(&mut self, now: Time, endpoint: &Target) {
        self.ended.insert(endpoint.key, (endpoint.incarnation, now));
    }

    /// Records that this host runs: a timer fired, or a request is handled. Returns whether it had
    /// stood still.
    pub fn record_alive(&mut self, now: Time) -> bool {
        let stood_still = self.alive.is_some_and(|at| now.since(at) >= STALL_MIN);
        if stood_still {
            self.catching_up_until = now + CATCH_UP_TIME;
        }
        self.alive = Some(now);
        stood_still
    }

    /// Whether an endpoint, which stays cold for `cold_time` after its start, may be in cold start.
    pub fn may_be_cold(
        &self,
        now: Time,
        endpoint: &Target,
        cold_time: impl FnOnce() -> Span,
    ) -> bool {
        now < self.catching_up_until
            || self.ended.get(endpoint.key).is_some_and(|(incarnation, at)| {
                *incarnation == endpoint.incarnation && now.since(*at) < cold_time()
            })
    }
}
