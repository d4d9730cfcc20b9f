//! Service that relays callers' requests by the routes of the plan in force.
//!
//! A request goes unchanged to a single endpoint, or to one endpoint of each shard, whose answers
//! are merged.

mod deaths;
mod drive;
mod failure_log;
mod forward;
mod pools;
pub mod protocol;
mod table;
mod timeline;
mod traffic;

pub use self::pools::end_to_end;
pub use self::traffic::RelayBounds;

use self::deaths::DeathChecks;
use self::drive::MergeTime;
use self::failure_log::{FailureLogger, UnknownRoute};
use self::forward::Forwarder;
use self::pools::ConnectionPools;
use self::protocol::{Call, Outcome, Protocol};
use self::table::RouteTable;
use self::timeline::TimelineSampler;
use self::traffic::TrafficState;
use super::quarantine::{RequestQuarantine, SharedQuarantine};
use super::{AcceptedDocument, Control, Endpoints, Member, Members, Peers};
use crate::core::member::{Health, HostSet, MemberChanges};
use crate::core::message::Topic;
use crate::core::plan::Plan;
use crate::core::relay::cover::ZoneCover;
use crate::core::relay::early::EarlyConnections;
use crate::core::relay::groups::Groups;
use crate::core::relay::plan_switch::PlanSwitch;
use crate::core::relay::timing::Lateness;
use crate::core::routes::{Routes, Target};
use crate::kernel::{Context, Service};
use crate::prelude::*;
use crate::util::http::{self, Answer, Limits, Server};
use crate::util::metrics::Metrics;
use crate::util::work::{self, Work};
use arc_swap::ArcSwapOption;
use futures::future::BoxFuture;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::http::request;
use hyper::{Request, StatusCode};
use parking_lot::Mutex;
use rand::seq::IndexedRandom as _;
use std::net::SocketAddr;
use std::sync::Weak;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, timeout};

/// Interval at which messages keep the connections to preferred hosts open; unused ones close after
/// 4 s.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(1_500);
/// Interval at which idle connection pools are removed.
const POOL_SWEEP_INTERVAL: Duration = Duration::from_secs(10);
/// Idle timeout of a caller's connection. It exceeds the limit that a plan is likely to set, since
/// callers reuse connections up to that limit.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which an endpoint of each unresponsive zone is probed, and timeout of a probe.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which endpoints to connect to early are looked for again, once there was none.
const EARLY_PAUSE: Span = Span::secs(1);
/// Fraction of the time to apply a plan for which a new plan may wait for its endpoints; the rest is
/// for its distribution to this host.
const PLAN_WAIT_FRACTION: (u64, u64) = (3, 5);
/// Retry delay for a caller while this host has no plan, or not the one that the request needs.
const NO_PLAN_RETRY_AFTER: Span = Span::millis(200);

/// Settings of the relay service.
#[derive(Clone)]
pub struct RelaySettings {
    /// Address that callers connect to.
    pub listen: SocketAddr,
    /// Address that serves the load balancer's readiness check.
    pub ready: SocketAddr,
    /// Path of the readiness check.
    pub ready_path: &'static str,
    /// Bounds on the requests sent to endpoints.
    pub bounds: RelayBounds,
    /// Protocol of callers and endpoints.
    pub protocol: Arc<dyn Protocol>,
    /// Where to count events.
    pub metrics: Metrics,
}

/// State and dependencies of the running relay.
pub struct Relay {
    ctx: Context,
    protocol: Arc<dyn Protocol>,
    table: ArcSwapOption<RouteTable>,
    traffic: Arc<TrafficState>,
    pools: ConnectionPools,
    forwarder: Arc<Forwarder>,
    failure_logger: FailureLogger,
    merge_time: MergeTime,
    /// How late gathers end that wait as long as their objective allows.
    lateness: Mutex<Lateness>,
    timelines: TimelineSampler,
    quarantine: Arc<dyn RequestQuarantine>,
    death_checks: DeathChecks,
    control: Arc<dyn Control>,
    accepted: watch::Receiver<AcceptedDocument>,
    /// Reference to the relay itself, for the tasks that it spawns.
    weak: Weak<Self>,
}

