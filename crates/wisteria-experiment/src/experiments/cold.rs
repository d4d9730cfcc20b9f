//! An endpoint that returns to cold start but still announces itself as warm.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Result;
use serde_json::json;
use tokio::time::{Instant, sleep, sleep_until};
use wisteria_leaf::{Counters, Fault, Kind, Target};
use wisteria_load::{Sample, send_searches};
use wisteria_testkit::client;

use super::{Output, Plan};
use crate::page::{Findings, Table};
use crate::stats::Spread;
use crate::testbed::{LeafConfig, Testbed, counters, inject};
use crate::timeline::{self, Phase};

const HOSTS: usize = 3;
const ZONES: [&str; 2] = ["north", "south"];
const SHARDS: usize = 8;
/// Requests that a warm endpoint runs at once.
const SLOTS: u32 = 4;
/// Requests that a cold endpoint can run at once without collapsing.
const BEARABLE: u32 = 1;
/// Mean execution time.
const MEAN: Duration = Duration::from_millis(10);
/// Mean queries per second.
const RATE: f64 = 200.0;
/// Default length of the load of one run.
const SECONDS: f64 = 14.0;
/// Length of the cold start.
const COLD_TIME: Duration = Duration::from_secs(5);
/// Time at which the endpoint turns cold, as a share of the run.
const EVENT_TIME: f64 = 0.3;
/// Length of the first phase of the fault, which shows the initial harm.
const FIRST_SECONDS: f64 = 0.5;

/// Results of one run.
struct Run {
    samples: Vec<Sample>,
    /// Counters of the cold endpoint in the first phase of the fault.
    first: Counters,
    /// Counters of the endpoint after the first phase.
    rest: Counters,
}

/// Runs the experiment once for each seed.
pub(crate) async fn run(plan: Plan) -> Result<Output> {
    let seconds = plan.seconds(SECONDS);
    let mut runs = Vec::new();
    for seed in plan.seeds() {
        runs.push(run_seed(seconds, seed).await?);
    }
    let mut table = Table::new(&[
        "the endpoint",
        "most at once over what it bears",
        "executions",
        "executions while collapsed",
        "refused by it",
    ]);
    let over = |counters: &Counters| f64::from(counters.max_cold) / f64::from(BEARABLE);
    let excess = Spread::new(runs.iter().map(|r| over(&r.rest)));
    for (when, counters) in [
        ("in the first half second", (|r| &r.first) as fn(&Run) -> &Counters),
        ("later in the cold", |r| &r.rest),
    ] {
        let spread = |f: fn(&Counters) -> f64| Spread::new(runs.iter().map(|r| f(counters(r))));
        table.add_row([
            when.to_owned(),
            Spread::new(runs.iter().map(|r| over(counters(r)))).format(1),
            spread(|c| c.executions as f64).format(0),
            spread(|c| c.collapsed as f64).format(0),
            spread(|c| c.refused as f64).format(0),
        ]);
    }
    let (from, to) = (EVENT_TIME * seconds, EVENT_TIME * seconds + COLD_TIME.as_secs_f64());
    let phases = [
        Phase::new("before", 0.0, from),
        Phase::new("first half second of the cold", from, from + FIRST_SECONDS),
        Phase::new("rest of the cold", from + FIRST_SECONDS, to),
        Phase::new("after", to, seconds),
    ];
    let samples: Vec<Vec<Sample>> = runs.iter().map(|r| r.samples.clone()).collect();
    let findings = Findings {
        title: "An endpoint falling cold silently",
        about: "One endpoint falls back into cold start and goes on announcing a warm state. A \
                cold endpoint that runs more at once than it bears collapses: each execution then \
                takes ten times as long.",
        setup: format!(
            "{HOSTS} hosts, {SHARDS} shards with two replicas of {SLOTS} slots, bearable load \
             {BEARABLE}, executions of 10 ms in the mean, {RATE} queries a second, {seconds} s a \
             run; cold from {from:.1} s for 5 s."
        ),
        tables: vec![table, timeline::phase_table(&samples, &phases)?],
        conclusion: format!(
            "Later than half a second after its fall the endpoint had at most {:.1} times its \
             bearable load at once (median); the promise is 1, but for what was in flight when it \
             fell.",
            excess.median()
        ),
    };
    let title = format!("Complete answers; endpoint cold from {from:.0} s to {to:.0} s");
    let plot = timeline::completeness_plot(title, &samples);
    Ok(Output { findings, plot })
}

/// Runs one seed.
async fn run_seed(seconds: f64, seed: u64) -> Result<Run> {
    let mut testbed = Testbed::start(HOSTS, &ZONES).await?;
    for (zone, seed) in ZONES.iter().zip([seed * 1_000, seed * 1_000 + 500]) {
        let config = LeafConfig::new(zone, SHARDS, seed);
        testbed
            .start_leaves(&LeafConfig { mean: MEAN, slots: SLOTS, bearable: BEARABLE, ..config })
            .await?;
    }
    testbed.admit_endpoints().await?;
    testbed.tier.wait_for_shards(0, "kits", SHARDS as u64).await?;
    let load = testbed.load_settings(RATE, seconds, seed);
    let (samples, first) = tokio::join!(send_searches(&load), make_cold(&testbed, seconds));
    let first = first?;
    let rest = faulty_counters(&testbed).await?;
    Ok(Run { samples: samples?, first, rest })
}

/// Counters of the endpoint that the fault is injected into.
async fn faulty_counters(testbed: &Testbed) -> Result<Counters> {
    let counters = counters(&testbed.tier.leaves[0]).await?;
    Ok(counters.leaves.get(&faulty_name()).copied().unwrap_or_default())
}

/// Name of the endpoint that the fault is injected into.
fn faulty_name() -> String {
    format!("kits-{}-0-0", ZONES[0])
}

/// Makes the endpoint cold and returns its counters of the first phase.
async fn make_cold(testbed: &Testbed, seconds: f64) -> Result<Counters> {
    let start = Instant::now();
    sleep_until(start + Duration::from_secs_f64(EVENT_TIME * seconds)).await;
    let control = testbed.tier.leaves[0].control;
    reset_counters(control).await?;
    for kind in [Kind::Lie, Kind::Cold] {
        let mut fault = Fault::new(kind);
        fault.leaf = Some(Target::Name(faulty_name()));
        fault.for_ms = Some(COLD_TIME.as_millis() as u64);
        inject(control, &fault).await?;
    }
    sleep(Duration::from_secs_f64(FIRST_SECONDS)).await;
    let first = faulty_counters(testbed).await?;
    reset_counters(control).await?;
    Ok(first)
}

/// Resets the execution counters of a leaf process.
async fn reset_counters(control: SocketAddr) -> Result<()> {
    client::post(control, "/executions/reset", &json!(null)).await?;
    Ok(())
}
