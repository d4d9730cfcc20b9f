//! Execution times: an exponential body over a floor, with rare stragglers.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::hits::hash;

/// Share of the mean that every execution takes at least.
const FLOOR: f64 = 0.5;

/// Parameters of the execution time.
#[derive(Clone, Copy, Debug)]
pub struct Latency {
    /// Mean without stragglers.
    pub mean: Duration,
    /// Probability that an execution is a straggler.
    pub stragglers: f64,
    /// How many times longer a straggler takes.
    pub factor: f64,
}

impl Latency {
    /// The execution time of a request at the leaf of this seed. It depends on nothing but the
    /// arguments, so that an experiment can compute it for each leaf.
    pub fn sample(&self, seed: u64, shard: u32, body: &[u8]) -> Duration {
        let key = hash(&[&seed.to_be_bytes()[..], &shard.to_be_bytes(), body].concat());
        let mut rng = StdRng::seed_from_u64(key);
        let uniform: f64 = rng.random();
        let tail = -(1.0 - uniform).ln();
        let time = self.mean.mul_f64(FLOOR + (1.0 - FLOOR) * tail);
        let straggles = rng.random::<f64>() < self.stragglers;
        if straggles { time.mul_f64(self.factor) } else { time }
    }
}
