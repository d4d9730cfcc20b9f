//! Execution of a request, including the faults that apply to it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use serde::Serialize;
use serde_json::Value;

use crate::executions::Outcome;
use crate::faults::{Kind, RequestFault, Stage};
use crate::hits::{Hit, shard_hits};
use crate::leaf::{Leaf, Slot};
use crate::message::{
    Answer, Body, Refusal, RunRequest, bad_request, refusal_response, success_response,
};

/// Timeout of a request that carries none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// Error that makes the server close the connection without a response.
#[derive(Debug)]
pub(crate) struct ConnectionReset;

impl std::fmt::Display for ConnectionReset {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection reset by an injected fault")
    }
}

impl std::error::Error for ConnectionReset {}

#[derive(Serialize)]
struct SearchResult {
    hits: Vec<Hit>,
}

#[derive(Serialize)]
struct OrderResult<'a> {
    order: &'a Value,
    leaf: &'a str,
}

/// Executes a request and builds the response, unless a fault closes the connection.
pub(crate) async fn run(
    leaf: &Arc<Leaf>,
    run: RunRequest,
) -> Result<Response<Body>, ConnectionReset> {
    let Ok(query) = serde_json::from_slice::<Value>(&run.body) else {
        return Ok(bad_request("the body is no JSON"));
    };
    if leaf.take_fault(Stage::Arrived).is_some() {
        return Err(ConnectionReset);
    }
    let slot = match leaf.admit_request(&run) {
        Ok(slot) => slot,
        Err(refusal) => return Ok(refusal_response(&run, refusal, leaf.incarnation())),
    };
    let fault = leaf.take_fault(Stage::Admitted);
    if has_kind(fault, Kind::Poison) || query["poison"] == Value::Bool(true) {
        log::warn!("{}: killed by a poison request", leaf.name());
        leaf.die();
        return Err(ConnectionReset);
    }
    if let Err(refusal) = execute(slot, run.timeout.unwrap_or(DEFAULT_TIMEOUT)).await {
        leaf.wait_while_frozen().await;
        return Ok(refusal_response(&run, refusal, leaf.incarnation()));
    }
    leaf.wait_while_frozen().await;
    respond(leaf, build_answer(leaf, &run, &query), fault).await
}

fn has_kind(fault: Option<RequestFault>, kind: Kind) -> bool {
    fault.is_some_and(|fault| fault.kind == kind)
}

/// Holds the slot until the execution time has passed, the request is cancelled or its timeout
/// expires.
async fn execute(slot: Slot, timeout: Duration) -> Result<(), Refusal> {
    let cancelled = Arc::clone(&slot.cancelled);
    let (outcome, result) = tokio::select! {
        () = cancelled.notified() => {
            (Outcome::Cancelled, Err(Refusal::Cancelled { started: true }))
        }
        () = tokio::time::sleep(timeout.min(slot.time)) => {
            if timeout < slot.time {
                (Outcome::Deadline, Err(Refusal::Deadline { started: true }))
            } else {
                (Outcome::Ran, Ok(()))
            }
        }
    };
    slot.finish(outcome);
    result
}

fn build_answer(leaf: &Leaf, run: &RunRequest, query: &Value) -> Answer {
    let body = if run.order {
        let order = query.get("id").unwrap_or(query);
        serde_json::to_vec(&OrderResult { order, leaf: leaf.name() })
    } else {
        let hits = shard_hits(&run.collection, &run.snapshot, run.shard);
        serde_json::to_vec(&SearchResult { hits })
    };
    Answer {
        attempt: run.attempt.clone(),
        snapshot: run.snapshot.clone(),
        shard: run.shard,
        shards: run.shards,
        body: Bytes::from(body.unwrap_or_default()),
    }
}

async fn respond(
    leaf: &Leaf,
    answer: Answer,
    fault: Option<RequestFault>,
) -> Result<Response<Body>, ConnectionReset> {
    let incarnation = leaf.incarnation();
    let Some(fault) = fault else {
        leaf.set_last_answer(&answer);
        return Ok(success_response(answer, incarnation, false));
    };
    tokio::time::sleep(fault.delay).await;
    match fault.kind {
        Kind::ResetAfter => Err(ConnectionReset),
        Kind::Crossed => Ok(success_response(leaf.crossed_answer(&answer), incarnation, false)),
        Kind::Truncate => Ok(success_response(answer, incarnation, true)),
        _ => Ok(success_response(answer, incarnation, false)),
    }
}
