//! A zone that operators take out of service and bring back under load.

use std::time::Duration;

use anyhow::Result;
use tokio::time::{Instant, sleep, sleep_until};
use wisteria_load::{Sample, send_searches};
use wisteria_testkit::tier::Leaves;

use super::{Output, Plan};
use crate::page::{Findings, Table};
use crate::stats::Spread;
use crate::testbed::{LeafConfig, Testbed, counters};
use crate::timeline::{self, Phase};

const HOSTS: usize = 6;
const ZONES: [&str; 3] = ["north", "south", "west"];
/// The zone taken out: the first, which a tier without a preference among replicas uses as well.
const ZONE_OUT: &str = ZONES[0];
const SHARDS: usize = 10;
/// Mean queries per second.
const RATE: f64 = 60.0;
/// Default length of the load of one run.
const SECONDS: f64 = 16.0;
/// Times at which the zone is taken out and brought back, as shares of the run.
const EVENT_TIMES: (f64, f64) = (0.25, 0.625);
/// Delay between two readings of the zone's execution counters.
const POLL_DELAY: Duration = Duration::from_millis(20);
/// Time after the acceptance from which the goal allows no new execution.
const GOAL_SECONDS: f64 = 3.0;

/// Results of one run.
struct Run {
    samples: Vec<Sample>,
    zone_work: ZoneWork,
}

/// Executions of the endpoints in the zone.
#[derive(Clone, Copy, Debug)]
struct ZoneWork {
    /// Executions before the zone was taken out.
    before: u64,
    /// Seconds from the acceptance of the edit to the last new execution.
    last: f64,
    /// Executions seen later than `GOAL_SECONDS` after the acceptance.
    late: u64,
    /// Seconds from when the zone was brought back to the first new execution.
    resumed: Option<f64>,
}

/// Runs the experiment once for each seed.
pub(crate) async fn run(plan: Plan) -> Result<Output> {
    let seconds = plan.seconds(SECONDS);
    let mut runs = Vec::new();
    for seed in plan.seeds() {
        runs.push(run_seed(seconds, seed).await?);
    }
    let mut table = Table::new(&["figure", "median over seeds"]);
    let spread = |f: fn(&ZoneWork) -> f64| Spread::new(runs.iter().map(|r| f(&r.zone_work)));
    table.add_row([
        "executions in the zone before".to_owned(),
        spread(|r| r.before as f64).format(0),
    ]);
    let last = spread(|r| r.last);
    table.add_row(["seconds until the last new work in the zone".to_owned(), last.format(2)]);
    table.add_row(["executions later than 3 s".to_owned(), spread(|r| r.late as f64).format(0)]);
    let resumed = Spread::new(runs.iter().filter_map(|r| r.zone_work.resumed));
    table.add_row(["seconds until new work after the return".to_owned(), resumed.format(2)]);
    let samples: Vec<Vec<Sample>> = runs.iter().map(|r| r.samples.clone()).collect();
    let (out, back) = (EVENT_TIMES.0 * seconds, EVENT_TIMES.1 * seconds);
    let phases = [
        Phase::new("before", 0.0, out),
        Phase::new("zone out", out, back),
        Phase::new("zone back", back, seconds),
    ];
    let late: u64 = runs.iter().map(|r| r.zone_work.late).sum();
    let findings = Findings {
        title: "A zone taken out and brought back",
        about: "Operators take one of three availability zones out by an edit of the inventory \
                under load, and bring it back. Executions are counted at the leaves.",
        setup: format!(
            "{HOSTS} hosts, {SHARDS} shards with a replica in each of three zones, {RATE} queries \
             a second to all hosts, those of the zone included, {seconds} s a run."
        ),
        tables: vec![table, timeline::phase_table(&samples, &phases)?],
        conclusion: format!(
            "Goal: no new work {GOAL_SECONDS} s after the edit was accepted: {} ({late} executions \
             later, all runs).",
            if late == 0 { "met" } else { "missed" }
        ),
    };
    let title = format!("Complete answers; zone out at {out:.0} s, back at {back:.0} s");
    let plot = timeline::completeness_plot(title, &samples);
    Ok(Output { findings, plot })
}

/// Runs one seed.
async fn run_seed(seconds: f64, seed: u64) -> Result<Run> {
    let mut testbed = Testbed::start(HOSTS, &ZONES).await?;
    for (i, zone) in (0..).zip(ZONES) {
        testbed.start_leaves(&LeafConfig::new(zone, SHARDS, seed * 1_000 + i * 100)).await?;
    }
    testbed.admit_endpoints().await?;
    testbed.tier.wait_for_shards(0, "kits", SHARDS as u64).await?;
    let load = testbed.load_settings(RATE, seconds, seed);
    let (samples, zone_work) = tokio::join!(send_searches(&load), measure_zone(&testbed, seconds));
    Ok(Run { samples: samples?, zone_work: zone_work? })
}

/// Takes the zone out, brings it back and polls the executions of its endpoints.
async fn measure_zone(testbed: &Testbed, seconds: f64) -> Result<ZoneWork> {
    let start = Instant::now();
    let at = |share: f64| start + Duration::from_secs_f64(share * seconds);
    let leaves = &testbed.tier.leaves[0];
    sleep_until(at(EVENT_TIMES.0)).await;
    let before = counters(leaves).await?.total;
    testbed.apply_inventory(ZONE_OUT).await?;
    let (last, late) = last_execution(leaves, at(EVENT_TIMES.1)).await?;
    testbed.apply_inventory("").await?;
    let resumed = first_execution(leaves, at(1.0)).await?;
    Ok(ZoneWork { before, last, late, resumed })
}

/// Polls until `end`: seconds to the last new execution, and the number of late executions.
async fn last_execution(leaves: &Leaves, end: Instant) -> Result<(f64, u64)> {
    let accepted = Instant::now();
    let (mut seen, mut last, mut late) = (counters(leaves).await?.total, 0.0, 0);
    while Instant::now() < end {
        sleep(POLL_DELAY).await;
        let now = counters(leaves).await?.total;
        let elapsed = accepted.elapsed().as_secs_f64();
        if now > seen {
            last = elapsed;
            late += if elapsed > GOAL_SECONDS { now - seen } else { 0 };
            seen = now;
        }
    }
    Ok((last, late))
}

/// Polls until `end`: seconds to the first new execution.
async fn first_execution(leaves: &Leaves, end: Instant) -> Result<Option<f64>> {
    let accepted = Instant::now();
    let seen = counters(leaves).await?.total;
    while Instant::now() < end {
        if counters(leaves).await?.total > seen {
            return Ok(Some(accepted.elapsed().as_secs_f64()));
        }
        sleep(POLL_DELAY).await;
    }
    Ok(None)
}
