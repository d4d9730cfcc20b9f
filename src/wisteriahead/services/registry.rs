//! Runs the state machine of [`core::gossip`](crate::core::gossip): receives announcements of
//! endpoints by HTTP, replicates them between the hosts, and rebuilds the routes when the registry
//! or the document changes.

use super::{
    AcceptedDocument, Announce, Control, Endpoints, Handler, Health, Member, Members, Peers, Views,
};
use crate::core::gossip::{Gossip, Message, Outgoing};
use crate::core::lag::LagMonitor;
use crate::core::member::{HostSet, MemberChanges};
use crate::core::message::{Topic, decode, encode};
use crate::core::registry::ApplyOutcome;
use crate::core::routes::Routes;
use crate::kernel::{Context, Service};
use crate::prelude::*;
use crate::util::http::{self, Answer, Server};
use crate::util::metrics::Metrics;
use crate::util::work::{self, Work};
use arc_swap::ArcSwap;
use futures::future::BoxFuture;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use parking_lot::Mutex;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::watch;

/// Maximum size of an announcement.
const ANNOUNCEMENT_MAX_BYTES: usize = 64 << 10;
/// Time between two ticks.
const TICK: Duration = Duration::from_millis(50);
/// Least time between two changes of the routes, while endpoints change all the time.
const ROUTES_PERIOD: Span = Span::millis(150);
/// Number of ticks between two reports of the metrics.
const REPORT_TICKS: u32 = 20;

/// Hosts that monitor endpoints, and the members that they follow from.
struct Watchers {
    members: Arc<Vec<Member>>,
    hosts: HostSet,
}

/// Driver of the endpoint registry of this host.
pub struct RegistryDriver {
    ctx: Context,
    peers: Arc<dyn Peers>,
    gossip: Mutex<Gossip>,
    routes: ArcSwap<Routes>,
    /// Whether the registry has changed since the routes were built, and when that was.
    stale: AtomicBool,
    updated: Mutex<Option<Time>>,
    /// Version number of the routes, which rises each time they are rebuilt.
    version: watch::Sender<u64>,
    metrics: Metrics,
}

impl RegistryDriver {
    fn send(&self, out: Vec<Outgoing>) {
        // A message to all hosts is encoded once.
        let mut last: Option<(Message, Vec<u8>)> = None;
        for (to, message) in out {
            let bytes = match &last {
                Some((same, bytes)) if *same == message => bytes.clone(),
                _ => encode(&message),
            };
            self.peers.send(&to, Topic::Registry, bytes.clone());
            last = Some((message, bytes));
        }
    }

    /// Has the next tick rebuild the routes if `changed`.
    fn mark_stale(&self, changed: bool) {
        self.stale.fetch_or(changed, Ordering::Relaxed);
    }

    /// Ticks the state machine, and rebuilds the routes if something has changed.
    fn tick(&self) {
        let now = self.ctx.now();
        let mut gossip = self.gossip.lock();
        let (changed, out) = gossip.tick(now);
        self.mark_stale(changed);
        let mut updated = self.updated.lock();
        let early = updated.is_some_and(|at| now.since(at) < ROUTES_PERIOD);
        if !early && self.stale.swap(false, Ordering::Relaxed) && gossip.registry.routes_changed() {
            *updated = Some(now);
            self.routes.store(gossip.registry.routes());
            self.version.send_modify(|n| *n += 1);
        }
        drop(updated);
        drop(gossip);
        self.send(out);
    }

    /// Logs that timers fire late, with the work that this service has done since the last line.
    fn report_lag(&self, late: Span, rankings: &mut u64) {
        let gossip = self.gossip.lock();
        let (endpoints, total) = (gossip.registry.iter().count(), gossip.rankings());
        drop(gossip);
        let ranked = total - std::mem::replace(rankings, total);
        log::warn!(
            event = "host-late", late_ms = late.as_millis(), endpoints, ranked;
            "this host is short of processor time: a timer fired {late} late"
        );
    }

