//! Requests that gather from another zone, through a host there: two relays, their endpoints, and
//! the messages between them.

use crate::support::{ANY, HANG_TIMEOUT};
use bytes::Bytes;
use futures::future::BoxFuture;
use http_body_util::{BodyExt as _, Empty, Full};
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderMap, HeaderValue};
use hyper::http::{request, response};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use indexmap::{IndexMap, IndexSet};
use parking_lot::Mutex;
use slotmap::SlotMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;
use wisteria_testkit::wait::until;
use wisteriahead::core::endpoint::EndpointKey;
use wisteriahead::core::member::{Health, Member};
use wisteriahead::core::message::Topic;
use wisteriahead::core::plan::{
    Destination, Idempotency, Plan, Route, Service as PlanService, Share,
};
use wisteriahead::core::relay::retry_budget::Bounds;
use wisteriahead::core::routes::{Routes, Target};
use wisteriahead::kernel::Kernel;
use wisteriahead::prelude::*;
use wisteriahead::services::relay::protocol::{Call, Outcome, Protocol, Reply, RequestMeta};
use wisteriahead::services::relay::{RelayBounds, RelayService, RelaySettings};
use wisteriahead::services::{
    AcceptedDocument, Change, Control, Endpoints, Handler, Members, Peers,
};
use wisteriahead::util::http::{self, Answer, Server};

const ID: &str = "id";
const SIGNATURE: &str = "signature";
const MISSING: &str = "missing";
const SHARDS: usize = 4;
const TOP: u32 = 3;

/// A protocol of three headers.
struct Plain;

impl Protocol for Plain {
    fn read_request(&self, head: &request::Parts) -> Result<RequestMeta, Refusal> {
        let id = head.headers.get(ID).cloned();
        let id = id.ok_or_else(|| Refusal::not_run(Reason::BadRequest, "no id"))?;
        Ok(RequestMeta { id, timeout: None })
    }

    fn request_headers(&self, call: &Call, _: &Target, _: Span) -> HeaderMap {
        call.headers.clone()
    }

    fn read_response(&self, _: &Call, head: &response::Parts) -> Reply {
        let signature = head.headers.get(SIGNATURE).cloned();
        Reply::Ran { success: head.status.is_success(), signature }
    }

    fn write_response(&self, outcome: Outcome) -> Answer {
        let mut r = Response::new(Full::default());
        match outcome {
            Outcome::Forwarded(part) => *r.status_mut() = part.status,
            Outcome::Merged { body, signatures, missing } => {
                r.headers_mut().insert(MISSING, missing.into());
                for s in signatures {
                    r.headers_mut().append(SIGNATURE, s);
                }
                *r.body_mut() = Full::new(body);
            }
            Outcome::Refused { refusal, .. } => {
                *r.status_mut() = http::status(refusal.reason);
                *r.body_mut() = Full::new(refusal.to_string().into());
            }
        }
        r
    }
}

/// An endpoint that answers with one record of its own, or never while all of them `hang`.
struct Leaf {
    name: String,
    work: Arc<Work>,
}

/// What the endpoints do.
#[derive(Default)]
struct Work {
    asked: AtomicUsize,
    hang: AtomicBool,
    /// Requests that hang.
    open: AtomicUsize,
}

/// A request that hangs, until its connection closes.
struct Hanging(Arc<Work>);

impl Drop for Hanging {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl http::Routes for Leaf {
    fn answer(&self, _: Request<Incoming>) -> BoxFuture<'_, Answer> {
        self.work.asked.fetch_add(1, Ordering::Relaxed);
        let hangs = self.work.hang.load(Ordering::Relaxed).then(|| {
            self.work.open.fetch_add(1, Ordering::Relaxed);
            Hanging(self.work.clone())
        });
        let mut r = Response::new(Full::from(record(&self.name)));
        r.headers_mut().insert(SIGNATURE, HeaderValue::from_str(&self.name).unwrap());
        Box::pin(async move {
            if let Some(_open) = hangs {
                std::future::pending::<()>().await;
            }
            r
        })
    }
}

fn record(name: &str) -> Bytes {
    format!("{name:>16}").into()
}

/// Messages between the two hosts; all are lost while it is `cut`.
#[derive(Default)]
struct Wire {
    handlers: Mutex<IndexMap<String, Arc<dyn Handler>>>,
    cut: AtomicBool,
    sent: AtomicUsize,
}

struct Line {
    host: &'static str,
    wire: Arc<Wire>,
}

impl Peers for Line {
    fn host(&self) -> &str {
        self.host
    }

