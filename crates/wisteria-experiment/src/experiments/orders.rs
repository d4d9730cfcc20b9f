//! Orders with idempotency keys and resends while an entry host is killed.

use std::time::Duration;

use anyhow::Result;
use tokio::time::{Instant, sleep_until};
use wisteria_load::{OrderReport, run_orders};

use super::{Output, Plan};
use crate::page::{Findings, Table};
use crate::plot::{Plot, Series};
use crate::stats::Spread;
use crate::testbed::{LeafConfig, Testbed};

const HOSTS: usize = 6;
const ZONES: [&str; 2] = ["north", "south"];
const SHARDS: usize = 4;
/// Index of the host that is killed.
const KILLED_HOST: usize = 2;
/// Mean orders per second.
const RATE: f64 = 30.0;
/// Default length of the load of one run.
const SECONDS: f64 = 10.0;
const TIMEOUT_MS: u64 = 2_000;
const RESENDS: u32 = 2;
/// Time at which the host is killed, as a share of the run.
const KILL_TIME: f64 = 0.5;

/// Measures orders with and without tickets, with one run for each seed.
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
            reports.push(run_seed(seconds, seed, tickets).await?);
        }
        let spread = |f: fn(&OrderReport) -> f64| Spread::new(reports.iter().map(f)).format(0);
        table.add_row([
            name.to_owned(),
            spread(|r| r.orders as f64),
            spread(|r| r.ran as f64),
            spread(|r| r.not_run as f64),
            spread(|r| r.unknown as f64),
            spread(|r| r.doubled.len() as f64),
            spread(|r| r.lost.len() as f64),
            spread(|r| r.untrue.len() as f64),
            spread(|r| r.latency.p99_ms),
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
        conclusion: conclude(all.iter().flat_map(|(_, reports)| reports)),
    };
    let series = all.iter().map(|(name, reports)| {
        let points = (1..).map(f64::from).zip(reports.iter().map(|r| r.ran as f64));
        Series::new(*name, points.collect())
    });
    let plot = Plot {
        title: "Orders that ran".to_owned(),
        x_label: "seed",
        y_label: "orders",
        series: series.collect(),
    };
    Ok(Output { findings, plot })
}

/// Sums up the orders that ran, those that ran more than once, and the replies.
fn conclude<'a>(reports: impl Iterator<Item = &'a OrderReport>) -> String {
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
    let caveat = if ran > 0 { "" } else { " No order ran, so this shows nothing of the promise." };
    format!(
        "Orders run more than once: {doubled} of {ran}.{caveat} Replies: {}.",
        replies.join(", ")
    )
}

/// Runs one seed.
async fn run_seed(seconds: f64, seed: u64, tickets: bool) -> Result<OrderReport> {
    let mut testbed = Testbed::start(HOSTS, &ZONES).await?;
    for (zone, seed) in ZONES.iter().zip([seed * 1_000, seed * 1_000 + 500]) {
        testbed.start_leaves(&LeafConfig::new(zone, SHARDS, seed)).await?;
    }
    testbed.admit_endpoints().await?;
    testbed.tier.wait_for_shards(0, "kits", SHARDS as u64).await?;
    let mut load = testbed.load_settings(RATE, seconds, seed);
    (load.tickets, load.resends, load.timeout_ms) = (tickets, RESENDS, TIMEOUT_MS);
    let kill_at = Instant::now() + Duration::from_secs_f64(KILL_TIME * seconds);
    let kill = async {
        sleep_until(kill_at).await;
        testbed.tier.daemons[KILLED_HOST].process.kill().await
    };
    let (report, killed) = tokio::join!(run_orders(&load), kill);
    killed?;
    report
}
