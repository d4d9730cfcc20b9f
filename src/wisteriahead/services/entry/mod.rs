//! Serves callers: reads a request, plans it, gathers the answer and labels it.

mod learned;
mod orders;
mod request;
mod room;
mod search;
mod turns;

use self::learned::Learned;
use self::request::{Asked, OrderBody, SearchBody};
use self::room::Room;
use self::turns::Turns;
use super::quarantine::{RequestQuarantine, SharedQuarantine};
use super::{AcceptedDocument, Allowance, Claims, Control, Endpoints, Peers, Transport};
use crate::core::admission::{CALLER_MAX, Rejection};
use crate::core::document::Rules;
use crate::kernel::{Context, Service};
use crate::prelude::*;
use crate::util::http::{self, Answer, Server};
use crate::util::metrics::Metrics;
use futures::future::BoxFuture;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Method, Request, StatusCode};
use parking_lot::Mutex;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::watch;

/// What the entry needs from the rest of the daemon.
pub struct Entry {
    ctx: Context,
    host: Arc<str>,
    boot: u64,
    serial: AtomicU64,
    endpoints: Arc<dyn Endpoints>,
    allowance: Arc<dyn Allowance>,
    transport: Arc<dyn Transport>,
    learned: Learned,
    room: Arc<Room>,
    turns: Arc<Turns>,
    suspicion: Arc<dyn RequestQuarantine>,
    accepted: Option<watch::Receiver<AcceptedDocument>>,
    metrics: Metrics,
}

impl Entry {
    /// A number that rises with each call.
    fn serial(&self) -> u64 {
        self.serial.fetch_add(1, Ordering::Relaxed)
    }

    /// A name for an attempt that no other host or process start gives.
    fn attempt_id(&self) -> Arc<str> {
        let n = self.serial();
        format!("{}-{:x}-{n:x}", self.host, self.boot).into()
    }

    async fn route(self: &Arc<Self>, request: Request<Incoming>) -> Answer {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/v1/health") => self.health(),
            (&Method::POST, "/v1/search") => self.search(request).await,
            (&Method::POST, "/v1/orders") => self.order(request).await,
            (&Method::POST, "/v1/tickets") => self.ticket().await,
            _ => {
                let detail = format!("`{} {path}` is not served here", request.method());
                let refusal = Refusal::not_run(Reason::BadRequest, detail);
                http::json(StatusCode::NOT_FOUND, &refusal)
            }
        }
    }

    fn health(&self) -> Answer {
        if self.ctx.is_lame_duck() {
            return http::json(StatusCode::SERVICE_UNAVAILABLE, &json!({"state": "stopping"}));
        }
        http::json(StatusCode::OK, &json!({"state": "serving"}))
    }

    /// The service that claims keys, where one runs.
    fn claims(&self) -> Option<Arc<dyn Claims>> {
        self.ctx.find::<dyn Claims>(<dyn Claims>::NAME).ok()
    }

    async fn ticket(&self) -> Answer {
        let Some(claims) = self.claims() else {
            let detail = "this host makes no tickets now; ask another";
            return http::refuse(&Refusal::not_run(Reason::NoQuorum, detail));
        };
        match claims.ticket().await {
            Ok(ticket) => http::json(StatusCode::OK, &json!({"ticket": ticket})),
            Err(refusal) => http::refuse(&refusal),
        }
    }

    async fn order(self: &Arc<Self>, request: Request<Incoming>) -> Answer {
        let begun = self.ctx.now();
        let result = self.run_order(begun, request).await;
        self.metrics.time("order.time", self.ctx.now().since(begun).to_std());
        self.metrics.incr(if result.is_ok() { "order.answered" } else { "order.refused" });
        match result {
            Ok(answer) => http::json(StatusCode::OK, &answer),
            Err(refused) => refused.answer(),
        }
    }

    async fn run_order(
        self: &Arc<Self>,
        begun: Time,
        request: Request<Incoming>,
    ) -> Result<orders::Answer, Refused> {
        let (head, body) = request.into_parts();
        let (asked, key) = (self.asked(&head.headers)?, request::key(&head.headers)?);
        let body = OrderBody::read(body).await?;
        let ask = asked.ask(begun, self.serial());
        let turn = self.turns.take(ask).await.map_err(Refused::Denied)?;
        Ok(orders::run(Arc::clone(self), key, body, turn.query().deadline).await?)
    }

    async fn search(&self, request: Request<Incoming>) -> Answer {
        let begun = self.ctx.now();
        let result = self.run_search(begun, request).await;
        self.metrics.time("search.time", self.ctx.now().since(begun).to_std());
        self.metrics.incr(if result.is_ok() { "search.answered" } else { "search.refused" });
        match result {
            Ok(answer) => http::json(StatusCode::OK, &answer),
            Err(refused) => refused.answer(),
        }
    }

    async fn run_search(
        &self,
        begun: Time,
        request: Request<Incoming>,
    ) -> Result<search::Answer, Refused> {
        let (head, body) = request.into_parts();
        let asked = self.asked(&head.headers)?;
        let body = SearchBody::read(body, asked.least).await?;
        let ask = asked.ask(begun, self.serial());
        let mut turn = self.turns.take(ask).await.map_err(Refused::Denied)?;
        Ok(search::run(self, &mut turn, body).await?)
    }

    fn asked(&self, headers: &HeaderMap) -> Result<Asked, Refusal> {
        match &self.accepted {
            Some(accepted) => Asked::read(headers, &accepted.borrow().document.rules),
            None => Asked::read(headers, &Rules::default()),
        }
    }
}

