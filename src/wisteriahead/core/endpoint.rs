//! Endpoints as they announce themselves.
//!
//! An announcement is a claim, not a fact: it sets upper limits, and what the
//! tier observes only lowers them.

use super::digest;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

slotmap::new_key_type! {
    /// Key of an endpoint in the registry's arena.
    pub struct EndpointKey;
}

/// Longest name accepted for a host, endpoint, zone, service or snapshot, in bytes.
pub const NAME_MAX_BYTES: usize = 64;
/// Most holdings accepted in one announcement.
pub const HOLDINGS_MAX: usize = 64;
/// Most shards accepted in one snapshot.
pub const SHARDS_MAX: u32 = 4_096;
/// Most slots accepted for one endpoint.
pub const SLOTS_MAX: u32 = 10_000;

/// What an endpoint says of its readiness.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointState {
    /// In cold start: only `bearable` requests at once.
    Starting,
    /// Ready for its full slots.
    Warm,
    /// Leaving: no new work.
    Draining,
}

/// One shard of one snapshot held by an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Holding {
    /// Collection that the snapshot belongs to.
    pub collection: String,
    /// Snapshot name; snapshots of a collection are ordered by it.
    pub snapshot: String,
    /// Index of the shard, from 0.
    pub shard: u32,
    /// Number of shards in the snapshot.
    pub shards: u32,
}

/// What an endpoint announces of itself, repeated as its heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Unique name of the endpoint.
    pub endpoint: String,
    /// Name of its host in the inventory.
    pub host: String,
    /// Address that serves requests.
    pub address: SocketAddr,
    /// Availability zone it believes to be in; the inventory overrides it.
    pub zone: String,
    /// Service it belongs to.
    pub service: String,
    /// Number that rises each time the endpoint's process starts.
    pub incarnation: u64,
    /// Number that rises with each announcement of one incarnation.
    pub sequence: u64,
    /// Its readiness.
    pub state: EndpointState,
    /// Requests it runs at once when warm.
    pub slots: u32,
    /// Connections it accepts in all.
    pub connections: u32,
    /// Requests it can bear at once while starting.
    pub bearable: u32,
    /// Shards it holds.
    pub holdings: Vec<Holding>,
}

impl Announcement {
    /// Requests at once that the announcement itself allows.
    pub fn allowed(&self) -> u32 {
        match self.state {
            EndpointState::Starting => self.bearable.min(self.slots),
            EndpointState::Warm => self.slots,
            EndpointState::Draining => 0,
        }
    }

    /// Checks every field against its limit.
    ///
    /// # Errors
    ///
    /// Returns the first field at fault, its value and what is allowed.
    pub fn check(&self) -> Result<(), String> {
        for (field, name) in [
            ("endpoint", &self.endpoint),
            ("host", &self.host),
            ("zone", &self.zone),
            ("service", &self.service),
        ] {
            check_name(field, name)?;
        }
        check_range("slots", self.slots, 1, SLOTS_MAX)?;
        check_range("connections", self.connections, 1, SLOTS_MAX)?;
        if self.holdings.len() > HOLDINGS_MAX {
            return Err(format!(
                "`holdings` has {} entries; at most {HOLDINGS_MAX} are allowed",
                self.holdings.len()
            ));
        }
        self.holdings.iter().try_for_each(Holding::check)
    }
}

impl Holding {
    fn check(&self) -> Result<(), String> {
        check_name("collection", &self.collection)?;
        check_name("snapshot", &self.snapshot)?;
        check_range("shards", self.shards, 1, SHARDS_MAX)?;
        if self.shard >= self.shards {
            return Err(format!("`shard` is {}; it must be below {}", self.shard, self.shards));
        }
        Ok(())
    }
}

/// Connections that one of the hosts may open to an endpoint that accepts `connections`.
///
/// One share more than there are hosts is set aside, so that the sum holds while a host joins
/// that the others do not know yet. When there are more shares than connections, the first
/// hosts by rendezvous rank get one each and the others none.
pub fn host_share(endpoint: &str, connections: u32, host: &str, hosts: &[Arc<str>]) -> u32 {
    let shares = u32::try_from(hosts.len()).unwrap_or(u32::MAX).saturating_add(1);
    if shares <= connections {
        return connections / shares;
    }
    let ranked = digest::rank(endpoint, hosts.iter().map(|h| &**h));
    let first = connections.saturating_sub(1).max(1) as usize;
    u32::from(ranked.iter().take(first).any(|h| *h == host))
}

fn check_range(field: &str, value: u32, min: u32, max: u32) -> Result<(), String> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(format!("`{field}` is {value}; {min} to {max} is allowed"))
}

/// Checks a name: 1 to [`NAME_MAX_BYTES`] letters, digits, `-`, `_`, `.` or `:`.
///
/// # Errors
///
/// Returns the field, the value and what is allowed.
pub fn check_name(field: &str, name: &str) -> Result<(), String> {
    let ok = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    if !name.is_empty() && name.len() <= NAME_MAX_BYTES && name.chars().all(ok) {
        return Ok(());
    }
    let shown: String = name.chars().take(NAME_MAX_BYTES).collect();
    Err(format!(
        "`{field}` is `{shown}`; 1 to {NAME_MAX_BYTES} letters, digits, `-`, `_`, `.` or `:` are allowed"
    ))
}
