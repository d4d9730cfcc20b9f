//! A tier of relays for tests: several hosts in this process, their endpoints, and the messages
//! between the hosts.

use crate::support::{ANY, HANG_TIMEOUT};
use bytes::Bytes;
use futures::future::BoxFuture;
use http_body_util::{BodyExt as _, Empty, Full};
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderMap, HeaderValue};
use hyper::http::{request, response};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use indexmap::{IndexMap, IndexSet};
use parking_lot::Mutex;
use slotmap::SlotMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::timeout;
use wisteriahead::core::endpoint::EndpointKey;
use wisteriahead::core::member::{Health, Member};
use wisteriahead::core::message::Topic;
use wisteriahead::core::plan::{
    Destination, Idempotency, Plan, Route, Service as PlanService, Share,
};
use wisteriahead::core::relay::notices::Notice;
use wisteriahead::core::relay::retry_budget::Bounds;
use wisteriahead::core::routes::{Routes, Target};
use wisteriahead::kernel::Kernel;
use wisteriahead::prelude::*;
use wisteriahead::services::peers::{PeerSettings, PeersService};
use wisteriahead::services::quarantine::QuarantineService;
use wisteriahead::services::relay::protocol::{Call, Outcome, Protocol, Reply, RequestMeta};
use wisteriahead::services::relay::{RelayBounds, RelayService, RelaySettings};
use wisteriahead::services::{
    AcceptedDocument, Change, Control, Endpoints, Handler, Members, Peers,
};
use wisteriahead::util::http::{self, Answer};
use wisteriahead::util::metrics::Metrics;
use wisteriahead::util::secret::Secret;
use wisteriahead::util::tls::HostKeys;

pub const ID: &str = "id";
/// Start of the paths of requests that crash each endpoint that runs them.
pub const POISON: &str = "/poison";
pub const SIGNATURE: &str = "signature";
pub const MISSING: &str = "missing";
/// Milliseconds after which a refused caller may retry.
pub const RETRY: &str = "retry";
/// Marks a response of an endpoint that has not run the request.
pub const REFUSED: &str = "refused";
pub const LEAVING: &str = "leaving";
/// Milliseconds for which an endpoint wants no requests.
pub const QUIET: &str = "quiet";
pub const DRAIN: Span = Span::millis(300);
pub const SHARDS: usize = 4;
pub const TOP_RECORDS: u32 = 3;
/// Connections of an endpoint; enough for several requests of each host at once.
pub const CONNECTIONS: u32 = 64;
pub const PLAN_APPLY: Span = Span::secs(1);

/// Protocol that consists of three headers.
pub struct HeaderProtocol;

impl Protocol for HeaderProtocol {
    fn read_request(&self, head: &request::Parts) -> Result<RequestMeta, Refusal> {
        let id = head.headers.get(ID).cloned();
        let id = id.ok_or_else(|| Refusal::not_run(Reason::BadRequest, "no id"))?;
        Ok(RequestMeta { id, timeout: None })
    }

    fn request_headers(&self, call: &Call, _: &Target, _: Span) -> HeaderMap {
        call.headers.clone()
    }

    fn read_response(&self, call: &Call, head: &response::Parts) -> Reply {
        if head.headers.get(ID).is_some_and(|id| *id != call.meta.id) {
            return Reply::Mismatch;
        }
        if head.headers.contains_key(REFUSED) {
            return Reply::NotRun(Reason::Busy);
        }
        let signature = head.headers.get(SIGNATURE).cloned();
        Reply::Ran { success: head.status.is_success(), signature }
    }

    fn names_request(&self, call: &Call, head: &response::Parts) -> bool {
        head.headers.get(ID) == Some(&call.meta.id)
    }

    fn read_notice(&self, head: &response::Parts) -> Notice {
        let quiet = head.headers.get(QUIET).and_then(|v| v.to_str().ok()?.parse().ok());
        Notice { leaving: head.headers.contains_key(LEAVING), quiet: quiet.map(Span::millis) }
    }

