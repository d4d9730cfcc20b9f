//! Groups of hosts that hold the connections to the endpoints of a part of the services.
//!
//! Answers the load of gathers over many shards in a large tier. An endpoint accepts fewer
//! connections than a large tier has hosts. If each host sent to each endpoint, most connections
//! would be new or missing, and one slow host would send a whole gather. The hosts of an availability
//! zone are therefore divided into groups, and each service belongs to one group of each zone: its
//! owners, which hold most of the connections to its endpoints there. Gathers reach these endpoints
//! through an owner. In a zone with few hosts all are owners; they share the calls of a large gather
//! all the same.

use crate::core::digest;
use crate::core::routes::Target;
use indexmap::IndexMap;
use std::sync::Arc;

/// Number of hosts in a group, so that the loss of one leaves enough.
const GROUP_HOSTS: usize = 4;
/// Maximum number of groups in a zone, since a gather sends a message to each, and a message costs about
/// as much processor time as three calls.
const GROUPS_MAX: usize = 4;
/// Inverse of the fraction of an endpoint's connections that its owners hold.
const OWNED_DIVISOR: u32 = 2;
/// Number of calls of a gather to one zone that another host of an undivided zone is worth a message
/// for.
const PART_CALLS: usize = 16;

/// Hosts of one availability zone.
#[derive(Clone, Debug, Default)]
struct Zone {
    /// Hosts of each group; a single one unless the zone is divided.
    groups: Vec<Vec<Arc<str>>>,
    /// Positions of these hosts in [`Groups::order`].
    positions: Vec<Vec<usize>>,
    divided: bool,
}

impl Zone {
    fn new(mut hosts: Vec<Arc<str>>, order: &[Ranked]) -> Self {
        hosts.sort_by_cached_key(|host| digest::hash(&[host]));
        let count = (hosts.len() / GROUP_HOSTS).clamp(1, GROUPS_MAX);
        let groups = divide(hosts, count);
        let position_of = |host: &Arc<str>| position(order, host);
        let positions = groups.iter().map(|group| group.iter().map(position_of).collect());
        Self { positions: positions.collect(), groups, divided: count > 1 }
    }
}

/// Divides hosts into groups whose sizes differ by one at most. Each host joins the group that it ranks
/// highest among those with room, so that a host that comes or goes moves few others.
fn divide(hosts: Vec<Arc<str>>, count: usize) -> Vec<Vec<Arc<str>>> {
    let (size, mut larger) = (hosts.len() / count, hosts.len() % count);
    let names: Vec<String> = (0..count).map(|group| group.to_string()).collect();
    let mut groups: Vec<Vec<Arc<str>>> = vec![Vec::new(); count];
    for host in hosts {
        let has_room = |group: &usize| {
            groups[*group].len() < size || (groups[*group].len() == size && larger > 0)
        };
        let open = (0..count).filter(has_room);
        let Some(group) = open.max_by_key(|group| digest::hash(&[&names[*group], &host])) else {
            continue;
        };
        larger -= usize::from(groups[group].len() == size);
        groups[group].push(host);
    }
    groups
}

/// A host after its hash.
type Ranked = (u64, Arc<str>);

/// Number of hosts before `host` in a sorted list, which need not hold it.
fn position(order: &[Ranked], host: &str) -> usize {
    let key = (digest::hash(&[host]), host);
    order.partition_point(|(hash, name)| (*hash, &**name) < key)
}

/// Hosts of all zones, by zone and group.
#[derive(Clone, Debug, Default)]
pub struct Groups {
    zones: IndexMap<Arc<str>, Zone>,
    /// All hosts, sorted.
    order: Vec<Ranked>,
}

impl Groups {
    /// Divides hosts, each given with its zone. All hosts that know the same ones divide them alike.
    pub fn new(hosts: impl Iterator<Item = (Arc<str>, Arc<str>)>) -> Self {
        let mut all: IndexMap<Arc<str>, Vec<Arc<str>>> = IndexMap::new();
        hosts.for_each(|(host, zone)| all.entry(zone).or_default().push(host));
        let ranked = |host: &Arc<str>| (digest::hash(&[host]), host.clone());
        let mut order: Vec<Ranked> = all.values().flatten().map(ranked).collect();
        order.sort_unstable();
        let zones = all.into_iter().map(|(zone, list)| (zone, Zone::new(list, &order)));
        Self { zones: zones.collect(), order }
    }

