//! Stragglers: the tail and the extra load of the policies on the same draws.

use crate::fleet::{Figures, Policy, Sim};
use crate::props::config;
use proptest::prelude::*;
use wisteriahead::core::hedge::{AttemptBudget, BALANCE_MAX, EXTRA_RATIO};
use wisteriahead::core::latency::{Histogram, WEIGHT_MIN};
use wisteriahead::core::time::Span;

const SHARDS: usize = 190;
const QUERIES: usize = 2_500;
const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];
/// Most that p99 may be over the bound of a perfect choice of replicas.
const TAIL_MAX: f64 = 1.3;
const LOAD_MAX: f64 = 1.05;

fn run(seed: u64, policy: Policy) -> Figures {
    Sim::new(seed, policy, SHARDS).run(QUERIES)
}

fn median(mut all: Vec<f64>) -> f64 {
    all.sort_by(f64::total_cmp);
    all[all.len() / 2]
}

#[test]
fn tail_is_near_the_perfect_choice_for_little_load() {
    let mut ratios = Vec::new();
    for seed in SEEDS {
        let bound = Sim::new(seed, Policy::Learnt, SHARDS).bound(QUERIES).p99();
        let learnt = run(seed, Policy::Learnt);
        let ratio = learnt.p99() / bound;
        println!("seed {seed}: p99/bound {ratio:.2}, load {:.3}", learnt.load());
        assert!(learnt.load() <= LOAD_MAX, "seed {seed}: load {}", learnt.load());
        assert_eq!(learnt.coverage(), 1.0);
        ratios.push(ratio);
    }
    assert!(median(ratios.clone()) <= TAIL_MAX, "p99 over the bound: {ratios:?}");
}

/// The policies that the daemon does not have, on the draws of one seed.
#[test]
fn baselines_are_worse_or_need_tuning() {
    let seed = SEEDS[0];
    let bound = Sim::new(seed, Policy::Learnt, SHARDS).bound(QUERIES).p99();
    let learnt = run(seed, Policy::Learnt).p99();
    let fixed = |ms| Policy::Fixed(Span::millis(ms));
    for (name, policy) in [("random", Policy::Random), ("20 ms", fixed(20)), ("50 ms", fixed(50))] {
        let other = run(seed, policy);
        println!("{name}: p99/bound {:.2}, load {:.3}", other.p99() / bound, other.load());
        assert!(policy == fixed(20) || other.p99() > 1.5 * learnt, "{name}");
    }
}

/// A query that was not answered lately goes to one shard first; the tail pays little for it.
#[test]
fn tail_with_a_lead_is_near_the_perfect_choice() {
    let mut ratios = Vec::new();
    for seed in SEEDS {
        let mut sim = Sim::new(seed, Policy::Learnt, SHARDS);
        sim.lead = true;
        let bound = sim.bound(QUERIES).p99();
        let ratio = sim.run(QUERIES).p99() / bound;
        println!("seed {seed}: p99/bound with a lead {ratio:.2}");
        ratios.push(ratio);
    }
    assert!(median(ratios.clone()) <= TAIL_MAX, "p99 over the bound: {ratios:?}");
}

/// Answers stay whole when one replica of each shard is lost without a sign.
#[test]
fn coverage_is_whole_with_one_replica_of_each_shard_frozen() {
    for seed in SEEDS {
        let mut sim = Sim::new(seed, Policy::Learnt, SHARDS);
        sim.run(100);
        sim.freeze_one_of_each();
        let figures = sim.run(300);
        println!("seed {seed}: coverage {:.4}, load {:.3}", figures.coverage(), figures.load());
        assert_eq!(figures.coverage(), 1.0, "seed {seed}");
    }
}

proptest! {
    #![proptest_config(config(500))]

    /// Extra attempts never exceed the saved ones and the share earned, and refusals close them.
    #[test]
    fn extras_stay_within_their_share(ops in prop::collection::vec(0u8..3, 0..2_000)) {
        let mut extras = AttemptBudget::default();
        let (mut earned, mut spent) = (0usize, 0usize);
        for op in ops {
            match op {
                0 => { extras.earn(1); earned += 1; }
                1 => spent += usize::from(extras.spend()),
                _ => extras.record_refusal(),
            }
        }
        prop_assert!(spent as f64 <= BALANCE_MAX + EXTRA_RATIO * earned as f64 + 1e-6);
        for _ in 0..300 {
            extras.record_refusal();
        }
        prop_assert!(!extras.spend());
    }

    /// A quantile is at most one bucket above the exact one.
    #[test]
    fn quantile_is_near_the_exact_one(
        mut times in prop::collection::vec(1u64..2_000_000, WEIGHT_MIN as usize..400),
        q in 0.01f64..0.999,
    ) {
        let mut histogram = Histogram::default();
        times.iter().for_each(|t| histogram.record(Span(*t)));
        times.sort_unstable();
        let exact = times[((times.len() as f64 * q).ceil() as usize).clamp(1, times.len()) - 1];
        let found = histogram.quantile(q).unwrap().0 as f64;
        let near = (exact as f64 * 0.99)..=(exact as f64 * 1.1 + 2.0);
        prop_assert!(near.contains(&found), "{} for exact {}", found, exact);
    }
}

#[test]
fn quantile_follows_a_change() {
    let mut histogram = Histogram::default();
    for _ in 0..200_000 {
        histogram.record(Span::millis(5));
    }
    for _ in 0..60_000 {
        histogram.record(Span::millis(50));
    }
    assert!(histogram.quantile(0.5).unwrap() > Span::millis(45));
}
