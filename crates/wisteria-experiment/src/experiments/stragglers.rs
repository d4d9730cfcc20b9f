//! Latency with stragglers at 190 shards a query, compared with a perfect choice of replica.
//!
//! The stand-in endpoints' execution times depend only on seed, shard and query. The lower bound
//! and the simple policies can therefore be computed from the same execution times.

use std::time::Duration;

use anyhow::Result;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wisteria_leaf::Latency;
use wisteria_load::{Outcome, Sample, encode_query, send_searches, total_executions};

use super::{Output, Plan};
use crate::page::{Findings, Table};
use crate::plot::{Plot, Series};
use crate::stats::{Spread, ms, quantile};
use crate::testbed::{LeafConfig, Testbed};

const HOSTS: usize = 3;
const ZONES: [&str; 2] = ["north", "south"];
const SHARDS: usize = 190;
/// Mean queries per second.
const RATE: f64 = 12.0;
/// Default length of the load of one run.
const SECONDS: f64 = 30.0;
/// Mean execution time without stragglers.
const MEAN: Duration = Duration::from_millis(10);
const LATENCY: Latency = Latency { mean: MEAN, stragglers: 0.01, factor: 10.0 };
/// Delay before the hedged request of the fixed-hedge policy.
const HEDGE_DELAY: Duration = Duration::from_millis(25);
/// Start of each run that is not counted, in which the hosts set up connections and learn latency
/// quantiles.
const WARM_UP_SECONDS: f64 = 5.0;
const PLOTTED_QUANTILES: [f64; 9] = [0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.999];

/// A policy for choosing replicas, computed for comparison with the tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    /// The faster replica of each shard: the lower bound.
    Perfect,
    /// A random replica.
    Random,
    /// A random replica, and the other one after a fixed delay.
    FixedHedge,
}

const POLICIES: [(&str, Policy); 3] = [
    ("perfect choice (bound)", Policy::Perfect),
    ("random replica, no hedge", Policy::Random),
    ("random replica, fixed hedge 25 ms", Policy::FixedHedge),
];

/// Results of one policy, or of the tier, in one run.
#[derive(Clone, Debug, Default)]
struct Measurement {
    /// Latency of each counted query, in milliseconds.
    latencies: Vec<f64>,
    /// Executions divided by the fewest needed.
    load_ratio: f64,
    /// Share of the counted queries with a complete answer.
    complete: f64,
}

/// Results of one run: of the tier, measured, and of the policies, computed from the same execution
/// times.
struct Run {
    tier: Measurement,
    policies: Vec<Measurement>,
}

/// Measures the tier once for each seed, and computes the bound and the policies.
pub(crate) async fn run(plan: Plan) -> Result<Output> {
    let mut runs = Vec::new();
    for seed in plan.seeds() {
        runs.push(run_seed(plan.seconds(SECONDS), seed).await?);
    }
    let findings = Findings {
        title: "Stragglers",
        about: "190 shards with two replicas, one in each zone; 1 in 100 executions takes ten \
                times as long. The bound and the two simple policies are computed from the same \
                draws, without any cost of the network, of queues or of processors; the tier is \
                measured from the intended arrival with all of them.",
        setup: format!(
            "{HOSTS} hosts, {RATE} queries a second for {} s a run, the first {WARM_UP_SECONDS} s \
             not counted; executions of 10 ms in the mean without stragglers.",
            plan.seconds(SECONDS)
        ),
        tables: vec![table(&runs)],
        conclusion: conclude(&runs),
    };
    Ok(Output { findings, plot: plot(&runs) })
}

/// Runs one seed.
async fn run_seed(seconds: f64, seed: u64) -> Result<Run> {
    let zone_seeds = [seed * 10_000, seed * 10_000 + 5_000];
    let mut testbed = Testbed::start(HOSTS, &ZONES).await?;
    for (zone, zone_seed) in ZONES.iter().zip(zone_seeds) {
        let Latency { mean, stragglers, .. } = LATENCY;
        testbed
            .start_leaves(&LeafConfig {
                mean,
                stragglers,
                ..LeafConfig::new(zone, SHARDS, zone_seed)
            })
            .await?;
    }
    testbed.admit_endpoints().await?;
    testbed.tier.wait_for_shards(0, "kits", SHARDS as u64).await?;
    let load = testbed.load_settings(RATE, seconds, seed);
    let before = total_executions(&load.leaf_control).await?;
    let all = send_searches(&load).await?;
    let executions = total_executions(&load.leaf_control).await? - before;
    let counted: Vec<&Sample> = all
        .iter()
        .filter(|s| s.arrival.as_secs_f64() >= WARM_UP_SECONDS.min(seconds / 2.0))
        .collect();
    let policies = POLICIES.iter().map(|(_, p)| compute_policy(*p, &counted, zone_seeds));
    let policies = policies.collect::<Result<_>>()?;
    Ok(Run { tier: measure_tier(&all, &counted, executions), policies })
}

/// Results of the tier. The executions are those of the whole run, so they are divided by the
/// executions that all answers need, not only those of the counted queries.
fn measure_tier(all: &[Sample], counted: &[&Sample], executions: u64) -> Measurement {
    let least: u64 = all.iter().map(|s| answered(&s.outcome)).sum();
    let complete = counted.iter().filter(|s| s.outcome.is_complete()).count();
    Measurement {
        latencies: counted.iter().map(|s| ms(s.latency)).collect(),
        load_ratio: executions as f64 / least.max(1) as f64,
        complete: complete as f64 / counted.len().max(1) as f64,
    }
}