    /// Number of messages in which `host` sends `calls` calls of one gather to the endpoints of a zone:
    /// one for each group of a divided zone, otherwise at most one for each other host.
    pub fn parts(&self, host: &str, zone: &str, calls: usize) -> usize {
        let Some(z) = self.zones.get(zone) else { return 1 };
        if z.divided {
            return z.groups.len();
        }
        let others = z.groups.first().map_or(0, |g| g.iter().filter(|h| ***h != *host).count());
        (calls / PART_CALLS).clamp(1, others.max(1))
    }

    /// Which of so many parts the calls to a service belong to; in a divided zone its group.
    pub fn part(service: &str, parts: usize) -> usize {
        (digest::hash(&[service]) % parts.max(1) as u64) as usize
    }

    /// Whether the hosts of a zone are divided.
    pub fn is_divided(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|z| z.divided)
    }

    /// Owners of the endpoints of a group of a divided zone that accept so many connections each: no more
    /// hosts than there are connections for, and one that is not known here yet.
    pub fn owners(&self, zone: &str, group: usize, connections: u32) -> &[Arc<str>] {
        let z = self.zones.get(zone).filter(|z| z.divided);
        let all = z.and_then(|z| z.groups.get(group)).map_or(&[][..], Vec::as_slice);
        let most = (connections / OWNED_DIVISOR).saturating_sub(1).max(1) as usize;
        &all[..all.len().min(most)]
    }

    /// Hosts of an undivided zone other than `host` that a part of its calls may be sent through, in
    /// the order of preference; each part prefers a different one.
    pub fn helpers(&self, host: &str, zone: &str, part: usize) -> Vec<Arc<str>> {
        let all =
            self.zones.get(zone).and_then(|z| z.groups.first()).map_or(&[][..], Vec::as_slice);
        let mut others: Vec<_> = all.iter().filter(|h| ***h != *host).cloned().collect();
        let count = others.len().max(1);
        others.rotate_left(part % count);
        others
    }

    /// Hosts that own an endpoint of a divided zone.
    pub fn owners_of(&self, to: &Target) -> &[Arc<str>] {
        let groups = self.zones.get(&to.zone).map_or(1, |z| z.groups.len());
        self.owners(&to.zone, Self::part(&to.service, groups), to.connections)
    }

    /// Whether a host owns an endpoint, or the hosts of its zone are not divided.
    pub fn owns(&self, host: &str, to: &Target) -> bool {
        !self.is_divided(&to.zone) || self.owners_of(to).iter().any(|owner| **owner == *host)
    }

    /// Connections that `host` may open to an endpoint.
    ///
    /// If there are enough for all hosts, each gets an equal share. Otherwise the owners share a
    /// part of them, and some of the other hosts get one each: those that follow a position, which
    /// depends on the endpoint, in a circle of all others. So the work does not grow with the number
    /// of hosts, and a host that joins or leaves moves few shares. One share of each kind stays free
    /// for a host that joins and is not known here yet.
    pub fn connection_share(&self, host: &str, to: &Target) -> u32 {
        let hosts = self.order.len();
        let shares = u32::try_from(hosts).unwrap_or(u32::MAX).saturating_add(1);
        if shares <= to.connections {
            return to.connections / shares;
        }
        let owners = self.owners_of(to);
        let owned = if owners.is_empty() { 0 } else { to.connections / OWNED_DIVISOR };
        if owners.iter().any(|owner| **owner == *host) {
            return (owned / (owners.len() as u32 + 1)).max(1);
        }
        let with_share = (to.connections - owned).saturating_sub(1).max(1) as usize;
        let others = hosts - owners.len();
        let own = position(&self.order, host);
        let zone = self.zones.get(&to.zone);
        let group = zone.and_then(|z| z.positions.get(Self::part(&to.service, z.groups.len())));
        let owner_positions = group.into_iter().flatten().take(owners.len());
        let owners_before = owner_positions.filter(|p| **p < own).count();
        let first = fraction_of(others, digest::hash(&[&to.name]));
        let after_first = (own - owners_before + others - first) % others.max(1);
        u32::from(after_first < with_share)
    }
}

/// The part of `n` that a hash is of all hashes; it moves by one at most when `n` does.
fn fraction_of(n: usize, hash: u64) -> usize {
    ((hash as u128 * n as u128) >> u64::BITS) as usize
}
