//! Relays callers' requests along the routes of the plan in force: to one endpoint unchanged, or
//! to one of each shard with the answers merged.

pub mod dialect;
mod drive;
mod forward;
mod learned;
mod links;
mod story;
mod table;

pub use self::learned::RelayBounds;
pub use self::links::end_to_end;

use self::dialect::{Call, Dialect, Outcome};
use self::forward::Forward;
use self::learned::Learned;
use self::links::Links;
use self::story::Teller;
use self::table::Table;
use super::{Control, Endpoints, Member, Members, Peers};
use crate::core::member::Health;
use crate::core::message::Topic;
use crate::core::plan::Plan;
use crate::core::relay::plan_switch::PlanSwitch;
use crate::core::routes::Routes;
use crate::kernel::{Context, Service};
use crate::prelude::*;
use crate::util::http::{self, Answer, Limits, Server};
use arc_swap::ArcSwapOption;
use futures::future::BoxFuture;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::{Request, StatusCode};
use parking_lot::Mutex;
use rand::seq::IndexedRandom as _;
use std::net::SocketAddr;
use std::sync::Weak;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time between two looks for connections that nobody uses.
const SWEEP: Duration = Duration::from_secs(10);
/// Time for which a caller's connection may be idle: over any limit that a plan is likely to name,
/// since callers use connections again up to that limit.
const IDLE: Duration = Duration::from_secs(60);
/// Time between two knocks at a silent zone, and time for the answer.
const KNOCK: Duration = Duration::from_millis(200);
/// Part of the time in which a plan must be in force for which it may wait for its endpoints; the rest
/// is for its way here.
const SETTLE_PART: (u64, u64) = (3, 5);
/// When a caller may come back to a host that knows no plan yet.
const NO_PLAN_AFTER: Span = Span::millis(200);

/// Settings of the service.
#[derive(Clone)]
pub struct RelaySettings {
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address at which the balancer asks whether this host takes new work.
    pub ready: SocketAddr,
    /// Path of that question.
    pub ready_path: &'static str,
    /// Bounds on what is sent.
    pub bounds: RelayBounds,
    /// What callers and endpoints speak.
    pub dialect: Arc<dyn Dialect>,
}

/// What the relay needs from the rest of the daemon.
pub struct Relay {
    ctx: Context,
    dialect: Arc<dyn Dialect>,
    table: ArcSwapOption<Table>,
    learned: Arc<Learned>,
    links: Links,
    forward: Arc<Forward>,
    teller: Teller,
    me: Weak<Self>,
}

impl Relay {
    async fn serve(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let begun = self.ctx.now();
        let outcome = match self.relay(begun, request).await {
            Ok(outcome) => outcome,
            Err(refused) => refused,
        };
        let mut answer = self.dialect.answer(outcome);
        if self.ctx.is_lame_duck() {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }

    async fn relay(
        self: &Arc<Self>,
        begun: Time,
        request: Request<Incoming>,
    ) -> Result<Outcome, Outcome> {
        let (head, body) = request.into_parts();
        let refuse = |refusal| Outcome::Refused { refusal, after: None };
        let Some(table) = self.table.load_full() else {
            let refusal = Refusal::not_run(Reason::Unavailable, "no plan is known here yet");
            return Err(Outcome::Refused { refusal, after: Some(NO_PLAN_AFTER) });
        };
        let host = head.headers.get(HOST).and_then(|h| h.to_str().ok()).unwrap_or_default();
        let Some(entry) = table.find(host, head.uri.path()) else {
            let detail = format!("no route for host `{host}` and this path");
            return Err(refuse(Refusal::not_run(Reason::UnknownCollection, detail)));
        };
        let asked = self.dialect.read(&head).map_err(refuse)?;
        let limit = table.plan.limits.body_bytes;
        let body = http::read_body(body, limit).await.map_err(refuse)?;
        let uri = head.uri.path_and_query().map_or("/", |p| p.as_str()).parse();
        let uri = uri.map_err(|e| {
            refuse(Refusal::not_run(Reason::BadRequest, format!("the path cannot be read: {e}")))
        })?;
        let headers = end_to_end(head.headers);
        let call = Call { method: head.method, uri, headers, body, asked };
        Ok(drive::run(self, &table, &entry, call, begun).await)
    }

    fn is_ready(&self) -> bool {
        !self.ctx.is_lame_duck()
            && self.table.load().as_ref().is_some_and(|t| {
                let silent = self.silent(self.ctx.now(), t);
                t.is_served() && (silent.is_empty() || t.gathers(&silent))
            })
    }

    /// The zones that this host is cut off from: all others that hold endpoints, or none. When some
    /// others answer, the fault lies there, and another host would do no better.
    fn silent(&self, now: Time, table: &Table) -> Vec<Arc<str>> {
        let silent = self.learned.silent(now);
        let own = self.learned.zone();
        let mut others = table.zones().iter().filter(|zone| ***zone != *own);
        if others.all(|zone| silent.contains(zone)) { silent } else { Vec::new() }
    }

    /// Knocks at an endpoint of each zone that is silent, so that its return is noticed without a
    /// caller's request.
    fn knock(self: &Arc<Self>) {
        let Some(table) = self.table.load_full() else { return };
        for zone in self.learned.silent(self.ctx.now()) {
            let targets: Vec<_> = table.targets().filter(|t| t.zone == zone).collect();
            let Some(target) = targets.choose(&mut rand::rng()) else { continue };
            let (relay, address) = (Arc::clone(self), target.address);
            tokio::spawn(async move {
                let connected = timeout(KNOCK, TcpStream::connect(address)).await;
                if matches!(connected, Ok(Ok(_))) {
                    relay.learned.heard(&zone);
                }
            });
        }
    }

    /// Relays by the newest plan and endpoints from here on; says whether the newest plan still
    /// waits for its endpoints.
    fn renew(
        &self,
        settle: &mut PlanSwitch,
        newest: Option<Arc<Plan>>,
        routes: Arc<Routes>,
    ) -> bool {
        let Some(newest) = newest else {
            self.table.store(None);
            return false;
        };
        let next = Table::new(newest, routes.clone());
        let held = self.table.load_full().map(|t| Arc::clone(&t.plan));
        let Some(held) = held.filter(|held| held.number < next.plan.number) else {
            self.table.store(Some(Arc::new(next)));
            return false;
        };
        let old = Table::new(held, routes);
        let fits = next.gathers(&[]) || !old.gathers(&[]);
        let (parts, of) = SETTLE_PART;
        let most = Span(self.learned.bounds().apply.0 / of * parts);
        let takes = settle.should_switch(self.ctx.now(), fits, most);
        if !takes {
            log::debug!("plan {} waits for its endpoints", next.plan.number);
        }
        self.table.store(Some(Arc::new(if takes { next } else { old })));
        !takes
    }

    fn set_members(&self, members: &[Member]) {
        // Lost ones count too: behind a cut they may still be at work.
        let relays = members.iter().filter(|m| !m.durable && m.health < Health::Left);
        let relays: Vec<_> = relays.map(|m| m.host.clone()).collect();
        let count = relays.len();
        if self.learned.set_hosts(relays) {
            log::info!(relays = count; "{count} hosts share the budgets");
        }
        let alive = members.iter().filter(|m| !m.durable && m.health == Health::Alive);
        self.forward.set_hosts(alive.map(|m| (m.host.clone(), m.zone.clone())));
    }
}

struct Callers(Arc<Relay>);

impl http::Routes for Callers {
    fn answer(&self, request: Request<Incoming>) -> BoxFuture<'_, Answer> {
        Box::pin(Arc::clone(&self.0).serve(request))
    }
}

