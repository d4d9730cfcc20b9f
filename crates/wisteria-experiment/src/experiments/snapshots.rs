//! A new snapshot, and then a repartition, while queries run.

use std::time::Duration;

use anyhow::Result;
use tokio::time::{Instant, sleep_until};
use wisteria_leaf::{Fault, Kind};
use wisteria_load::{Outcome, Sample, send_searches};

use super::{Output, Plan};
use crate::page::{Findings, Table};
use crate::plot::{Plot, Series};
use crate::testbed::{LeafConfig, Testbed, inject};
use crate::timeline::{self, Phase};

const HOSTS: usize = 3;
const ZONES: [&str; 2] = ["north", "south"];
const SHARDS: usize = 8;
/// Shards after the repartition.
const SHARDS_AFTER: usize = 12;
const SNAPSHOTS: [&str; 3] = ["s1", "s2", "s3"];
/// Mean queries per second.
const RATE: f64 = 60.0;
/// Default length of the load of one run.
const SECONDS: f64 = 16.0;
/// Times of the events as shares of the run: s2 added, s1 removed, s3 started on new endpoints, s2
/// removed.
const EVENT_TIMES: [f64; 4] = [0.2, 0.35, 0.5, 0.7];
/// Delay from one zone to the next at each event.
const ZONE_DELAY: Duration = Duration::from_millis(400);
/// Interval of the plot that each point summarizes.
const STEP_SECONDS: f64 = 0.5;

/// Runs the experiment once for each seed.
pub(crate) async fn run(plan: Plan) -> Result<Output> {
    let seconds = plan.seconds(SECONDS);
    let mut runs = Vec::new();
    for seed in plan.seeds() {
        runs.push(run_seed(seconds, seed).await?);
    }
    let [s2_added, s1_removed, s3_started, s2_removed] = EVENT_TIMES.map(|share| share * seconds);
    let phases = [
        Phase::new("s1 alone", 0.0, s2_added),
        Phase::new("s2 taken up", s2_added, s1_removed),
        Phase::new("s1 dropped", s1_removed, s3_started),
        Phase::new("s3 with 12 shards comes", s3_started, s2_removed),
        Phase::new("s2 dropped", s2_removed, seconds),
    ];
    let mixed = runs.iter().flatten().filter(|s| s.outcome == Outcome::Failed("mixed-snapshots"));
    let (mixed, all) = (mixed.count(), runs.iter().map(Vec::len).sum::<usize>());
    let complete = runs.iter().flatten().filter(|s| s.outcome.is_complete()).count();
    let findings = Findings {
        title: "A new snapshot and a repartition under load",
        about: "Endpoints take up a new snapshot, drop the old one, and a repartition from 8 to \
                12 shards arrives on new endpoints, one zone after the other in each step. Every \
                hit of an answer is checked against the answer's snapshot.",
        setup: format!(
            "{HOSTS} hosts, a replica of each shard in each of two zones, {RATE} queries a second, \
             {seconds} s a run."
        ),
        tables: vec![timeline::phase_table(&runs, &phases)?, by_snapshot(&runs)],
        conclusion: format!(
            "Answers that mixed snapshots: {mixed} of {all} requests. Complete answers: {complete} \
             ({:.2}%).",
            100.0 * complete as f64 / all.max(1) as f64
        ),
    };
    let plot = Plot {
        title: "Complete answers by snapshot".to_owned(),
        x_label: "seconds",
        y_label: "per cent of requests",
        series: SNAPSHOTS.iter().map(|s| over_time(s, &runs, seconds)).collect(),
    };
    Ok(Output { findings, plot })
}

/// Whether the request was answered from this snapshot.
fn is_answered_from(sample: &Sample, wanted: &str) -> bool {
    matches!(&sample.outcome, Outcome::Answered { snapshot, .. } if snapshot == wanted)
}