    fn write_response(&self, outcome: Outcome) -> Answer {
        let mut r = Response::new(Full::default());
        match outcome {
            Outcome::Forwarded(part) => {
                (*r.status_mut(), *r.headers_mut()) = (part.status, part.headers);
                *r.body_mut() = Full::new(part.body);
            }
            Outcome::Merged { body, signatures, missing } => {
                r.headers_mut().insert(MISSING, missing.into());
                for s in signatures {
                    r.headers_mut().append(SIGNATURE, s);
                }
                *r.body_mut() = Full::new(body);
            }
            Outcome::Refused { refusal, retry_after } => {
                *r.status_mut() = match refusal.verdict {
                    Verdict::NotRun => http::status(refusal.reason),
                    // 503 promises that the request has not run.
                    _ => StatusCode::BAD_GATEWAY,
                };
                if let Some(span) = retry_after {
                    r.headers_mut().insert(RETRY, span.as_millis().into());
                }
                *r.body_mut() = Full::new(refusal.to_string().into());
            }
        }
        r
    }
}

/// An endpoint that answers with one record of its own. While `hang` is set, none answers.
pub struct Leaf {
    pub name: String,
    pub leaf_state: Arc<LeafState>,
}

/// The process of an endpoint, which may crash and start again at the same address.
pub struct LeafProcess {
    pub address: SocketAddr,
    leaf: Arc<Leaf>,
    /// Accepts connections and serves them, while the process runs.
    task: Mutex<Option<JoinHandle<()>>>,
}

impl LeafProcess {
    async fn start(leaf: Arc<Leaf>) -> Arc<Self> {
        let listener = http::bind(ANY).await.unwrap();
        let address = listener.local_addr().unwrap();
        let task = Mutex::new(Some(tokio::spawn(serve_leaf(leaf.clone(), listener))));
        Arc::new(Self { address, leaf, task })
    }

    /// Ends the process: its connections close, and its address refuses new ones.
    pub fn crash(&self) {
        if let Some(task) = self.task.lock().take() {
            task.abort();
        }
    }

    /// Starts the process again, unless it runs.
    pub async fn revive(&self) {
        if self.task.lock().is_some() {
            return;
        }
        let listener = loop {
            // The old listener closes once its task has ended.
            match http::bind(self.address).await {
                Ok(listener) => break listener,
                Err(_) => tokio::task::yield_now().await,
            }
        };
        *self.task.lock() = Some(tokio::spawn(serve_leaf(self.leaf.clone(), listener)));
    }
}

async fn serve_leaf(leaf: Arc<Leaf>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let leaf = leaf.clone();
        connections.spawn(async move {
            let answer = |request| {
                let answer = http::Routes::answer(&*leaf, request);
                async { Ok::<_, Infallible>(answer.await) }
            };
            let served = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service_fn(answer));
            // The host closes connections that it no longer needs.
            let _ = served.await;
        });
    }
}

/// State that all endpoints share.
#[derive(Default)]
pub struct LeafState {
    /// Processes of the endpoints, by name.
    pub processes: Mutex<IndexMap<String, Arc<LeafProcess>>>,
    /// Identifiers of the requests that crashed endpoints, one for each crash.
    pub crashes: Mutex<Vec<String>>,
    pub requests: AtomicUsize,
    pub hang: AtomicBool,
    /// Requests that hang now.
    pub hanging: AtomicUsize,
    /// Endpoints that say in all answers that they are leaving.
    pub leaving: Mutex<IndexSet<String>>,
    /// Endpoints that refuse all requests and want none for so many milliseconds.
    pub quiet: Mutex<IndexMap<String, u64>>,
    /// Requests by endpoint.
    pub by_leaf: Mutex<IndexMap<String, usize>>,
    /// Milliseconds that the next requests for a shard take, in their order.
    pub delays: Mutex<IndexMap<String, Vec<u64>>>,
}

