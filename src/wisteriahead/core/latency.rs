//! Quantiles of observed times that forget old ones.
//!
//! A [`Histogram`] counts times in buckets whose bounds grow by a constant factor, so
//! that a quantile is off by at most one bucket. When the counts reach
//! [`WEIGHT_MAX`] they are all halved: a change of the service shows within a few
//! thousand attempts, and no clock is needed.

use super::time::Span;

/// Buckets in each doubling of the time.
const STEPS: usize = 16;
/// Doublings covered, from one microsecond on.
const DOUBLINGS: usize = 30;
/// Weight at which all counts are halved.
pub const WEIGHT_MAX: f32 = 20_000.0;
/// Weight below which a histogram gives no quantile.
pub const WEIGHT_MIN: f32 = 100.0;

/// A decaying histogram of times.
#[derive(Clone, Debug)]
pub struct Histogram {
    counts: Vec<f32>,
    weight: f32,
}

impl Default for Histogram {
    fn default() -> Self {
        Self { counts: vec![0.0; STEPS * DOUBLINGS], weight: 0.0 }
    }
}

impl Histogram {
    /// Adds one observed time.
    pub fn record(&mut self, time: Span) {
        self.counts[bucket(time)] += 1.0;
        self.weight += 1.0;
        if self.weight >= WEIGHT_MAX {
            self.halve();
        }
    }

    fn halve(&mut self) {
        self.counts.iter_mut().for_each(|c| *c /= 2.0);
        self.weight /= 2.0;
    }

    /// The time that a share `q` of the observed ones do not exceed; none before enough are known.
    pub fn quantile(&self, q: f64) -> Option<Span> {
        if self.weight < WEIGHT_MIN {
            return None;
        }
        let wanted = self.weight * q as f32;
        let mut sum = 0.0;
        let found = self.counts.iter().position(|c| {
            sum += c;
            sum >= wanted
        });
        Some(upper(found.unwrap_or(self.counts.len() - 1)))
    }
}

fn bucket(time: Span) -> usize {
    let at = (time.0.max(1) as f64).log2() * STEPS as f64;
    (at as usize).min(STEPS * DOUBLINGS - 1)
}

fn upper(bucket: usize) -> Span {
    Span(((bucket + 1) as f64 / STEPS as f64).exp2().ceil() as u64)
}
