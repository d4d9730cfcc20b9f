//! Endpoints that may be in cold start though they have not said so.
//!
//! Answers three load patterns: an endpoint ends and starts again under its name, and gets all requests
//! at once before its first announcement is here; a host stands still, goes on, and sends by what it
//! knew before; a plan sends all requests of a route to a service that got none.

use crate::core::endpoint::EndpointKey;
use crate::core::plan::{Destination, Plan};
use crate::core::routes::Target;
use crate::core::time::{Span, Time};
use indexmap::{IndexMap, IndexSet};
use slotmap::SecondaryMap;
use std::sync::Arc;

/// Time without a sign of life of this host's own timers after which it is taken to have stood still.
const STALL_MIN: Span = Span::millis(1_500);
/// Time after a host has stood still until it knows what it has missed: the period at which hosts
/// compare what they know of endpoints.
const CATCH_UP_TIME: Span = Span::secs(1);

/// Time after which endpoints have announced themselves again since a plan first sent requests to
/// them: the usual interval of heartbeats, and their way to this host.
const ANNOUNCED_AGAIN_TIME: Span = Span::millis(1_500);

/// Services that a plan sends whole requests to. Shards of a gather are left out: a plan does not come
/// into force before they are warm.
fn single_services(plan: &Plan) -> impl Iterator<Item = &Arc<str>> {
    let routes = plan.routes.iter().filter_map(|r| match &r.destination {
        Destination::Split(parts) => Some(parts),
        Destination::Gather { .. } => None,
    });
    routes.flatten().filter(|(_, weight)| *weight > 0).map(|(service, _)| service)
}

/// What this host has seen that may have left endpoints cold.
#[derive(Debug, Default)]
pub struct ColdSigns {
    /// Incarnation and last refused connection of endpoints at whose address nothing listened.
    ended: SecondaryMap<EndpointKey, (u64, Time)>,
    /// When a timer of this host last fired.
    alive: Option<Time>,
    catching_up_until: Time,
    /// Services that a plan has first sent requests to, and when.
    routed: IndexMap<Arc<str>, Time>,
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

    /// Records that requests follow another plan.
    pub fn record_plan(&mut self, now: Time, previous: &Plan, next: &Plan) {
        let gathers = previous.routes.iter().filter_map(|r| match &r.destination {
            Destination::Gather { shards, .. } => Some(shards),
            Destination::Split(_) => None,
        });
        let before: IndexSet<_> = single_services(previous).chain(gathers.flatten()).collect();
        self.routed.retain(|_, at| now.since(*at) < ANNOUNCED_AGAIN_TIME);
        let new = single_services(next).filter(|service| !before.contains(service));
        self.routed.extend(new.map(|service| (service.clone(), now)));
    }

    /// Whether an endpoint, which stays cold for `cold_time` after its start, may be in cold start.
    pub fn may_be_cold(
        &self,
        now: Time,
        endpoint: &Target,
        cold_time: impl FnOnce() -> Span,
    ) -> bool {
        if now < self.catching_up_until {
            return true;
        }
        let ended = self.ended.get(endpoint.key).copied();
        let ended = ended.filter(|(incarnation, _)| *incarnation == endpoint.incarnation);
        let routed = self.routed.get(&endpoint.service).copied();
        if ended.is_none() && routed.is_none() {
            return false;
        }
        let cold_time = cold_time();
        ended.is_some_and(|(_, at)| now.since(at) < cold_time)
            || routed.is_some_and(|at| now.since(at) < cold_time.min(ANNOUNCED_AGAIN_TIME))
    }
}
