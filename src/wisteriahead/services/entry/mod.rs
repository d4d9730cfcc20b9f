//! Serves callers: reads a request, plans it, gathers the answer and labels it.

mod learned;
mod request;
mod room;
mod search;

use self::learned::Learned;
use self::request::{Asked, SearchBody};
use self::room::Room;
use super::{Allowance, Endpoints, Peers, Transport};
use crate::kernel::{Context, Service};
use crate::prelude::*;
use crate::util::http::{self, Answer, Server};
use crate::util::metrics::Metrics;
use futures::future::BoxFuture;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use parking_lot::Mutex;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

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

    async fn route(&self, request: Request<Incoming>) -> Answer {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/v1/health") => self.health(),
            (&Method::POST, "/v1/search") => self.search(request).await,
            (&Method::POST, "/v1/orders" | "/v1/tickets") => http::refuse(&Refusal::not_run(
                Reason::NoQuorum,
                "this host cannot claim keys yet, so it takes no orders",
            )),
            _ => {
                let detail = format!("`{} {path}` is not served here", request.method());
                let refusal = Refusal::not_run(Reason::BadRequest, detail);
                http::json(StatusCode::NOT_FOUND, &refusal)
            }
        }
    }

    fn health(&self) -> Answer {
        if self.ctx.is_stopping() {
            return http::json(StatusCode::SERVICE_UNAVAILABLE, &json!({"state": "stopping"}));
        }
        http::json(StatusCode::OK, &json!({"state": "serving"}))
    }

    async fn search(&self, request: Request<Incoming>) -> Answer {
        let begun = self.ctx.now();
        let result = match Asked::read(request).await {
            Ok((asked, body)) => self.run_search(begun, &asked, body).await,
            Err(refusal) => Err(refusal),
        };
        self.metrics.time("search.time", self.ctx.now().since(begun).to_std());
        match result {
            Ok(answer) => {
                self.metrics.incr("search.answered");
                http::json(StatusCode::OK, &answer)
            }
            Err(refusal) => {
                self.metrics.incr("search.refused");
                http::refuse(&refusal)
            }
        }
    }

    async fn run_search(
        &self,
        begun: Time,
        asked: &Asked,
        body: SearchBody,
    ) -> Result<search::Answer, Refusal> {
        if self.ctx.is_stopping() {
            return Err(Refusal::not_run(Reason::Draining, "this host is stopping; ask another"));
        }
        search::run(self, begun, asked, body).await
    }
}

impl http::Routes for Entry {
    fn answer(&self, request: Request<Incoming>) -> BoxFuture<'_, Answer> {
        Box::pin(self.route(request))
    }
}

/// Runs the listener for callers.
pub struct EntryService {
    listen: SocketAddr,
    host: String,
    boot: u64,
    metrics: Metrics,
    server: Mutex<Option<Arc<Server>>>,
}

impl EntryService {
    /// An entry that listens for callers on `listen`; `boot` differs at each process start.
    pub fn new(listen: SocketAddr, host: String, boot: u64, metrics: Metrics) -> Self {
        Self { listen, host, boot, metrics, server: Mutex::default() }
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
                metrics: self.metrics.clone(),
            };
            let listener = http::bind(self.listen).await?;
            *self.server.lock() = Some(Arc::new(Server::start(listener, Arc::new(entry))?));
            Ok(())
        })
    }

    fn stop(&self, bound: Span) -> BoxFuture<'_, ()> {
        let server = self.server.lock().clone();
        Box::pin(async move {
            let Some(server) = server else { return };
            if let Err(e) = server.stop(bound).await {
                log::warn!("callers: {e}");
            }
        })
    }
}
