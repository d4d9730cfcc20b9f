//! A zone taken out by the operators and brought back under load.

use std::time::Duration;

use anyhow::Result;
use tokio::time::{Instant, sleep, sleep_until};
use wisteria_load::{Sample, samples};
use wisteria_testkit::tier::Leaves;

use super::{Output, Plan};
use crate::lab::{Lab, Shape, counters};
use crate::page::{Findings, Table};
use crate::stats::Spread;
use crate::timeline::{self, Phase};

const HOSTS: usize = 6;
const ZONES: [&str; 3] = ["north", "south", "west"];
/// The first, which a tier that prefers no replica uses too.
const OUT: &str = ZONES[0];
const SHARDS: usize = 10;
const RATE: f64 = 60.0;
const SECONDS: f64 = 16.0;
/// Shares of the run at which the zone is taken out and brought back.
const EVENTS: (f64, f64) = (0.25, 0.625);
/// Pause between two looks at the executions of the zone.
const LOOK: Duration = Duration::from_millis(20);
/// Time after which the goal allows no new work.
const GOAL: f64 = 3.0;

/// One run.
struct Run {
    samples: Vec<Sample>,
    watched: Watched,
}

/// What the endpoints of the zone saw.
#[derive(Clone, Copy, Debug)]
struct Watched {
    /// Executions before the zone was taken out.
    before: u64,
    /// Seconds from the acceptance until the last new execution in the zone.
    stopped: f64,
    /// Executions that began more than the goal's time after the acceptance.
    late: u64,
    /// Seconds from the acceptance of the return to the first new execution.
    back: Option<f64>,
}

/// Runs each seed.
pub(crate) async fn run(plan: Plan) -> Result<Output> {
    let seconds = plan.seconds(SECONDS);
    let mut runs = Vec::new();
    for seed in plan.seeds() {
        runs.push(once(seconds, seed).await?);
    }
    let mut table = Table::new(&["figure", "median over seeds"]);
    let of = |f: fn(&Watched) -> f64| Spread::new(runs.iter().map(|r| f(&r.watched)));
    table.row(["executions in the zone before".to_owned(), of(|r| r.before as f64).show(0)]);
    let stopped = of(|r| r.stopped);
    table.row(["seconds until the last new work in the zone".to_owned(), stopped.show(2)]);
    table.row(["executions later than 3 s".to_owned(), of(|r| r.late as f64).show(0)]);
    let back = Spread::new(runs.iter().filter_map(|r| r.watched.back));
    table.row(["seconds until new work after the return".to_owned(), back.show(2)]);
    let samples: Vec<Vec<Sample>> = runs.iter().map(|r| r.samples.clone()).collect();
    let (out, back) = (EVENTS.0 * seconds, EVENTS.1 * seconds);
    let phases = [
        Phase::new("before", 0.0, out),
        Phase::new("zone out", out, back),
        Phase::new("zone back", back, seconds),
    ];
    let late: u64 = runs.iter().map(|r| r.watched.late).sum();
    let findings = Findings {
        title: "A zone taken out and brought back",
        about: "Operators take one of three availability zones out by an edit of the inventory \
                under load, and bring it back. Executions are counted at the leaves.",
        setup: format!(
            "{HOSTS} hosts, {SHARDS} shards with a replica in each of three zones, {RATE} queries \
             a second to all hosts, those of the zone included, {seconds} s a run."
        ),
        tables: vec![table, timeline::table(&samples, &phases)?],
        verdict: format!(
            "Goal: no new work {GOAL} s after the edit was accepted: {} ({late} executions later, \
             all runs).",
            if late == 0 { "met" } else { "missed" }
        ),
    };
    let title = format!("Complete answers; zone out at {out:.0} s, back at {back:.0} s");
    let plot = timeline::plot(title, &samples);
    Ok(Output { findings, plot })
}

async fn once(seconds: f64, seed: u64) -> Result<Run> {
    let mut lab = Lab::start(HOSTS, &ZONES).await?;
    for (i, zone) in (0..).zip(ZONES) {
        lab.leaves(&Shape::new(zone, SHARDS, seed * 1_000 + i * 100)).await?;
    }
    lab.admit().await?;
    lab.tier.wait_for_shards(0, "kits", SHARDS as u64).await?;
    let load = lab.load(RATE, seconds, seed);
    let (samples, watched) = tokio::join!(samples(&load), watch(&lab, seconds));
    Ok(Run { samples: samples?, watched: watched? })
}

/// Takes the zone out and back and follows the executions of its endpoints.
async fn watch(lab: &Lab, seconds: f64) -> Result<Watched> {
    let begun = Instant::now();
    let at = |share: f64| begun + Duration::from_secs_f64(share * seconds);
    let leaves = &lab.tier.leaves[0];
    sleep_until(at(EVENTS.0)).await;
    let before = counters(leaves).await?.total;
    lab.apply(OUT).await?;
    let (stopped, late) = last_work(leaves, at(EVENTS.1)).await?;
    lab.apply("").await?;
    let back = first_work(leaves, at(1.0)).await?;
    Ok(Watched { before, stopped, late, back })
}

async fn last_work(leaves: &Leaves, end: Instant) -> Result<(f64, u64)> {
    let accepted = Instant::now();
    let (mut seen, mut last, mut late) = (counters(leaves).await?.total, 0.0, 0);
    while Instant::now() < end {
        sleep(LOOK).await;
        let now = counters(leaves).await?.total;
        let passed = accepted.elapsed().as_secs_f64();
        if now > seen {
            last = passed;
            late += if passed > GOAL { now - seen } else { 0 };
            seen = now;
        }
    }
    Ok((last, late))
}

async fn first_work(leaves: &Leaves, end: Instant) -> Result<Option<f64>> {
    let accepted = Instant::now();
    let seen = counters(leaves).await?.total;
    while Instant::now() < end {
        if counters(leaves).await?.total > seen {
            return Ok(Some(accepted.elapsed().as_secs_f64()));
        }
        sleep(LOOK).await;
    }
    Ok(None)
}
