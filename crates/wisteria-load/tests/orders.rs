//! The orders mode against an entry host that keeps or breaks its promise.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use wisteria_load::{OrderReport, Settings, run_orders};

/// How the entry host treats an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Host {
    /// Runs each key once and answers resends from its record.
    Once,
    /// Runs each request.
    EachSend,
    /// Runs the order and says that it did not.
    Denies,
    /// Says that it ran the order and runs nothing.
    Loses,
}

type Ran = Arc<Mutex<Vec<String>>>;

fn order(host: Host, ran: &Ran, key: &str, body: &Value) -> (StatusCode, Value) {
    let id = body["order"]["id"].as_str().expect("an id").to_owned();
    assert_eq!(key, id, "the key names the order");
    let mut ran = ran.lock().expect("the record");
    let known = ran.contains(&id);
    if host == Host::EachSend || (host != Host::Loses && !known) {
        ran.push(id);
    }
    if host == Host::Denies {
        return (StatusCode::SERVICE_UNAVAILABLE, json!({"verdict": "not-run", "reason": "busy"}));
    }
    (StatusCode::OK, json!({"verdict": "ran", "result": {}}))
}

/// Serves orders and, as a leaf's control port would, the list of what ran.
async fn serve(host: Host) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let ran = Ran::default();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let ran = Arc::clone(&ran);
            let service = service_fn(move |request| handle(host, Arc::clone(&ran), request));
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    });
    address
}

async fn handle(
    host: Host,
    ran: Ran,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (head, body) = request.into_parts();
    let (status, answer) = if head.uri.path() == "/executions" {
        let ran = ran.lock().expect("the record");
        let list: Vec<Value> = ran.iter().map(|id| json!({"id": id})).collect();
        (StatusCode::OK, json!({"total": list.len(), "executions": list}))
    } else {
        let bytes = body.collect().await.expect("a body").to_bytes();
        let key = head.headers["idempotency-key"].to_str().expect("a key");
        order(host, &ran, key, &serde_json::from_slice(&bytes).expect("JSON"))
    };
    let mut response = Response::new(Full::new(Bytes::from(answer.to_string())));
    *response.status_mut() = status;
    Ok(response)
}

async fn orders(host: Host) -> OrderReport {
    let address = serve(host).await;
    let settings = Settings {
        target: vec![address, address],
        rate: 500.0,
        seconds: 0.1,
        seed: 3,
        collection: "orders".to_owned(),
        class: Vec::new(),
        timeout_ms: 60_000,
        min_coverage: None,
        leaf_control: vec![address],
        orders: true,
        tickets: false,
        resends: 1,
        json: false,
    };
    run_orders(&settings).await.expect("a report")
}

#[tokio::test]
async fn order_that_runs_once_is_reported_clean() {
    let report = orders(Host::Once).await;
    assert!(report.orders > 0);
    assert_eq!(report.sends, 2 * report.orders);
    assert_eq!((report.ran, report.executions), (report.orders, report.orders));
    assert!(report.doubled.is_empty() && report.lost.is_empty() && report.untrue.is_empty());
}

#[tokio::test]
async fn order_that_runs_at_each_send_is_reported_as_doubled() {
    let report = orders(Host::EachSend).await;
    assert_eq!(report.doubled.len() as u64, report.orders);
}

#[tokio::test]
async fn order_that_ran_after_not_run_is_reported_as_untrue() {
    let report = orders(Host::Denies).await;
    assert_eq!(report.not_run, report.orders);
    assert_eq!(report.untrue.len() as u64, report.orders);
}

#[tokio::test]
async fn order_that_ran_by_its_answer_alone_is_reported_as_lost() {
    let report = orders(Host::Loses).await;
    assert_eq!(report.lost.len() as u64, report.orders);
}