impl Relay {
    async fn serve(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let started = self.ctx.now();
        self.traffic.record_alive(started);
        let outcome = match self.try_serve(started, request).await {
            Ok(outcome) => outcome,
            Err(refused) => refused,
        };
        let mut answer = self.protocol.write_response(outcome);
        if self.ctx.is_lame_duck() {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }

    async fn try_serve(
        self: &Arc<Self>,
        started: Time,
        request: Request<Incoming>,
    ) -> Result<Outcome, Outcome> {
        let (head, body) = request.into_parts();
        let refuse = |refusal| Outcome::Refused { refusal, retry_after: None };
        let Some(table) = self.table.load_full() else {
            let refusal = Refusal::not_run(Reason::Unavailable, "no plan is known here yet");
            return Err(Outcome::Refused { refusal, retry_after: Some(NO_PLAN_RETRY_AFTER) });
        };
        let host = head.headers.get(HOST).and_then(|h| h.to_str().ok()).unwrap_or_default();
        let Some(entry) = table.find(host, head.uri.path()) else {
            return Err(self.refuse_unknown_route(&table, started, host, &head));
        };
        let meta = self.protocol.read_request(&head).map_err(refuse)?;
        let limit = table.plan.limits.body_bytes;
        let body = http::read_body(body, limit).await.map_err(refuse)?;
        let uri = head.uri.path_and_query().map_or("/", |p| p.as_str()).parse();
        let uri = uri.map_err(|e| {
            refuse(Refusal::not_run(Reason::BadRequest, format!("the path cannot be read: {e}")))
        })?;
        let headers = end_to_end(head.headers);
        let call = Call { method: head.method, uri, headers, body, meta };
        Ok(drive::run(self, &table, &entry, call, started).await)
    }

    /// Refuses a request that no route of the table matches. That there is no such route is said only
    /// by a host that lacks no plan which must be in force by now; another host may know it.
    fn refuse_unknown_route(
        &self,
        table: &RouteTable,
        now: Time,
        host: &str,
        head: &request::Parts,
    ) -> Outcome {
        let plan = table.plan.number;
        let newest = self.accepted.borrow().plan.as_ref().map(|newest| newest.number);
        let pending = newest.filter(|newest| *newest > plan);
        let unconfirmed = self.control.unconfirmed_for();
        let (reason, detail) = if let Some(pending) = pending {
            let detail = format!("plan {pending} is not followed here yet");
            (Reason::Unavailable, detail)
        } else if unconfirmed.is_none_or(|span| span > self.traffic.bounds().plan_apply) {
            let detail = format!("this host may lack plans later than {plan}");
            (Reason::Unavailable, detail)
        } else {
            let detail = format!("no route for host `{host}` and this path");
            (Reason::UnknownCollection, detail)
        };
        let retry_after = (reason == Reason::Unavailable).then_some(NO_PLAN_RETRY_AFTER);
        let refusal = Refusal::not_run(reason, detail);
        self.failure_logger.log_unknown_route(
            now,
            &refusal,
            &UnknownRoute {
                request: self.protocol.read_request(head).ok().map(|meta| meta.id),
                path: head.uri.path(),
                plan,
                pending,
                unconfirmed,
            },
        );
        Outcome::Refused { refusal, retry_after }
    }

    /// Whether this host takes new requests from the load balancer.
    fn is_ready(&self) -> bool {
        !self.ctx.is_lame_duck()
            && self.table.load().as_ref().is_some_and(|t| {
                let unreachable = self.unreachable_zones(self.ctx.now(), t);
                t.has_endpoints()
                    && (unreachable.is_empty() || t.covers_gather_routes(&unreachable))
            })
    }

    /// Availability zones that this host is cut off from: all other zones with endpoints, or none.
    /// If any other zone responds, the fault lies in the unresponsive zones, and another host could
    /// not reach them either.
    fn unreachable_zones(&self, now: Time, table: &RouteTable) -> Vec<Arc<str>> {
        let unresponsive = self.traffic.unresponsive_zones(now);
        let own = self.traffic.zone();
        let mut others = table.zones().iter().filter(|zone| ***zone != *own);
        if others.all(|zone| unresponsive.contains(zone)) { unresponsive } else { Vec::new() }
    }

    /// Connects to an endpoint of each unresponsive zone, to detect its recovery without a caller's
    /// request.
    fn probe_zones(self: &Arc<Self>) {
        let Some(table) = self.table.load_full() else { return };
        for zone in self.traffic.unresponsive_zones(self.ctx.now()) {
            let targets: Vec<_> = table.targets().filter(|t| t.zone == zone).collect();
            let Some(target) = targets.choose(&mut rand::rng()) else { continue };
            let (relay, address) = (Arc::clone(self), target.address);
            tokio::spawn(async move {
                let connected = timeout(PROBE_INTERVAL, TcpStream::connect(address)).await;
                if matches!(connected, Ok(Ok(_))) {
                    relay.traffic.zone_responded(&zone);
                }
            });
        }
    }

    /// Zones that the gathers of this host are sent to.
    fn cover(&self, now: Time, table: &RouteTable) -> Arc<ZoneCover> {
        let excluded = self.traffic.unresponsive_zones(now);
        table.cover(self.traffic.host(), self.traffic.zone(), &excluded)
    }

    /// Keeps the connections open to the hosts that this one sends the calls of a gather through, since
    /// a gather that has to open them is late.
    fn keep_connections(&self) {
        let Some(table) = self.table.load_full() else { return };
        let (now, groups) = (self.ctx.now(), self.traffic.groups());
        let (own, cover) = (self.traffic.host(), self.cover(now, &table));
        for zone in cover.zones() {
            if groups.is_divided(zone) {
                let parts = 0..groups.parts(own, zone, 0);
                let owners = parts.filter_map(|part| {
                    let owners = groups.owners(zone, part, table.gather_connections());
                    self.forwarder.choose_owner(now, zone, owners)
                });
                owners.for_each(|host| self.forwarder.keep_alive(&host));
            } else if groups.parts(own, zone, cover.shards()) > 1 {
                let helpers = groups.helpers(own, zone, 0);
                helpers.iter().for_each(|host| self.forwarder.keep_alive(host));
            }
        }
    }

    /// Opens connections to the next endpoints that this host sends calls of gathers to.
    fn open_early(&self, early: &mut EarlyOpener) {
        let Some(table) = self.table.load_full() else { return };
        let (groups, host, zone) =
            (self.traffic.groups(), self.traffic.host(), self.traffic.zone());
        let now = self.ctx.now();
        if early.is_done(now, &table, &groups) {
            return;
        }
        let own = |t: &&Target| *t.zone == *zone && groups.owns(host, t);
        let round = early.connections.next_round(table.gather_targets().filter(own));
        if round.is_empty() {
            early.done = Some((table.clone(), groups.clone(), now));
        }
        for target in round {
            let connections = self.traffic.max_connections(target);
            if connections > 0 {
                self.pools.open_early(target, connections);
            }
        }
    }

    /// Replaces the route table by one for the newest plan and endpoints; returns whether the newest
    /// plan still waits for its endpoints, in which case the table keeps the current plan.
    fn update_table(
        &self,
        switch: &mut PlanSwitch,
        newest: Option<Arc<Plan>>,
        routes: Arc<Routes>,
    ) -> bool {
        let Some(newest) = newest else {
            self.table.store(None);
            return false;
        };
        let current = self.table.load_full();
        let next = RouteTable::new(newest, routes.clone(), current.as_deref());
        let Some(current) = current.filter(|t| t.plan.number < next.plan.number) else {
            self.set_table(next);
            return false;
        };
        let old = || RouteTable::new(current.plan.clone(), routes.clone(), Some(&current));
        let fits = next.covers_gather_routes(&[]) || !old().covers_gather_routes(&[]);
        let (numerator, denominator) = PLAN_WAIT_FRACTION;
        let max_wait = Span(self.traffic.bounds().plan_apply.0 / denominator * numerator);
        let now = self.ctx.now();
        let waited = switch.waiting_for(now);
        let switches = switch.should_switch(now, fits, max_wait);
        let (plan, previous) = (next.plan.number, current.plan.number);
        if switches {
            log::info!(
                event = "plan-followed", plan, previous, waited_ms = waited.as_millis(), fits;
                "requests follow plan {plan}"
            );
        } else if waited == Span::ZERO {
            log::info!(
                event = "plan-waits", plan, previous;
                "plan {plan} waits for its endpoints; requests still follow plan {previous}"
            );
        }
        self.set_table(if switches { next } else { old() });
        !switches
    }

    /// Has requests use a table, for which all is prepared that they would otherwise wait for.
    fn set_table(&self, table: RouteTable) {
        if let Some(previous) = self.table.load_full() {
            let new = table.prepare(&previous);
            if table.used_replicas().next().is_some() {
                self.cover(self.ctx.now(), &table);
                table.zones();
            }
            self.traffic.cache_reach(new.iter().flat_map(|replicas| replicas.iter()));
        }
        self.table.store(Some(Arc::new(table)));
    }

    fn set_members(&self, relays: &mut Relays, members: Arc<Vec<Member>>) {
        let old = std::mem::replace(&mut relays.members, members);
        let mut changes = MemberChanges::between(&old, &relays.members);
        changes.members.retain(|m| !m.durable);
        self.forwarder.update_hosts(&changes);
        relays.hosts.update(self.ctx.now(), &changes);
        self.update_shares(relays);
    }

    /// Divides endpoints and budgets anew if the hosts that relay requests have changed.
    fn update_shares(&self, relays: &mut Relays) {
        if !relays.hosts.take_change(self.ctx.now()) {
            return;
        }
        let count = relays.hosts.len();
        if self.traffic.set_hosts(relays.hosts.sorted()) {
            log::info!(relays = count; "{count} hosts share the retry budgets and endpoint limits");
            if let Some(table) = self.table.load_full() {
                self.traffic.cache_reach(table.used_replicas());
            }
        }
    }
}

/// HTTP handler for callers.
struct CallerRoutes(Arc<Relay>);

impl http::Routes for CallerRoutes {
    fn answer(&self, request: Request<Incoming>) -> BoxFuture<'_, Answer> {
        Box::pin(Arc::clone(&self.0).serve(request))
    }
}

