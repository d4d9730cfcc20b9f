//! What this host has learnt of endpoints and routes, and what it may still send.
//!
//! An endpoint that has kept silent on a request for longer than is usual is asked last, before
//! any of its requests has failed.

use crate::core::choice::{ChoiceContext, Latencies};
use crate::core::endpoint::host_share;
use crate::core::latency::Histogram;
use crate::core::plan::{Plan, WeightedRoundRobin};
use crate::core::relay::rate::RateLimiter;
use crate::core::relay::retry_budget::{Bounds, RetryBudget};
use crate::core::relay::stale_address::StaleAddresses;
use crate::core::relay::zones::ZoneMonitor;
use crate::core::routes::Target;
use crate::prelude::*;
use parking_lot::Mutex;
use slotmap::SecondaryMap;

/// Quantile of a route's times after which an attempt is hedged: at 1 in 12 the budget of 1 in 5
/// leaves room for retries.
const HEDGE_QUANTILE: f64 = 0.92;
/// Answers on a route after which the quantile is found anew.
const REFRESH: u32 = 32;
/// Part of the objective after which an attempt is hedged before enough is known.
const HEDGE_FIRST: u64 = 4;
/// Shortest wait for a hedge: the time of a message there and back between zones.
const HEDGE_MIN: Span = Span::millis(4);
/// Powers of two by which an endpoint in another zone must be better: its answers cost bytes
/// between zones and a longer way.
const AWAY: u32 = 2;
/// Requests in flight from this host for each slot that an endpoint has.
const DEPTH: u32 = 2;

/// Bounds that the platform sets.
#[derive(Clone, Copy, Debug)]
pub struct RelayBounds {
    /// Extra arrivals at one service.
    pub retry_budget: Bounds,
    /// Arrivals in cold start for each that an endpoint says it bears.
    pub cold_ratio: f64,
    /// Arrivals a second in cold start beyond those.
    pub cold_slack: f64,
    /// Time in which a plan must be in force everywhere after it was acknowledged.
    pub plan_apply: Span,
}

#[derive(Default)]
struct Endpoint {
    /// When the requests in flight were sent, the oldest first.
    sent: Vec<Time>,
    pace: RateLimiter,
    /// Connections that the endpoint accepts, and this host's part of them.
    links: Option<(u32, u32)>,
}

impl Endpoint {
    /// This host's part of the connections, if it was found for as many as are accepted now.
    fn part(&self, to: &Target) -> Option<u32> {
        self.links.filter(|(accepted, _)| *accepted == to.connections).map(|(_, part)| part)
    }
}

/// Times of the answers on one route.
#[derive(Default)]
struct Times {
    histogram: Histogram,
    /// Its quantile for hedges, as of some answers ago: to find it takes as long as many of them.
    hedge: Option<Span>,
    answers: u32,
}

impl Times {
    fn record(&mut self, time: Span) {
        self.histogram.record(time);
        if self.answers.is_multiple_of(REFRESH) {
            self.hedge = self.histogram.quantile(HEDGE_QUANTILE);
        }
        self.answers = self.answers.wrapping_add(1);
    }
}

#[derive(Default)]
struct State {
    routes: IndexMap<Arc<str>, Times>,
    extras: IndexMap<Arc<str>, RetryBudget>,
    splitters: IndexMap<Arc<str>, WeightedRoundRobin>,
    endpoints: SecondaryMap<EndpointKey, Endpoint>,
    latencies: Latencies,
    absent: StaleAddresses,
    reach: ZoneMonitor,
    hosts: Vec<Arc<str>>,
    serial: u64,
}

/// What one host has learnt.
pub struct Learned {
    host: Arc<str>,
    zone: Arc<str>,
    bounds: RelayBounds,
    state: Mutex<State>,
}

/// One request in flight at an endpoint, until this is dropped.
pub struct Flight {
    learned: Arc<Learned>,
    key: EndpointKey,
    at: Time,
}

impl Drop for Flight {
    fn drop(&mut self) {
        let mut s = self.learned.state.lock();
        if let Some(e) = s.endpoints.get_mut(self.key)
            && let Some(i) = e.sent.iter().position(|at| *at == self.at)
        {
            e.sent.remove(i);
        }
    }
}

