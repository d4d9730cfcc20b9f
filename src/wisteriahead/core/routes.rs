//! Where a query can go: an immutable index built from the registry.
//!
//! Queries plan on one [`Routes`] from start to end, so a change of the registry
//! never mixes two snapshots in one answer.

use super::endpoint::EndpointKey;
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// One endpoint as a target of requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Key in the registry's arena.
    pub key: EndpointKey,
    /// Name of the endpoint.
    pub name: Arc<str>,
    /// Service it belongs to.
    pub service: Arc<str>,
    /// Availability zone it stands in.
    pub zone: Arc<str>,
    /// Address that serves requests.
    pub address: SocketAddr,
    /// Process start that the route was built from.
    pub incarnation: u64,
    /// Requests at once that it is allowed, over all entry hosts.
    pub allowed: u32,
    /// Requests at once that it can bear in cold start, over all entry hosts.
    pub bearable: u32,
    /// Connections that it accepts, over all entry hosts.
    pub connections: u32,
    /// Whether it is in cold start, so that `allowed` is its cold limit.
    pub cold: bool,
}

impl Target {
    /// Name of this start of the endpoint's process.
    pub fn life(&self) -> String {
        format!("{}#{}", self.name, self.incarnation)
    }
}

/// One snapshot of a collection and who holds its shards.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Name of the snapshot.
    pub name: Arc<str>,
    /// Replicas of each shard; the index is the shard.
    pub shards: Vec<Vec<Target>>,
}

impl Snapshot {
    /// Number of shards with at least one replica.
    pub fn held(&self) -> usize {
        self.shards.iter().filter(|r| !r.is_empty()).count()
    }

    /// Number of shards with a replica outside of some zones.
    pub fn held_outside(&self, zones: &[Arc<str>]) -> usize {
        self.shards.iter().filter(|r| r.iter().any(|t| !zones.contains(&t.zone))).count()
    }

    /// Number of shards, as endpoints announce it.
    pub fn count(&self) -> u32 {
        u32::try_from(self.shards.len()).unwrap_or(u32::MAX)
    }

    /// Whether both have one name and one partitioning; who holds their shards may differ.
    pub fn is_same(&self, other: &Self) -> bool {
        self.name == other.name && self.shards.len() == other.shards.len()
    }

    /// Number of replicas over all shards.
    pub fn replicas(&self) -> usize {
        self.shards.iter().map(Vec::len).sum()
    }
}

/// The snapshots of a collection, the newest first.
#[derive(Clone, Debug, Default)]
pub struct Collection {
    /// Snapshots by descending name.
    pub snapshots: Vec<Arc<Snapshot>>,
}

impl Collection {
    /// The newest snapshot whose shards are all held, else the one with the largest share held.
    pub fn best(&self) -> Option<Arc<Snapshot>> {
        self.best_without(&[])
    }

    /// As [`Collection::best`], without the snapshots in `lost`.
    pub fn best_without(&self, lost: &[Arc<Snapshot>]) -> Option<Arc<Snapshot>> {
        let left = || self.snapshots.iter().filter(|s| !lost.iter().any(|l| l.is_same(s)));
        let full = left().find(|s| s.held() == s.shards.len());
        let share = |s: &Snapshot| s.held() * 1_000_000 / s.shards.len().max(1);
        full.or_else(|| left().rev().max_by_key(|s| share(s))).cloned()
    }
}

/// All collections that can be searched.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    /// Collections by name.
    pub collections: IndexMap<String, Collection>,
    /// Every endpoint that is let in, those that take no new work included.
    pub targets: IndexMap<Arc<str>, Target>,
    /// The endpoints of each service that take new work.
    pub services: IndexMap<Arc<str>, Vec<Target>>,
}