    fn zone(&self) -> &str {
        self.host
    }

    fn others(&self) -> Vec<String> {
        Vec::new()
    }

    fn set_handler(&self, _: Topic, handler: Arc<dyn Handler>) {
        self.wire.handlers.lock().insert(self.host.to_owned(), handler);
    }

    fn send(&self, to: &str, _: Topic, body: Vec<u8>) {
        self.wire.sent.fetch_add(1, Ordering::Relaxed);
        let handler = self.wire.handlers.lock().get(to).cloned();
        if let Some(handler) = handler.filter(|_| !self.wire.cut.load(Ordering::Relaxed)) {
            let from = self.host;
            tokio::spawn(async move { handler.receive(from, &body) });
        }
    }

    fn call<'a>(
        &'a self,
        _: &'a str,
        _: Topic,
        _: Vec<u8>,
    ) -> BoxFuture<'a, anyhow::Result<Vec<u8>>> {
        Box::pin(async { anyhow::bail!("no calls") })
    }
}

/// What a host knows: a plan, endpoints and members that do not change.
struct Known {
    accepted: watch::Sender<AcceptedDocument>,
    routes: Arc<Routes>,
    members: watch::Sender<Arc<Vec<Member>>>,
}

impl Control for Known {
    fn watch(&self) -> watch::Receiver<AcceptedDocument> {
        self.accepted.subscribe()
    }

    fn propose(&self, _: Change) -> BoxFuture<'_, Result<u64, Refusal>> {
        Box::pin(async { Err(Refusal::not_run(Reason::Unavailable, "")) })
    }
}

impl Endpoints for Known {
    fn routes(&self) -> Arc<Routes> {
        self.routes.clone()
    }
}

impl Members for Known {
    fn watch(&self) -> watch::Receiver<Arc<Vec<Member>>> {
        self.members.subscribe()
    }
}

fn plan() -> Plan {
    let shards: Vec<Arc<str>> = (0..SHARDS).map(|i| format!("s{i}").into()).collect();
    let service = PlanService { connections: 8, cold_rate: 0 };
    let services = shards.iter().map(|s| (s.clone(), service.clone())).collect();
    let route = Route {
        name: "all".into(),
        host: "tier".into(),
        prefix: "/".into(),
        repeat: Idempotency::Idempotent,
        // Past the patience of any test.
        timeout: Span::secs(3_600),
        objective: Span::secs(1),
        priority: 0,
        attempts: 2,
        destination: Destination::Gather { shards, top: TOP, least: Share::from_fraction(1.0) },
    };
    Plan { number: 1, routes: vec![route], services, ..Plan::default() }
}

/// Two hosts, `north` and `south`, each the only one of its zone; all endpoints stand in the south.
struct Tier {
    wire: Arc<Wire>,
    work: Arc<Work>,
    north: SocketAddr,
    _leaves: Vec<Server>,
    _kernels: Vec<Kernel>,
}

impl Tier {
    async fn start() -> Self {
        let work = Arc::new(Work::default());
        let mut keys: SlotMap<EndpointKey, ()> = SlotMap::with_key();
        let (mut services, mut leaves) = (IndexMap::new(), Vec::new());
        for shard in 0..SHARDS {
            let list = (0..2).map(async |i| {
                let name = format!("s{shard}-{i}");
                let leaf = Arc::new(Leaf { name: name.clone(), work: work.clone() });
                (name, Server::start(http::bind(ANY).await.unwrap(), leaf).unwrap())
            });
            let mut targets = Vec::new();
            for started in list {
                let (name, server) = started.await;
                targets.push(Target {
                    key: keys.insert(()),
                    name: name.into(),
                    service: format!("s{shard}").into(),
                    zone: "south".into(),
                    address: server.address(),
                    incarnation: 1,
                    allowed: 4,
                    bearable: 4,
                    connections: 8,
                    cold: false,
                });
                leaves.push(server);
            }
            services.insert(format!("s{shard}").into(), targets);
        }
        let routes = Arc::new(Routes { services, ..Routes::default() });
        let member = |name: &str| Member {
            host: name.into(),
            zone: name.into(),
            health: Health::Alive,
            incarnation: 1,
            durable: false,
        };
        let members = Arc::new(vec![member("north"), member("south")]);
        let wire = Arc::new(Wire::default());
        let (mut kernels, mut addresses) = (Vec::new(), Vec::new());
        for host in ["north", "south"] {
            let accepted =
                AcceptedDocument { plan: Some(Arc::new(plan())), ..AcceptedDocument::default() };
            let known = Arc::new(Known {
                accepted: watch::channel(accepted).0,
                routes: routes.clone(),
                members: watch::channel(members.clone()).0,
            });
            let mut kernel = Kernel::default();
            let ctx = kernel.context();
            let line: Arc<dyn Peers> = Arc::new(Line { host, wire: wire.clone() });
            ctx.publish(<dyn Peers>::NAME, line);
            ctx.publish::<dyn Control>(<dyn Control>::NAME, known.clone());
            ctx.publish::<dyn Endpoints>(<dyn Endpoints>::NAME, known.clone());
            ctx.publish::<dyn Members>(<dyn Members>::NAME, known);
            let retry_budget = Bounds { ratio: 1.0, slack: 100.0, window: Span::secs(10) };
            let relay = Arc::new(RelayService::new(RelaySettings {
                listen: ANY,
                ready: ANY,
                ready_path: "/ready",
                bounds: RelayBounds {
                    retry_budget,
                    cold_ratio: 1.0,
                    cold_slack: 0.0,
                    plan_apply: Span::secs(1),
                },
                protocol: Arc::new(Plain),
            }));
            kernel.start(relay.clone()).await.unwrap();
            addresses.push(relay.address().unwrap());
            kernels.push(kernel);
        }
        Self { wire, work, north: addresses[0], _leaves: leaves, _kernels: kernels }
    }

