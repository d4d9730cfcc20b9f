//! Stragglers at 190 shards a query, held against a perfect choice of replica.
//!
//! The stand-in's execution times depend on seed, shard and query alone, so the same draws give
//! the lower bound and the simple policies by computation.

use std::time::Duration;

use anyhow::Result;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wisteria_leaf::Latency;
use wisteria_load::{Ending, Sample, query, samples, total};

use super::{Output, Plan};
use crate::lab::{Lab, Shape};
use crate::page::{Findings, Table};
use crate::plot::{Plot, Series};
use crate::stats::{Spread, ms, quantile};

const HOSTS: usize = 3;
const ZONES: [&str; 2] = ["north", "south"];
const SHARDS: usize = 190;
const RATE: f64 = 12.0;
const SECONDS: f64 = 30.0;
const MEAN: Duration = Duration::from_millis(10);
const LATENCY: Latency = Latency { mean: MEAN, stragglers: 0.01, factor: 10.0 };
/// Wait before the second send of the policy with a fixed hedge.
const FIXED_HEDGE: Duration = Duration::from_millis(25);
/// Part of each run that is not counted: connections are set up and quantiles learnt.
const WARM_UP: f64 = 5.0;
const PLOTTED: [f64; 9] = [0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.999];

/// How a query is sent, in place of the tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    /// The better replica of each shard: the lower bound.
    Perfect,
    /// One replica at random.
    Random,
    /// One at random, the other after a fixed time.
    FixedHedge,
}

const POLICIES: [(&str, Policy); 3] = [
    ("perfect choice (bound)", Policy::Perfect),
    ("random replica, no hedge", Policy::Random),
    ("random replica, fixed hedge 25 ms", Policy::FixedHedge),
];

/// Latencies of one policy or of the tier in one run, in milliseconds.
#[derive(Clone, Debug, Default)]
struct Tail {
    latencies: Vec<f64>,
    load: f64,
    complete: f64,
}

/// One run: the tier, and the policies on the same draws.
struct Run {
    tier: Tail,
    policies: Vec<Tail>,
}

/// Runs the tier from each seed and computes the bound and the policies.
pub(crate) async fn run(plan: Plan) -> Result<Output> {
    let mut runs = Vec::new();
    for seed in plan.seeds() {
        runs.push(once(plan.seconds(SECONDS), seed).await?);
    }
    let findings = Findings {
        title: "Stragglers",
        about: "190 shards with two replicas, one in each zone; 1 in 100 executions takes ten \
                times as long. The bound and the two simple policies are computed from the same \
                draws, without any cost of the network, of queues or of processors; the tier is \
                measured from the intended arrival with all of them.",
        setup: format!(
            "{HOSTS} hosts, {RATE} queries a second for {} s a run, the first {WARM_UP} s not \
             counted; executions of 10 ms in the mean without stragglers.",
            plan.seconds(SECONDS)
        ),
        tables: vec![table(&runs)],
        verdict: verdict(&runs),
    };
    Ok(Output { findings, plot: plot(&runs) })
}

async fn once(seconds: f64, seed: u64) -> Result<Run> {
    let bases = [seed * 10_000, seed * 10_000 + 5_000];
    let mut lab = Lab::start(HOSTS, &ZONES).await?;
    for (zone, base) in ZONES.iter().zip(bases) {
        let Latency { mean, stragglers, .. } = LATENCY;
        lab.leaves(&Shape { mean, stragglers, ..Shape::new(zone, SHARDS, base) }).await?;
    }
    lab.admit().await?;
    lab.tier.wait_for_shards(0, "kits", SHARDS as u64).await?;
    let load = lab.load(RATE, seconds, seed);
    let before = total(&load.leaf_control).await?;
    let all = samples(&load).await?;
    let executions = total(&load.leaf_control).await? - before;
    let counted: Vec<&Sample> =
        all.iter().filter(|s| s.arrival.as_secs_f64() >= WARM_UP.min(seconds / 2.0)).collect();
    let policies = POLICIES.iter().map(|(_, p)| compute(*p, &counted, bases));
    let policies = policies.collect::<Result<_>>()?;
    Ok(Run { tier: measured(&all, &counted, executions), policies })
}

fn measured(all: &[Sample], counted: &[&Sample], executions: u64) -> Tail {
    let least: u64 = all.iter().map(|s| answered(&s.ending)).sum();
    let complete = counted.iter().filter(|s| s.ending.is_complete()).count();
    Tail {
        latencies: counted.iter().map(|s| ms(s.latency)).collect(),
        load: executions as f64 / least.max(1) as f64,
        complete: complete as f64 / counted.len().max(1) as f64,
    }
}

