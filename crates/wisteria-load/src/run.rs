//! One run of searches: sends them at their arrival times and reports the outcomes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout};

use crate::arrivals::Arrivals;
use crate::client::{Client, Reply, execution_count};
use crate::report::{Outcome, Report, Sample};
use crate::settings::{Class, Settings};

/// Extra time beyond the request's timeout in which the host's refusal may still arrive.
pub(crate) const TIMEOUT_GRACE: Duration = Duration::from_secs(1);
/// Number of hits that each search requests.
const HIT_LIMIT: u32 = 10;

#[derive(Serialize)]
struct Query {
    limit: u32,
    sequence: u64,
}

#[derive(Serialize)]
struct Search<'a> {
    collection: &'a str,
    query: Query,
    limit: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    min_coverage: Option<f64>,
}

#[derive(Deserialize)]
struct Coverage {
    shards: u64,
    answered: u64,
}

#[derive(Deserialize)]
struct Hit {
    id: String,
}

#[derive(Deserialize)]
struct SearchAnswer {
    snapshot: String,
    hits: Vec<Hit>,
    coverage: Coverage,
}

#[derive(Deserialize)]
struct Refusal {
    verdict: String,
    reason: String,
}

/// Sends the searches, waits for all outcomes and reports on them.
///
/// # Errors
///
/// Fails when a request can't be built or a control port of the leaves does not answer.
pub async fn run_searches(settings: &Settings) -> Result<Report> {
    let before = total_executions(&settings.leaf_control).await?;
    let samples = send_searches(settings).await?;
    let after = total_executions(&settings.leaf_control).await?;
    let has_controls = !settings.leaf_control.is_empty();
    Report::from_samples(&samples, has_controls.then(|| after.saturating_sub(before)))
}

/// Total number of executions that the leaves behind these control ports have logged.
///
/// # Errors
///
/// Fails when a control port does not answer.
pub async fn total_executions(controls: &[SocketAddr]) -> Result<u64> {
    let mut total = 0;
    for &control in controls {
        total += execution_count(control).await.with_context(|| {
            format!("could not read the executions from leaf control port {control}")
        })?;
    }
    Ok(total)
}

/// Sends the searches and waits for all outcomes.
///
/// # Errors
///
/// Fails when a request can't be built from the settings.
pub async fn send_searches(settings: &Settings) -> Result<Vec<Sample>> {
    let client = Arc::new(Client::new(&settings.target));
    let duration = Duration::from_secs_f64(settings.seconds);
    let start = Instant::now();
    let mut tasks = JoinSet::new();
    for (sequence, arrival) in (0..).zip(Arrivals::new(settings.seed, settings.rate, duration)) {
        let arrival_time = start + arrival;
        let class = pick_class(&settings.class, sequence);
        let request = build_request(settings, class.as_deref(), sequence)?;
        let wait = Duration::from_millis(settings.timeout_ms) + TIMEOUT_GRACE;
        let collection = settings.collection.clone();
        sleep_until(arrival_time).await;
        let client = Arc::clone(&client);
        tasks.spawn(async move {
            let outcome = send_request(&client, request, &collection, wait).await;
            Sample { class, sequence, arrival, latency: arrival_time.elapsed(), outcome }
        });
    }
    Ok(tasks.join_all().await)
}

/// The query of a request in JSON, with the bytes that a leaf receives.
///
/// # Errors
///
/// Fails when the query can't be serialized.
pub fn encode_query(sequence: u64) -> Result<Vec<u8>> {
    Ok(serde_json::to_vec(&Query { limit: HIT_LIMIT, sequence })?)
}

/// Class of the request with this number: weighted round robin over the classes.
fn pick_class(classes: &[Class], sequence: u64) -> Option<String> {
    let mut slots = classes.iter().flat_map(|c| (0..c.weight).map(|_| &c.name));
    let total_weight: u64 = classes.iter().map(|c| u64::from(c.weight)).sum();
    let slot = sequence.checked_rem(total_weight)?;
    slots.nth(usize::try_from(slot).ok()?).cloned()
}

fn build_request(
    settings: &Settings,
    class: Option<&str>,
    sequence: u64,
) -> Result<Request<Full<Bytes>>> {
    let search = Search {
        collection: &settings.collection,
        query: Query { limit: HIT_LIMIT, sequence },
        limit: HIT_LIMIT,
        min_coverage: settings.min_coverage,
    };
    let mut builder = Request::post("/v1/search")
        .header("content-type", "application/json")
        .header("wisteria-timeout-ms", settings.timeout_ms);
    if let Some(class) = class {
        builder = builder.header("wisteria-class", class);
    }
    Ok(builder.body(Full::new(Bytes::from(serde_json::to_vec(&search)?)))?)
}

async fn send_request(
    client: &Client,
    request: Request<Full<Bytes>>,
    collection: &str,
    wait: Duration,
) -> Outcome {
    match timeout(wait, client.send(request)).await {
        Ok(Ok(reply)) => parse_reply(&reply, collection),
        Ok(Err(error)) => {
            log::debug!("request failed: {error:#}");
            Outcome::Failed("connection")
        }
        Err(_) => Outcome::Failed("no-answer"),
    }
}

fn parse_reply(reply: &Reply, collection: &str) -> Outcome {
    if reply.status == StatusCode::OK {
        return match serde_json::from_slice::<SearchAnswer>(&reply.body) {
            Ok(answer) => answer.outcome(collection),
            Err(_) => Outcome::Failed("malformed-answer"),
        };
    }
    match serde_json::from_slice::<Refusal>(&reply.body) {
        Ok(refusal) => Outcome::Refused(format!("{}/{}", refusal.verdict, refusal.reason)),
        Err(_) => Outcome::Failed("malformed-refusal"),
    }
}

impl SearchAnswer {
    /// The outcome of the answer; a failure when a hit belongs to another snapshot.
    fn outcome(self, collection: &str) -> Outcome {
        let Self { snapshot, coverage: Coverage { shards, answered }, hits } = self;
        // The stand-in endpoints put the collection and the snapshot into each hit's id.
        let prefix = format!("{collection}-{snapshot}-");
        if hits.iter().any(|hit| !hit.id.starts_with(&prefix)) {
            return Outcome::Failed("mixed-snapshots");
        }
        Outcome::Answered { shards, answered, snapshot }
    }
}
