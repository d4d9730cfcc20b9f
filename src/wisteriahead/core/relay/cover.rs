//! Availability zones whose endpoints the gathers of one host are sent to.
//!
//! Answers the load of gathers whose shards have replicas in some zones only: each zone more means more
//! messages for the same calls, to hosts that this host seldom talks to.

use crate::core::digest;
use indexmap::{IndexMap, IndexSet};
use std::cmp::Reverse;
use std::sync::Arc;

/// Maximum number of zones that are told apart; replicas in further ones do not count.
const ZONES_MAX: usize = 128;

/// The own zone, and few others that together hold the remaining shards; after them those that hold a
/// second replica of each shard, for hedges and retries.
#[derive(Clone, Debug, Default)]
pub struct ZoneCover {
    /// Zones and the shards whose first attempt goes to each, in the order of preference. They are few, and
    /// looked up for each replica of a request.
    first: Vec<(Arc<str>, usize)>,
    /// Zones for further attempts.
    second: Vec<Arc<str>>,
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
    pub fn new<'a, Z: Iterator<Item = &'a Arc<str>>>(
        host: &str,
        own: &str,
        shards: impl Iterator<Item = Z>,
    ) -> Self {
        let mut shards = ShardZones::new(host, own, shards);
        let (mut first, mut second) = (Vec::new(), Vec::new());
        let (mut others, mut needed): (IndexMap<u128, usize>, u128) = (IndexMap::new(), 0);
        while let Some((zone, held)) = shards.widest() {
            for (set, count) in shards.take_with(zone) {
                *others.entry(set).or_default() += count;
            }
            needed |= 1 << zone;
            first.push((shards.zones[zone].clone(), held));
        }
        // Zones that are needed anyway cost no further connections.
        others.retain(|set, _| set & needed == 0);
        shards.sets = others;
        while let Some((zone, _)) = shards.widest() {
            shards.take_with(zone);
            second.push(shards.zones[zone].clone());
        }
        Self { first, second }
    }

    /// What a zone is needed for, and its position among the zones needed for that.
    pub fn need(&self, zone: &str) -> (Need, usize) {
        let first = self.first.iter().position(|(z, _)| **z == *zone);
        let first = first.map(|position| (Need::First, position));
        let second = || {
            let position = self.second.iter().position(|z| **z == *zone);
            position.map(|position| (Need::Second, position))
        };
        first.or_else(second).unwrap_or((Need::None, 0))
    }

    /// Number of shards whose first attempt goes to a zone.
    pub fn calls(&self, zone: &str) -> usize {
        self.first.iter().find(|(z, _)| **z == *zone).map_or(0, |(_, calls)| *calls)
    }

    /// Number of shards.
    pub fn shards(&self) -> usize {
        self.first.iter().map(|(_, calls)| calls).sum()
    }

    /// All zones that are needed.
    pub fn zones(&self) -> impl Iterator<Item = &Arc<str>> {
        self.first.iter().map(|(zone, _)| zone).chain(&self.second)
    }
}

/// Shards by the set of zones that hold a replica, each set as bits by the zones' positions.
struct ShardZones<'a> {
    zones: IndexSet<&'a Arc<str>>,
    /// The lower, the better, whatever a zone holds.
    ranks: Vec<(bool, u64)>,
    sets: IndexMap<u128, usize>,
}

impl<'a> ShardZones<'a> {
    fn new<Z: Iterator<Item = &'a Arc<str>>>(
        host: &str,
        own: &str,
        shards: impl Iterator<Item = Z>,
    ) -> Self {
        let (mut zones, mut sets) = (IndexSet::new(), IndexMap::new());
        for shard in shards {
            let positions = shard.map(|zone| zones.insert_full(zone).0);
            let set = positions.filter(|at| *at < ZONES_MAX).fold(0_u128, |set, at| set | 1 << at);
            *sets.entry(set).or_default() += 1;
        }
        zones.truncate(ZONES_MAX);
        let rank = |zone: &&Arc<str>| (***zone != *own, zone_rank(host, zone));
        Self { ranks: zones.iter().map(rank).collect(), zones, sets }
    }

    /// Position of the zone that holds the most of the shards, and how many; the own zone if it holds any.
    fn widest(&self) -> Option<(usize, usize)> {
        let held = |zone: usize| -> usize {
            self.sets.iter().filter(|(set, _)| *set >> zone & 1 == 1).map(|(_, count)| count).sum()
        };
        let held = (0..self.zones.len()).map(|zone| (zone, held(zone)));
        held.filter(|(_, held)| *held > 0).min_by_key(|(zone, held)| {
            let (remote, rank) = self.ranks[*zone];
            (remote, Reverse(*held), rank)
        })
    }

    /// Takes out the shards that a zone holds; returns their other zones.
    fn take_with(&mut self, zone: usize) -> Vec<(u128, usize)> {
        let taken = self.sets.extract_if(.., |set, _| *set >> zone & 1 == 1);
        taken.map(|(set, count)| (set & !(1 << zone), count)).collect()
    }
}

/// Rank of another zone among those that a host prefers; the lowest is preferred.
pub fn zone_rank(host: &str, zone: &str) -> u64 {
    digest::hash(&[host, zone]).max(1)
}
