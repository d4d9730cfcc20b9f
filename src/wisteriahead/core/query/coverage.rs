//! Which shards of its snapshot an answer covers.

/// Shards that an answer covers.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Coverage {
    /// Shards in the snapshot.
    pub shards: u32,
    /// Shards that answered.
    pub answered: u32,
    /// Shards that did not.
    pub missing: Vec<u32>,
}

impl Coverage {
    /// Whether the share answered reaches `least`, 0 to 1.
    pub fn meets(&self, least: f64) -> bool {
        meets_coverage(self.answered as usize, self.shards as usize, least)
    }
}

/// Whether so many of the shards reach the share `least`, 0 to 1.
pub fn meets_coverage(answered: usize, shards: usize, least: f64) -> bool {
    answered as f64 >= shards as f64 * least
}
