//! Quantiles of one run, the median and range over several runs, and least-squares fits.

use std::time::Duration;

const US_PER_MS: f64 = 1_000.0;

/// Quantile of the values by the nearest-rank method; zero without values.
pub(crate) fn quantile(values: &[f64], share: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let last = sorted.len().saturating_sub(1);
    let rank = (share * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.saturating_sub(1).min(last)).copied().unwrap_or(0.0)
}

/// The duration in milliseconds.
pub(crate) fn ms(time: Duration) -> f64 {
    time.as_micros() as f64 / US_PER_MS
}

/// Values of one figure over several runs.
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

    /// The median, followed by the minimum and the maximum in parentheses.
    pub(crate) fn format(&self, decimals: usize) -> String {
        let low = self.0.iter().copied().fold(f64::INFINITY, f64::min);
        let high = self.0.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        match self.0.len() {
            0 => "none".to_owned(),
            1 => format!("{low:.decimals$}"),
            _ => format!("{:.decimals$} ({low:.decimals$} to {high:.decimals$})", self.median()),
        }
    }
}

/// Coefficients of the linear least-squares fit of each row's value by its features; `None` when
/// the rows do not determine them.
pub(crate) fn least_squares<const N: usize>(rows: &[([f64; N], f64)]) -> Option<[f64; N]> {
    let mut matrix = [[0.0; N]; N];
    let mut right = [0.0; N];
    for (features, value) in rows {
        for i in 0..N {
            right[i] += features[i] * value;
            for j in 0..N {
                matrix[i][j] += features[i] * features[j];
            }
        }
    }
    solve(matrix, right)
}

/// Solves a system of linear equations by Gauss-Jordan elimination with partial pivoting.
fn solve<const N: usize>(mut matrix: [[f64; N]; N], mut right: [f64; N]) -> Option<[f64; N]> {
    for column in 0..N {
        let size = |row: &usize| matrix[*row][column].abs();
        let pivot = (column..N).max_by(|a, b| size(a).total_cmp(&size(b)))?;
        if matrix[pivot][column].abs() < f64::EPSILON {
            return None;
        }
        matrix.swap(column, pivot);
        right.swap(column, pivot);
        for row in (0..N).filter(|row| *row != column) {
            let factor = matrix[row][column] / matrix[column][column];
            let pivot_row = matrix[column];
            matrix[row].iter_mut().zip(pivot_row).for_each(|(cell, p)| *cell -= factor * p);
            right[row] -= factor * right[column];
        }
    }
    Some(std::array::from_fn(|i| right[i] / matrix[i][i]))
}