struct Balancer {
    relay: Arc<Relay>,
    path: &'static str,
}

impl http::Routes for Balancer {
    fn answer(&self, request: Request<Incoming>) -> BoxFuture<'_, Answer> {
        let status = match request.uri().path() {
            path if path != self.path => StatusCode::NOT_FOUND,
            _ if self.relay.is_ready() => StatusCode::OK,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        Box::pin(async move { http::json(status, &serde_json::json!({})) })
    }
}

/// Runs the relay and its listeners.
pub struct RelayService {
    settings: RelaySettings,
    servers: Mutex<Vec<Arc<Server>>>,
}

impl RelayService {
    /// A relay that is not started yet.
    pub fn new(settings: RelaySettings) -> Self {
        Self { settings, servers: Mutex::default() }
    }

    /// Address for callers, once started.
    pub fn address(&self) -> Option<SocketAddr> {
        self.servers.lock().first().map(|s| s.address())
    }

    async fn run(&self, ctx: &Context) -> Result<()> {
        let peers = ctx.find::<dyn Peers>(<dyn Peers>::NAME)?;
        let s = &self.settings;
        let relay = Arc::new_cyclic(|me| Relay {
            me: me.clone(),
            ctx: ctx.clone(),
            dialect: s.dialect.clone(),
            table: ArcSwapOption::empty(),
            learned: Arc::new(Learned::new(peers.host(), peers.zone(), s.bounds)),
            links: Links::default(),
            forward: Arc::new(Forward::new(peers.clone())),
            teller: Teller::default(),
        });
        peers.set_handler(Topic::Relay, relay.clone());
        let control = ctx.find::<dyn Control>(<dyn Control>::NAME)?;
        let endpoints = ctx.find::<dyn Endpoints>(<dyn Endpoints>::NAME)?;
        let members = ctx.find::<dyn Members>(<dyn Members>::NAME)?;
        tokio::spawn(keep(relay.clone(), control, endpoints, members));
        let limits = Limits { head_time: IDLE, ..Limits::default() };
        let callers = Arc::new(Callers(relay.clone()));
        let callers = Server::start_with(http::bind(s.listen).await?, callers, limits)?;
        let balancer = Arc::new(Balancer { relay, path: s.ready_path });
        let balancer = Server::start(http::bind(s.ready).await?, balancer)?;
        *self.servers.lock() = vec![Arc::new(callers), Arc::new(balancer)];
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

/// Follows the plan in force, the endpoints and the hosts.
async fn keep(
    relay: Arc<Relay>,
    control: Arc<dyn Control>,
    endpoints: Arc<dyn Endpoints>,
    members: Arc<dyn Members>,
) {
    let (mut accepted, mut members) = (control.watch(), members.watch());
    let mut changes = endpoints.changes();
    relay.set_members(&members.borrow_and_update());
    let mut sweep = tokio::time::interval(SWEEP);
    let mut knock = tokio::time::interval(KNOCK);
    let (mut stale, mut settle) = (true, PlanSwitch::default());
    loop {
        if stale {
            changes.mark_unchanged();
            let plan = accepted.borrow_and_update().plan.clone();
            // As long as a plan waits, each knock looks again.
            stale = relay.renew(&mut settle, plan, endpoints.routes());
        }
        let ended = tokio::select! {
            _ = knock.tick() => {
                relay.knock();
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
                relay.set_members(&members.borrow_and_update());
                changed.is_err()
            }
            _ = sweep.tick() => {
                relay.links.sweep();
                false
            }
        };
        if ended {
            return;
        }
    }
}
