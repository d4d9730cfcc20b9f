//! Execution times: an exponential body over a floor, with rare stragglers.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

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

/// A seeded source of execution times.
#[derive(Debug)]
pub(crate) struct Sampler {
    latency: Latency,
    rng: StdRng,
}

impl Sampler {
    pub(crate) fn new(latency: Latency, seed: u64) -> Self {
        Self { latency, rng: StdRng::seed_from_u64(seed) }
    }

    pub(crate) fn sample(&mut self) -> Duration {
        let uniform: f64 = self.rng.random();
        let tail = -(1.0 - uniform).ln();
        let time = self.latency.mean.mul_f64(FLOOR + (1.0 - FLOOR) * tail);
        let straggles = self.rng.random::<f64>() < self.latency.stragglers;
        if straggles { time.mul_f64(self.latency.factor) } else { time }
    }
}
