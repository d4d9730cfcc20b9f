//! State shared by all requests that this host relays: latencies, requests in flight, retry
//! budgets, and limits on connections and rates.
//!
//! A replica with a request in flight for longer than the hedge delay ranks after the others, even
//! before any of its requests has failed.

use crate::core::choice::{ChoiceContext, Latencies};
use crate::core::endpoint::host_share;
use crate::core::latency::Histogram;
use crate::core::plan::{Plan, WeightedRoundRobin};
use crate::core::relay::cold::ColdSigns;
use crate::core::relay::cover::{Need, ZoneCover, zone_rank};
use crate::core::relay::groups::Groups;
use crate::core::relay::notices::{self, Notice, Notices};
use crate::core::relay::rate::RateLimiter;
use crate::core::relay::retry_budget::{Bounds, RetryBudget};
use crate::core::relay::stale_address::StaleAddresses;
use crate::core::relay::timing::USUAL_DIVISOR;
use crate::core::relay::zones::ZoneMonitor;
use crate::core::routes::{Snapshot, Target};
use crate::prelude::*;
use crate::util::metrics::Metrics;
use parking_lot::Mutex;
use slotmap::SecondaryMap;
use smallvec::SmallVec;

/// Quantile of a route's answer times that serves as its hedge delay. One attempt in 12 is hedged,
/// so that a budget of one extra attempt per 5 requests leaves room for retries.
const HEDGE_QUANTILE: f64 = 0.92;
/// Number of answers on a route after which the quantile is computed again.
const QUANTILE_REFRESH_ANSWERS: u32 = 32;
/// Divisor of the latency objective that gives the hedge delay while a route has too few answers.
const HEDGE_INITIAL_DIVISOR: u64 = 4;
/// Minimum hedge delay: the round-trip time between availability zones.
const HEDGE_DELAY_MIN: Span = Span::millis(4);
/// Number of times that the cost of an endpoint in another zone is doubled when replicas are ranked,
/// since its answers cause traffic between zones and arrive later.
const REMOTE_ZONE_COST_DOUBLINGS: u32 = 2;
/// The same for a gather and a zone that its host needs anyway. Messages to hosts of other zones would
/// go over connections that are not open.
const NEEDED_ZONE_COST_DOUBLINGS: u32 = 1;
/// Rank of the first zone for hedges, after all zones for first attempts.
const ZONES_MAX: usize = 1_000;
/// Maximum requests in flight from this host per slot of an endpoint.
const IN_FLIGHT_PER_SLOT: u32 = 2;

/// Bounds on the relay, set by the platform.
#[derive(Clone, Copy, Debug)]
pub struct RelayBounds {
    /// Budget of extra arrivals at one service, from hedges, retries and refused attempts.
    pub retry_budget: Bounds,
    /// Factor on the request rate that the plan allows for an endpoint in cold start.
    pub cold_ratio: f64,
    /// Requests per second allowed in cold start beyond that rate.
    pub cold_slack: f64,
    /// Time within which an acknowledged plan must be in force on every host.
    pub plan_apply: Span,
    /// Time in which an endpoint that says that it is leaving may still get requests.
    pub drain: Span,
}

#[derive(Default)]
struct Endpoint {
    /// When the requests in flight were sent, in ascending order.
    sent: Vec<Time>,
    limiter: RateLimiter,
    /// How this host reaches it.
    reach: Option<Reach>,
    /// This host's share of a total rate in cold start, which takes a hash for each host.
    cold_share: Option<ColdShare>,
}

/// Part of a rate that a host may send at.
#[derive(Clone, Copy, Debug)]
struct ColdShare {
    total: u32,
    share: u32,
}

impl Endpoint {
    /// How this host reaches the endpoint, if it is cached for the target's present limit.
    fn reach(&self, to: &Target) -> Option<Reach> {
        self.reach.filter(|a| a.accepted == to.connections)
    }
}

/// How this host reaches an endpoint.
#[derive(Clone, Copy, Debug)]
struct Reach {
    /// Connections that the endpoint accepts over all hosts.
    accepted: u32,
    /// This host's share of them.
    share: u32,
    /// Whether other hosts own the endpoint, so that first attempts need no connection of this host.
    through_owner: bool,
}

impl Reach {
    /// Connections for an attempt, of this host or, if it may go through one, of an owner.
    fn connections(self, through_owner: bool) -> u32 {
        if through_owner && self.through_owner { self.share.max(1) } else { self.share }
    }
}

