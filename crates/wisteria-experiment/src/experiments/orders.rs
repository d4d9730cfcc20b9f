//! Orders with keys and resends while an entry host dies.

use std::time::Duration;

use anyhow::Result;
use tokio::time::{Instant, sleep_until};
use wisteria_load::{OrderReport, run_orders};

use super::{Output, Plan};
use crate::lab::{Lab, Shape};
use crate::page::{Findings, Table};
use crate::plot::{Plot, Series};
use crate::stats::Spread;

const HOSTS: usize = 6;
const ZONES: [&str; 2] = ["north", "south"];
const SHARDS: usize = 4;
/// Place of the host that is killed.
const HIT: usize = 2;
const RATE: f64 = 30.0;
const SECONDS: f64 = 10.0;
const TIMEOUT_MS: u64 = 2_000;
const RESENDS: u32 = 2;
/// Share of the run at which the host dies.
const EVENT: f64 = 0.5;

/// Runs orders with and without tickets from each seed.
pub(crate) async fn run(plan: Plan) -> Result<Output> {
    let seconds = plan.seconds(SECONDS);
    let mut table = Table::new(&[
        "keys",
        "orders",
        "ran",
        "not run",
        "unknown",
        "run more than once",
        "ran by the answer alone",
        "refused as not run and ran",
        "p99 ms of those that ran",
    ]);
    let mut all = Vec::new();
    for (name, tickets) in [("the caller's own", false), ("tickets", true)] {
        let mut reports = Vec::new();
        for seed in plan.seeds() {
            reports.push(once(seconds, seed, tickets).await?);
        }
        let of = |f: fn(&OrderReport) -> f64| Spread::new(reports.iter().map(f)).show(0);
        table.row([
            name.to_owned(),
            of(|r| r.orders as f64),
            of(|r| r.ran as f64),
            of(|r| r.not_run as f64),
            of(|r| r.unknown as f64),
            of(|r| r.doubled.len() as f64),
            of(|r| r.lost.len() as f64),
            of(|r| r.untrue.len() as f64),
            of(|r| r.latency.p99_ms),
        ]);
        all.push((name, reports));
    }
    let findings = Findings {
        title: "Orders at most once",
        about: "Each order is sent under an idempotency key and sent again twice at the next \
                hosts; one entry host is killed half way. What ran is counted at the endpoints.",
        setup: format!(
            "{HOSTS} hosts in two zones, {SHARDS} shards with two replicas, {RATE} orders a \
             second, {seconds} s a run."
        ),
        tables: vec![table],
        verdict: verdict(all.iter().flat_map(|(_, reports)| reports)),
    };
    let series = all.iter().map(|(name, reports)| {
        let points = (1..).map(f64::from).zip(reports.iter().map(|r| r.ran as f64));
        Series::new(*name, points.collect())
    });
    let plot = Plot {
        title: "Orders that ran".to_owned(),
        across: "seed",
        up: "orders",
        series: series.collect(),
    };
    Ok(Output { findings, plot })
}

fn verdict<'a>(reports: impl Iterator<Item = &'a OrderReport>) -> String {
    let (mut ran, mut doubled, mut replies) = (0, 0, Vec::new());
    for report in reports {
        ran += report.ran;
        doubled += report.doubled.len();
        for (reply, n) in &report.replies {
            match replies.iter_mut().find(|(known, _)| known == reply) {
                Some((_, sum)) => *sum += n,
                None => replies.push((reply.clone(), *n)),
            }
        }
    }
    let replies: Vec<String> = replies.iter().map(|(reply, n)| format!("{reply} {n}")).collect();
    let shown = if ran > 0 { "" } else { " No order ran, so this shows nothing of the promise." };
    format!(
        "Orders run more than once: {doubled} of {ran}.{shown} Replies: {}.",
        replies.join(", ")
    )
}

async fn once(seconds: f64, seed: u64, tickets: bool) -> Result<OrderReport> {
    let mut lab = Lab::start(HOSTS, &ZONES).await?;
    for (zone, seed) in ZONES.iter().zip([seed * 1_000, seed * 1_000 + 500]) {
        lab.leaves(&Shape::new(zone, SHARDS, seed)).await?;
    }
    lab.admit().await?;
    lab.tier.wait_for_shards(0, "kits", SHARDS as u64).await?;
    let mut load = lab.load(RATE, seconds, seed);
    (load.tickets, load.resends, load.timeout_ms) = (tickets, RESENDS, TIMEOUT_MS);
    let at = Instant::now() + Duration::from_secs_f64(EVENT * seconds);
    let kill = async {
        sleep_until(at).await;
        lab.tier.daemons[HIT].process.kill().await
    };
    let (report, killed) = tokio::join!(run_orders(&load), kill);
    killed?;
    report
}
