//! HTTP service for callers: searches, orders, tickets and health checks.
//!
//! A request is validated, waits for admission, and is then run by the driver in `search` or
//! `orders`. The answer to a search states which shards it covers.

mod admission;
mod orders;
mod request;
mod search;
mod slot_queue;
mod stats;

use self::admission::AdmissionDriver;
use self::request::{OrderBody, RequestHeaders, SearchBody};
use self::slot_queue::SlotQueue;
use self::stats::AttemptStats;
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

/// State shared by all requests, with the other services that requests use.
pub struct Entry {
    ctx: Context,
    host: Arc<str>,
    boot: u64,
    serial: AtomicU64,
    endpoints: Arc<dyn Endpoints>,
    allowance: Arc<dyn Allowance>,
    transport: Arc<dyn Transport>,
    stats: AttemptStats,
    slot_queue: Arc<SlotQueue>,
    admission: Arc<AdmissionDriver>,
    quarantine: Arc<dyn RequestQuarantine>,
    accepted: Option<watch::Receiver<AcceptedDocument>>,
    metrics: Metrics,
}

impl Entry {
    /// Next serial number of this process; increases with each call.
    fn serial(&self) -> u64 {
        self.serial.fetch_add(1, Ordering::Relaxed)
    }

    /// Identifier of a new attempt, unique across hosts and process starts.
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

    /// The claims service, if it runs on this host.
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
        let start = self.ctx.now();
        let result = self.run_order(start, request).await;
        self.metrics.time("order.time", self.ctx.now().since(start).to_std());
        self.metrics.incr(if result.is_ok() { "order.answered" } else { "order.refused" });
        match result {
            Ok(answer) => http::json(StatusCode::OK, &answer),
            Err(error) => error.response(),
        }
    }

    async fn run_order(
        self: &Arc<Self>,
        start: Time,
        request: Request<Incoming>,
    ) -> Result<orders::Answer, EntryError> {
        let (head, body) = request.into_parts();
        let (headers, key) = (self.read_headers(&head.headers)?, request::key(&head.headers)?);
        let body = OrderBody::read(body).await?;
        let request = headers.admission_request(start, self.serial());
        let guard = self.admission.admit(request).await.map_err(EntryError::Rejected)?;
        Ok(orders::run(Arc::clone(self), key, body, guard.urgency().deadline).await?)
    }

    async fn search(&self, request: Request<Incoming>) -> Answer {
        let start = self.ctx.now();
        let result = self.run_search(start, request).await;
        self.metrics.time("search.time", self.ctx.now().since(start).to_std());
        self.metrics.incr(if result.is_ok() { "search.answered" } else { "search.refused" });
        match result {
            Ok(answer) => http::json(StatusCode::OK, &answer),
            Err(error) => error.response(),
        }
    }

    async fn run_search(
        &self,
        start: Time,
        request: Request<Incoming>,
    ) -> Result<search::Answer, EntryError> {
        let (head, body) = request.into_parts();
        let headers = self.read_headers(&head.headers)?;
        let body = SearchBody::read(body, headers.min_coverage).await?;
        let request = headers.admission_request(start, self.serial());
        let mut guard = self.admission.admit(request).await.map_err(EntryError::Rejected)?;
        Ok(search::run(self, &mut guard, body).await?)
    }

    fn read_headers(&self, headers: &HeaderMap) -> Result<RequestHeaders, Refusal> {
        match &self.accepted {
            Some(accepted) => RequestHeaders::read(headers, &accepted.borrow().document.rules),
            None => RequestHeaders::read(headers, &Rules::default()),
        }
    }
}

/// Why a request gets no answer.
enum EntryError {
    Rejected(Rejection),
    Refused(Refusal),
}

impl From<Refusal> for EntryError {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

impl EntryError {
    fn response(&self) -> Answer {
        match self {
            Self::Refused(refusal) => http::refuse(refusal),
            Self::Rejected(rejection) => {
                let mut answer = http::refuse(&rejection.refusal());
                if *rejection == Rejection::CallerLimit {
                    *answer.status_mut() = StatusCode::TOO_MANY_REQUESTS;
                }
                answer
            }
        }
    }
}

/// HTTP routes for callers.
struct CallerRoutes(Arc<Entry>);

impl http::Routes for CallerRoutes {
    fn answer(&self, request: Request<Incoming>) -> BoxFuture<'_, Answer> {
        Box::pin(self.0.route(request))
    }
}

/// Service that runs the HTTP listener for callers.
pub struct EntryService {
    listen: SocketAddr,
    host: String,
    boot: u64,
    metrics: Metrics,
    caller_max: usize,
    server: Mutex<Option<Arc<Server>>>,
}

impl EntryService {
    /// A service that will listen on `listen`; `boot` must differ at each process start.
    pub fn new(listen: SocketAddr, host: String, boot: u64, metrics: Metrics) -> Self {
        let (caller_max, server) = (CALLER_MAX, Mutex::default());
        Self { listen, host, boot, metrics, caller_max, server }
    }

    /// Sets the maximum number of requests that run or wait for one caller.
    pub fn with_caller_max(self, caller_max: usize) -> Self {
        Self { caller_max, ..self }
    }

    /// Address of the listener; `None` before the service has started.
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
            let quarantine = ctx.find::<dyn RequestQuarantine>(<dyn RequestQuarantine>::NAME);
            let control = ctx.find::<dyn Control>(<dyn Control>::NAME).ok();
            let entry = Entry {
                ctx: ctx.clone(),
                host: self.host.as_str().into(),
                boot: self.boot,
                serial: AtomicU64::new(0),
                endpoints: ctx.find::<dyn Endpoints>(<dyn Endpoints>::NAME)?,
                allowance: ctx.find::<dyn Allowance>(<dyn Allowance>::NAME)?,
                transport: ctx.find::<dyn Transport>(<dyn Transport>::NAME)?,
                stats: AttemptStats::new(peers.as_ref().map_or("", |p| p.zone())),
                slot_queue: Arc::default(),
                admission: AdmissionDriver::new(ctx.clone(), self.caller_max),
                quarantine: quarantine
                    .unwrap_or_else(|_| Arc::new(SharedQuarantine::new(ctx, None))),
                accepted: control.map(|c| c.watch()),
                metrics: self.metrics.clone(),
            };
            let slots = Arc::clone(&entry.slot_queue);
            entry.allowance.set_listener(Box::new(move |at| slots.slot_freed(at)));
            let routes = CallerRoutes(Arc::new(entry));
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
