//! What a leaf is and can bear.

use std::time::Duration;

use crate::announce::Holding;
use crate::latency::Latency;

/// Fixed properties of one leaf.
#[derive(Clone, Debug)]
pub struct Profile {
    /// Name that it announces.
    pub name: String,
    /// Host it claims to run on.
    pub host: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Service it belongs to.
    pub service: String,
    /// Snapshots of shards that it holds at start.
    pub holdings: Vec<Holding>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Requests that it bears at once during a cold start.
    pub bearable: u32,
    /// Connections that it serves at once.
    pub connections: u32,
    /// Delay before the first request of a new connection.
    pub setup: Duration,
    /// One-way delay of the network between the entry hosts and this leaf.
    pub delay: Duration,
    /// Length of a cold start.
    pub cold: Duration,
    /// Execution times.
    pub latency: Latency,
    /// Seed of the execution times.
    pub seed: u64,
}