impl Learned {
    /// A host that has seen nothing yet.
    pub fn new(host: &str, zone: &str, bounds: RelayBounds) -> Self {
        let state = State { hosts: vec![host.into()], ..State::default() };
        Self { host: host.into(), zone: zone.into(), bounds, state: Mutex::new(state) }
    }

    /// Availability zone of this host.
    pub fn zone(&self) -> &str {
        &self.zone
    }

    /// The bounds that the platform sets.
    pub fn bounds(&self) -> &RelayBounds {
        &self.bounds
    }

    /// Sets the hosts that relay requests, this one included; says whether they are others than
    /// before.
    pub fn set_hosts(&self, hosts: Vec<Arc<str>>) -> bool {
        let mut s = self.state.lock();
        if s.hosts == hosts {
            return false;
        }
        s.hosts = hosts;
        s.endpoints.values_mut().for_each(|e| e.links = None);
        true
    }

    /// Connections to an endpoint that are this host's part, at least the one of a request in flight.
    pub fn connections(&self, to: &Target) -> u32 {
        let s = &self.state.lock();
        self.part(s, to).max(1)
    }

    fn part(&self, s: &State, to: &Target) -> u32 {
        let known = s.endpoints.get(to.key).and_then(|e| e.part(to));
        known.unwrap_or_else(|| links(to, &self.host, &s.hosts))
    }

    /// Counts a request for a service.
    pub fn request(&self, now: Time, service: &Arc<str>) {
        let bounds = &self.bounds.retry_budget;
        self.state.lock().extras.entry(service.clone()).or_default().record_request(now, bounds);
    }

    /// Takes one extra arrival from the budget of a service.
    pub fn extra(&self, now: Time, service: &Arc<str>) -> bool {
        let mut s = self.state.lock();
        let hosts = s.hosts.len();
        s.extras.entry(service.clone()).or_default().try_spend(
            now,
            &self.bounds.retry_budget,
            hosts,
        )
    }

    /// The part of a split route whose turn it is.
    pub fn split(&self, route: &Arc<str>, weights: &[(Arc<str>, u32)]) -> Option<usize> {
        let mut s = self.state.lock();
        s.splitters.entry(route.clone()).or_default().next(weights.iter().map(|(_, w)| *w))
    }

    /// Time after which an attempt on a route is hedged.
    pub fn hedge_delay(&self, route: &Arc<str>, objective: Span) -> Span {
        let s = self.state.lock();
        let first = Span(objective.0 / HEDGE_FIRST);
        let learnt = s.routes.get(route).and_then(|r| r.hedge);
        learnt.unwrap_or(first).clamp(HEDGE_MIN, Span(objective.0 / 2).max(HEDGE_MIN))
    }

    /// Chooses a replica that is not in `tried` and has room; `usual` is a time within which
    /// most answers come.
    pub fn acquire(
        self: &Arc<Self>,
        now: Time,
        replicas: &[Target],
        tried: &[EndpointKey],
        usual: Span,
        plan: &Plan,
    ) -> Option<(Target, Flight)> {
        let mut s = self.state.lock();
        s.serial += 1;
        let State { endpoints, latencies, absent, serial, hosts, reach, .. } = &mut *s;
        for t in replicas {
            let Some(e) = endpoints.entry(t.key).map(|e| e.or_default()) else { continue };
            if e.part(t).is_none() {
                e.links = Some((t.connections, links(t, &self.host, hosts)));
            }
        }
        let in_flight = |key| endpoints.get(key).map_or(0, |e| e.sent.len() as u32);
        let context = ChoiceContext {
            zone: &self.zone,
            in_flight: &in_flight,
            seed: *serial,
            zone_penalty: AWAY,
        };
        let mut order = latencies.order(now, replicas, tried, &context);
        let is_silent = |t: &Target| {
            let oldest = endpoints.get(t.key).and_then(|e| e.sent.first());
            oldest.is_some_and(|at| now.since(*at) > usual)
        };
        // Where no replica has a connection for this host, one beyond the shares is the lesser harm.
        let part = |t: &Target| endpoints.get(t.key).and_then(|e| e.part(t));
        let least = u32::from(replicas.iter().all(|t| part(t) == Some(0)));
        order.sort_by_cached_key(|t| (reach.is_unresponsive(now, &t.zone), t.cold, is_silent(t)));
        for target in order.into_iter().filter(|t| !absent.contains(t)) {
            let Some(e) = endpoints.entry(target.key).map(|e| e.or_default()) else { continue };
            let links = e.part(target).unwrap_or(0).max(least);
            if e.sent.len() as u32 >= most(target, links) {
                continue;
            }
            if target.cold && !e.pace.try_acquire(now, self.cold_rate(target, plan, hosts)) {
                continue;
            }
            e.sent.push(now);
            reach.request_sent(now, &target.zone, usual);
            let flight = Flight { learned: Arc::clone(self), key: target.key, at: now };
            return Some((target.clone(), flight));
        }
        None
    }