/// Why a caller gets no answer.
enum Refused {
    Denied(Rejection),
    Refusal(Refusal),
}

impl From<Refusal> for Refused {
    fn from(refusal: Refusal) -> Self {
        Self::Refusal(refusal)
    }
}

impl Refused {
    fn answer(&self) -> Answer {
        match self {
            Self::Refusal(refusal) => http::refuse(refusal),
            Self::Denied(denial) => {
                let mut answer = http::refuse(&denial.refusal());
                if *denial == Rejection::CallerLimit {
                    *answer.status_mut() = StatusCode::TOO_MANY_REQUESTS;
                }
                answer
            }
        }
    }
}

/// The routes that callers are served.
struct Callers(Arc<Entry>);

impl http::Routes for Callers {
    fn answer(&self, request: Request<Incoming>) -> BoxFuture<'_, Answer> {
        Box::pin(self.0.route(request))
    }
}

/// Runs the listener for callers.
pub struct EntryService {
    listen: SocketAddr,
    host: String,
    boot: u64,
    metrics: Metrics,
    caller_max: usize,
    server: Mutex<Option<Arc<Server>>>,
}

impl EntryService {
    /// An entry that listens for callers on `listen`; `boot` differs at each process start.
    pub fn new(listen: SocketAddr, host: String, boot: u64, metrics: Metrics) -> Self {
        let (caller_max, server) = (CALLER_MAX, Mutex::default());
        Self { listen, host, boot, metrics, caller_max, server }
    }

    /// The same with another limit on the requests of one caller.
    pub fn with_caller_max(self, caller_max: usize) -> Self {
        Self { caller_max, ..self }
    }

    /// Address for callers, once started.
    pub fn address(&self) -> Option<SocketAddr> {
        self.server.lock().as_ref().map(|s| s.address())
    }
}

impl Service for EntryService {
    fn name(&self) -> &'static str {
        "entry"
    }

    fn start<'a>(&'a self, ctx: &'a Context) -> BoxFuture<'a, Result<()>> {
        Box::pin(async move {
            let peers = ctx.find::<dyn Peers>(<dyn Peers>::NAME).ok();
            let suspicion = ctx.find::<dyn RequestQuarantine>(<dyn RequestQuarantine>::NAME);
            let control = ctx.find::<dyn Control>(<dyn Control>::NAME).ok();
            let entry = Entry {
                ctx: ctx.clone(),
                host: self.host.as_str().into(),
                boot: self.boot,
                serial: AtomicU64::new(0),
                endpoints: ctx.find::<dyn Endpoints>(<dyn Endpoints>::NAME)?,
                allowance: ctx.find::<dyn Allowance>(<dyn Allowance>::NAME)?,
                transport: ctx.find::<dyn Transport>(<dyn Transport>::NAME)?,
                learned: Learned::new(peers.as_ref().map_or("", |p| p.zone())),
                room: Arc::default(),
                turns: Turns::new(ctx.clone(), self.caller_max),
                suspicion: suspicion.unwrap_or_else(|_| Arc::new(SharedQuarantine::new(ctx, None))),
                accepted: control.map(|c| c.watch()),
                metrics: self.metrics.clone(),
            };
            let room = Arc::clone(&entry.room);
            entry.allowance.set_listener(Box::new(move |at| room.freed(at)));
            let routes = Callers(Arc::new(entry));
            let listener = http::bind(self.listen).await?;
            *self.server.lock() = Some(Arc::new(Server::start(listener, Arc::new(routes))?));
            Ok(())
        })
    }

    fn stop(&self, bound: Span) -> BoxFuture<'_, ()> {
        let server = self.server.lock().clone();
        Box::pin(async move {
            if let Some(server) = server {
                server.stop_or_warn("callers", bound).await;
            }
        })
    }
}
