//! Drives the registry: takes announcements by HTTP, passes them on to the other
//! hosts, and rebuilds the routes when something changed.

use super::{Control, Endpoints, Handler, Peers, Views};
use crate::core::message::{Topic, decode, encode};
use crate::core::registry::{Applied, Registry};
use crate::core::routes::Routes;
use crate::kernel::{Context, Service};
use crate::prelude::*;
use crate::util::http::{self, Answer, Server};
use arc_swap::ArcSwap;
use futures::future::BoxFuture;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use parking_lot::Mutex;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;

/// Most bytes of an announcement.
const ANNOUNCEMENT_MAX_BYTES: usize = 64 << 10;
/// Time between looks for silent endpoints.
const EXPIRY_CHECK: Duration = Duration::from_millis(250);

/// The registry of one host.
pub struct Directory {
    ctx: Context,
    peers: Arc<dyn Peers>,
    registry: Mutex<Registry>,
    routes: ArcSwap<Routes>,
}

impl Directory {
    fn apply(&self, a: Announcement) -> Applied {
        let mut r = self.registry.lock();
        let applied = r.announce(self.ctx.now(), a);
        if applied == Applied::Changed {
            self.routes.store(Arc::new(r.routes()));
        }
        applied
    }

    fn refresh(&self, change: impl FnOnce(&mut Registry) -> bool) {
        let mut r = self.registry.lock();
        if change(&mut r) {
            self.routes.store(Arc::new(r.routes()));
        }
    }

    fn take(&self, bytes: &[u8]) -> Result<(), Refusal> {
        let bad = |e: String| Refusal::not_run(Reason::BadRequest, e);
        let a: Announcement = serde_json::from_slice(bytes)
            .map_err(|e| bad(format!("the body is not an announcement: {e}")))?;
        a.check().map_err(bad)?;
        match self.apply(a.clone()) {
            Applied::Full => Err(Refusal::not_run(Reason::Busy, "the registry is full")),
            Applied::Stale => Ok(()),
            Applied::Refreshed | Applied::Changed => {
                let body = encode(&a);
                for to in self.peers.others() {
                    self.peers.send(&to, Topic::Registry, body.clone());
                }
                Ok(())
            }
        }
    }

    async fn announce(&self, request: Request<Incoming>) -> Answer {
        if request.method() != Method::POST || request.uri().path() != "/v1/announce" {
            let r = Refusal::not_run(Reason::BadRequest, "only POST /v1/announce is served here");
            return http::json(StatusCode::NOT_FOUND, &r);
        }
        let taken = match http::read_body(request.into_body(), ANNOUNCEMENT_MAX_BYTES).await {
            Ok(bytes) => self.take(&bytes),
            Err(e) => Err(e),
        };
        match taken {
            Ok(()) => http::json(StatusCode::OK, &json!({"accepted": true})),
            Err(refusal) => http::refuse(&refusal),
        }
    }

    fn endpoints(&self) -> Value {
        let (now, r) = (self.ctx.now(), self.registry.lock());
        let rows = r.iter().map(|(_, e)| {
            let a = &e.latest;
            let standing = r.standing(a);
            json!({
                "endpoint": a.endpoint, "host": a.host, "service": a.service,
                "zone": standing.as_ref().map(|s| &s.0),
                "state": a.state, "address": a.address.to_string(),
                "allowed": standing.as_ref().map_or(0, |s| s.1),
                "admitted": standing.is_some(),
                "holdings": a.holdings, "age_ms": now.since(e.seen).as_millis(),
            })
        });
        Value::Array(rows.collect())
    }

    fn zones(&self, document: &crate::core::document::Document) -> Value {
        let r = self.registry.lock();
        let mut zones: IndexMap<String, [usize; 2]> =
            document.zones.iter().map(|z| (z.name.clone(), [0, 0])).collect();
        for (_, e) in r.iter() {
            if let Some((zone, _)) = r.standing(&e.latest) {
                zones.entry(zone).or_default()[0] += 1;
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

impl Endpoints for Directory {
    fn routes(&self) -> Arc<Routes> {
        self.routes.load_full()
    }
}

impl Handler for Directory {
    fn receive(&self, from: &str, body: &[u8]) {
        let read = decode::<Announcement>(body).map_err(|e| e.to_string());
        match read.and_then(|a| a.check().map(|()| a)) {
            Ok(a) => drop(self.apply(a)),
            Err(e) => log::warn!("ignored an announcement passed on by {from}: {e}"),
        }
    }
}

impl http::Routes for Directory {
    fn answer(&self, request: Request<Incoming>) -> BoxFuture<'_, Answer> {
        Box::pin(self.announce(request))
    }
}

struct DirectoryViews {
    directory: Arc<Directory>,
    control: Arc<dyn Control>,
}

impl Views for DirectoryViews {
    fn view(&self, what: &str) -> Option<Value> {
        match what {
            "endpoints" => Some(self.directory.endpoints()),
            "zones" => Some(self.directory.zones(&self.control.watch().borrow().document)),
            _ => None,
        }
    }
}

/// Runs the registry and its listener for announcements.
pub struct RegistryService {
    listen: SocketAddr,
    server: Mutex<Option<Arc<Server>>>,
}

impl RegistryService {
    /// A registry that listens for announcements on `listen`.
    pub fn new(listen: SocketAddr) -> Self {
        Self { listen, server: Mutex::default() }
    }

    /// Address for announcements, once started.
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
            let directory = Arc::new(Directory {
                ctx: ctx.clone(),
                peers: Arc::clone(&peers),
                registry: Mutex::default(),
                routes: ArcSwap::default(),
            });
            peers.handle(Topic::Registry, directory.clone());
            ctx.publish::<dyn Endpoints>(<dyn Endpoints>::NAME, directory.clone());
            let views = DirectoryViews { directory: directory.clone(), control: control.clone() };
            ctx.publish::<dyn Views>(<dyn Views>::NAME, Arc::new(views));
            tokio::spawn(keep(directory.clone(), control, ctx.clone()));
            let listener = http::bind(self.listen).await?;
            *self.server.lock() = Some(Arc::new(Server::start(listener, directory)?));
            Ok(())
        })
    }

    fn stop(&self, bound: Span) -> BoxFuture<'_, ()> {
        let server = self.server.lock().clone();
        Box::pin(async move {
            if let Some(Err(e)) =
                futures::future::OptionFuture::from(server.as_ref().map(|s| s.stop(bound))).await
            {
                log::warn!("announcements: {e}");
            }
        })
    }
}

/// Follows the document in force and forgets silent endpoints.
async fn keep(directory: Arc<Directory>, control: Arc<dyn Control>, ctx: Context) {
    let mut document = control.watch();
    document.mark_changed();
    let mut tick = tokio::time::interval(EXPIRY_CHECK);
    let mut stopped = std::pin::pin!(ctx.stopped());
    loop {
        tokio::select! {
            () = &mut stopped => return,
            changed = document.changed() => {
                if changed.is_err() {
                    return;
                }
                let current = document.borrow_and_update().document.clone();
                directory.refresh(|r| { r.set_document(current); true });
            }
            _ = tick.tick() => {
                let now = ctx.now();
                directory.refresh(|r| r.expire(now));
            }
        }
    }
}