impl LeafState {
    fn next_delay(&self, leaf: &str) -> u64 {
        let (shard, _) = leaf.split_once('-').unwrap();
        let mut delays = self.delays.lock();
        delays.get_mut(shard).filter(|list| !list.is_empty()).map_or(0, |list| list.remove(0))
    }

    pub fn requests_at(&self, leaf: &str) -> usize {
        self.by_leaf.lock().get(leaf).copied().unwrap_or_default()
    }
}

/// A hanging request, which ends when its connection closes.
pub struct HangingRequest(Arc<LeafState>);

impl Drop for HangingRequest {
    fn drop(&mut self) {
        self.0.hanging.fetch_sub(1, Ordering::Relaxed);
    }
}

impl http::Routes for Leaf {
    fn answer(&self, request: Request<Incoming>) -> BoxFuture<'_, Answer> {
        if request.uri().path().starts_with(POISON) {
            let id = request.headers()[ID].to_str().unwrap().to_owned();
            self.leaf_state.crashes.lock().push(id);
            self.leaf_state.processes.lock()[&self.name].crash();
            return Box::pin(std::future::pending());
        }
        self.leaf_state.requests.fetch_add(1, Ordering::Relaxed);
        let hangs = self.leaf_state.hang.load(Ordering::Relaxed).then(|| {
            self.leaf_state.hanging.fetch_add(1, Ordering::Relaxed);
            HangingRequest(self.leaf_state.clone())
        });
        *self.leaf_state.by_leaf.lock().entry(self.name.clone()).or_default() += 1;
        let mut r = Response::new(Full::from(record(&self.name)));
        if self.leaf_state.leaving.lock().contains(&self.name) {
            r.headers_mut().insert(LEAVING, HeaderValue::from_static("1"));
        }
        if let Some(millis) = self.leaf_state.quiet.lock().get(&self.name) {
            *r.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            r.headers_mut().insert(QUIET, (*millis).into());
        }
        r.headers_mut().insert(SIGNATURE, HeaderValue::from_str(&self.name).unwrap());
        let delay = std::time::Duration::from_millis(self.leaf_state.next_delay(&self.name));
        Box::pin(async move {
            // A server that leaves a body unread does not notice that its connection closes.
            let _ = request.into_body().collect().await;
            tokio::time::sleep(delay).await;
            if let Some(_open) = hangs {
                std::future::pending::<()>().await;
            }
            r
        })
    }
}

pub fn record(name: &str) -> Bytes {
    format!("{name:>16}").into()
}

/// Network between the hosts; all messages are lost while it is `cut`.
#[derive(Default)]
pub struct Network {
    pub handlers: Mutex<IndexMap<(String, Topic), Arc<dyn Handler>>>,
    pub cut: AtomicBool,
    pub sent: AtomicUsize,
    /// Size of the largest message to each host, in bytes.
    pub largest: Mutex<IndexMap<String, usize>>,
    /// Last message of a relay to each host.
    pub last: Mutex<IndexMap<String, Vec<u8>>>,
}

/// Connection of one host to the network.
pub struct PeerLink {
    pub host: &'static str,
    pub zone: &'static str,
    pub network: Arc<Network>,
}

impl Peers for PeerLink {
    fn host(&self) -> &str {
        self.host
    }

    fn zone(&self) -> &str {
        self.zone
    }

    fn others(&self) -> Vec<String> {
        let handlers = self.network.handlers.lock();
        let hosts: IndexSet<_> = handlers.keys().map(|(host, _)| host.clone()).collect();
        hosts.into_iter().filter(|host| host != self.host).collect()
    }

    fn set_handler(&self, topic: Topic, handler: Arc<dyn Handler>) {
        self.network.handlers.lock().insert((self.host.to_owned(), topic), handler);
    }

