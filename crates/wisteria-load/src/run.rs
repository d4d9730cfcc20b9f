//! One run: arrivals in, report out.

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
use crate::client::{Client, Reply, executions};
use crate::report::{Ending, Report, Sample};
use crate::settings::{Class, Settings};

/// Time past its timeout that a request waits for the refusal.
pub(crate) const GRACE: Duration = Duration::from_secs(1);
/// Hits asked for.
const LIMIT: u32 = 10;

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

/// Sends the load, waits for every answer and reports.
///
/// # Errors
///
/// Fails when a control port of leaves does not answer.
pub async fn run(settings: &Settings) -> Result<Report> {
    let before = total(&settings.leaf_control).await?;
    let samples = samples(settings).await?;
    let after = total(&settings.leaf_control).await?;
    let known = !settings.leaf_control.is_empty();
    Report::of(&samples, known.then(|| after.saturating_sub(before)))
}

/// Executions that the leaves behind these control ports have logged.
///
/// # Errors
///
/// Fails when a control port does not answer.
pub async fn total(controls: &[SocketAddr]) -> Result<u64> {
    let mut total = 0;
    for &control in controls {
        total += executions(control).await.with_context(|| format!("leaf control {control}"))?;
    }
    Ok(total)
}

/// Sends the load and waits for every answer.
///
/// # Errors
///
/// Fails when the settings make no request.
pub async fn samples(settings: &Settings) -> Result<Vec<Sample>> {
    let client = Arc::new(Client::new(&settings.target));
    let span = Duration::from_secs_f64(settings.seconds);
    let start = Instant::now();
    let mut tasks = JoinSet::new();
    for (sequence, arrival) in (0..).zip(Arrivals::new(settings.seed, settings.rate, span)) {
        let intended = start + arrival;
        let class = class(&settings.class, sequence);
        let request = request(settings, class.as_deref(), sequence)?;
        let limit = Duration::from_millis(settings.timeout_ms) + GRACE;
        let collection = settings.collection.clone();
        sleep_until(intended).await;
        let client = Arc::clone(&client);
        tasks.spawn(async move {
            let ending = exchange(&client, request, &collection, limit).await;
            Sample { class, sequence, arrival, latency: intended.elapsed(), ending }
        });
    }
    Ok(tasks.join_all().await)
}

/// The query of a request, as the leaves get it.
///
/// # Errors
///
/// Fails when it can't be written as JSON.
pub fn query(sequence: u64) -> Result<Vec<u8>> {
    Ok(serde_json::to_vec(&Query { limit: LIMIT, sequence })?)
}

/// The class of a request: the classes in turn, each as often as its weight.
fn class(classes: &[Class], sequence: u64) -> Option<String> {
    let mut turns = classes.iter().flat_map(|c| (0..c.weight).map(|_| &c.name));
    let all: u64 = classes.iter().map(|c| u64::from(c.weight)).sum();
    let turn = sequence.checked_rem(all)?;
    turns.nth(usize::try_from(turn).ok()?).cloned()
}

fn request(
    settings: &Settings,
    class: Option<&str>,
    sequence: u64,
) -> Result<Request<Full<Bytes>>> {
    let search = Search {
        collection: &settings.collection,
        query: Query { limit: LIMIT, sequence },
        limit: LIMIT,
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

async fn exchange(
    client: &Client,
    request: Request<Full<Bytes>>,
    collection: &str,
    limit: Duration,
) -> Ending {
    match timeout(limit, client.send(request)).await {
        Ok(Ok(reply)) => read(&reply, collection),
        Ok(Err(error)) => {
            log::debug!("{error:#}");
            Ending::Failed("connection")
        }
        Err(_) => Ending::Failed("no-answer"),
    }
}

fn read(reply: &Reply, collection: &str) -> Ending {
    if reply.status == StatusCode::OK {
        return match serde_json::from_slice::<SearchAnswer>(&reply.body) {
            Ok(answer) => answer.ending(collection),
            Err(_) => Ending::Failed("malformed-answer"),
        };
    }
    match serde_json::from_slice::<Refusal>(&reply.body) {
        Ok(refusal) => Ending::Refused(format!("{}/{}", refusal.verdict, refusal.reason)),
        Err(_) => Ending::Failed("malformed-refusal"),
    }
}

impl SearchAnswer {
    fn ending(self, collection: &str) -> Ending {
        let Self { snapshot, coverage: Coverage { shards, answered }, hits } = self;
        // The stand-in's hits name the snapshot that they come from.
        let prefix = format!("{collection}-{snapshot}-");
        if hits.iter().any(|hit| !hit.id.starts_with(&prefix)) {
            return Ending::Failed("mixed-snapshots");
        }
        Ending::Answered { shards, answered, snapshot }
    }
}
