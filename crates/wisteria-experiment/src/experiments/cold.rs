//! An endpoint that falls back into cold start without saying so.

use std::time::Duration;

use anyhow::{Context, Result};
use serde_json::json;
use tokio::time::{Instant, sleep_until};
use wisteria_leaf::{Counters, Fault, Kind, Target};
use wisteria_load::{Sample, samples};
use wisteria_testkit::client;

use super::{Output, Plan};
use crate::lab::{Lab, Shape, counters, inject};
use crate::page::{Findings, Table};
use crate::plot::Plot;
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
const FIRST: f64 = 1.0;

/// One run.
struct Run {
    samples: Vec<Sample>,
    victim: Counters,
}

/// Runs each seed.
pub(crate) async fn run(plan: Plan) -> Result<Output> {
    let seconds = plan.seconds(SECONDS);
    let mut runs = Vec::new();
    for seed in plan.seeds() {
        runs.push(once(seconds, seed).await?);
    }
    let mut table = Table::new(&["figure of the endpoint", "median over seeds"]);
    let of = |f: fn(&Run) -> f64| Spread::new(runs.iter().map(f));
    let excess = of(|r| f64::from(r.victim.max_cold) / f64::from(BEARABLE));
    table.row([
        "most executions at once while cold".to_owned(),
        of(|r| f64::from(r.victim.max_cold)).show(0),
    ]);
    table.row(["that over what it bears".to_owned(), excess.show(1)]);
    table.row(["executions while collapsed".to_owned(), of(|r| r.victim.collapsed as f64).show(0)]);
    table.row(["refused by it".to_owned(), of(|r| r.victim.refused as f64).show(0)]);
    let (from, to) = (EVENT * seconds, EVENT * seconds + COLD.as_secs_f64());
    let phases = [
        Phase::new("before", 0.0, from),
        Phase::new("first second of the cold", from, from + FIRST),
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
            "At most {:.0} times its bearable load while cold (median), against a promise of 1 \
             but for what was in flight when it fell.",
            excess.median()
        ),
    };
    let plot = Plot {
        title: format!("Complete answers; endpoint cold from {from:.0} s to {to:.0} s"),
        across: "seconds",
        up: "per cent of requests",
        series: vec![timeline::complete_over_time("all seeds", &samples)],
    };
    Ok(Output { findings, plot })
}

async fn once(seconds: f64, seed: u64) -> Result<Run> {
    let mut lab = Lab::start(HOSTS, &ZONES).await?;
    for (zone, seed) in ZONES.iter().zip([seed * 1_000, seed * 1_000 + 500]) {
        let shape = Shape::new(zone, SHARDS, seed);
        lab.leaves(&Shape { mean: MEAN, slots: SLOTS, bearable: BEARABLE, ..shape }).await?;
    }
    lab.admit().await?;
    lab.tier.covered(0, "kits", SHARDS as u64).await?;
    let load = lab.load(RATE, seconds, seed);
    let (samples, fallen) = tokio::join!(samples(&load), fall(&lab, seconds));
    fallen?;
    let counted = counters(&lab.tier.leaves[0]).await?;
    let victim = *counted.leaves.get(&victim_name()).context("the endpoint ran nothing")?;
    Ok(Run { samples: samples?, victim })
}

fn victim_name() -> String {
    format!("kits-{}-0-0", ZONES[0])
}

async fn fall(lab: &Lab, seconds: f64) -> Result<()> {
    let begun = Instant::now();
    sleep_until(begun + Duration::from_secs_f64(EVENT * seconds)).await;
    let control = lab.tier.leaves[0].control;
    client::post(control, "/executions/reset", &json!(null)).await?;
    for kind in [Kind::Lie, Kind::Cold] {
        let mut fault = Fault::new(kind);
        fault.leaf = Some(Target::Name(victim_name()));
        fault.for_ms = Some(COLD.as_millis() as u64);
        inject(control, &fault).await?;
    }
    Ok(())
}