    fn send(&self, to: &str, topic: Topic, body: Vec<u8>) {
        self.network.sent.fetch_add(1, Ordering::Relaxed);
        let mut largest = self.network.largest.lock();
        let size = largest.entry(to.to_owned()).or_default();
        *size = body.len().max(*size);
        drop(largest);
        if topic == Topic::Relay {
            self.network.last.lock().insert(to.to_owned(), body.clone());
        }
        let handler = self.network.handlers.lock().get(&(to.to_owned(), topic)).cloned();
        if let Some(handler) = handler.filter(|_| !self.network.cut.load(Ordering::Relaxed)) {
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

/// Control, endpoints and members of a host. Tests publish plans and endpoints.
pub struct StaticServices {
    pub accepted: watch::Sender<AcceptedDocument>,
    /// What the host is told of the time since its plan was confirmed.
    pub unconfirmed: Mutex<Option<Span>>,
    pub routes: Mutex<Arc<Routes>>,
    pub changes: watch::Sender<u64>,
    pub members: watch::Sender<Arc<Vec<Member>>>,
}

impl Control for StaticServices {
    fn watch(&self) -> watch::Receiver<AcceptedDocument> {
        self.accepted.subscribe()
    }

    fn unconfirmed_for(&self) -> Option<Span> {
        *self.unconfirmed.lock()
    }

    fn propose(&self, _: Change) -> BoxFuture<'_, Result<u64, Refusal>> {
        Box::pin(async { Err(Refusal::not_run(Reason::Unavailable, "")) })
    }
}

impl Endpoints for StaticServices {
    fn routes(&self) -> Arc<Routes> {
        self.routes.lock().clone()
    }

    fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}

impl Members for StaticServices {
    fn watch(&self) -> watch::Receiver<Arc<Vec<Member>>> {
        self.members.subscribe()
    }
}

/// A plan with one route to all shards, one to each alone, by the host `s0` and so on, and one to the
/// first for requests that may run only once.
pub fn plan(shards: usize, connections: u32) -> Plan {
    let all: Vec<Arc<str>> = (0..shards).map(|i| format!("s{i}").into()).collect();
    let service = PlanService { connections, cold_rate: 0, cold_time: Span::ZERO };
    let services = all.iter().map(|s| (s.clone(), service.clone())).collect();
    let route = Route {
        name: "all".into(),
        host: "tier".into(),
        prefix: "/".into(),
        repeat: Idempotency::Idempotent,
        // Longer than any test waits.
        timeout: Span::secs(3_600),
        objective: Span::secs(1),
        priority: 0,
        attempts: 2,
        destination: Destination::Gather {
            shards: all,
            top: TOP_RECORDS,
            least: Share::from_fraction(1.0),
        },
    };
    let single = |i: usize| {
        let service: Arc<str> = format!("s{i}").into();
        let destination = Destination::Split(vec![(service.clone(), 1)]);
        Route { name: service.clone(), host: service, destination, ..route.clone() }
    };
    let once =
        Route { name: "once".into(), host: "once".into(), repeat: Idempotency::Once, ..single(0) };
    let routes = (0..shards).map(single).chain([once, route.clone()]).collect();
    Plan { number: 1, routes, services, ..Plan::default() }
}

pub const LARGE_ZONE: [(&str, &str); 8] = [
    ("a", "south"),
    ("b", "south"),
    ("c", "south"),
    ("d", "south"),
    ("e", "south"),
    ("f", "south"),
    ("g", "south"),
    ("h", "south"),
];

/// What the hosts of a tier send each other messages over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Links {
    /// [`PeerLink`], which delivers them at once.
    InProcess,
    /// The product's own transport.
    Tcp,
}

fn peer_settings(host: &str, zone: &str) -> PeerSettings {
    PeerSettings {
        host: host.to_owned(),
        zone: zone.to_owned(),
        listen: ANY,
        seeds: Vec::new(),
        keys: HostKeys::Secret(Secret::new("secret of the tests").unwrap()),
    }
}

/// Hosts and the endpoints of some shards, all of which are in the south. Callers use the first host.
pub struct Tier {
    pub shards: usize,
    pub network: Arc<Network>,
    pub leaf_state: Arc<LeafState>,
    pub entry: SocketAddr,
    /// Addresses of all hosts for callers.
    pub entries: Vec<SocketAddr>,
    pub entry_services: Arc<StaticServices>,
    /// Kernels of the hosts, that of the first one first.
    pub kernels: Vec<Kernel>,
}

impl Tier {
    /// Two hosts, each alone in its zone.
    pub async fn start() -> Self {
        Self::start_with(&[("north", "north"), ("south", "south")], SHARDS).await
    }

