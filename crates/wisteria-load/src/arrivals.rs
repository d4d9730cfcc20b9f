//! Intended arrival times: a Poisson process from a seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Times since the start of the run, in order, until `span` is over.
pub(crate) struct Arrivals {
    rng: StdRng,
    rate: f64,
    span: f64,
    now: f64,
}

impl Arrivals {
    /// Arrivals at `rate` per second.
    pub(crate) fn new(seed: u64, rate: f64, span: Duration) -> Self {
        Self { rng: StdRng::seed_from_u64(seed), rate, span: span.as_secs_f64(), now: 0.0 }
    }
}

impl Iterator for Arrivals {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        let uniform: f64 = self.rng.random();
        self.now -= (1.0 - uniform).ln() / self.rate;
        (self.now < self.span).then(|| Duration::from_secs_f64(self.now))
    }
}
