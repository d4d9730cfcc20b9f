//! Running one request, with the faults that hit it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use serde::Serialize;
use serde_json::Value;

use crate::executions::Outcome;
use crate::faults::{Hitting, Kind, Stage};
use crate::hits::{Hit, shard_hits};
use crate::leaf::{Leaf, Slot};
use crate::message::{Answer, Body, Refusal, RunRequest, answered, malformed, refused};

/// Time allowed to a request without a timeout.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// The connection closes without an answer.
#[derive(Debug)]
pub(crate) struct Reset;

impl std::fmt::Display for Reset {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection reset on purpose")
    }
}

impl std::error::Error for Reset {}

#[derive(Serialize)]
struct SearchResult {
    hits: Vec<Hit>,
}

#[derive(Serialize)]
struct OrderResult<'a> {
    order: &'a Value,
    leaf: &'a str,
}

/// Runs the request and makes the response, unless a fault closes the connection.
pub(crate) async fn run(leaf: &Arc<Leaf>, run: RunRequest) -> Result<Response<Body>, Reset> {
    let Ok(query) = serde_json::from_slice::<Value>(&run.body) else {
        return Ok(malformed("the body is no JSON"));
    };
    if leaf.take_fault(Stage::Arrived).is_some() {
        return Err(Reset);
    }
    let slot = match leaf.admit(&run) {
        Ok(slot) => slot,
        Err(refusal) => return Ok(refused(&run, refusal, leaf.incarnation())),
    };
    let fault = leaf.take_fault(Stage::Admitted);
    if is(fault, Kind::Poison) || query["poison"] == Value::Bool(true) {
        log::warn!("{}: killed by a poisonous request", leaf.name());
        leaf.die();
        return Err(Reset);
    }
    if let Err(refusal) = execute(slot, run.timeout.unwrap_or(DEFAULT_TIMEOUT)).await {
        leaf.thaw().await;
        return Ok(refused(&run, refusal, leaf.incarnation()));
    }
    leaf.thaw().await;
    respond(leaf, answer(leaf, &run, &query), fault).await
}

fn is(fault: Option<Hitting>, kind: Kind) -> bool {
    fault.is_some_and(|fault| fault.kind == kind)
}

/// Holds the slot for the execution time, a cancellation or the deadline, whichever is first.
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

fn answer(leaf: &Leaf, run: &RunRequest, query: &Value) -> Answer {
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
    fault: Option<Hitting>,
) -> Result<Response<Body>, Reset> {
    let incarnation = leaf.incarnation();
    let Some(fault) = fault else {
        leaf.remember(&answer);
        return Ok(answered(answer, incarnation, false));
    };
    tokio::time::sleep(fault.delay).await;
    match fault.kind {
        Kind::ResetAfter => Err(Reset),
        Kind::Crossed => Ok(answered(leaf.cross(&answer), incarnation, false)),
        Kind::Truncate => Ok(answered(answer, incarnation, true)),
        _ => Ok(answered(answer, incarnation, false)),
    }
}
