//! Goodput under offered load from half to twice the endpoints' capacity.

use std::time::Duration;

use anyhow::Result;
use wisteria_load::{Report, run_searches};

use super::{Output, Plan};
use crate::page::{Findings, Table};
use crate::plot::{Plot, Series};
use crate::stats::Spread;
use crate::testbed::{LeafConfig, Testbed};

const HOSTS: usize = 3;
const ZONES: [&str; 2] = ["north", "south"];
const SHARDS: usize = 10;
/// Requests that an endpoint runs at once.
const SLOTS: u32 = 2;
/// Mean execution time.
const MEAN: Duration = Duration::from_millis(40);
/// Default length of the load of one run.
const SECONDS: f64 = 10.0;
const TIMEOUT_MS: u64 = 500;
/// Offered loads, as multiples of the capacity.
const OFFERED: [f64; 6] = [0.5, 0.75, 1.0, 1.25, 1.5, 2.0];

/// Queries per second that the slots of both replicas can run.
fn capacity() -> f64 {
    f64::from(SLOTS) * ZONES.len() as f64 / MEAN.as_secs_f64()
}

/// Complete answers within the timeout, per second.
fn goodput(report: &Report, seconds: f64) -> f64 {
    report.complete * report.requests as f64 / seconds
}

/// Measures each offered load, with one run for each seed.
pub(crate) async fn run(plan: Plan) -> Result<Output> {
    let seconds = plan.seconds(SECONDS);
    let mut table = Table::new(&[
        "offered over capacity",
        "complete answers a second",
        "p99 ms of answers",
        "partial answers",
        "refused not run",
        "refused may have run",
        "errors",
        "executions over least",
    ]);
    let mut points = Vec::new();
    for offered in OFFERED {
        let mut reports = Vec::new();
        for seed in plan.seeds() {
            reports.push(run_seed(offered, seconds, seed).await?);
        }
        let spread = |f: &dyn Fn(&Report) -> f64| Spread::new(reports.iter().map(f));
        points.push((offered, spread(&|r| goodput(r, seconds)).median()));
        table.add_row([
            format!("{offered:.2}"),
            spread(&|r| goodput(r, seconds)).format(1),
            spread(&|r| r.answers.p99_ms).format(0),
            spread(&|r| r.answered as f64 - r.complete * r.requests as f64).format(0),
            spread(&|r| refused(r, "not-run")).format(0),
            spread(&|r| refused(r, "may-have-run")).format(0),
            spread(&|r| r.errors.values().sum::<u64>() as f64).format(0),
            spread(&|r| r.load_ratio.unwrap_or_default()).format(3),
        ]);
    }
    let findings = Findings {
        title: "Overload",
        about: "Goodput, which is complete answers in time, under open-loop load from half to \
                twice of what the endpoints' slots can run.",
        setup: format!(
            "{HOSTS} hosts, {SHARDS} shards with two replicas of {SLOTS} slots, executions of 40 \
             ms in the mean: a capacity of {:.0} queries a second. {TIMEOUT_MS} ms allowed for \
             each, least coverage 1, {seconds} s a run.",
            capacity()
        ),
        tables: vec![table],
        conclusion: conclude(&points),
    };
    let plot = Plot {
        title: "Complete answers a second under overload".to_owned(),
        x_label: "offered load over capacity",
        y_label: "complete answers a second",
        series: vec![Series::new("median over seeds", points)],
    };
    Ok(Output { findings, plot })
}

/// Number of refusals with this verdict.
fn refused(report: &Report, verdict: &str) -> f64 {
    let matching =
        report.refusals.iter().filter(|(kind, _)| kind.split('/').next() == Some(verdict));
    matching.map(|(_, n)| *n).sum::<u64>() as f64
}

/// Compares the goodput at twice the capacity with its peak.
fn conclude(points: &[(f64, f64)]) -> String {
    let peak = points.iter().map(|p| p.1).fold(0.0, f64::max);
    let at_twice = points.last().map_or(0.0, |p| p.1);
    let share = at_twice / peak.max(f64::MIN_POSITIVE);
    let met = if share >= 0.9 { "met" } else { "missed" };
    format!(
        "At twice the capacity goodput is {:.0}% of its peak; the goal of 90% is {met}.",
        share * 100.0
    )
}

/// Runs one seed.
async fn run_seed(offered: f64, seconds: f64, seed: u64) -> Result<Report> {
    let mut testbed = Testbed::start(HOSTS, &ZONES).await?;
    for (zone, seed) in ZONES.iter().zip([seed * 1_000, seed * 1_000 + 500]) {
        testbed
            .start_leaves(&LeafConfig {
                mean: MEAN,
                slots: SLOTS,
                ..LeafConfig::new(zone, SHARDS, seed)
            })
            .await?;
    }
    testbed.admit_endpoints().await?;
    testbed.tier.wait_for_shards(0, "kits", SHARDS as u64).await?;
    let mut load = testbed.load_settings(offered * capacity(), seconds, seed);
    load.timeout_ms = TIMEOUT_MS;
    load.min_coverage = Some(1.0);
    run_searches(&load).await
}
