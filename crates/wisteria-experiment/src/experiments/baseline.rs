//! Baseline figures that other experiments compare with: three hosts, two zones, sixteen endpoints.

use anyhow::Result;
use wisteria_load::{Report, run_searches};

use super::{Output, Plan};
use crate::page::{Findings, Table};
use crate::plot::{Plot, Series};
use crate::stats::Spread;
use crate::testbed::{LeafConfig, Testbed};

const HOSTS: usize = 3;
const ZONES: [&str; 2] = ["north", "south"];
const SHARDS: usize = 8;
/// Mean queries per second.
const RATE: f64 = 50.0;
/// Default length of the load of one run.
const SECONDS: f64 = 10.0;
/// Probabilities of a straggler to measure.
const STRAGGLERS: [f64; 2] = [0.0, 0.01];

/// Measures each probability of stragglers, with one run for each seed.
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
            reports.push(run_seed(stragglers, plan.seconds(SECONDS), seed).await?);
        }
        table.add_row(row(stragglers, &reports));
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
        conclusion: "All that follows is held against these figures.".to_owned(),
    };
    let plot = Plot {
        title: "Latency of answers by quantile".to_owned(),
        x_label: "quantile, as nines (1: 90%, 2: 99%, 3: 99.9%)",
        y_label: "ms",
        series,
    };
    Ok(Output { findings, plot })
}

/// Runs one seed.
async fn run_seed(stragglers: f64, seconds: f64, seed: u64) -> Result<Report> {
    let mut testbed = Testbed::start(HOSTS, &ZONES).await?;
    for (zone, seed) in ZONES.iter().zip([seed * 1_000, seed * 1_000 + 500]) {
        testbed
            .start_leaves(&LeafConfig { stragglers, ..LeafConfig::new(zone, SHARDS, seed) })
            .await?;
    }
    testbed.admit_endpoints().await?;
    testbed.tier.wait_for_shards(0, "kits", SHARDS as u64).await?;
    run_searches(&testbed.load_settings(RATE, seconds, seed)).await
}

/// Cells of the table's row for one probability of stragglers.
fn row(stragglers: f64, reports: &[Report]) -> Vec<String> {
    let spread =
        |f: fn(&Report) -> f64, decimals| Spread::new(reports.iter().map(f)).format(decimals);
    vec![
        format!("{:.0}%", stragglers * 100.0),
        spread(|r| r.answers.p50_ms, 1),
        spread(|r| r.answers.p99_ms, 1),
        spread(|r| r.answers.p999_ms, 1),
        spread(|r| r.complete, 4),
        spread(|r| r.load_ratio.unwrap_or_default(), 3),
        spread(|r| (r.requests - r.answered) as f64, 0),
    ]
}

/// Median over runs of each quantile of latency; x is the quantile's number of nines.
fn points(stragglers: f64, reports: &[Report]) -> Series {
    let spread = |f: fn(&Report) -> f64| Spread::new(reports.iter().map(f)).median();
    let points = vec![
        (0.3, spread(|r| r.answers.p50_ms)),
        (2.0, spread(|r| r.answers.p99_ms)),
        (3.0, spread(|r| r.answers.p999_ms)),
    ];
    Series::new(format!("{:.0}% stragglers", stragglers * 100.0), points)
}