/// HTTP handler for the load balancer's readiness check.
struct ReadyRoutes {
    relay: Arc<Relay>,
    path: &'static str,
}

impl http::Routes for ReadyRoutes {
    fn answer(&self, request: Request<Incoming>) -> BoxFuture<'_, Answer> {
        let status = match request.uri().path() {
            path if path != self.path => StatusCode::NOT_FOUND,
            _ if self.relay.is_ready() => StatusCode::OK,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        Box::pin(async move { http::json(status, &serde_json::json!({})) })
    }
}

/// Service that runs the relay and its listeners.
pub struct RelayService {
    settings: RelaySettings,
    servers: Mutex<Vec<Arc<Server>>>,
}

impl RelayService {
    /// Creates the service without starting it.
    pub fn new(settings: RelaySettings) -> Self {
        Self { settings, servers: Mutex::default() }
    }

    /// Address that callers connect to, once started.
    pub fn address(&self) -> Option<SocketAddr> {
        self.servers.lock().first().map(|s| s.address())
    }

    async fn run(&self, ctx: &Context) -> Result<()> {
        let peers = ctx.find::<dyn Peers>(<dyn Peers>::NAME)?;
        let control = ctx.find::<dyn Control>(<dyn Control>::NAME)?;
        let quarantine = ctx.find::<dyn RequestQuarantine>(<dyn RequestQuarantine>::NAME);
        let s = &self.settings;
        let relay = Arc::new_cyclic(|weak| Relay {
            weak: weak.clone(),
            ctx: ctx.clone(),
            protocol: s.protocol.clone(),
            table: ArcSwapOption::empty(),
            traffic: Arc::new(TrafficState::new(
                peers.host(),
                peers.zone(),
                s.bounds,
                s.metrics.clone(),
            )),
            pools: ConnectionPools::default(),
            forwarder: Arc::new(Forwarder::new(peers.clone())),
            failure_logger: FailureLogger::default(),
            merge_time: MergeTime::default(),
            lateness: Mutex::default(),
            timelines: TimelineSampler::default(),
            quarantine: quarantine.unwrap_or_else(|_| Arc::new(SharedQuarantine::new(ctx, None))),
            death_checks: DeathChecks::default(),
            accepted: control.watch(),
            control: control.clone(),
        });
        peers.set_handler(Topic::Relay, relay.clone());
        let endpoints = ctx.find::<dyn Endpoints>(<dyn Endpoints>::NAME)?;
        let members = ctx.find::<dyn Members>(<dyn Members>::NAME)?;
        tokio::spawn(follow_changes(relay.clone(), control, endpoints, members));
        let limits = Limits { head_time: CALLER_IDLE_TIMEOUT, ..Limits::default() };
        let callers = Arc::new(CallerRoutes(relay.clone()));
        let callers = Server::start_with(http::bind(s.listen).await?, callers, limits)?;
        let ready = Arc::new(ReadyRoutes { relay, path: s.ready_path });
        let ready = Server::start(http::bind(s.ready).await?, ready)?;
        *self.servers.lock() = vec![Arc::new(callers), Arc::new(ready)];
        Ok(())
    }
}

