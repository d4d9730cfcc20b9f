//! Offered load from half to twice of what the endpoints can run.

use std::time::Duration;

use anyhow::Result;
use wisteria_load::{Report, run as send};

use super::{Output, Plan};
use crate::lab::{Lab, Shape};
use crate::page::{Findings, Table};
use crate::plot::{Plot, Series};
use crate::stats::Spread;

const HOSTS: usize = 3;
const ZONES: [&str; 2] = ["north", "south"];
const SHARDS: usize = 10;
const SLOTS: u32 = 2;
const MEAN: Duration = Duration::from_millis(40);
const SECONDS: f64 = 10.0;
const TIMEOUT_MS: u64 = 500;
const OFFERED: [f64; 6] = [0.5, 0.75, 1.0, 1.25, 1.5, 2.0];

/// Queries a second that the slots of both replicas can run.
fn capacity() -> f64 {
    f64::from(SLOTS) * ZONES.len() as f64 / MEAN.as_secs_f64()
}

/// Complete answers in time, a second.
fn goodput(report: &Report, seconds: f64) -> f64 {
    report.complete * report.requests as f64 / seconds
}

/// Runs each load from each seed.
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
            reports.push(once(offered, seconds, seed).await?);
        }
        let of = |f: &dyn Fn(&Report) -> f64| Spread::new(reports.iter().map(f));
        points.push((offered, of(&|r| goodput(r, seconds)).median()));
        table.row([
            format!("{offered:.2}"),
            of(&|r| goodput(r, seconds)).show(1),
            of(&|r| r.answers.p99_ms).show(0),
            of(&|r| r.answered as f64 - r.complete * r.requests as f64).show(0),
            of(&|r| refused(r, "not-run")).show(0),
            of(&|r| refused(r, "may-have-run")).show(0),
            of(&|r| r.errors.values().sum::<u64>() as f64).show(0),
            of(&|r| r.load_ratio.unwrap_or_default()).show(3),
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
        verdict: verdict(&points),
    };
    let plot = Plot {
        title: "Complete answers a second under overload".to_owned(),
        across: "offered load over capacity",
        up: "complete answers a second",
        series: vec![Series::new("median over seeds", points)],
    };
    Ok(Output { findings, plot })
}

fn refused(report: &Report, verdict: &str) -> f64 {
    let of = report.refusals.iter().filter(|(kind, _)| kind.split('/').next() == Some(verdict));
    of.map(|(_, n)| *n).sum::<u64>() as f64
}

fn verdict(points: &[(f64, f64)]) -> String {
    let peak = points.iter().map(|p| p.1).fold(0.0, f64::max);
    let at_twice = points.last().map_or(0.0, |p| p.1);
    let share = at_twice / peak.max(f64::MIN_POSITIVE);
    let met = if share >= 0.9 { "met" } else { "missed" };
    format!(
        "At twice the capacity goodput is {:.0}% of its peak; the goal of 90% is {met}.",
        share * 100.0
    )
}

async fn once(offered: f64, seconds: f64, seed: u64) -> Result<Report> {
    let mut lab = Lab::start(HOSTS, &ZONES).await?;
    for (zone, seed) in ZONES.iter().zip([seed * 1_000, seed * 1_000 + 500]) {
        lab.leaves(&Shape { mean: MEAN, slots: SLOTS, ..Shape::new(zone, SHARDS, seed) }).await?;
    }
    lab.admit().await?;
    lab.tier.wait_for_shards(0, "kits", SHARDS as u64).await?;
    let mut load = lab.load(offered * capacity(), seconds, seed);
    load.timeout_ms = TIMEOUT_MS;
    load.min_coverage = Some(1.0);
    send(&load).await
}
