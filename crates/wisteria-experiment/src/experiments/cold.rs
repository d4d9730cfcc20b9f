//! An endpoint that falls back into cold start without saying so.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Result;
use serde_json::json;
use tokio::time::{Instant, sleep, sleep_until};
use wisteria_leaf::{Counters, Fault, Kind, Target};
use wisteria_load::{Sample, samples};
use wisteria_testkit::client;

use super::{Output, Plan};
use crate::lab::{Lab, Shape, counters, inject};
use crate::page::{Findings, Table};
use crate::stats::Spread;
use crate::timeline::{self, Phase};

const HOSTS: usize = 3;
const ZONES: [&str; 2] = ["north", "south"];
const SHARDS: usize = 8;
const SLOTS: u32 = 4;
const BEARABLE: u32 = 1;
const MEAN: Duration = Duration::from_millis(10);
const RATE: f64 = 200.0;
const SECONDS: f64 = 14.0;
const COLD: Duration = Duration::from_secs(5);
/// Share of the run at which the endpoint falls cold.
const EVENT: f64 = 0.3;
/// Length of the phase that shows the first harm.
const FIRST: f64 = 0.5;

/// One run.
struct Run {
    samples: Vec<Sample>,
    /// Counters of the endpoint when it has just fallen.
    first: Counters,
    /// Its counters from then on.
    rest: Counters,
}

/// Runs each seed.
pub(crate) async fn run(plan: Plan) -> Result<Output> {
    let seconds = plan.seconds(SECONDS);
    let mut runs = Vec::new();
    for seed in plan.seeds() {
        runs.push(once(seconds, seed).await?);
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
        let of = |f: fn(&Counters) -> f64| Spread::new(runs.iter().map(|r| f(counters(r))));
        table.row([
            when.to_owned(),
            Spread::new(runs.iter().map(|r| over(counters(r)))).show(1),
            of(|c| c.executions as f64).show(0),
            of(|c| c.collapsed as f64).show(0),
            of(|c| c.refused as f64).show(0),
        ]);
    }
    let (from, to) = (EVENT * seconds, EVENT * seconds + COLD.as_secs_f64());
    let phases = [
        Phase::new("before", 0.0, from),
        Phase::new("first half second of the cold", from, from + FIRST),
        Phase::new("rest of the cold", from + FIRST, to),
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
        tables: vec![table, timeline::table(&samples, &phases)?],
        verdict: format!(
            "Later than half a second after its fall the endpoint had at most {:.1} times its \
             bearable load at once (median); the promise is 1, but for what was in flight when it \
             fell.",
            excess.median()
        ),
    };
    let title = format!("Complete answers; endpoint cold from {from:.0} s to {to:.0} s");
    let plot = timeline::plot(title, &samples);
    Ok(Output { findings, plot })
}

async fn once(seconds: f64, seed: u64) -> Result<Run> {
    let mut lab = Lab::start(HOSTS, &ZONES).await?;
    for (zone, seed) in ZONES.iter().zip([seed * 1_000, seed * 1_000 + 500]) {
        let shape = Shape::new(zone, SHARDS, seed);
        lab.leaves(&Shape { mean: MEAN, slots: SLOTS, bearable: BEARABLE, ..shape }).await?;
    }
    lab.admit().await?;
    lab.tier.wait_for_shards(0, "kits", SHARDS as u64).await?;
    let load = lab.load(RATE, seconds, seed);
    let (samples, fallen) = tokio::join!(samples(&load), fall(&lab, seconds));
    let first = fallen?;
    let rest = victim(&lab).await?;
    Ok(Run { samples: samples?, first, rest })
}

async fn victim(lab: &Lab) -> Result<Counters> {
    let counted = counters(&lab.tier.leaves[0]).await?;
    Ok(counted.leaves.get(&victim_name()).copied().unwrap_or_default())
}

fn victim_name() -> String {
    format!("kits-{}-0-0", ZONES[0])
}

/// Has the endpoint fall cold; returns its counters of the first half second.
async fn fall(lab: &Lab, seconds: f64) -> Result<Counters> {
    let begun = Instant::now();
    sleep_until(begun + Duration::from_secs_f64(EVENT * seconds)).await;
    let control = lab.tier.leaves[0].control;
    reset(control).await?;
    for kind in [Kind::Lie, Kind::Cold] {
        let mut fault = Fault::new(kind);
        fault.leaf = Some(Target::Name(victim_name()));
        fault.for_ms = Some(COLD.as_millis() as u64);
        inject(control, &fault).await?;
    }
    sleep(Duration::from_secs_f64(FIRST)).await;
    let first = victim(lab).await?;
    reset(control).await?;
    Ok(first)
}

async fn reset(control: SocketAddr) -> Result<()> {
    client::post(control, "/executions/reset", &json!(null)).await?;
    Ok(())
}