fn answered(ending: &Ending) -> u64 {
    if let Ending::Answered { answered, .. } = ending { *answered } else { 0 }
}

/// What the policy would have given on the draws of the same queries.
fn compute(policy: Policy, counted: &[&Sample], bases: [u64; 2]) -> Result<Tail> {
    let mut rng = StdRng::seed_from_u64(bases[0]);
    let (mut latencies, mut sends) = (Vec::new(), 0_u64);
    for sample in counted {
        let body = query(sample.sequence)?;
        let mut longest = Duration::ZERO;
        for shard in 0..SHARDS as u32 {
            let draw = |base: u64| LATENCY.sample(base + u64::from(shard), shard, &body);
            let (mut first, mut second) = (draw(bases[0]), draw(bases[1]));
            if rng.random::<bool>() {
                std::mem::swap(&mut first, &mut second);
            }
            let (time, count) = policy.send(first, second);
            longest = longest.max(time);
            sends += count;
        }
        latencies.push(ms(longest));
    }
    let load = sends as f64 / (counted.len().max(1) * SHARDS) as f64;
    Ok(Tail { latencies, load, complete: 1.0 })
}

impl Policy {
    /// Time until the first answer, and the executions.
    fn send(self, first: Duration, second: Duration) -> (Duration, u64) {
        match self {
            Self::Perfect => (first.min(second), 1),
            Self::FixedHedge if first > FIXED_HEDGE => (first.min(FIXED_HEDGE + second), 2),
            Self::Random | Self::FixedHedge => (first, 1),
        }
    }
}

fn rows(runs: &[Run]) -> Vec<(&'static str, Vec<&Tail>)> {
    let mut rows = vec![("the tier, measured", runs.iter().map(|r| &r.tier).collect())];
    for (i, (name, _)) in POLICIES.iter().enumerate() {
        rows.push((name, runs.iter().map(|r| &r.policies[i]).collect()));
    }
    rows
}

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
    for (name, tails) in rows(runs) {
        let at = |q: f64| Spread::new(tails.iter().map(|t| quantile(&t.latencies, q))).show(1);
        table.row([
            name.to_owned(),
            at(0.5),
            at(0.99),
            at(0.999),
            ratios(runs, &tails).show(2),
            Spread::new(tails.iter().map(|t| t.complete)).show(4),
            Spread::new(tails.iter().map(|t| t.load)).show(3),
        ]);
    }
    table
}

/// The 99th percentile over that of the bound, for each run.
fn ratios(runs: &[Run], tails: &[&Tail]) -> Spread {
    let p99 = |t: &Tail| quantile(&t.latencies, 0.99);
    Spread::new(runs.iter().zip(tails).map(|(r, t)| p99(t) / p99(&r.policies[0])))
}

/// The 99th percentile over the queries of all runs.
fn pooled<'a>(tails: impl Iterator<Item = &'a Tail>) -> f64 {
    let all: Vec<f64> = tails.flat_map(|t| t.latencies.iter().copied()).collect();
    quantile(&all, 0.99)
}

fn verdict(runs: &[Run]) -> String {
    let tiers: Vec<&Tail> = runs.iter().map(|r| &r.tier).collect();
    let ratio = ratios(runs, &tiers).median();
    let pooled = pooled(tiers.iter().copied()) / pooled(runs.iter().map(|r| &r.policies[0]));
    let extra = (Spread::new(tiers.iter().map(|t| t.load)).median() - 1.0) * 100.0;
    let met = |held: bool| if held { "met" } else { "missed" };
    format!(
        "Goal: p99 at most 1.3 times the bound: {} ({ratio:.2} in the median run, {pooled:.2} with \
         the queries of all runs together). At most 5% extra executions: {} ({extra:.1}%).",
        met(ratio <= 1.3),
        met(extra <= 5.0)
    )
}

fn plot(runs: &[Run]) -> Plot {
    let series = rows(runs).into_iter().map(|(name, tails)| {
        let all: Vec<f64> = tails.iter().flat_map(|t| t.latencies.iter().copied()).collect();
        let points = PLOTTED.iter().map(|&q| (-(1.0 - q).log10(), quantile(&all, q))).collect();
        Series::new(name, points)
    });
    Plot {
        title: "Latency by quantile, all seeds together".to_owned(),
        across: "quantile, as nines (1: 90%, 2: 99%, 3: 99.9%)",
        up: "ms",
        series: series.collect(),
    }
}