    /// Starts hosts, each given with its zone.
    pub async fn start_with(hosts: &[(&'static str, &'static str)], shards: usize) -> Self {
        Self::start_scarce(hosts, shards, CONNECTIONS, None).await
    }

    /// Starts hosts; each endpoint accepts so many connections. The endpoints of the first shard are
    /// at the address `broken`, if one is given.
    pub async fn start_scarce(
        hosts: &[(&'static str, &'static str)],
        shards: usize,
        connections: u32,
        broken: Option<SocketAddr>,
    ) -> Self {
        Self::start_over(hosts, shards, connections, broken, Links::InProcess).await
    }

    /// Starts hosts that send each other messages over `links`.
    pub async fn start_over(
        hosts: &[(&'static str, &'static str)],
        shards: usize,
        connections: u32,
        broken: Option<SocketAddr>,
        links: Links,
    ) -> Self {
        let leaf_state = Arc::new(LeafState::default());
        let mut keys: SlotMap<EndpointKey, ()> = SlotMap::with_key();
        let mut services = IndexMap::new();
        for shard in 0..shards {
            let starting = (0..2).map(async |i| {
                let name = format!("s{shard}-{i}");
                let leaf = Arc::new(Leaf { name: name.clone(), leaf_state: leaf_state.clone() });
                (name, LeafProcess::start(leaf).await)
            });
            let mut targets = Vec::new();
            for started in starting {
                let (name, process) = started.await;
                leaf_state.processes.lock().insert(name.clone(), process.clone());
                targets.push(Target {
                    key: keys.insert(()),
                    name: name.into(),
                    service: format!("s{shard}").into(),
                    zone: "south".into(),
                    address: broken.filter(|_| shard == 0).unwrap_or(process.address),
                    incarnation: 1,
                    allowed: 4,
                    bearable: 4,
                    connections,
                    cold: false,
                });
            }
            services.insert(format!("s{shard}").into(), Arc::new(targets));
        }
        let routes = Arc::new(Routes { services, ..Routes::default() });
        let member = |(name, zone): &(&str, &str)| Member {
            host: (*name).into(),
            zone: (*zone).into(),
            health: Health::Alive,
            incarnation: 1,
            durable: false,
        };
        let members = Arc::new(hosts.iter().map(member).collect::<Vec<_>>());
        let network = Arc::new(Network::default());
        let (mut kernels, mut addresses, mut all_services) = (Vec::new(), Vec::new(), Vec::new());
        let mut peer_addresses = Vec::new();
        for &(host, zone) in hosts {
            let accepted = AcceptedDocument {
                plan: Some(Arc::new(plan(shards, connections))),
                ..AcceptedDocument::default()
            };
            let services_of_host = Arc::new(StaticServices {
                accepted: watch::channel(accepted).0,
                unconfirmed: Mutex::new(Some(Span::ZERO)),
                routes: Mutex::new(routes.clone()),
                changes: watch::channel(0).0,
                members: watch::channel(members.clone()).0,
            });
            all_services.push(services_of_host.clone());
            let mut kernel = Kernel::default();
            match links {
                Links::InProcess => {
                    let peers = Arc::new(PeerLink { host, zone, network: network.clone() });
                    kernel.context().publish::<dyn Peers>(<dyn Peers>::NAME, peers);
                }
                Links::Tcp => {
                    let service = Arc::new(PeersService::new(peer_settings(host, zone)));
                    kernel.start(service.clone()).await.unwrap();
                    peer_addresses.push((host, service.address().unwrap()));
                }
            }
            let ctx = kernel.context();
            ctx.publish::<dyn Control>(<dyn Control>::NAME, services_of_host.clone());
            ctx.publish::<dyn Endpoints>(<dyn Endpoints>::NAME, services_of_host.clone());
            ctx.publish::<dyn Members>(<dyn Members>::NAME, services_of_host);
            let retry_budget = Bounds { ratio: 1.0, slack: 100.0, window: Span::secs(10) };
            let relay = Arc::new(RelayService::new(RelaySettings {
                listen: ANY,
                ready: ANY,
                ready_path: "/ready",
                bounds: RelayBounds {
                    retry_budget,
                    cold_ratio: 1.0,
                    cold_slack: 0.0,
                    plan_apply: PLAN_APPLY,
                    drain: DRAIN,
                },
                protocol: Arc::new(HeaderProtocol),
                metrics: Metrics::new(None).unwrap(),
            }));
            kernel.start(Arc::new(QuarantineService)).await.unwrap();
            kernel.start(relay.clone()).await.unwrap();
            addresses.push(relay.address().unwrap());
            kernels.push(kernel);
        }
        for kernel in &kernels {
            let peers = kernel.context().find::<dyn Peers>(<dyn Peers>::NAME).unwrap();
            peer_addresses.iter().for_each(|(host, address)| peers.learn(host, *address));
        }
        Self {
            shards,
            network,
            leaf_state,
            entry: addresses[0],
            entries: addresses,
            entry_services: all_services.swap_remove(0),
            kernels,
        }
    }