    /// Asks the host in the north, once it knows the plan.
    async fn ask(&self) -> (Vec<String>, Bytes) {
        let asked = async {
            loop {
                let r = self.get().await;
                if r.status() == StatusCode::OK {
                    return r;
                }
                assert_eq!(r.status(), StatusCode::SERVICE_UNAVAILABLE);
            }
        };
        let r = timeout(HANG_TIMEOUT, asked).await.unwrap();
        assert_eq!(r.headers()[MISSING], "0");
        let names = r.headers().get_all(SIGNATURE).iter();
        let names = names.map(|s| s.to_str().unwrap().to_owned()).collect();
        (names, r.into_body().collect().await.unwrap().to_bytes())
    }

    async fn get(&self) -> Response<Incoming> {
        let stream = TcpStream::connect(self.north).await.unwrap();
        let (mut tx, link) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.unwrap();
        tokio::spawn(link);
        let request = Request::get("/q").header(HOST, "tier").header(ID, "r1");
        tx.send_request(request.body(Empty::<Bytes>::new()).unwrap()).await.unwrap()
    }
}

/// One name of each shard, and the greatest records of the endpoints named.
fn check(names: &[String], body: &Bytes) {
    let shards: IndexSet<_> = names.iter().map(|n| n.split_once('-').unwrap().0).collect();
    assert_eq!((shards.len(), names.len()), (SHARDS, SHARDS), "{names:?}");
    let mut records: Vec<_> = names.iter().map(|n| record(n)).collect();
    records.sort();
    let want: Vec<u8> = records.iter().rev().take(TOP as usize).flatten().copied().collect();
    assert_eq!(body[..], want[..]);
}

#[tokio::test]
async fn shards_of_another_zone_are_asked_through_a_host_there() {
    let tier = Tier::start().await;
    let (names, body) = tier.ask().await;
    check(&names, &body);
    assert_eq!(tier.work.asked.load(Ordering::Relaxed), SHARDS, "each shard once");
    assert_eq!(tier.wire.sent.load(Ordering::Relaxed), 2, "one message there, one back");
}

#[tokio::test]
async fn host_that_is_sent_through_and_does_not_answer_is_done_without() {
    let tier = Tier::start().await;
    tier.ask().await;
    tier.wire.cut.store(true, Ordering::Relaxed);
    // The first is hedged; a later one goes past the host at once.
    until("a request that is sent to the endpoints at once", async || {
        let before = tier.wire.sent.load(Ordering::Relaxed);
        let (names, body) = tier.ask().await;
        check(&names, &body);
        tier.wire.sent.load(Ordering::Relaxed) == before
    })
    .await;
}

/// Otherwise the endpoints would go on working for nobody.
#[tokio::test]
async fn calls_through_another_host_end_when_their_caller_leaves() {
    let tier = Tier::start().await;
    tier.ask().await;
    tier.work.hang.store(true, Ordering::Relaxed);
    let open = || tier.work.open.load(Ordering::Relaxed);
    tokio::select! {
        r = tier.get() => panic!("it was answered: {}", r.status()),
        () = until("all shards are asked", async || open() >= SHARDS) => {}
    }
    until("no endpoint works on it", async || open() == 0).await;
}