/// A table of the answers from each snapshot.
fn by_snapshot(runs: &[Vec<Sample>]) -> Table {
    let mut table = Table::new(&["snapshot", "answers, all runs", "complete", "first s", "last s"]);
    for snapshot in SNAPSHOTS {
        let answers: Vec<&Sample> =
            runs.iter().flatten().filter(|s| is_answered_from(s, snapshot)).collect();
        let complete = answers.iter().filter(|s| s.outcome.is_complete()).count();
        let times = || answers.iter().map(|s| s.arrival.as_secs_f64());
        table.add_row([
            snapshot.to_owned(),
            answers.len().to_string(),
            complete.to_string(),
            format!("{:.2}", times().fold(f64::INFINITY, f64::min)),
            format!("{:.2}", times().fold(0.0, f64::max)),
        ]);
    }
    table
}

/// Percentage of requests answered completely from this snapshot, over time.
fn over_time(snapshot: &str, runs: &[Vec<Sample>], seconds: f64) -> Series {
    let point = |step: usize| {
        let from = step as f64 * STEP_SECONDS;
        let within = |s: &&Sample| (from..from + STEP_SECONDS).contains(&s.arrival.as_secs_f64());
        let in_step: Vec<&Sample> = runs.iter().flatten().filter(within).collect();
        let complete = in_step
            .iter()
            .filter(|s| is_answered_from(s, snapshot) && s.outcome.is_complete())
            .count();
        (from, 100.0 * complete as f64 / in_step.len().max(1) as f64)
    };
    Series::new(snapshot, (0..(seconds / STEP_SECONDS) as usize).map(point).collect())
}

/// Runs one seed.
async fn run_seed(seconds: f64, seed: u64) -> Result<Vec<Sample>> {
    let mut testbed = Testbed::start(HOSTS, &ZONES).await?;
    for (zone, seed) in ZONES.iter().zip([seed * 1_000, seed * 1_000 + 500]) {
        testbed.start_leaves(&LeafConfig::new(zone, SHARDS, seed)).await?;
    }
    testbed.admit_endpoints().await?;
    testbed.tier.wait_for_shards(0, "kits", SHARDS as u64).await?;
    let load = testbed.load_settings(RATE, seconds, seed);
    let (samples, applied) =
        tokio::join!(send_searches(&load), apply_events(&mut testbed, seconds, seed));
    applied?;
    samples
}

/// Adds and removes the snapshots at the times of the events.
async fn apply_events(testbed: &mut Testbed, seconds: f64, seed: u64) -> Result<()> {
    let start = Instant::now();
    let [s2_added, s1_removed, s3_started, s2_removed] =
        EVENT_TIMES.map(|share| start + Duration::from_secs_f64(share * seconds));
    inject_by_zone(testbed, s2_added, Kind::AddSnapshot, SNAPSHOTS[1]).await?;
    inject_by_zone(testbed, s1_removed, Kind::LoseSnapshot, SNAPSHOTS[0]).await?;
    for (zone, i) in ZONES.iter().zip(0..) {
        sleep_until(s3_started + ZONE_DELAY * i).await;
        let config = LeafConfig::new(zone, SHARDS_AFTER, seed * 1_000 + 700 + u64::from(i) * 100);
        testbed.start_leaves(&LeafConfig { snapshot: SNAPSHOTS[2], ..config }).await?;
    }
    inject_by_zone(testbed, s2_removed, Kind::LoseSnapshot, SNAPSHOTS[1]).await
}

/// Injects the fault into the first leaf process of each zone, one zone after the other.
async fn inject_by_zone(testbed: &Testbed, at: Instant, kind: Kind, snapshot: &str) -> Result<()> {
    for (i, leaves) in (0..).zip(&testbed.tier.leaves[..ZONES.len()]) {
        sleep_until(at + ZONE_DELAY * i).await;
        let fault = Fault { snapshot: Some(snapshot.to_owned()), ..Fault::new(kind) };
        inject(leaves.control, &fault).await?;
    }
    Ok(())
}
