//! Monitors of an endpoint: the hosts that detect when it has been silent for too long.
//!
//! The hosts are ranked for each endpoint by rendezvous hashing. The result is kept and updated for
//! hosts that come and go, since ranking all hosts for all endpoints takes a host of a large tier
//! milliseconds of processor time.

use super::digest;
use std::cmp::Reverse;
use std::sync::Arc;

/// Number of hosts that monitor each endpoint.
pub const MONITOR_COUNT: usize = 2;

/// Monitors of one endpoint, highest rank first.
#[derive(Clone, Debug, Default)]
pub struct Monitors(Vec<(u64, Arc<str>)>);

impl Monitors {
    /// Ranks hosts for an endpoint.
    pub fn rank<'a>(endpoint: &str, hosts: impl Iterator<Item = &'a Arc<str>>) -> Self {
        let mut monitors = Self::default();
        hosts.for_each(|host| monitors.add_host(endpoint, host));
        monitors
    }

    /// Ranks one more host.
    pub fn add_host(&mut self, endpoint: &str, host: &Arc<str>) {
        let rank = (digest::hash(&[endpoint, host]), host);
        let position = self.0.partition_point(|(hash, h)| Reverse((*hash, h)) < Reverse(rank));
        if position < MONITOR_COUNT {
            self.0.insert(position, (rank.0, host.clone()));
            self.0.truncate(MONITOR_COUNT);
        }
    }

    /// Whether no host was ranked yet.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether a host is one of the monitors.
    pub fn contains(&self, host: &str) -> bool {
        self.hosts().any(|h| **h == *host)
    }

    /// The monitors.
    pub fn hosts(&self) -> impl Iterator<Item = &Arc<str>> {
        self.0.iter().map(|(_, host)| host)
    }
}