/// Answer times on one route.
#[derive(Default)]
struct RouteLatency {
    histogram: Histogram,
    /// Quantile that serves as hedge delay; cached, since computing it takes much longer than
    /// recording an answer.
    hedge_delay: Option<Span>,
    answers: u32,
}

impl RouteLatency {
    fn record(&mut self, time: Span) {
        self.histogram.record(time);
        if self.answers.is_multiple_of(QUANTILE_REFRESH_ANSWERS) {
            self.hedge_delay = self.histogram.quantile(HEDGE_QUANTILE);
        }
        self.answers = self.answers.wrapping_add(1);
    }
}

#[derive(Default)]
struct State {
    routes: IndexMap<Arc<str>, RouteLatency>,
    retry_budgets: IndexMap<Arc<str>, RetryBudget>,
    splitters: IndexMap<Arc<str>, WeightedRoundRobin>,
    endpoints: SecondaryMap<EndpointKey, Endpoint>,
    latencies: Latencies,
    stale_addresses: StaleAddresses,
    cold_signs: ColdSigns,
    zone_monitor: ZoneMonitor,
    hosts: Vec<Arc<str>>,
    groups: Arc<Groups>,
    choices: u64,
}

/// Order of one replica among those of a shard; the lowest is preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ReplicaRank {
    /// Whether the endpoint is leaving.
    last: bool,
    /// Whether its zone does not respond.
    silent: bool,
    cold: bool,
    /// Whether a request in flight is overdue.
    slow: bool,
    cost: (u64, u64, u64),
}

/// Replicas of a shard with their ranks; few, so that they need no memory of their own.
type ReplicaOrder<'a> = SmallVec<[(ReplicaRank, &'a Target); 4]>;

/// Traffic state of one host.
pub struct TrafficState {
    host: Arc<str>,
    zone: Arc<str>,
    bounds: RelayBounds,
    notices: Mutex<Notices>,
    metrics: Metrics,
    state: Mutex<State>,
}

/// Permission to have one request in flight at an endpoint; dropping it releases it.
pub struct Permit {
    traffic: Arc<TrafficState>,
    key: EndpointKey,
    at: Time,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut s = self.traffic.state.lock();
        if let Some(e) = s.endpoints.get_mut(self.key)
            && let Some(i) = e.sent.iter().position(|at| *at == self.at)
        {
            e.sent.remove(i);
        }
    }
}

impl TrafficState {
    /// Creates the state of a host that has relayed nothing yet.
    pub fn new(host: &str, zone: &str, bounds: RelayBounds, metrics: Metrics) -> Self {
        let groups = Groups::new(std::iter::once((host.into(), zone.into())));
        let state =
            State { hosts: vec![host.into()], groups: Arc::new(groups), ..State::default() };
        Self {
            host: host.into(),
            zone: zone.into(),
            bounds,
            notices: Mutex::default(),
            metrics,
            state: Mutex::new(state),
        }
    }

    /// Name of this host.
    pub fn host(&self) -> &str {
        &self.host
    }

    /// Groups of the hosts that relay requests.
    pub fn groups(&self) -> Arc<Groups> {
        self.state.lock().groups.clone()
    }

    /// Availability zone of this host.
    pub fn zone(&self) -> &str {
        &self.zone
    }

    /// Bounds set by the platform.
    pub fn bounds(&self) -> &RelayBounds {
        &self.bounds
    }

    /// Sets the hosts that relay requests, including this one, each with its zone; returns whether
    /// they have changed.
    pub fn set_hosts(&self, hosts: Vec<(Arc<str>, Arc<str>)>) -> bool {
        let mut s = self.state.lock();
        if s.hosts.iter().eq(hosts.iter().map(|(host, _)| host)) {
            return false;
        }
        s.hosts = hosts.iter().map(|(host, _)| host.clone()).collect();
        s.groups = Arc::new(Groups::new(hosts.into_iter()));
        for e in s.endpoints.values_mut() {
            (e.reach, e.cold_share) = (None, None);
        }
        true
    }

    /// This host's share of the connections to an endpoint.
    pub fn max_connections(&self, to: &Target) -> u32 {
        self.reach(&self.state.lock(), to).share
    }

