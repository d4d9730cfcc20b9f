//! Configuration of one leaf.

use std::time::Duration;

use crate::announce::Holding;
use crate::latency::Latency;

/// Identity, limits and timing of one leaf.
#[derive(Clone, Debug)]
pub struct Profile {
    /// Name that it announces.
    pub name: String,
    /// Host that it announces.
    pub host: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Service that it announces.
    pub service: String,
    /// Shards of snapshots that it holds initially.
    pub holdings: Vec<Holding>,
    /// Maximum concurrent requests.
    pub slots: u32,
    /// Maximum concurrent requests during a cold start; the leaf collapses above it.
    pub bearable: u32,
    /// Maximum open connections.
    pub connections: u32,
    /// Time to set up a new connection, before its first request is read.
    pub setup: Duration,
    /// Simulated one-way network delay between the entry hosts and this leaf.
    pub delay: Duration,
    /// Duration of a cold start.
    pub cold: Duration,
    /// Distribution of execution times.
    pub latency: Latency,
    /// Seed of the execution times.
    pub seed: u64,
}