    fn report(&self) {
        let gossip = self.gossip.lock();
        self.metrics.gauge("endpoints.known", gossip.registry.iter().count() as u64);
        self.metrics.gauge("endpoints.rankings", gossip.rankings());
    }

    fn set_members(&self, watchers: &mut Watchers, members: Arc<Vec<Member>>) {
        let old = std::mem::replace(&mut watchers.members, members);
        watchers.hosts.update(self.ctx.now(), &MemberChanges::between(&old, &watchers.members));
        let live = watchers.members.iter().filter(|m| m.health <= Health::Suspect);
        let others = live.map(|m| m.host.clone()).filter(|host| self.is_other(host)).collect();
        self.gossip.lock().set_receivers(others);
        self.update_watchers(watchers);
    }

    /// Has other hosts monitor endpoints if those that do have changed.
    fn update_watchers(&self, watchers: &mut Watchers) {
        let now = self.ctx.now();
        if watchers.hosts.take_change(now) {
            let hosts = watchers.hosts.sorted().into_iter().map(|(host, _)| host);
            let others = hosts.filter(|host| self.is_other(host)).collect();
            self.gossip.lock().set_watchers(now, others);
        }
    }

    fn is_other(&self, host: &str) -> bool {
        *host != *self.peers.host()
    }

    fn set_document(&self, accepted: &AcceptedDocument) {
        let mut gossip = self.gossip.lock();
        let services = accepted.plan.as_ref().map(|plan| plan.services.values());
        let cold_time = services.map(|s| s.map(|s| s.cold_time).max().unwrap_or_default());
        gossip.registry.set_cold_time(cold_time);
        gossip.registry.set_document(self.ctx.now(), accepted.document.clone());
    }

    fn announce_json(&self, bytes: &[u8]) -> Result<(), Refusal> {
        let a: Announcement = serde_json::from_slice(bytes).map_err(|e| {
            let detail = format!("the body is not an announcement: {e}");
            Refusal::not_run(Reason::BadRequest, detail)
        })?;
        Announce::announce(self, a)
    }

    async fn serve(&self, request: Request<Incoming>) -> Answer {
        if request.method() != Method::POST || request.uri().path() != "/v1/announce" {
            let r = Refusal::not_run(Reason::BadRequest, "only POST /v1/announce is served here");
            return http::json(StatusCode::NOT_FOUND, &r);
        }
        let result = match http::read_body(request.into_body(), ANNOUNCEMENT_MAX_BYTES).await {
            Ok(bytes) => self.announce_json(&bytes),
            Err(e) => Err(e),
        };
        match result {
            Ok(()) => http::json(StatusCode::OK, &json!({"accepted": true})),
            Err(refusal) => http::refuse(&refusal),
        }
    }

    /// The view `endpoints`: every known endpoint.
    fn endpoints_view(&self) -> Value {
        let (now, gossip) = (self.ctx.now(), self.gossip.lock());
        let r = &gossip.registry;
        let rows = r.iter().map(|(_, e)| {
            let a = &e.latest;
            let admission = r.zone_and_limit(a);
            json!({
                "endpoint": a.endpoint, "host": a.host, "service": a.service,
                "zone": admission.as_ref().map(|s| &s.0),
                "state": a.state, "address": a.address.to_string(),
                "allowed": admission.as_ref().map_or(0, |s| s.1),
                "admitted": admission.is_some(),
                "holdings": a.holdings, "age_ms": now.since(e.seen).as_millis(),
            })
        });
        Value::Array(rows.collect())
    }

