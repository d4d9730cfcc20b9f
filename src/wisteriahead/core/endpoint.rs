//! Announcements of endpoints and their validation.
//!
//! The values that an endpoint announces are upper limits. What the tier observes of the endpoint
//! can only lower them.

use super::digest;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

slotmap::new_key_type! {
    /// Key of an endpoint in the registry's slot map.
    pub struct EndpointKey;
}

/// Maximum length of the name of a host, endpoint, zone, service, collection or snapshot.
pub const NAME_MAX_BYTES: usize = 64;
/// Maximum number of holdings in one announcement.
pub const HOLDINGS_MAX: usize = 64;
/// Maximum number of shards in one snapshot.
pub const SHARDS_MAX: u32 = 4_096;
/// Maximum number of slots, and of connections, of one endpoint.
pub const SLOTS_MAX: u32 = 10_000;

/// Readiness that an endpoint announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointState {
    /// In cold start: takes at most `bearable` concurrent requests.
    Starting,
    /// Ready: takes at most `slots` concurrent requests.
    Warm,
    /// Shutting down: takes no new requests.
    Draining,
}

/// One shard of one snapshot that an endpoint holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Holding {
    /// Collection of the snapshot.
    pub collection: String,
    /// Name of the snapshot; orders the snapshots of a collection.
    pub snapshot: String,
    /// Zero-based index of the shard.
    pub shard: u32,
    /// Number of shards in the snapshot.
    pub shards: u32,
}

/// Announcement of an endpoint, repeated as its heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Unique name of the endpoint.
    pub endpoint: String,
    /// Name of its host, as in the inventory.
    pub host: String,
    /// Address on which it serves requests.
    pub address: SocketAddr,
    /// Availability zone; the inventory takes precedence.
    pub zone: String,
    /// Name of its service.
    pub service: String,
    /// Number that increases each time the endpoint's process starts.
    pub incarnation: u64,
    /// Number that increases with each announcement of one incarnation.
    pub sequence: u64,
    /// Readiness.
    pub state: EndpointState,
    /// Concurrent requests that it runs when warm.
    pub slots: u32,
    /// Connections that it accepts in total.
    pub connections: u32,
    /// Concurrent requests that it can run in cold start.
    pub bearable: u32,
    /// Shards that it holds.
    pub holdings: Vec<Holding>,
}

impl Announcement {
    /// Whether another announcement differs in nothing but its sequence.
    pub fn has_same_content(&self, other: &Self) -> bool {
        let Self {
            endpoint,
            host,
            address,
            zone,
            service,
            incarnation,
            sequence: _,
            state,
            slots,
            connections,
            bearable,
            holdings,
        } = self;
        *incarnation == other.incarnation
            && *state == other.state
            && (*slots, *connections, *bearable) == (other.slots, other.connections, other.bearable)
            && *address == other.address
            && *endpoint == other.endpoint
            && *host == other.host
            && *zone == other.zone
            && *service == other.service
            && *holdings == other.holdings
    }

    /// Concurrent requests that the announcement allows.
    pub fn allowed(&self) -> u32 {
        match self.state {
            EndpointState::Starting => self.bearable.min(self.slots),
            EndpointState::Warm => self.slots,
            EndpointState::Draining => 0,
        }
    }

    /// Validates every field.
    ///
    /// # Errors
    ///
    /// Returns the first invalid field, its value and what is allowed.
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

/// Connections that `host` may open to an endpoint that accepts `connections` in total.
///
/// The connections are divided by the number of hosts plus one. The extra share keeps the sum
/// within the limit while a new host joins that the others do not know yet. If there are more
/// shares than connections, the first hosts by rendezvous hashing get one each and the others
/// none.
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

/// Validates a name: 1 to [`NAME_MAX_BYTES`] ASCII letters, digits, `-`, `_`, `.` or `:`.
///
/// # Errors
///
/// Returns the field, the value and what is allowed.
pub fn check_name(field: &str, name: &str) -> Result<(), String> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    if !name.is_empty() && name.len() <= NAME_MAX_BYTES && name.chars().all(is_allowed) {
        return Ok(());
    }
    let shown: String = name.chars().take(NAME_MAX_BYTES).collect();
    Err(format!(
        "`{field}` is `{shown}`; 1 to {NAME_MAX_BYTES} letters, digits, `-`, `_`, `.` or `:` are allowed"
    ))
}