impl Service for RelayService {
    fn name(&self) -> &'static str {
        "relay"
    }

    fn start<'a>(&'a self, ctx: &'a Context) -> BoxFuture<'a, Result<()>> {
        Box::pin(self.run(ctx))
    }

    fn stop(&self, bound: Span) -> BoxFuture<'_, ()> {
        let servers = self.servers.lock().clone();
        Box::pin(async move {
            futures::future::join_all(servers.iter().map(|s| s.stop_or_warn("relay", bound))).await;
        })
    }
}

/// Hosts that relay requests, and the members that they follow from.
struct Relays {
    members: Arc<Vec<Member>>,
    /// Lost members count too: behind a network partition they may still send requests.
    hosts: HostSet,
}

impl Default for Relays {
    fn default() -> Self {
        Self { members: Arc::default(), hosts: HostSet::new(Health::Lost) }
    }
}

/// Endpoints that were connected to early, and the state in which none was left to connect to, and when.
#[derive(Default)]
struct EarlyOpener {
    connections: EarlyConnections,
    done: Option<(Arc<RouteTable>, Arc<Groups>, Time)>,
}

impl EarlyOpener {
    fn is_done(&self, now: Time, table: &Arc<RouteTable>, groups: &Arc<Groups>) -> bool {
        self.done.as_ref().is_some_and(|(t, g, at)| {
            let same = Arc::ptr_eq(t, table) && Arc::ptr_eq(g, groups);
            same || now.since(*at) < EARLY_PAUSE
        })
    }
}