    /// Works out how this host reaches endpoints, which takes a hash for each host, before a request
    /// needs it.
    pub fn cache_reach<'a>(&self, targets: impl Iterator<Item = &'a Target>) {
        let State { endpoints, groups, .. } = &mut *self.state.lock();
        self.fill_reach(endpoints, groups, targets);
    }

    fn fill_reach<'a>(
        &self,
        endpoints: &mut SecondaryMap<EndpointKey, Endpoint>,
        groups: &Groups,
        targets: impl Iterator<Item = &'a Target>,
    ) {
        for t in targets {
            let Some(e) = endpoints.entry(t.key).map(|e| e.or_default()) else { continue };
            if e.reach(t).is_none() {
                e.reach = Some(self.find_reach(groups, t));
            }
        }
    }

    fn reach(&self, s: &State, to: &Target) -> Reach {
        let known = s.endpoints.get(to.key).and_then(|e| e.reach(to));
        known.unwrap_or_else(|| self.find_reach(&s.groups, to))
    }

    fn find_reach(&self, groups: &Groups, to: &Target) -> Reach {
        Reach {
            accepted: to.connections,
            share: groups.connection_share(&self.host, to),
            through_owner: groups.is_divided(&to.zone) && !groups.owns(&self.host, to),
        }
    }

    /// Records what an endpoint said about further requests, in its answer to the request `id`.
    pub fn record_notice(&self, now: Time, id: &str, from: &Target, notice: Notice) {
        if notice == Notice::default() {
            return;
        }
        let news = self.notices.lock().record(now, from, notice);
        let (endpoint, incarnation) = (&*from.name, from.incarnation);
        if news.leaving {
            self.metrics.incr("relay.endpoints_leaving");
            log::info!(
                event = "endpoint-leaving", request = id, endpoint, incarnation;
                "endpoint {endpoint} says that it is leaving; it is chosen last from now on"
            );
        }
        if let Some(span) = notice.quiet.filter(|_| news.quiet) {
            self.metrics.incr("relay.endpoints_quiet");
            log::info!(
                event = "endpoint-quiet", request = id, endpoint, incarnation,
                quiet_ms = span.as_millis();
                "endpoint {endpoint} wants no requests from this host for {span}"
            );
        }
    }

    /// Notice of an endpoint that is still valid.
    pub fn notice(&self, now: Time, of: &Target) -> Notice {
        self.notices.lock().notice(now, of)
    }

    /// Drops the notices of endpoints that have no effect any more.
    pub fn expire_notices(&self, now: Time) {
        self.notices.lock().expire(now);
    }

    /// Whether an endpoint may be sent a request.
    pub fn notice_access(&self, now: Time, to: &Target) -> notices::Access {
        self.notices.lock().access(now, to, self.bounds.drain)
    }

    /// Whether too few of a request's shards may be sent to; see [`Notices::closed_until`].
    pub fn closed_until(
        &self,
        now: Time,
        snapshot: &Snapshot,
        shards_min: usize,
    ) -> Option<Option<Time>> {
        let notices = self.notices.lock();
        if notices.is_empty() {
            return None;
        }
        let shards = snapshot.shards.iter().map(|replicas| replicas.as_slice());
        notices.closed_until(now, shards, self.bounds.drain, shards_min)
    }

    /// Counts a request for each of the services.
    pub fn record_request<'a>(&self, now: Time, services: impl Iterator<Item = &'a Arc<str>>) {
        let budgets = &mut self.state.lock().retry_budgets;
        for service in services {
            let budget = budgets.entry(service.clone()).or_default();
            budget.record_request(now, &self.bounds.retry_budget);
        }
    }

    /// Spends one extra arrival from the budget of a service, if any is left.
    pub fn try_spend_extra(&self, now: Time, service: &Arc<str>) -> bool {
        let mut s = self.state.lock();
        let hosts = s.hosts.len();
        s.retry_budgets.entry(service.clone()).or_default().try_spend(
            now,
            &self.bounds.retry_budget,
            hosts,
        )
    }

    /// Index of the part of a split route that takes the next request, by weighted round-robin.
    pub fn next_part(&self, route: &Arc<str>, weights: &[(Arc<str>, u32)]) -> Option<usize> {
        let mut s = self.state.lock();
        s.splitters.entry(route.clone()).or_default().next(weights.iter().map(|(_, w)| *w))
    }

    /// Delay after which an attempt on a route is hedged.
    pub fn hedge_delay(&self, route: &Arc<str>, objective: Span) -> Span {
        let s = self.state.lock();
        let initial = Span(objective.0 / HEDGE_INITIAL_DIVISOR);
        let learned = s.routes.get(route).and_then(|r| r.hedge_delay);
        learned
            .unwrap_or(initial)
            .clamp(HEDGE_DELAY_MIN, Span(objective.0 / 2).max(HEDGE_DELAY_MIN))
    }

    /// Takes a permit for a replica that is not in `tried` and has room. Replicas with a request in
    /// flight for longer than `expected` rank last. An attempt of a request that `gathers` needs no
    /// connection of this host to an endpoint that others own, and prefers the zones of the `cover`.
    #[expect(clippy::too_many_arguments, reason = "the inputs of one decision")]
    pub fn acquire(
        self: &Arc<Self>,
        now: Time,
        replicas: &[Target],
        tried: &[EndpointKey],
        expected: Span,
        gathers: bool,
        plan: &Plan,
        cover: &ZoneCover,
    ) -> Option<(Target, Permit)> {
        let mut s = self.state.lock();
        s.choices += 1;
        let State {
            endpoints,
            latencies,
            stale_addresses,
            cold_signs,
            choices,
            hosts,
            groups,
            zone_monitor,
            ..
        } = &mut *s;
        self.fill_reach(endpoints, groups, replicas.iter());
        let notices = self.notices.lock();
        let noticed = !notices.is_empty();
        let notice_of = |t: &Target| match noticed {
            true => notices.access(now, t, self.bounds.drain),
            false => notices::Access::Open,
        };
        let in_flight = |key| endpoints.get(key).map_or(0, |e| e.sent.len() as u32);
        let context = ChoiceContext {
            zone: &self.zone,
            in_flight: &in_flight,
            seed: *choices,
            usual: if gathers { Span(expected.0 / USUAL_DIVISOR) } else { Span::ZERO },
            zone_cost: &|zone| match cover.need(zone) {
                (Need::First, position) if gathers => (NEEDED_ZONE_COST_DOUBLINGS, position as u64),
                (Need::Second, position) if gathers => {
                    (NEEDED_ZONE_COST_DOUBLINGS, (ZONES_MAX + position) as u64)
                }
                _ => (REMOTE_ZONE_COST_DOUBLINGS, zone_rank(&self.host, zone)),
            },
        };
        // If this host has a share of no connection at any replica left, it may use one beyond its
        // share, since it could not serve the request otherwise.
        let usable = |e: &Endpoint, t: &Target| e.reach(t).map_or(0, |r| r.connections(gathers));
        let unusable = |t: &Target| endpoints.get(t.key).is_some_and(|e| usable(e, t) == 0);
        let untried = || replicas.iter().filter(|t| !tried.contains(&t.key));
        let min_connections = u32::from(untried().all(unusable));
        let mut order = ReplicaOrder::new();
        for target in untried().filter(|t| !stale_addresses.contains(t)) {
            let access = notice_of(target);
            if matches!(access, notices::Access::Closed(_)) {
                continue;
            }
            let oldest = endpoints.get(target.key).and_then(|e| e.sent.first());
            let rank = ReplicaRank {
                last: access == notices::Access::Last,
                silent: zone_monitor.is_unresponsive(now, &target.zone),
                cold: is_cold(cold_signs, now, target, plan),
                slow: oldest.is_some_and(|at| now.since(*at) > expected),
                cost: latencies.rank(now, target, &context),
            };
            order.push((rank, target));
        }
        // Replicas are few, and a stable order among equals is not needed: ranks end in a tie-break.
        order.sort_unstable_by_key(|(rank, _)| *rank);
        for (rank, target) in order {
            let Some(e) = endpoints.entry(target.key).map(|e| e.or_default()) else { continue };
            let connections = usable(e, target).max(min_connections);
            if e.sent.len() as u32 >= max_in_flight(target, connections) {
                continue;
            }
            if !rank.cold {
                e.limiter.record(now);
            } else {
                let rate = self.cold_rate(&mut e.cold_share, target, plan, hosts);
                if !e.limiter.try_acquire(now, rate) {
                    continue;
                }
            }
            e.sent.push(now);
            zone_monitor.request_sent(now, &target.zone, expected);
            let permit = Permit { traffic: Arc::clone(self), key: target.key, at: now };
            return Some((target.clone(), permit));
        }
        None
    }

    /// Whether a replica that is reachable has room for a request from this host.
    pub fn has_room(&self, now: Time, replicas: &[Target], plan: &Plan) -> bool {
        let mut s = self.state.lock();
        let connections = |t: &Target| self.reach(&s, t).connections(true);
        let min_connections = u32::from(replicas.iter().all(|t| connections(t) == 0));
        let notices = self.notices.lock();
        let noticed = !notices.is_empty();
        for t in replicas {
            let connections = self.reach(&s, t).connections(true).max(min_connections);
            let State { endpoints, stale_addresses, zone_monitor, cold_signs, hosts, .. } = &mut *s;
            let closed = || {
                let access = notices.access(now, t, self.bounds.drain);
                matches!(access, notices::Access::Closed(_))
            };
            if stale_addresses.contains(t)
                || zone_monitor.is_unresponsive(now, &t.zone)
                || noticed && closed()
            {
                continue;
            }
            let Some(e) = endpoints.get_mut(t.key) else {
                if connections > 0 {
                    return true;
                }
                continue;
            };
            let cold = is_cold(cold_signs, now, t, plan);
            let has_slot = (e.sent.len() as u32) < max_in_flight(t, connections);
            if has_slot && !cold {
                return true;
            }
            if has_slot {
                let rate = self.cold_rate(&mut e.cold_share, t, plan, hosts);
                if e.limiter.allows(now, rate) {
                    return true;
                }
            }
        }
        false
    }

    /// This host's share of the requests per second to an endpoint in cold start; `known` is the share that
    /// was worked out before.
    fn cold_rate(
        &self,
        known: &mut Option<ColdShare>,
        to: &Target,
        plan: &Plan,
        hosts: &[Arc<str>],
    ) -> u32 {
        let per_endpoint =
            plan.services.get(&to.service).map_or(0.0, |s| s.cold_rate as f64 / 1_000.0);
        let total = per_endpoint.mul_add(self.bounds.cold_ratio, self.bounds.cold_slack) as u32;
        if let Some(known) = known.filter(|known| known.total == total) {
            return known.share;
        }
        let share = host_share(&to.name, total, &self.host, hosts);
        *known = Some(ColdShare { total, share });
        share
    }

    /// Records that nothing listens at an endpoint's address.
    pub fn record_endpoint_end(&self, now: Time, endpoint: &Target) {
        self.state.lock().cold_signs.record_end(now, endpoint);
    }

    /// Records that this host runs.
    pub fn record_alive(&self, now: Time) {
        if self.state.lock().cold_signs.record_alive(now) {
            self.metrics.incr("relay.stood_still");
            log::warn!(
                event = "host-stood-still";
                "this host stood still; endpoints get what they can bear in cold start until it has \
                 heard what it missed"
            );
        }
    }

    /// Other availability zones that do not respond to this host.
    pub fn unresponsive_zones(&self, now: Time) -> Vec<Arc<str>> {
        let mut zones = self.state.lock().zone_monitor.unresponsive(now);
        zones.retain(|zone| *zone != self.zone);
        zones
    }

    /// Records a response from an endpoint of a zone.
    pub fn zone_responded(&self, zone: &str) {
        self.state.lock().zone_monitor.response_received(zone);
    }

    /// Records how an attempt on a route ended; without a refusal, it was answered.
    pub fn record_end(
        &self,
        now: Time,
        route: &Arc<str>,
        to: &Target,
        refusal: Option<&Refusal>,
        time: Span,
    ) {
        match refusal.map(|r| r.reason) {
            None => self.record_answer(now, route, to, time),
            Some(Reason::Busy) => self.record_refusal(now, to),
            Some(Reason::WrongEndpoint) => self.record_stale_address(to),
            // Not sent, as the endpoint wishes.
            Some(Reason::Unavailable) => {}
            Some(_) => self.record_failure(now, to.key),
        }
    }

    /// Records an answer on a route.
    fn record_answer(&self, now: Time, route: &Arc<str>, from: &Target, time: Span) {
        let mut s = self.state.lock();
        s.zone_monitor.response_received(&from.zone);
        s.routes.entry(route.clone()).or_default().record(time);
        s.latencies.record_answer(now, from.key, time);
    }

    /// Records that another endpoint answered at a target's address.
    fn record_stale_address(&self, target: &Target) {
        let mut s = self.state.lock();
        s.zone_monitor.response_received(&target.zone);
        s.stale_addresses.insert(target);
    }

    /// Records a refusal for lack of a free slot.
    fn record_refusal(&self, now: Time, from: &Target) {
        let mut s = self.state.lock();
        s.zone_monitor.response_received(&from.zone);
        s.latencies.record_refusal(now, from.key);
    }

    /// Records an attempt that ended without an answer.
    fn record_failure(&self, now: Time, from: EndpointKey) {
        self.state.lock().latencies.record_failure(now, from);
    }
}

/// Whether an endpoint is in cold start, or may be.
fn is_cold(signs: &ColdSigns, now: Time, endpoint: &Target, plan: &Plan) -> bool {
    let cold_time = || plan.services.get(&endpoint.service).map_or(Span::ZERO, |s| s.cold_time);
    endpoint.cold || signs.may_be_cold(now, endpoint, cold_time)
}

/// Maximum requests in flight at an endpoint over the given connections.
fn max_in_flight(to: &Target, connections: u32) -> u32 {
    (to.allowed.max(1) * IN_FLIGHT_PER_SLOT).min(connections)
}
