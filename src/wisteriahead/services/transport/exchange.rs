//! One request and its response on one connection.
//!
//! A failure is "not run" only if nothing of the request was written, or if the endpoint refused it
//! with this verdict in a response that names the attempt. Any other failure may have run.

use super::memory::ResponseMemory;
use super::pool::Lease;
use crate::prelude::*;
use crate::services::Attempt;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HOST, HeaderMap, HeaderName};
use hyper::http::response::Parts;
use hyper::{Method, Request, StatusCode};

/// Maximum size of the body of an endpoint's response.
const RESPONSE_MAX_BYTES: usize = 4 << 20;

const ATTEMPT: HeaderName = HeaderName::from_static("wisteria-attempt");
const KEY: HeaderName = HeaderName::from_static("idempotency-key");
const KIND: HeaderName = HeaderName::from_static("wisteria-kind");
const COLLECTION: HeaderName = HeaderName::from_static("wisteria-collection");
const SNAPSHOT: HeaderName = HeaderName::from_static("wisteria-snapshot");
const SHARD: HeaderName = HeaderName::from_static("wisteria-shard");
const SHARDS: HeaderName = HeaderName::from_static("wisteria-shards");
const TIMEOUT: HeaderName = HeaderName::from_static("wisteria-timeout-ms");
const INCARNATION: HeaderName = HeaderName::from_static("wisteria-incarnation");
const VERDICT: HeaderName = HeaderName::from_static("wisteria-verdict");
const REASON: HeaderName = HeaderName::from_static("wisteria-reason");

/// Result of an attempt.
#[derive(Debug)]
pub struct AttemptResult {
    /// Body of the response, or why there is none.
    pub result: Result<Bytes, Refusal>,
    /// Incarnation of the endpoint, from a response that matches the request.
    pub incarnation: Option<u64>,
}

impl From<Refusal> for AttemptResult {
    fn from(refusal: Refusal) -> Self {
        Self { result: Err(refusal), incarnation: None }
    }
}

/// Sends one attempt and reads the whole response.
pub async fn run(lease: Lease, attempt: &Attempt, memory: &ResponseMemory) -> AttemptResult {
    match exchange(lease, attempt, memory).await {
        Ok((parts, body)) => {
            let incarnation = header_text(&parts.headers, &INCARNATION).parse().ok();
            let ok = parts.status == StatusCode::OK;
            let result =
                if ok { Ok(body) } else { Err(read_refusal(parts.status, &parts.headers)) };
            AttemptResult { result, incarnation }
        }
        Err(refusal) => refusal.into(),
    }
}

/// Sends the attempt, reads the whole response and checks that it belongs to the attempt.
async fn exchange(
    mut lease: Lease,
    attempt: &Attempt,
    memory: &ResponseMemory,
) -> Result<(Parts, Bytes), Refusal> {
    let request = build_request(attempt)?;
    let (parts, body) = lease.send(request).await?.into_parts();
    let matched = check_match(&parts.headers, attempt);
    let (body, _share) = memory.read(body, RESPONSE_MAX_BYTES).await?;
    // After a response to another request, later responses on this connection would be mismatched
    // too, so it is closed.
    matched?;
    lease.give_back().await;
    Ok((parts, body))
}

fn build_request(a: &Attempt) -> Result<Request<Full<Bytes>>, Refusal> {
    let mut builder = Request::builder();
    if let Some(key) = &a.key {
        builder = builder.header(KEY, &**key);
    }
    builder
        .method(Method::POST)
        .uri("/v1/run")
        .header(HOST, "endpoint")
        .header(ATTEMPT, &*a.id)
        .header(KIND, if a.idempotent { "search" } else { "order" })
        .header(COLLECTION, &*a.collection)
        .header(SNAPSHOT, &*a.snapshot)
        .header(SHARD, a.shard)
        .header(SHARDS, a.shards)
        .header(TIMEOUT, a.timeout.as_millis())
        .body(Full::new(a.body.clone()))
        .map_err(|e| Refusal::not_run(Reason::BadRequest, format!("cannot be sent: {e}")))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> &'a str {
    headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default()
}

/// Checks that the response names the attempt, snapshot and shard of the request.
fn check_match(headers: &HeaderMap, a: &Attempt) -> Result<(), Refusal> {
    let matches = header_text(headers, &ATTEMPT) == &*a.id
        && header_text(headers, &SNAPSHOT) == &*a.snapshot
        && header_text(headers, &SHARD).parse() == Ok(a.shard)
        && header_text(headers, &SHARDS).parse() == Ok(a.shards);
    if matches {
        return Ok(());
    }
    Err(Refusal::may_have_run(Reason::Mismatch, "the response is to another request"))
}

/// Reads the refusal in a response with a status other than 200.
fn read_refusal(status: StatusCode, headers: &HeaderMap) -> Refusal {
    let verdict = Verdict::parse(header_text(headers, &VERDICT)).unwrap_or(Verdict::MayHaveRun);
    let reason = match header_text(headers, &REASON) {
        "busy" => Reason::Busy,
        "draining" => Reason::Draining,
        "wrong-snapshot" => Reason::WrongSnapshot,
        "deadline" => Reason::Deadline,
        "cancelled" => Reason::Cancelled,
        _ => Reason::Internal,
    };
    // A failed attempt without a verdict may have run. One with the verdict "ran" counts as such too:
    // its response holds no answer and does not prove that the attempt has ended.
    let verdict = if verdict == Verdict::Ran { Verdict::MayHaveRun } else { verdict };
    Refusal { verdict, reason, detail: format!("the endpoint answered {status}") }
}

/// Asks the endpoint to cancel an attempt; failures are ignored.
pub async fn cancel(mut lease: Lease, id: &str, memory: &ResponseMemory) {
    let request = Request::builder()
        .method(Method::POST)
        .uri("/v1/cancel")
        .header(HOST, "endpoint")
        .header(ATTEMPT, id)
        .body(Full::new(Bytes::new()));
    let Ok(request) = request else { return };
    if let Ok(response) = lease.send(request).await
        && memory.read(response.into_body(), RESPONSE_MAX_BYTES).await.is_ok()
    {
        lease.give_back().await;
    }
}