    /// Whether a replica that may answer has room for a request from this host.
    pub fn has_room(&self, now: Time, replicas: &[Target], plan: &Plan) -> bool {
        let s = self.state.lock();
        let least = u32::from(replicas.iter().all(|t| self.part(&s, t) == 0));
        let answers = |t: &&Target| !s.absent.contains(t) && !s.reach.is_unresponsive(now, &t.zone);
        replicas.iter().filter(answers).any(|t| {
            let links = self.part(&s, t).max(least);
            let Some(e) = s.endpoints.get(t.key) else { return links > 0 };
            let cold = || e.pace.allows(now, self.cold_rate(t, plan, &s.hosts));
            (e.sent.len() as u32) < most(t, links) && (!t.cold || cold())
        })
    }

    /// Requests a second that are this host's part at an endpoint in cold start.
    fn cold_rate(&self, to: &Target, plan: &Plan, hosts: &[Arc<str>]) -> u32 {
        let said = plan.services.get(&to.service).map_or(0.0, |s| s.cold_rate as f64 / 1_000.0);
        let all = said.mul_add(self.bounds.cold_ratio, self.bounds.cold_slack);
        host_share(&to.name, all as u32, &self.host, hosts)
    }

    /// The other zones that do not answer.
    pub fn silent(&self, now: Time) -> Vec<Arc<str>> {
        let mut silent = self.state.lock().reach.unresponsive(now);
        silent.retain(|zone| *zone != self.zone);
        silent
    }

    /// Takes note that an endpoint of a zone said something.
    pub fn heard(&self, zone: &str) {
        self.state.lock().reach.response_received(zone);
    }

    /// Takes note of how an attempt on a route ended.
    pub fn ended(
        &self,
        now: Time,
        route: &Arc<str>,
        to: &Target,
        refusal: Option<&Refusal>,
        time: Span,
    ) {
        match refusal.map(|r| r.reason) {
            None => self.answered(now, route, to, time),
            Some(Reason::Busy) => self.refused(now, to),
            Some(Reason::WrongEndpoint) => self.absent(to),
            Some(_) => self.failed(now, to.key),
        }
    }

    /// Takes note of an answer on a route.
    fn answered(&self, now: Time, route: &Arc<str>, from: &Target, time: Span) {
        let mut s = self.state.lock();
        s.reach.response_received(&from.zone);
        s.routes.entry(route.clone()).or_default().record(time);
        s.latencies.record_answer(now, from.key, time);
    }

    /// Takes note that another endpoint answered at a target's address.
    fn absent(&self, target: &Target) {
        let mut s = self.state.lock();
        s.reach.response_received(&target.zone);
        s.absent.insert(target);
    }

    /// Takes note of a refusal for lack of room.
    fn refused(&self, now: Time, from: &Target) {
        let mut s = self.state.lock();
        s.reach.response_received(&from.zone);
        s.latencies.record_refusal(now, from.key);
    }

    /// Takes note of an attempt that ended without an answer.
    fn failed(&self, now: Time, from: EndpointKey) {
        self.state.lock().latencies.record_failure(now, from);
    }
}

/// Requests that may be in flight at an endpoint over `links` connections.
fn most(to: &Target, links: u32) -> u32 {
    (to.allowed.max(1) * DEPTH).min(links)
}

/// Connections to an endpoint that are a host's part.
fn links(to: &Target, host: &str, hosts: &[Arc<str>]) -> u32 {
    host_share(&to.name, to.connections, host, hosts)
}
