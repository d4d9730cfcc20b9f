//! Quantiles of recent times.
//!
//! A [`Histogram`] counts times in buckets whose bounds grow by a constant factor, so that the
//! error of a quantile is at most one bucket. When the total count reaches [`WEIGHT_MAX`], all
//! counts are halved. A change of the service thus shows within a few thousand attempts, without a
//! clock.

use super::time::Span;

/// Number of buckets per doubling of the time.
const BUCKETS_PER_DOUBLING: usize = 16;
/// Number of doublings covered, starting at one microsecond.
const DOUBLINGS: usize = 30;
/// Total count at which all counts are halved.
pub const WEIGHT_MAX: f32 = 20_000.0;
/// Total count below which a histogram returns no quantile.
pub const WEIGHT_MIN: f32 = 100.0;

/// A decaying histogram of times.
#[derive(Clone, Debug)]
pub struct Histogram {
    counts: Vec<f32>,
    weight: f32,
}

impl Default for Histogram {
    fn default() -> Self {
        Self { counts: vec![0.0; BUCKETS_PER_DOUBLING * DOUBLINGS], weight: 0.0 }
    }
}

impl Histogram {
    /// Adds one sample.
    pub fn record(&mut self, time: Span) {
        self.counts[bucket(time)] += 1.0;
        self.weight += 1.0;
        if self.weight >= WEIGHT_MAX {
            self.decay();
        }
    }

    fn decay(&mut self) {
        self.counts.iter_mut().for_each(|c| *c /= 2.0);
        self.weight /= 2.0;
    }

    /// The time that a fraction `q` of the samples do not exceed; `None` while there are too few
    /// samples.
    pub fn quantile(&self, q: f64) -> Option<Span> {
        if self.weight < WEIGHT_MIN {
            return None;
        }
        let target = self.weight * q as f32;
        let mut sum = 0.0;
        let index = self.counts.iter().position(|c| {
            sum += c;
            sum >= target
        });
        Some(upper_bound(index.unwrap_or(self.counts.len() - 1)))
    }
}

fn bucket(time: Span) -> usize {
    let at = (time.0.max(1) as f64).log2() * BUCKETS_PER_DOUBLING as f64;
    (at as usize).min(BUCKETS_PER_DOUBLING * DOUBLINGS - 1)
}

fn upper_bound(bucket: usize) -> Span {
    Span(((bucket + 1) as f64 / BUCKETS_PER_DOUBLING as f64).exp2().ceil() as u64)
}
