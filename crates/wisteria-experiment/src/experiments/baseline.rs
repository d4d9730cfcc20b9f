//! The first figures: three hosts, two zones, sixteen endpoints.

use anyhow::Result;
use wisteria_load::{Report, run as send};

use super::{Output, Plan};
use crate::lab::{Lab, Shape};
use crate::page::{Findings, Table};
use crate::plot::{Plot, Series};
use crate::stats::Spread;

const HOSTS: usize = 3;
const ZONES: [&str; 2] = ["north", "south"];
const SHARDS: usize = 8;
const RATE: f64 = 50.0;
const SECONDS: f64 = 10.0;
const STRAGGLERS: [f64; 2] = [0.0, 0.01];

/// Runs each share of stragglers from each seed.
pub(crate) async fn run(plan: Plan) -> Result<Output> {
    let mut table = Table::new(&[
        "stragglers",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "complete",
        "executions over least",
        "refusals and errors",
    ]);
    let mut series = Vec::new();
    for stragglers in STRAGGLERS {
        let mut reports = Vec::new();
        for seed in plan.seeds() {
            reports.push(once(stragglers, plan.seconds(SECONDS), seed).await?);
        }
        table.row(row(stragglers, &reports));
        series.push(points(stragglers, &reports));
    }
    let findings = Findings {
        title: "Baseline",
        about: "First figures of the whole path: three hosts in two availability zones, eight \
                shards with one replica in each zone, executions of 5 ms in the mean (half of it \
                fixed, half exponential), stragglers ten times longer.",
        setup: format!(
            "{RATE} queries a second for {} s a run; median over seeds, least and greatest in \
             brackets.",
            plan.seconds(SECONDS)
        ),
        tables: vec![table],
        verdict: "All that follows is held against these figures.".to_owned(),
    };
    let plot = Plot {
        title: "Latency of answers by quantile".to_owned(),
        across: "quantile, as nines (1: 90%, 2: 99%, 3: 99.9%)",
        up: "ms",
        series,
    };
    Ok(Output { findings, plot })
}

async fn once(stragglers: f64, seconds: f64, seed: u64) -> Result<Report> {
    let mut lab = Lab::start(HOSTS, &ZONES).await?;
    for (zone, seed) in ZONES.iter().zip([seed * 1_000, seed * 1_000 + 500]) {
        lab.leaves(&Shape { stragglers, ..Shape::new(zone, SHARDS, seed) }).await?;
    }
    lab.admit().await?;
    lab.tier.wait_for_shards(0, "kits", SHARDS as u64).await?;
    send(&lab.load(RATE, seconds, seed)).await
}

fn row(stragglers: f64, reports: &[Report]) -> Vec<String> {
    let of = |f: fn(&Report) -> f64, decimals| Spread::new(reports.iter().map(f)).show(decimals);
    vec![
        format!("{:.0}%", stragglers * 100.0),
        of(|r| r.answers.p50_ms, 1),
        of(|r| r.answers.p99_ms, 1),
        of(|r| r.answers.p999_ms, 1),
        of(|r| r.complete, 4),
        of(|r| r.load_ratio.unwrap_or_default(), 3),
        of(|r| (r.requests - r.answered) as f64, 0),
    ]
}

fn points(stragglers: f64, reports: &[Report]) -> Series {
    let of = |f: fn(&Report) -> f64| Spread::new(reports.iter().map(f)).median();
    let points = vec![
        (0.3, of(|r| r.answers.p50_ms)),
        (2.0, of(|r| r.answers.p99_ms)),
        (3.0, of(|r| r.answers.p999_ms)),
    ];
    Series::new(format!("{:.0}% stragglers", stragglers * 100.0), points)
}
