//! Coverage of an answer: which shards of the snapshot it includes.

/// Shards that an answer includes.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Coverage {
    /// Number of shards in the snapshot.
    pub shards: u32,
    /// Number of shards that answered.
    pub answered: u32,
    /// Indexes of the shards that did not answer.
    pub missing: Vec<u32>,
}

impl Coverage {
    /// Whether the fraction of shards that answered is at least `min_coverage`, 0 to 1.
    pub fn meets(&self, min_coverage: f64) -> bool {
        meets_coverage(self.answered as usize, self.shards as usize, min_coverage)
    }
}

/// Least number of `shards` that is at least the fraction `min_coverage`, 0 to 1.
pub fn shards_for_coverage(shards: usize, min_coverage: f64) -> usize {
    (shards as f64 * min_coverage).ceil() as usize
}

/// Whether `answered` out of `shards` is at least the fraction `min_coverage`, 0 to 1.
pub fn meets_coverage(answered: usize, shards: usize, min_coverage: f64) -> bool {
    answered as f64 >= shards as f64 * min_coverage
}
