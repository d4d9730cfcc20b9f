//! Intended arrival times of requests, drawn from a seeded Poisson process.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Arrival times since the start of the run, ascending and below `duration`.
pub(crate) struct Arrivals {
    rng: StdRng,
    /// Mean arrivals per second.
    rate: f64,
    /// Length of the run, in seconds.
    duration: f64,
    /// Time of the last arrival, in seconds.
    elapsed: f64,
}

impl Arrivals {
    /// Arrivals at a mean of `rate` per second.
    pub(crate) fn new(seed: u64, rate: f64, duration: Duration) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            rate,
            duration: duration.as_secs_f64(),
            elapsed: 0.0,
        }
    }
}

impl Iterator for Arrivals {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        // Gaps between the arrivals of a Poisson process are exponentially distributed.
        let uniform: f64 = self.rng.random();
        self.elapsed -= (1.0 - uniform).ln() / self.rate;
        (self.elapsed < self.duration).then(|| Duration::from_secs_f64(self.elapsed))
    }
}
