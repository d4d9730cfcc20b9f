//! Execution times: a constant minimum plus an exponentially distributed part, and rare stragglers.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::hits::hash;

/// Minimum execution time as a fraction of the mean.
const MIN_FRACTION: f64 = 0.5;

/// Parameters of the distribution of execution times.
#[derive(Clone, Copy, Debug)]
pub struct Latency {
    /// Mean execution time without stragglers.
    pub mean: Duration,
    /// Probability that an execution is a straggler.
    pub stragglers: f64,
    /// Factor by which a straggler takes longer.
    pub factor: f64,
}

impl Latency {
    /// Execution time of a request at the leaf with this seed. The result depends only on the
    /// arguments, so that an experiment can compute it for each leaf.
    pub fn sample(&self, seed: u64, shard: u32, body: &[u8]) -> Duration {
        let key = hash(&[&seed.to_be_bytes()[..], &shard.to_be_bytes(), body].concat());
        let mut rng = StdRng::seed_from_u64(key);
        let uniform: f64 = rng.random();
        let exponential = -(1.0 - uniform).ln();
        let time = self.mean.mul_f64(MIN_FRACTION + (1.0 - MIN_FRACTION) * exponential);
        let is_straggler = rng.random::<f64>() < self.stragglers;
        if is_straggler { time.mul_f64(self.factor) } else { time }
    }
}
