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
    pub fn reaches(&self, least: f64) -> bool {
        f64::from(self.answered) >= f64::from(self.shards) * least
    }
}
