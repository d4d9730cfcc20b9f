//! Groups of hosts that hold the connections to the endpoints of a part of the services.
//!
//! An endpoint accepts fewer connections than a large tier has hosts. If each host sent to each
//! endpoint, most connections would be new or missing, and one slow host would send a whole gather.
//! The hosts of an availability zone are therefore divided into groups, and each service belongs to
//! one group of each zone: its owners, which hold most of the connections to its endpoints there.
//! Gathers reach these endpoints through an owner. In a zone with few hosts all are owners.

use crate::core::digest;
use crate::core::routes::Target;
use indexmap::IndexMap;
use std::sync::Arc;

/// Number of hosts in a group, so that the loss of one leaves enough.
const GROUP_HOSTS: usize = 4;
/// Maximum number of groups in a zone, since a gather sends a message to each.
const GROUPS_MAX: usize = 8;
/// Inverse of the fraction of an endpoint's connections that its owners hold.
const OWNED_DIVISOR: u32 = 2;

/// Hosts of all zones, by zone and group.
#[derive(Clone, Debug, Default)]
pub struct Groups {
    zones: IndexMap<Arc<str>, Vec<Vec<Arc<str>>>>,
    /// Number of all hosts.
    hosts: usize,
}

impl Groups {
    /// Divides hosts, each given with its zone. All hosts that know the same ones divide them alike.
    pub fn new(hosts: impl Iterator<Item = (Arc<str>, Arc<str>)>) -> Self {
        let mut all: IndexMap<Arc<str>, Vec<Arc<str>>> = IndexMap::new();
        hosts.for_each(|(host, zone)| all.entry(zone).or_default().push(host));
        let count = all.values().map(Vec::len).sum();
        let zones = all.into_iter().map(|(zone, mut list)| {
            list.sort_by_cached_key(|host| digest::hash(&[host]));
            let groups = (list.len() / GROUP_HOSTS).clamp(1, GROUPS_MAX);
            let mut divided = vec![Vec::new(); groups];
            list.into_iter().enumerate().for_each(|(i, host)| divided[i % groups].push(host));
            (zone, divided)
        });
        Self { zones: zones.collect(), hosts: count }
    }

    /// Group of a zone that a service belongs to.
    pub fn group(&self, zone: &str, service: &str) -> usize {
        let groups = self.zones.get(zone).map_or(1, Vec::len);
        (digest::hash(&[service]) % groups as u64) as usize
    }

    /// Whether the hosts of a zone are divided.
    pub fn is_divided(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|groups| groups.len() > 1)
    }

    /// Hosts of a group.
    pub fn owners(&self, zone: &str, group: usize) -> &[Arc<str>] {
        self.zones.get(zone).and_then(|groups| groups.get(group)).map_or(&[], Vec::as_slice)
    }

    /// Groups that a gather of `host` sends most of its calls to, each with its zone: those of its own
    /// zone and of the other zone that it prefers.
    pub fn preferred<'a>(
        &'a self,
        host: &'a str,
        own_zone: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a [Arc<str>])> {
        let others = self.zones.keys().filter(|zone| ***zone != *own_zone);
        let other = others.min_by_key(|zone| zone_rank(host, zone)).map(|zone| &**zone);
        let zones = [Some(own_zone), other].into_iter().flatten();
        let groups = |zone| self.zones.get(zone).filter(|groups| groups.len() > 1);
        zones.flat_map(move |zone| groups(zone).into_iter().flatten().map(move |g| (zone, &g[..])))
    }

    /// Hosts that own an endpoint.
    fn owners_of(&self, to: &Target) -> &[Arc<str>] {
        self.owners(&to.zone, self.group(&to.zone, &to.service))
    }

    /// Whether a host owns an endpoint, or the hosts of its zone are not divided.
    pub fn owns(&self, host: &str, to: &Target) -> bool {
        !self.is_divided(&to.zone) || self.owners_of(to).iter().any(|owner| **owner == *host)
    }

    /// Connections that `host` may open to an endpoint.
    ///
    /// If there are enough for all hosts, each gets an equal share. Otherwise the owners share a
    /// part of them, and the first of the other hosts by rendezvous hashing get one each. One share
    /// of each kind stays free for a host that joins and is not known here yet.
    pub fn connection_share(&self, host: &str, to: &Target) -> u32 {
        let shares = u32::try_from(self.hosts).unwrap_or(u32::MAX).saturating_add(1);
        if shares <= to.connections {
            return to.connections / shares;
        }
        let owners = if self.is_divided(&to.zone) { self.owners_of(to) } else { &[] };
        let owned = if owners.is_empty() { 0 } else { to.connections / OWNED_DIVISOR };
        if owners.iter().any(|owner| **owner == *host) {
            return (owned / (owners.len() as u32 + 1)).max(1);
        }
        let others = (to.connections - owned).saturating_sub(1).max(1) as usize;
        let own = (digest::hash(&[&to.name, host]), host);
        let all = self.zones.values().flatten().flatten();
        let ahead = all
            .filter(|h| !owners.contains(h))
            .filter(|h| (digest::hash(&[&to.name, h]), &***h) > own)
            .take(others);
        u32::from(ahead.count() < others)
    }
}

/// Rank of another zone among those that a host prefers; the lowest is preferred.
pub fn zone_rank(host: &str, zone: &str) -> u64 {
    digest::hash(&[host, zone]).max(1)
}
