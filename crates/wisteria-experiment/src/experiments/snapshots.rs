//! A new snapshot and then a repartition while queries run.

use std::time::Duration;

use anyhow::Result;
use tokio::time::{Instant, sleep_until};
use wisteria_leaf::{Fault, Kind};
use wisteria_load::{Ending, Sample, samples};

use super::{Output, Plan};
use crate::lab::{Lab, Shape, inject};
use crate::page::{Findings, Table};
use crate::plot::{Plot, Series};
use crate::timeline::{self, Phase};

const HOSTS: usize = 3;
const ZONES: [&str; 2] = ["north", "south"];
const SHARDS: usize = 8;
/// Shards after the repartition.
const SHARDS_AFTER: usize = 12;
const SNAPSHOTS: [&str; 3] = ["s1", "s2", "s3"];
const RATE: f64 = 60.0;
const SECONDS: f64 = 16.0;
/// Shares of the run: s2 added, s1 lost, s3 on new endpoints, s2 lost.
const EVENTS: [f64; 4] = [0.2, 0.35, 0.5, 0.7];
/// Pause between the two zones in each step.
const STAGGER: Duration = Duration::from_millis(400);
const STEP: f64 = 0.5;

/// Runs each seed.
pub(crate) async fn run(plan: Plan) -> Result<Output> {
    let seconds = plan.seconds(SECONDS);
    let mut runs = Vec::new();
    for seed in plan.seeds() {
        runs.push(once(seconds, seed).await?);
    }
    let [added, lost, parted, gone] = EVENTS.map(|share| share * seconds);
    let phases = [
        Phase::new("s1 alone", 0.0, added),
        Phase::new("s2 taken up", added, lost),
        Phase::new("s1 dropped", lost, parted),
        Phase::new("s3 with 12 shards comes", parted, gone),
        Phase::new("s2 dropped", gone, seconds),
    ];
    let mixed = runs.iter().flatten().filter(|s| s.ending == Ending::Failed("mixed-snapshots"));
    let (mixed, all) = (mixed.count(), runs.iter().map(Vec::len).sum::<usize>());
    let complete = runs.iter().flatten().filter(|s| s.ending.is_complete()).count();
    let findings = Findings {
        title: "A new snapshot and a repartition under load",
        about: "Endpoints take up a new snapshot, drop the old one, and a repartition from 8 to \
                12 shards arrives on new endpoints, one zone after the other in each step. Every \
                hit of an answer is checked against the answer's snapshot.",
        setup: format!(
            "{HOSTS} hosts, a replica of each shard in each of two zones, {RATE} queries a second, \
             {seconds} s a run."
        ),
        tables: vec![timeline::table(&runs, &phases)?, by_snapshot(&runs)],
        verdict: format!(
            "Answers that mixed snapshots: {mixed} of {all} requests. Complete answers: {complete} \
             ({:.2}%).",
            100.0 * complete as f64 / all.max(1) as f64
        ),
    };
    let plot = Plot {
        title: "Complete answers by snapshot".to_owned(),
        across: "seconds",
        up: "per cent of requests",
        series: SNAPSHOTS.iter().map(|s| over_time(s, &runs, seconds)).collect(),
    };
    Ok(Output { findings, plot })
}

fn names(sample: &Sample, wanted: &str) -> bool {
    matches!(&sample.ending, Ending::Answered { snapshot, .. } if snapshot == wanted)
}

fn by_snapshot(runs: &[Vec<Sample>]) -> Table {
    let mut table = Table::new(&["snapshot", "answers, all runs", "complete", "first s", "last s"]);
    for snapshot in SNAPSHOTS {
        let here: Vec<&Sample> = runs.iter().flatten().filter(|s| names(s, snapshot)).collect();
        let complete = here.iter().filter(|s| s.ending.is_complete()).count();
        let times = || here.iter().map(|s| s.arrival.as_secs_f64());
        table.row([
            snapshot.to_owned(),
            here.len().to_string(),
            complete.to_string(),
            format!("{:.2}", times().fold(f64::INFINITY, f64::min)),
            format!("{:.2}", times().fold(0.0, f64::max)),
        ]);
    }
    table
}

fn over_time(snapshot: &str, runs: &[Vec<Sample>], seconds: f64) -> Series {
    let point = |step: usize| {
        let from = step as f64 * STEP;
        let within = |s: &&Sample| (from..from + STEP).contains(&s.arrival.as_secs_f64());
        let here: Vec<&Sample> = runs.iter().flatten().filter(within).collect();
        let complete = here.iter().filter(|s| names(s, snapshot) && s.ending.is_complete()).count();
        (from, 100.0 * complete as f64 / here.len().max(1) as f64)
    };
    Series::new(snapshot, (0..(seconds / STEP) as usize).map(point).collect())
}

async fn once(seconds: f64, seed: u64) -> Result<Vec<Sample>> {
    let mut lab = Lab::start(HOSTS, &ZONES).await?;
    for (zone, seed) in ZONES.iter().zip([seed * 1_000, seed * 1_000 + 500]) {
        lab.leaves(&Shape::new(zone, SHARDS, seed)).await?;
    }
    lab.admit().await?;
    lab.tier.wait_for_shards(0, "kits", SHARDS as u64).await?;
    let load = lab.load(RATE, seconds, seed);
    let (samples, changed) = tokio::join!(samples(&load), change(&mut lab, seconds, seed));
    changed?;
    samples
}

async fn change(lab: &mut Lab, seconds: f64, seed: u64) -> Result<()> {
    let begun = Instant::now();
    let [added, lost, parted, gone] =
        EVENTS.map(|share| begun + Duration::from_secs_f64(share * seconds));
    each_zone(lab, added, Kind::AddSnapshot, SNAPSHOTS[1]).await?;
    each_zone(lab, lost, Kind::LoseSnapshot, SNAPSHOTS[0]).await?;
    for (zone, i) in ZONES.iter().zip(0..) {
        sleep_until(parted + STAGGER * i).await;
        let shape = Shape::new(zone, SHARDS_AFTER, seed * 1_000 + 700 + u64::from(i) * 100);
        lab.leaves(&Shape { snapshot: SNAPSHOTS[2], ..shape }).await?;
    }
    each_zone(lab, gone, Kind::LoseSnapshot, SNAPSHOTS[1]).await
}

/// Brings the change about at the first endpoints of each zone in turn.
async fn each_zone(lab: &Lab, at: Instant, kind: Kind, snapshot: &str) -> Result<()> {
    for (i, leaves) in (0..).zip(&lab.tier.leaves[..ZONES.len()]) {
        sleep_until(at + STAGGER * i).await;
        let fault = Fault { snapshot: Some(snapshot.to_owned()), ..Fault::new(kind) };
        inject(leaves.control, &fault).await?;
    }
    Ok(())
}
