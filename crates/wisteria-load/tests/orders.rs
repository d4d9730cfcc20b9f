//! Tests of the orders mode against entry hosts that keep or break at-most-once execution.

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

/// How the stand-in entry host handles an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behavior {
    /// Runs each order once and answers resends from its record.
    Once,
    /// Runs every request, resends included.
    EachSend,
    /// Runs the order and answers that it did not run.
    FalseRefusal,
    /// Answers that the order ran without running it.
    FalseAnswer,
}

/// Ids of the executed orders, one for each execution.
type ExecutedIds = Arc<Mutex<Vec<String>>>;

/// Handles one order and returns the response.
fn handle_order(
    behavior: Behavior,
    ran: &ExecutedIds,
    key: &str,
    body: &Value,
) -> (StatusCode, Value) {
    let id = body["order"]["id"].as_str().expect("an id").to_owned();
    assert_eq!(key, id, "the key names the order");
    let mut ran = ran.lock().expect("the record");
    let known = ran.contains(&id);
    if behavior == Behavior::EachSend || (behavior != Behavior::FalseAnswer && !known) {
        ran.push(id);
    }
    if behavior == Behavior::FalseRefusal {
        return (StatusCode::SERVICE_UNAVAILABLE, json!({"verdict": "not-run", "reason": "busy"}));
    }
    (StatusCode::OK, json!({"verdict": "ran", "result": {}}))
}

/// Serves orders and, like the control port of a leaf, the list of executions.
async fn serve(behavior: Behavior) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let ran = ExecutedIds::default();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let ran = Arc::clone(&ran);
            let service = service_fn(move |request| handle(behavior, Arc::clone(&ran), request));
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    });
    address
}

async fn handle(
    behavior: Behavior,
    ran: ExecutedIds,
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
        handle_order(behavior, &ran, key, &serde_json::from_slice(&bytes).expect("JSON"))
    };
    let mut response = Response::new(Full::new(Bytes::from(answer.to_string())));
    *response.status_mut() = status;
    Ok(response)
}

async fn orders(behavior: Behavior) -> OrderReport {
    let address = serve(behavior).await;
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
async fn order_that_runs_once_has_no_violation() {
    let report = orders(Behavior::Once).await;
    assert!(report.orders > 0);
    assert_eq!(report.sends, 2 * report.orders);
    assert_eq!((report.ran, report.executions), (report.orders, report.orders));
    assert!(report.doubled.is_empty() && report.lost.is_empty() && report.untrue.is_empty());
}

#[tokio::test]
async fn order_that_runs_on_each_send_is_reported_as_doubled() {
    let report = orders(Behavior::EachSend).await;
    assert_eq!(report.doubled.len() as u64, report.orders);
}

#[tokio::test]
async fn executed_order_refused_as_not_run_is_reported_as_untrue() {
    let report = orders(Behavior::FalseRefusal).await;
    assert_eq!(report.not_run, report.orders);
    assert_eq!(report.untrue.len() as u64, report.orders);
}

#[tokio::test]
async fn order_answered_as_run_but_not_executed_is_reported_as_lost() {
    let report = orders(Behavior::FalseAnswer).await;
    assert_eq!(report.lost.len() as u64, report.orders);
}