/// Applies changes of the plan in force, the endpoints and the members to the relay, and runs its
/// periodic work.
async fn follow_changes(
    relay: Arc<Relay>,
    control: Arc<dyn Control>,
    endpoints: Arc<dyn Endpoints>,
    members: Arc<dyn Members>,
) {
    let (mut accepted, mut members) = (control.watch(), members.watch());
    let mut changes = endpoints.changes();
    let mut relays = Relays::default();
    let current = members.borrow_and_update().clone();
    relay.set_members(&mut relays, current);
    let mut sweep = tokio::time::interval(POOL_SWEEP_INTERVAL);
    let mut probe = tokio::time::interval(PROBE_INTERVAL);
    let mut keep_alive = tokio::time::interval(KEEP_ALIVE_INTERVAL);
    keep_alive.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut stale, mut switch) = (true, PlanSwitch::default());
    let mut early = EarlyOpener::default();
    loop {
        if stale {
            changes.mark_unchanged();
            let plan = accepted.borrow_and_update().plan.clone();
            // While a plan waits for its endpoints, it is checked again at each probe.
            let update = || relay.update_table(&mut switch, plan, endpoints.routes());
            stale = work::measure(Work::Table, update);
        }
        let ended = tokio::select! {
            _ = probe.tick() => {
                relay.traffic.record_alive(relay.ctx.now());
                relay.probe_zones();
                work::measure(Work::Hosts, || relay.update_shares(&mut relays));
                relay.open_early(&mut early);
                false
            }
            changed = accepted.changed() => {
                stale = true;
                changed.is_err()
            }
            changed = changes.changed() => {
                stale = true;
                changed.is_err()
            }
            changed = members.changed() => {
                let current = members.borrow_and_update().clone();
                work::measure(Work::Hosts, || relay.set_members(&mut relays, current));
                changed.is_err()
            }
            _ = keep_alive.tick() => {
                relay.keep_connections();
                false
            }
            _ = sweep.tick() => {
                relay.pools.remove_idle();
                relay.traffic.expire_notices(relay.ctx.now());
                false
            }
        };
        if ended {
            return;
        }
    }
}
