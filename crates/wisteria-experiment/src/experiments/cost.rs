//! Processor time per leaf request at one entry host, by shards a query.

use std::time::{Duration, Instant};

use anyhow::Result;
use wisteria_load::{Report, samples};

use super::{Output, Plan};
use crate::lab::{Lab, Shape};
use crate::page::{Findings, Table};
use crate::plot::{Plot, Series};
use crate::proc;
use crate::stats::Spread;

const ZONES: [&str; 1] = ["north"];
const SHARDS: [usize; 5] = [10, 25, 50, 100, 190];
/// Leaf requests a second, the same for every number of shards.
const LEAF_RATE: f64 = 4_000.0;
const SECONDS: f64 = 8.0;
const SLOTS: u32 = 8;
/// Leaf requests a second that the goal names, and the cores they may take.
const GOAL: (f64, f64) = (30_000.0, 4.0);
const US_PER_SECOND: f64 = 1e6;

/// One run.
#[derive(Clone, Copy, Debug)]
struct Cost {
    leaf_us: f64,
    query_us: f64,
    cores: f64,
    complete: f64,
}

/// Runs each number of shards from each seed.
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
            costs.push(once(shards, plan.seconds(SECONDS), seed).await?);
        }
        let of = |f: fn(&Cost) -> f64| Spread::new(costs.iter().map(f));
        last = of(|c| c.leaf_us).median();
        points.push((shards as f64, last));
        table.row([
            shards.to_string(),
            format!("{:.1}", LEAF_RATE / shards as f64),
            of(|c| c.leaf_us).show(1),
            of(|c| c.query_us).show(0),
            of(|c| c.cores).show(2),
            of(|c| c.complete).show(4),
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
        verdict: format!(
            "At 190 shards, {rate} leaf requests a second would take {needed:.1} cores by this \
             figure, no run at that rate was made; the goal of at most {cores} cores is {met}."
        ),
    };
    let plot = Plot {
        title: "Processor time of the entry host per leaf request".to_owned(),
        across: "shards a query",
        up: "microseconds",
        series: vec![Series::new("median over seeds", points)],
    };
    Ok(Output { findings, plot })
}

async fn once(shards: usize, seconds: f64, seed: u64) -> Result<Cost> {
    let mut lab = Lab::start(1, &ZONES).await?;
    lab.leaves(&Shape { slots: SLOTS, ..Shape::new(ZONES[0], shards, seed * 1_000) }).await?;
    lab.admit().await?;
    lab.tier.wait_for_shards(0, "kits", shards as u64).await?;
    let load = lab.load(LEAF_RATE / shards as f64, seconds, seed);
    let (cpu, begun) = (proc::cpu(&lab.tier.daemons[0].process)?, Instant::now());
    let report = Report::of(&samples(&load).await?, None)?;
    let used = proc::cpu(&lab.tier.daemons[0].process)? - cpu;
    Ok(cost(&report, used, begun.elapsed()))
}

fn cost(report: &Report, used: Duration, elapsed: Duration) -> Cost {
    let us = used.as_secs_f64() * US_PER_SECOND;
    Cost {
        leaf_us: us / report.least.max(1) as f64,
        query_us: us / report.requests.max(1) as f64,
        cores: used.as_secs_f64() / elapsed.as_secs_f64(),
        complete: report.complete,
    }
}