    /// Gathers through the first host, retrying until it has applied the plan; returns the
    /// signatures and the body.
    pub async fn gather(&self) -> (Vec<String>, Bytes) {
        let answered = async {
            loop {
                let r = self.get().await;
                if r.status() == StatusCode::OK {
                    return r;
                }
                assert_eq!(r.status(), StatusCode::SERVICE_UNAVAILABLE);
            }
        };
        let r = timeout(HANG_TIMEOUT, answered).await.unwrap();
        assert_eq!(r.headers()[MISSING], "0");
        let names = r.headers().get_all(SIGNATURE).iter();
        let names = names.map(|s| s.to_str().unwrap().to_owned()).collect();
        (names, r.into_body().collect().await.unwrap().to_bytes())
    }

    pub async fn get(&self) -> Response<Incoming> {
        self.get_from("tier").await
    }

    pub async fn get_from(&self, virtual_host: &str) -> Response<Incoming> {
        get_from(self.entry, virtual_host).await.unwrap()
    }
}

pub async fn get_from(entry: SocketAddr, virtual_host: &str) -> hyper::Result<Response<Incoming>> {
    get_path(entry, virtual_host, "/q", "r1").await
}

/// Sends a request with a path and an identifier to a host.
pub async fn get_path(
    entry: SocketAddr,
    virtual_host: &str,
    path: &str,
    id: &str,
) -> hyper::Result<Response<Incoming>> {
    let stream = TcpStream::connect(entry).await.unwrap();
    let (mut tx, link) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(link);
    let request = Request::get(path).header(HOST, virtual_host).header(ID, id);
    tx.send_request(request.body(Empty::<Bytes>::new()).unwrap()).await
}

/// Checks that exactly one endpoint of each shard answered, and that the body holds the greatest of
/// their records.
pub fn assert_merged(tier: &Tier, names: &[String], body: &Bytes) {
    let shards: IndexSet<_> = names.iter().map(|n| n.split_once('-').unwrap().0).collect();
    assert_eq!((shards.len(), names.len()), (tier.shards, tier.shards), "{names:?}");
    let mut records: Vec<_> = names.iter().map(|n| record(n)).collect();
    records.sort();
    let want: Vec<u8> =
        records.iter().rev().take(TOP_RECORDS as usize).flatten().copied().collect();
    assert_eq!(body[..], want[..]);
}
