//! Availability zones whose endpoints the gathers of one host are sent to.
//!
//! Answers the load of gathers whose shards have replicas in some zones only: each zone more means more
//! messages for the same calls, to hosts that this host seldom talks to.

use crate::core::digest;
use indexmap::{IndexMap, IndexSet};
use std::cmp::Reverse;
use std::sync::Arc;

/// The own zone, and few others that together hold the remaining shards; after them those that hold a
/// second replica of each shard, for hedges and retries.
#[derive(Clone, Debug, Default)]
pub struct ZoneCover {
    /// Shards whose first attempt goes to each zone, in the order of preference.
    first: IndexMap<Arc<str>, usize>,
    /// Zones for further attempts.
    second: IndexSet<Arc<str>>,
}

/// What the gathers of a host need a zone for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Need {
    /// First attempts.
    First,
    /// Hedges and retries.
    Second,
    /// Nothing.
    None,
}

impl ZoneCover {
    /// Chooses zones for `host`, which is in the zone `own`; `shards` lists the zones of each shard's
    /// replicas. Hosts of one zone differ in their choice where zones serve equally well.
    pub fn new(host: &str, own: &str, mut shards: Vec<Vec<Arc<str>>>) -> Self {
        let (mut first, mut second) = (IndexMap::new(), IndexSet::new());
        let mut others = Vec::new();
        while let Some((zone, held)) = widest(host, own, &shards) {
            for list in shards.extract_if(.., |list| list.contains(&zone)) {
                others.push(list.into_iter().filter(|z| *z != zone).collect::<Vec<_>>());
            }
            first.insert(zone, held);
        }
        // Zones that are needed anyway cost no further connections.
        others.retain(|list| !list.iter().any(|zone| first.contains_key(zone)));
        while let Some((zone, _)) = widest(host, own, &others) {
            others.retain(|list| !list.contains(&zone));
            second.insert(zone);
        }
        Self { first, second }
    }

    /// What a zone is needed for, and its position among the zones needed for that.
    pub fn need(&self, zone: &str) -> (Need, usize) {
        let first = self.first.get_index_of(zone).map(|position| (Need::First, position));
        let second = || self.second.get_index_of(zone).map(|position| (Need::Second, position));
        first.or_else(second).unwrap_or((Need::None, 0))
    }

    /// Number of shards whose first attempt goes to a zone.
    pub fn calls(&self, zone: &str) -> usize {
        self.first.get(zone).copied().unwrap_or_default()
    }

    /// Number of shards.
    pub fn shards(&self) -> usize {
        self.first.values().sum()
    }

    /// All zones that are needed.
    pub fn zones(&self) -> impl Iterator<Item = &Arc<str>> {
        self.first.keys().chain(&self.second)
    }
}

/// Zone that holds the most of the shards, and how many; the own zone if it holds any.
fn widest(host: &str, own: &str, shards: &[Vec<Arc<str>>]) -> Option<(Arc<str>, usize)> {
    let mut held: IndexMap<&Arc<str>, usize> = IndexMap::new();
    for zone in shards.iter().flatten() {
        *held.entry(zone).or_default() += 1;
    }
    let best = held
        .into_iter()
        .min_by_key(|(zone, held)| (***zone != *own, Reverse(*held), zone_rank(host, zone)));
    best.map(|(zone, held)| (zone.clone(), held))
}

/// Rank of another zone among those that a host prefers; the lowest is preferred.
pub fn zone_rank(host: &str, zone: &str) -> u64 {
    digest::hash(&[host, zone]).max(1)
}
