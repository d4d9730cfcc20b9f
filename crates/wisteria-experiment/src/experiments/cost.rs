//! CPU time of one entry host per leaf request, by the number of shards of a query.

use std::time::{Duration, Instant};

use anyhow::Result;
use wisteria_load::{Report, send_searches};

use super::{Output, Plan};
use crate::page::{Findings, Table};
use crate::plot::{Plot, Series};
use crate::proc;
use crate::stats::Spread;
use crate::testbed::{LeafConfig, Testbed};

const ZONES: [&str; 1] = ["north"];
const SHARDS: [usize; 5] = [10, 25, 50, 100, 190];
/// Leaf requests per second, the same for every number of shards.
const LEAF_RATE: f64 = 4_000.0;
/// Default length of the load of one run.
const SECONDS: f64 = 8.0;
/// Requests that an endpoint runs at once.
const SLOTS: u32 = 8;
/// Goal: leaf requests per second, and the most cores that they may use.
const GOAL: (f64, f64) = (30_000.0, 4.0);
const US_PER_SECOND: f64 = 1e6;

/// Results of one run.
#[derive(Clone, Copy, Debug)]
struct Cost {
    /// CPU time per leaf request.
    leaf_us: f64,
    /// CPU time per query.
    query_us: f64,
    /// Mean number of cores in use.
    cores: f64,
    /// Share of requests with a complete answer.
    complete: f64,
}

/// Measures each number of shards, with one run for each seed.
pub(crate) async fn run(plan: Plan) -> Result<Output> {
    let mut table = Table::new(&[
        "shards a query",
        "queries a second",
        "CPU us a leaf request",
        "CPU us a query",
        "cores used",
        "complete",
    ]);
    let (mut points, mut last) = (Vec::new(), 0.0);
    for shards in SHARDS {
        let mut costs = Vec::new();
        for seed in plan.seeds() {
            costs.push(run_seed(shards, plan.seconds(SECONDS), seed).await?);
        }
        let spread = |f: fn(&Cost) -> f64| Spread::new(costs.iter().map(f));
        last = spread(|c| c.leaf_us).median();
        points.push((shards as f64, last));
        table.add_row([
            shards.to_string(),
            format!("{:.1}", LEAF_RATE / shards as f64),
            spread(|c| c.leaf_us).format(1),
            spread(|c| c.query_us).format(0),
            spread(|c| c.cores).format(2),
            spread(|c| c.complete).format(4),
        ]);
    }
    let (rate, cores) = GOAL;
    let needed = rate * last / US_PER_SECOND;
    let met = if needed <= cores { "met" } else { "missed" };
    let findings = Findings {
        title: "Cost of a leaf request",
        about: "Processor time of one entry host's process, user and system, from `/proc`, over \
                the executions that its endpoints logged.",
        setup: format!(
            "One host, one replica of each shard, {LEAF_RATE} leaf requests a second for {} s a \
             run; the time before the load is not counted.",
            plan.seconds(SECONDS)
        ),
        tables: vec![table],
        conclusion: format!(
            "At 190 shards, {rate} leaf requests a second would take {needed:.1} cores by this \
             figure, no run at that rate was made; the goal of at most {cores} cores is {met}."
        ),
    };
    let plot = Plot {
        title: "Processor time of the entry host per leaf request".to_owned(),
        x_label: "shards a query",
        y_label: "microseconds",
        series: vec![Series::new("median over seeds", points)],
    };
    Ok(Output { findings, plot })
}

/// Runs one seed.
async fn run_seed(shards: usize, seconds: f64, seed: u64) -> Result<Cost> {
    let mut testbed = Testbed::start(1, &ZONES).await?;
    testbed
        .start_leaves(&LeafConfig {
            slots: SLOTS,
            ..LeafConfig::new(ZONES[0], shards, seed * 1_000)
        })
        .await?;
    testbed.admit_endpoints().await?;
    testbed.tier.wait_for_shards(0, "kits", shards as u64).await?;
    let load = testbed.load_settings(LEAF_RATE / shards as f64, seconds, seed);
    let (cpu_before, start) = (proc::cpu_time(&testbed.tier.daemons[0].process)?, Instant::now());
    let report = Report::from_samples(&send_searches(&load).await?, None)?;
    let used = proc::cpu_time(&testbed.tier.daemons[0].process)? - cpu_before;
    Ok(cost(&report, used, start.elapsed()))
}

/// Cost of a run from its report, the CPU time used and its length.
fn cost(report: &Report, used: Duration, elapsed: Duration) -> Cost {
    let us = used.as_secs_f64() * US_PER_SECOND;
    Cost {
        leaf_us: us / report.least.max(1) as f64,
        query_us: us / report.requests.max(1) as f64,
        cores: used.as_secs_f64() / elapsed.as_secs_f64(),
        complete: report.complete,
    }
}
