//! Profiles, requests and a fake entry host for the tests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::HeaderMap;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use wisteria_leaf::{Announcement, Group, Holding, Latency, Profile};

/// An execution time longer than any test runs.
pub const FOREVER: Duration = Duration::from_secs(3_600);

pub fn loopback_any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub fn profile(mean: Duration) -> Profile {
    Profile {
        name: "leaf-0".to_owned(),
        host: "h0".to_owned(),
        zone: "north".to_owned(),
        service: "kits".to_owned(),
        holdings: vec![Holding {
            collection: "kits".to_owned(),
            snapshot: "s1".to_owned(),
            shard: 3,
            shards: 4,
        }],
        slots: 2,
        bearable: 1,
        connections: 25,
        setup: Duration::ZERO,
        delay: Duration::ZERO,
        cold: Duration::ZERO,
        latency: Latency { mean, stragglers: 0.0, factor: 1.0 },
        seed: 7,
    }
}

pub async fn start_group(profile: Profile) -> Group {
    Group::start(vec![(loopback_any_port(), profile)], loopback_any_port(), &[])
        .await
        .expect("free ports on loopback")
}

pub struct Reply {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Value,
}

impl Reply {
    pub fn header(&self, name: &str) -> &str {
        self.headers[name].to_str().expect("a text header")
    }
}

pub async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Reply, hyper::Error> {
    let stream = TcpStream::connect(address).await.expect("the leaf listens");
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let (head, body) = sender.send_request(request).await?.into_parts();
    let bytes = body.collect().await?.to_bytes();
    let body = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
    Ok(Reply { status: head.status, headers: head.headers, body })
}

pub fn run_request(attempt: &str, kind: &str, body: &Value) -> Request<Full<Bytes>> {
    Request::post("/v1/run")
        .header("host", "leaf")
        .header("wisteria-attempt", attempt)
        .header("wisteria-kind", kind)
        .header("wisteria-collection", "kits")
        .header("wisteria-snapshot", "s1")
        .header("wisteria-shard", "3")
        .header("wisteria-shards", "4")
        .body(Full::new(Bytes::from(body.to_string())))
        .expect("a well-formed request")
}

pub fn search_request(attempt: &str) -> Request<Full<Bytes>> {
    run_request(attempt, "search", &json!({"limit": 3}))
}

pub fn cancel_request(attempt: &str) -> Request<Full<Bytes>> {
    Request::post("/v1/cancel")
        .header("host", "leaf")
        .header("wisteria-attempt", attempt)
        .body(Full::default())
        .expect("a well-formed request")
}

/// Waits until the group has logged this many executions.
pub async fn wait_for_executions(group: &Group, count: u64) {
    while group.executions().total < count {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Starts a fake entry host that forwards received announcements to the returned channel.
pub async fn start_entry_host() -> (SocketAddr, mpsc::UnboundedReceiver<Announcement>) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let listener = TcpListener::bind(loopback_any_port()).await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let sender = sender.clone();
            let service = service_fn(move |request: Request<Incoming>| {
                let sender = sender.clone();
                async move {
                    let body = request.into_body().collect().await?.to_bytes();
                    let announcement = serde_json::from_slice(&body).expect("an announcement");
                    let _ = sender.send(announcement);
                    Ok::<_, hyper::Error>(Response::new(Full::<Bytes>::default()))
                }
            });
            let server = hyper::server::conn::http1::Builder::new();
            tokio::spawn(server.serve_connection(TokioIo::new(stream), service));
        }
    });
    (address, receiver)
}