/// Number of shards answered.
fn answered(outcome: &Outcome) -> u64 {
    if let Outcome::Answered { answered, .. } = outcome { *answered } else { 0 }
}

/// Results of the policy for the same queries and execution times.
fn compute_policy(
    policy: Policy,
    counted: &[&Sample],
    zone_seeds: [u64; 2],
) -> Result<Measurement> {
    let mut rng = StdRng::seed_from_u64(zone_seeds[0]);
    let (mut latencies, mut sends) = (Vec::new(), 0_u64);
    for sample in counted {
        let body = encode_query(sample.sequence)?;
        let mut longest = Duration::ZERO;
        for shard in 0..SHARDS as u32 {
            let execution_time =
                |zone_seed: u64| LATENCY.sample(zone_seed + u64::from(shard), shard, &body);
            let (mut first, mut second) =
                (execution_time(zone_seeds[0]), execution_time(zone_seeds[1]));
            if rng.random::<bool>() {
                std::mem::swap(&mut first, &mut second);
            }
            let (time, count) = policy.simulate(first, second);
            longest = longest.max(time);
            sends += count;
        }
        latencies.push(ms(longest));
    }
    let load_ratio = sends as f64 / (counted.len().max(1) * SHARDS) as f64;
    Ok(Measurement { latencies, load_ratio, complete: 1.0 })
}

impl Policy {
    /// Time until the first answer and number of executions, given each replica's execution time.
    fn simulate(self, first: Duration, second: Duration) -> (Duration, u64) {
        match self {
            Self::Perfect => (first.min(second), 1),
            Self::FixedHedge if first > HEDGE_DELAY => (first.min(HEDGE_DELAY + second), 2),
            Self::Random | Self::FixedHedge => (first, 1),
        }
    }
}

/// Name and results of the tier and of each policy.
fn rows(runs: &[Run]) -> Vec<(&'static str, Vec<&Measurement>)> {
    let mut rows = vec![("the tier, measured", runs.iter().map(|r| &r.tier).collect())];
    for (i, (name, _)) in POLICIES.iter().enumerate() {
        rows.push((name, runs.iter().map(|r| &r.policies[i]).collect()));
    }
    rows
}

/// A table of the results of the tier and of each policy.
fn table(runs: &[Run]) -> Table {
    let mut table = Table::new(&[
        "policy",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "p99 over the bound",
        "complete",
        "executions over least",
    ]);
    for (name, results) in rows(runs) {
        let spread =
            |q: f64| Spread::new(results.iter().map(|t| quantile(&t.latencies, q))).format(1);
        table.add_row([
            name.to_owned(),
            spread(0.5),
            spread(0.99),
            spread(0.999),
            ratios(runs, &results).format(2),
            Spread::new(results.iter().map(|t| t.complete)).format(4),
            Spread::new(results.iter().map(|t| t.load_ratio)).format(3),
        ]);
    }
    table
}

/// Ratio of the 99th percentile to that of the lower bound, for each run.
fn ratios(runs: &[Run], results: &[&Measurement]) -> Spread {
    let p99 = |t: &Measurement| quantile(&t.latencies, 0.99);
    Spread::new(runs.iter().zip(results).map(|(r, t)| p99(t) / p99(&r.policies[0])))
}

/// 99th percentile of the queries of all runs together.
fn pooled_p99<'a>(results: impl Iterator<Item = &'a Measurement>) -> f64 {
    let all: Vec<f64> = results.flat_map(|t| t.latencies.iter().copied()).collect();
    quantile(&all, 0.99)
}

/// Sentences on whether the goals are met.
fn conclude(runs: &[Run]) -> String {
    let tiers: Vec<&Measurement> = runs.iter().map(|r| &r.tier).collect();
    let ratio = ratios(runs, &tiers).median();
    let pooled =
        pooled_p99(tiers.iter().copied()) / pooled_p99(runs.iter().map(|r| &r.policies[0]));
    let extra = (Spread::new(tiers.iter().map(|t| t.load_ratio)).median() - 1.0) * 100.0;
    let met = |is_met: bool| if is_met { "met" } else { "missed" };
    format!(
        "Goal: p99 at most 1.3 times the bound: {} ({ratio:.2} in the median run, {pooled:.2} with \
         the queries of all runs together). At most 5% extra executions: {} ({extra:.1}%).",
        met(ratio <= 1.3),
        met(extra <= 5.0)
    )
}

/// A plot of the quantiles of the tier and of each policy, with all runs together.
fn plot(runs: &[Run]) -> Plot {
    let series = rows(runs).into_iter().map(|(name, results)| {
        let all: Vec<f64> = results.iter().flat_map(|t| t.latencies.iter().copied()).collect();
        let points =
            PLOTTED_QUANTILES.iter().map(|&q| (-(1.0 - q).log10(), quantile(&all, q))).collect();
        Series::new(name, points)
    });
    Plot {
        title: "Latency by quantile, all seeds together".to_owned(),
        x_label: "quantile, as nines (1: 90%, 2: 99%, 3: 99.9%)",
        y_label: "ms",
        series: series.collect(),
    }
}
