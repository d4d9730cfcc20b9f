//! Tests of the load generator against a stand-in server with a fixed response.

use std::convert::Infallible;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use wisteria_load::{Class, Outcome, Report, Sample, Settings, run_searches};

const COMPLETE: &str = r#"{"verdict":"ran","snapshot":"s1",
    "coverage":{"shards":4,"answered":4,"missing":[]},"hits":[]}"#;
const PARTIAL: &str = r#"{"verdict":"ran","snapshot":"s1",
    "coverage":{"shards":4,"answered":3,"missing":[2]},"hits":[]}"#;
const REFUSAL: &str = r#"{"verdict":"not-run","reason":"busy","detail":""}"#;

/// Starts a server that gives every request the same response.
async fn target(status: StatusCode, body: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let service = service_fn(move |_: Request<Incoming>| async move {
                let mut response = Response::new(Full::new(Bytes::from_static(body.as_bytes())));
                *response.status_mut() = status;
                Ok::<_, Infallible>(response)
            });
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    });
    address
}

/// A bound port without a listener: it refuses connections and stays reserved while the socket
/// lives.
fn closed_port() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
    let address = socket.local_addr().expect("a bound address");
    (socket, address)
}

fn settings(target: Vec<SocketAddr>) -> Settings {
    Settings {
        target,
        rate: 1_000.0,
        seconds: 0.1,
        seed: 5,
        collection: "kits".to_owned(),
        class: Vec::new(),
        timeout_ms: 60_000,
        min_coverage: None,
        leaf_control: Vec::new(),
        orders: false,
        tickets: false,
        resends: 2,
        json: false,
    }
}

async fn load(target: Vec<SocketAddr>) -> Report {
    run_searches(&settings(target)).await.expect("a report")
}

#[tokio::test]
async fn same_seed_gives_same_number_of_requests() {
    let target = target(StatusCode::OK, COMPLETE).await;
    let (first, second) = (load(vec![target]).await, load(vec![target]).await);
    assert!(first.requests > 0);
    assert_eq!(first.requests, second.requests);
    assert_eq!(first.complete, 1.0);
    assert_eq!(first.least, 4 * first.requests);
}

#[tokio::test]
async fn partial_answers_count_by_their_coverage() {
    let report = load(vec![target(StatusCode::OK, PARTIAL).await]).await;
    assert_eq!(report.answered, report.requests);
    assert_eq!(report.coverage, Some(0.75));
    assert_eq!(report.complete, 0.0);
}

#[tokio::test]
async fn refusals_count_by_verdict_and_reason() {
    let report = load(vec![target(StatusCode::SERVICE_UNAVAILABLE, REFUSAL).await]).await;
    assert_eq!(report.refusals.get("not-run/busy"), Some(&report.requests));
    assert_eq!(report.coverage, None);
}

#[tokio::test]
async fn unreachable_target_is_skipped() {
    let (_socket, closed) = closed_port();
    let targets = vec![closed, target(StatusCode::OK, COMPLETE).await];
    let report = load(targets).await;
    assert_eq!(report.answered, report.requests);
    let only_closed = load(vec![closed]).await;
    assert_eq!(only_closed.errors.get("connection"), Some(&only_closed.requests));
}

#[test]
fn quantiles_match_the_samples() {
    let samples: Vec<Sample> = (1..=1_000)
        .map(|sequence| Sample {
            class: None,
            sequence,
            arrival: Duration::ZERO,
            latency: Duration::from_millis(sequence),
            outcome: Outcome::Refused("not-run/busy".to_owned()),
        })
        .collect();
    let report = Report::from_samples(&samples, None).expect("a report");
    let is_near = |actual: f64, expected: f64| (actual - expected).abs() <= expected / 500.0;
    assert!(is_near(report.all.p50_ms, 500.0), "{report}");
    assert!(is_near(report.all.p99_ms, 990.0), "{report}");
    assert!(is_near(report.all.max_ms, 1_000.0), "{report}");
}

#[tokio::test]
async fn answer_with_hits_of_another_snapshot_is_an_error() {
    const MIXED: &str = r#"{"verdict":"ran","snapshot":"s1",
        "coverage":{"shards":2,"answered":2,"missing":[]},
        "hits":[{"id":"kits-s1-0-1"},{"id":"kits-s2-1-1"}]}"#;
    let report = load(vec![target(StatusCode::OK, MIXED).await]).await;
    assert_eq!(report.errors.get("mixed-snapshots"), Some(&report.requests));
}

#[tokio::test]
async fn classes_share_the_requests_by_weight() {
    let mut settings = settings(vec![target(StatusCode::OK, COMPLETE).await]);
    settings.class = ["phone:3", "reports"].map(|c| c.parse::<Class>().unwrap()).into();
    let report = run_searches(&settings).await.unwrap();
    let requests = |class: &str| report.classes[class].requests;
    assert_eq!(requests("phone") + requests("reports"), report.requests);
    assert_eq!(requests("reports"), report.requests / 4);
    assert!("phone:0".parse::<Class>().is_err() && ":1".parse::<Class>().is_err());
}