    /// The view `zones`: the state of each zone and its numbers of endpoints and hosts.
    fn zones_view(&self, document: &crate::core::document::Document) -> Value {
        let gossip = self.gossip.lock();
        let r = &gossip.registry;
        let mut zones: IndexMap<String, [usize; 2]> =
            document.zones.iter().map(|z| (z.name.clone(), [0, 0])).collect();
        for (_, e) in r.iter() {
            if let Some((zone, _)) = r.zone_and_limit(&e.latest) {
                zones.entry(zone.to_owned()).or_default()[0] += 1;
            }
        }
        for h in &document.hosts {
            zones.entry(h.zone.clone()).or_default()[1] += 1;
        }
        let rows = zones.into_iter().map(|(name, [endpoints, hosts])| {
            let state = document.zone(&name).map(|z| z.state).unwrap_or_default();
            json!({"zone": name, "state": state, "endpoints": endpoints, "hosts": hosts})
        });
        Value::Array(rows.collect())
    }
}

impl Endpoints for RegistryDriver {
    fn routes(&self) -> Arc<Routes> {
        self.routes.load_full()
    }

    fn changes(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }
}

impl Announce for RegistryDriver {
    fn announce(&self, a: Announcement) -> Result<(), Refusal> {
        a.check().map_err(|e| Refusal::not_run(Reason::BadRequest, e))?;
        let applied = self.gossip.lock().announce(self.ctx.now(), a);
        self.mark_stale(applied == ApplyOutcome::Changed);
        if applied == ApplyOutcome::Full {
            return Err(Refusal::not_run(Reason::Busy, "the registry is full"));
        }
        Ok(())
    }

    fn leave(&self, endpoint: &str, incarnation: Option<u64>) -> Result<(), Refusal> {
        let mut gossip = self.gossip.lock();
        let known = || gossip.registry.latest(endpoint).map(|a| a.incarnation);
        let Some(incarnation) = incarnation.or_else(known) else {
            let detail = format!("endpoint `{endpoint}` is not known here yet; tell another host");
            return Err(Refusal::not_run(Reason::Unavailable, detail));
        };
        let out = gossip.leave(self.ctx.now(), &endpoint.into(), incarnation);
        drop(gossip);
        self.mark_stale(true);
        self.send(out);
        Ok(())
    }
}

impl Handler for RegistryDriver {
    fn receive(&self, from: &str, body: &[u8]) {
        work::measure(Work::Registry, || match decode::<Message>(body) {
            Ok(message) => {
                let now = self.ctx.now();
                let (changed, out) = self.gossip.lock().receive(now, &from.into(), message);
                self.mark_stale(changed);
                self.send(out);
            }
            Err(e) => log::warn!(
                "could not decode a registry message from host `{from}`; it is ignored: {e}"
            ),
        });
    }
}

impl http::Routes for RegistryDriver {
    fn answer(&self, request: Request<Incoming>) -> BoxFuture<'_, Answer> {
        Box::pin(self.serve(request))
    }
}

struct RegistryViews {
    driver: Arc<RegistryDriver>,
    control: Arc<dyn Control>,
}

impl Views for RegistryViews {
    fn view(&self, name: &str) -> Option<Value> {
        match name {
            "endpoints" => Some(self.driver.endpoints_view()),
            "zones" => Some(self.driver.zones_view(&self.control.watch().borrow().document)),
            _ => None,
        }
    }
}

/// Service that runs the registry and the HTTP server for announcements.
pub struct RegistryService {
    /// Address of the HTTP server; `None` if another service receives the announcements.
    listen: Option<SocketAddr>,
    /// Overrides the time without announcements after which an endpoint is removed.
    expiry: Option<Span>,
    metrics: Metrics,
    server: Mutex<Option<Arc<Server>>>,
}

impl RegistryService {
    /// Creates a registry whose HTTP server listens on `listen`.
    pub fn new(listen: SocketAddr, metrics: Metrics) -> Self {
        Self { listen: Some(listen), ..Self::without_listener(metrics) }
    }

    /// Creates a registry without an HTTP server; another service receives the announcements.
    pub fn without_listener(metrics: Metrics) -> Self {
        Self { listen: None, expiry: None, metrics, server: Mutex::default() }
    }

