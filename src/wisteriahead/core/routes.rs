//! Immutable index of the endpoints that requests can be sent to, built from the registry.
//!
//! A query uses the same [`Routes`] from start to end, so a change of the registry never mixes
//! two snapshots in one answer.

use super::endpoint::EndpointKey;
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// An endpoint that requests can be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Key in the registry's slot map.
    pub key: EndpointKey,
    /// Name of the endpoint.
    pub name: Arc<str>,
    /// Service it belongs to.
    pub service: Arc<str>,
    /// Availability zone it runs in.
    pub zone: Arc<str>,
    /// Address that it serves requests at.
    pub address: SocketAddr,
    /// Incarnation of its process that announced the address.
    pub incarnation: u64,
    /// Limit on its concurrent requests, over all entry hosts.
    pub allowed: u32,
    /// Concurrent requests that it can handle in cold start, over all entry hosts.
    pub bearable: u32,
    /// Connections that it accepts, over all entry hosts.
    pub connections: u32,
    /// Whether it is in cold start, in which case `allowed` is at most `bearable`.
    pub cold: bool,
}

impl Target {
    /// Name of this incarnation of the endpoint's process.
    pub fn instance_name(&self) -> String {
        format!("{}#{}", self.name, self.incarnation)
    }
}

/// Endpoints that serve the same requests, shared between the indexes that hold them.
pub type Replicas = Arc<Vec<Target>>;

/// One snapshot of a collection and the replicas of its shards.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Name of the snapshot.
    pub name: Arc<str>,
    /// Replicas by shard index.
    pub shards: Vec<Replicas>,
}

impl Snapshot {
    /// Number of shards with at least one replica.
    pub fn shards_held(&self) -> usize {
        self.shards.iter().filter(|r| !r.is_empty()).count()
    }

    /// Number of shards with at least one replica outside the given zones.
    pub fn shards_held_outside(&self, zones: &[Arc<str>]) -> usize {
        self.shards.iter().filter(|r| r.iter().any(|t| !zones.contains(&t.zone))).count()
    }

    /// Number of shards, as the type that endpoints announce it in.
    pub fn shard_count(&self) -> u32 {
        u32::try_from(self.shards.len()).unwrap_or(u32::MAX)
    }

    /// Whether name and number of shards are the same; the replicas may differ.
    pub fn same_partitioning(&self, other: &Self) -> bool {
        self.name == other.name && self.shards.len() == other.shards.len()
    }

    /// Replicas of all shards.
    pub fn replicas(&self) -> impl Iterator<Item = &Target> {
        self.shards.iter().flat_map(|replicas| replicas.iter())
    }

    /// Number of replicas over all shards.
    pub fn replica_count(&self) -> usize {
        self.shards.iter().map(|replicas| replicas.len()).sum()
    }
}

/// Snapshots of a collection.
#[derive(Clone, Debug, Default)]
pub struct Collection {
    /// Snapshots by descending name, the newest first.
    pub snapshots: Vec<Arc<Snapshot>>,
}

impl Collection {
    /// The newest snapshot whose shards all have a replica, else the one with the largest fraction
    /// of such shards.
    pub fn best(&self) -> Option<Arc<Snapshot>> {
        self.best_without(&[])
    }

    /// Like [`Collection::best`], but excludes the snapshots in `discarded`.
    pub fn best_without(&self, discarded: &[Arc<Snapshot>]) -> Option<Arc<Snapshot>> {
        let usable =
            || self.snapshots.iter().filter(|s| !discarded.iter().any(|l| l.same_partitioning(s)));
        let full = usable().find(|s| s.shards_held() == s.shards.len());
        let share = |s: &Snapshot| s.shards_held() * 1_000_000 / s.shards.len().max(1);
        full.or_else(|| usable().rev().max_by_key(|s| share(s))).cloned()
    }
}

/// All endpoints, by collection, name and service.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    /// Collections by name.
    pub collections: IndexMap<String, Collection>,
    /// Every admitted endpoint by name, including those that take no new requests.
    pub targets: IndexMap<Arc<str>, Arc<Target>>,
    /// Endpoints that take new requests, by service.
    pub services: IndexMap<Arc<str>, Replicas>,
}
