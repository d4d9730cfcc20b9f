//! The registry of endpoints: what they announced, and what the operators say.
//!
//! The newest announcement of each endpoint is kept until it has been silent for
//! [`EXPIRY`]. The document in force decides the zone of a listed host, and
//! whether it takes new work. [`Registry::routes`] draws the two together.

use super::document::{Admit, Document, HostState, ZoneState};
use super::endpoint::{Announcement, EndpointKey, EndpointState};
use super::routes::{Collection, Routes, Snapshot, Target};
use super::time::{Span, Time};
use indexmap::IndexMap;
use slotmap::SlotMap;
use std::sync::Arc;

/// Silence after which an endpoint is forgotten.
pub const EXPIRY: Span = Span::secs(5);
/// Most endpoints kept.
pub const ENDPOINTS_MAX: usize = 20_000;

/// One endpoint in the registry.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Its newest announcement.
    pub latest: Announcement,
    /// When that was received.
    pub seen: Time,
}

/// What an announcement changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// Nothing: an equal or newer one is known.
    Stale,
    /// Only the time it was last heard of.
    Refreshed,
    /// What may be sent to it.
    Changed,
    /// Nothing: the registry is full.
    Full,
}

/// The registry.
#[derive(Debug, Default)]
pub struct Registry {
    arena: SlotMap<EndpointKey, Endpoint>,
    names: IndexMap<String, EndpointKey>,
    document: Arc<Document>,
}

impl Registry {
    /// Applies an announcement that was received at `now`.
    pub fn announce(&mut self, now: Time, a: Announcement) -> Applied {
        let Some(&key) = self.names.get(&a.endpoint) else {
            return self.insert(now, a);
        };
        let Some(e) = self.arena.get_mut(key) else { return Applied::Stale };
        if !a.supersedes(&e.latest) {
            return Applied::Stale;
        }
        let same = Announcement { sequence: a.sequence, ..e.latest.clone() } == a;
        *e = Endpoint { latest: a, seen: now };
        if same { Applied::Refreshed } else { Applied::Changed }
    }

    fn insert(&mut self, now: Time, a: Announcement) -> Applied {
        if self.names.len() >= ENDPOINTS_MAX {
            return Applied::Full;
        }
        let name = a.endpoint.clone();
        let key = self.arena.insert(Endpoint { latest: a, seen: now });
        self.names.insert(name, key);
        Applied::Changed
    }

    /// Sets the document in force.
    pub fn set_document(&mut self, document: Arc<Document>) {
        self.document = document;
    }

    /// Forgets endpoints that have been silent too long; says whether any were.
    pub fn expire(&mut self, now: Time) -> bool {
        let before = self.names.len();
        let arena = &mut self.arena;
        self.names.retain(|_, key| {
            let live = arena.get(*key).is_some_and(|e| now.since(e.seen) <= EXPIRY);
            if !live {
                arena.remove(*key);
            }
            live
        });
        self.names.len() != before
    }

    /// All endpoints by name.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        self.names.values().filter_map(|&k| Some((k, self.arena.get(k)?)))
    }

    /// The zone an endpoint stands in and the requests at once that it is allowed.
    ///
    /// Returns nothing for an endpoint that is not let in.
    pub fn standing(&self, a: &Announcement) -> Option<(String, u32)> {
        let host = self.document.hosts.iter().find(|h| h.name == a.host);
        self.judge(host.map(|h| (h.zone.as_str(), h.state)), a)
    }

    fn judge(&self, host: Option<(&str, HostState)>, a: &Announcement) -> Option<(String, u32)> {
        let (zone, state) = match host {
            Some(found) => found,
            None if self.document.rules.admit == Admit::Any => {
                (a.zone.as_str(), HostState::Serving)
            }
            None => return None,
        };
        let out = self.document.zone(zone).is_some_and(|z| z.state == ZoneState::Out);
        let cap = self.document.rules.caps.iter().find(|c| c.service == a.service);
        let limit = a.allowed().min(cap.map_or(u32::MAX, |c| c.slots));
        let allowed = match state {
            _ if out => 0,
            HostState::Serving => limit,
            HostState::Starting => limit.min(a.bearable),
            HostState::Leaving | HostState::Retired => 0,
        };
        Some((zone.to_owned(), allowed))
    }

    /// Builds the index that queries plan on.
    pub fn routes(&self) -> Routes {
        let hosts = self.document.hosts_by_name();
        let mut found: IndexMap<&str, IndexMap<&str, Snapshot>> = IndexMap::new();
        for (key, e) in self.iter() {
            let a = &e.latest;
            let host = hosts.get(a.host.as_str()).map(|h| (h.zone.as_str(), h.state));
            let Some((zone, allowed)) = self.judge(host, a) else { continue };
            let target = target(key, a, &zone, allowed);
            for h in &a.holdings {
                let snapshots = found.entry(&h.collection).or_default();
                let s = snapshots.entry(&h.snapshot).or_insert_with(|| Snapshot {
                    name: h.snapshot.as_str().into(),
                    shards: vec![Vec::new(); h.shards as usize],
                });
                // An endpoint that names another number of shards holds another snapshot.
                if s.shards.len() == h.shards as usize && allowed > 0 {
                    s.shards[h.shard as usize].push(target.clone());
                }
            }
        }
        let collections = found.into_iter().map(|(n, s)| (n.to_owned(), collection(s))).collect();
        Routes { collections }
    }
}

fn target(key: EndpointKey, a: &Announcement, zone: &str, allowed: u32) -> Target {
    Target {
        key,
        name: a.endpoint.as_str().into(),
        service: a.service.as_str().into(),
        zone: zone.into(),
        address: a.address,
        incarnation: a.incarnation,
        allowed,
        connections: a.connections,
        cold: a.state == EndpointState::Starting,
    }
}

fn collection(snapshots: IndexMap<&str, Snapshot>) -> Collection {
    let mut list: Vec<_> = snapshots.into_values().map(Arc::new).collect();
    list.sort_by(|a, b| b.name.cmp(&a.name));
    Collection { snapshots: list }
}