    /// Sets the time without announcements after which an endpoint is removed.
    pub fn with_expiry(self, expiry: Span) -> Self {
        Self { expiry: Some(expiry), ..self }
    }

    /// Address of the HTTP server, once started.
    pub fn address(&self) -> Option<SocketAddr> {
        self.server.lock().as_ref().map(|s| s.address())
    }
}

impl Service for RegistryService {
    fn name(&self) -> &'static str {
        "registry"
    }

    fn start<'a>(&'a self, ctx: &'a Context) -> BoxFuture<'a, Result<()>> {
        Box::pin(async move {
            let peers = ctx.find::<dyn Peers>(<dyn Peers>::NAME)?;
            let control = ctx.find::<dyn Control>(<dyn Control>::NAME)?;
            let members = ctx.find::<dyn Members>(<dyn Members>::NAME)?;
            let mut gossip = Gossip::new(peers.host().into());
            if let Some(expiry) = self.expiry {
                gossip.registry.set_expiry(expiry);
            }
            let driver = Arc::new(RegistryDriver {
                ctx: ctx.clone(),
                peers: Arc::clone(&peers),
                gossip: Mutex::new(gossip),
                routes: ArcSwap::default(),
                stale: AtomicBool::new(false),
                updated: Mutex::default(),
                version: watch::channel(0).0,
                metrics: self.metrics.clone(),
            });
            peers.set_handler(Topic::Registry, driver.clone());
            ctx.publish::<dyn Announce>(<dyn Announce>::NAME, driver.clone());
            ctx.publish::<dyn Endpoints>(<dyn Endpoints>::NAME, driver.clone());
            let views = RegistryViews { driver: driver.clone(), control: control.clone() };
            ctx.publish::<dyn Views>(<dyn Views>::NAME, Arc::new(views));
            tokio::spawn(run(driver.clone(), control, members, ctx.clone()));
            if let Some(listen) = self.listen {
                let listener = http::bind(listen).await?;
                *self.server.lock() = Some(Arc::new(Server::start(listener, driver)?));
            }
            Ok(())
        })
    }

    fn stop(&self, timeout: Span) -> BoxFuture<'_, ()> {
        let server = self.server.lock().clone();
        Box::pin(async move {
            if let Some(server) = server {
                server.stop_or_warn("announcements", timeout).await;
            }
        })
    }
}

/// Ticks the state machine and passes it the changes of the document in force and of the hosts.
async fn run(
    driver: Arc<RegistryDriver>,
    control: Arc<dyn Control>,
    members: Arc<dyn Members>,
    ctx: Context,
) {
    let (mut document, mut members) = (control.watch(), members.watch());
    document.mark_changed();
    members.mark_changed();
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut stopped = std::pin::pin!(ctx.stopped());
    let (mut ticks, mut lag, mut rankings) = (0u32, LagMonitor::default(), 0);
    let mut watchers = Watchers { members: Arc::default(), hosts: HostSet::new(Health::Suspect) };
    loop {
        tokio::select! {
            () = &mut stopped => return,
            changed = document.changed() => {
                if changed.is_err() {
                    return;
                }
                let accepted = document.borrow_and_update().clone();
                work::measure(Work::Registry, || {
                    driver.set_document(&accepted);
                    driver.mark_stale(true);
                    driver.tick();
                });
            }
            changed = members.changed() => {
                if changed.is_err() {
                    return;
                }
                let current = members.borrow_and_update().clone();
                work::measure(Work::Registry, || driver.set_members(&mut watchers, current));
            }
            _ = tick.tick() => {
                if let Some(late) = lag.fired(ctx.now(), TICK.into()) {
                    driver.report_lag(late, &mut rankings);
                }
                work::measure(Work::Registry, || driver.tick());
                ticks = ticks.wrapping_add(1);
                if ticks.is_multiple_of(REPORT_TICKS) {
                    driver.report();
                    work::measure(Work::Registry, || driver.update_watchers(&mut watchers));
                }
            }
        }
    }
}
