//! Quantiles of a run, and the median and spread over runs.

use std::time::Duration;

const US_PER_MS: f64 = 1_000.0;

/// The value below which this share of the values lies; zero without values.
pub(crate) fn quantile(values: &[f64], share: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let last = sorted.len().saturating_sub(1);
    let at = (share * sorted.len() as f64).ceil() as usize;
    sorted.get(at.saturating_sub(1).min(last)).copied().unwrap_or(0.0)
}

/// Milliseconds of a duration.
pub(crate) fn ms(time: Duration) -> f64 {
    time.as_micros() as f64 / US_PER_MS
}

/// Values of the same figure in several runs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Spread(Vec<f64>);

impl Spread {
    pub(crate) fn new(values: impl IntoIterator<Item = f64>) -> Self {
        Self(values.into_iter().collect())
    }

    pub(crate) fn median(&self) -> f64 {
        let mut sorted = self.0.clone();
        sorted.sort_by(f64::total_cmp);
        let mid = sorted.len() / 2;
        match sorted.len() {
            0 => 0.0,
            n if n % 2 == 1 => sorted[mid],
            _ => (sorted[mid - 1] + sorted[mid]) / 2.0,
        }
    }

    /// The median, with the least and the greatest value in brackets.
    pub(crate) fn show(&self, decimals: usize) -> String {
        let low = self.0.iter().copied().fold(f64::INFINITY, f64::min);
        let high = self.0.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        match self.0.len() {
            0 => "none".to_owned(),
            1 => format!("{low:.decimals$}"),
            _ => format!("{:.decimals$} ({low:.decimals$} to {high:.decimals$})", self.median()),
        }
    }
}

/// Slope and intercept of the least-squares line.
pub(crate) fn line(points: &[(f64, f64)]) -> (f64, f64) {
    let n = points.len() as f64;
    let mean = |f: fn(&(f64, f64)) -> f64| points.iter().map(f).sum::<f64>() / n;
    let (x, y) = (mean(|p| p.0), mean(|p| p.1));
    let over = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum::<f64>();
    let under = points.iter().map(|p| (p.0 - x).powi(2)).sum::<f64>();
    let slope = if under > 0.0 { over / under } else { 0.0 };
    (slope, y - slope * x)
}
