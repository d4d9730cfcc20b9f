//! Hedging against stragglers: tail latency and extra load of each policy, with the same drawn
//! execution times.

use crate::fleet::{Policy, RunStats, Sim};
use crate::props::config;
use proptest::prelude::*;
use wisteriahead::core::hedge::{AttemptBudget, BALANCE_MAX, EXTRA_RATIO};
use wisteriahead::core::latency::{Histogram, WEIGHT_MIN};
use wisteriahead::core::time::Span;

const SHARDS: usize = 190;
const QUERIES: usize = 2_500;
const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];
/// Highest ratio of p99 to its lower bound, which a perfect choice of replicas would reach.
const P99_RATIO_MAX: f64 = 1.3;
/// Highest ratio of executions to the fewest that can answer.
const LOAD_RATIO_MAX: f64 = 1.05;

fn run(seed: u64, policy: Policy) -> RunStats {
    Sim::new(seed, policy, SHARDS).run(QUERIES)
}

fn median(mut all: Vec<f64>) -> f64 {
    all.sort_by(f64::total_cmp);
    all[all.len() / 2]
}

#[test]
fn p99_is_near_its_lower_bound_at_little_extra_load() {
    let mut ratios = Vec::new();
    for seed in SEEDS {
        let bound = Sim::new(seed, Policy::Adaptive, SHARDS).lower_bound(QUERIES).p99();
        let adaptive = run(seed, Policy::Adaptive);
        let ratio = adaptive.p99() / bound;
        println!("seed {seed}: p99/bound {ratio:.2}, load {:.3}", adaptive.load());
        assert!(adaptive.load() <= LOAD_RATIO_MAX, "seed {seed}: load {}", adaptive.load());
        assert_eq!(adaptive.coverage(), 1.0);
        ratios.push(ratio);
    }
    assert!(median(ratios.clone()) <= P99_RATIO_MAX, "p99 over the bound: {ratios:?}");
}

/// Compares with policies that the daemon does not have. The fixed delay of 20 ms is only printed:
/// it suits these execution times.
#[test]
fn untuned_baselines_have_a_worse_p99() {
    let seed = SEEDS[0];
    let bound = Sim::new(seed, Policy::Adaptive, SHARDS).lower_bound(QUERIES).p99();
    let adaptive = run(seed, Policy::Adaptive).p99();
    let fixed = |ms| Policy::Fixed(Span::millis(ms));
    for (name, policy) in [("random", Policy::Random), ("20 ms", fixed(20)), ("50 ms", fixed(50))] {
        let other = run(seed, policy);
        println!("{name}: p99/bound {:.2}, load {:.3}", other.p99() / bound, other.load());
        assert!(policy == fixed(20) || other.p99() > 1.5 * adaptive, "{name}");
    }
}

/// A query that was not answered lately runs on one shard first, as a canary, which must not
/// lengthen the tail much.
#[test]
fn p99_with_a_canary_is_near_its_lower_bound() {
    let mut ratios = Vec::new();
    for seed in SEEDS {
        let mut sim = Sim::new(seed, Policy::Adaptive, SHARDS);
        sim.canary = true;
        let bound = sim.lower_bound(QUERIES).p99();
        let ratio = sim.run(QUERIES).p99() / bound;
        println!("seed {seed}: p99/bound with a canary {ratio:.2}");
        ratios.push(ratio);
    }
    assert!(median(ratios.clone()) <= P99_RATIO_MAX, "p99 over the bound: {ratios:?}");
}

/// A frozen replica neither answers nor refuses, so that only hedges can complete the answer.
#[test]
fn coverage_is_complete_with_one_replica_of_each_shard_frozen() {
    for seed in SEEDS {
        let mut sim = Sim::new(seed, Policy::Adaptive, SHARDS);
        sim.run(100);
        sim.freeze_one_replica_per_shard();
        let stats = sim.run(300);
        println!("seed {seed}: coverage {:.4}, load {:.3}", stats.coverage(), stats.load());
        assert_eq!(stats.coverage(), 1.0, "seed {seed}");
    }
}

proptest! {
    #![proptest_config(config(500))]

    /// Extra attempts never exceed the maximal balance and the share earned; after enough refusals
    /// none is allowed.
    #[test]
    fn extra_attempts_stay_within_their_budget(ops in prop::collection::vec(0u8..3, 0..2_000)) {
        let mut budget = AttemptBudget::default();
        let (mut earned, mut spent) = (0usize, 0usize);
        for op in ops {
            match op {
                0 => { budget.earn(1); earned += 1; }
                1 => spent += usize::from(budget.spend()),
                _ => budget.record_refusal(),
            }
        }
        prop_assert!(spent as f64 <= BALANCE_MAX + EXTRA_RATIO * earned as f64 + 1e-6);
        for _ in 0..300 {
            budget.record_refusal();
        }
        prop_assert!(!budget.spend());
    }

    /// A quantile is about one bucket above the exact one at most.
    #[test]
    fn histogram_quantile_is_near_the_exact_one(
        mut times in prop::collection::vec(1u64..2_000_000, WEIGHT_MIN as usize..400),
        q in 0.01f64..0.999,
    ) {
        let mut histogram = Histogram::default();
        times.iter().for_each(|t| histogram.record(Span(*t)));
        times.sort_unstable();
        let exact = times[((times.len() as f64 * q).ceil() as usize).clamp(1, times.len()) - 1];
        let estimate = histogram.quantile(q).unwrap().0 as f64;
        let near = (exact as f64 * 0.99)..=(exact as f64 * 1.1 + 2.0);
        prop_assert!(near.contains(&estimate), "{} for exact {}", estimate, exact);
    }
}

#[test]
fn quantile_follows_a_latency_change() {
    let mut histogram = Histogram::default();
    for _ in 0..200_000 {
        histogram.record(Span::millis(5));
    }
    for _ in 0..60_000 {
        histogram.record(Span::millis(50));
    }
    assert!(histogram.quantile(0.5).unwrap() > Span::millis(45));
}
