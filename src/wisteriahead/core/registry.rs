//! Registry of endpoints: combines their announcements with the operators' document.
//!
//! The newest announcement of each endpoint is kept until the endpoint has been silent for
//! [`EXPIRY`]. The document in force determines the zone of a listed host and whether it takes
//! new requests. [`Registry::routes`] builds the index of targets from both.

use super::document::{Admit, Document, HostState, ZoneState};
use super::endpoint::{Announcement, EndpointKey, EndpointState};
use super::gossip::Version;
use super::monitors::Monitors;
use super::routes::{Collection, Replicas, Routes, Snapshot, Target};
use super::time::{Span, Time};
use indexmap::{IndexMap, IndexSet};
use slotmap::SlotMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Time without a heartbeat after which an endpoint is removed.
pub const EXPIRY: Span = Span::secs(5);
/// Time between two looks for silent endpoints.
pub const EXPIRY_PERIOD: Span = Span::millis(200);
/// Longest time that an endpoint stays in cold start where no plan states it.
pub const COLD_TIME: Span = Span::secs(5);
/// Time for which the tombstone of a removed endpoint rejects its delayed announcements.
pub const TOMBSTONE_TTL: Span = Span::secs(60);
/// A shard count that a snapshot is announced with is ignored if it has fewer replicas than the
/// most common one divided by this.
const MINORITY_DIVISOR: usize = 8;
/// Maximum number of endpoints in the registry.
pub const ENDPOINTS_MAX: usize = 20_000;

/// One endpoint in the registry.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Latest announcement, apart from repeated ones that it made to this host.
    pub latest: Announcement,
    /// Names in it, as targets share them.
    names: TargetNames,
    /// When this or another host last heard from it.
    pub seen: Time,
    /// Newest announcement that it made to this host.
    direct: Version,
    /// Newest announcement that another host reported in a heartbeat.
    heartbeat: Version,
    /// Hosts that remove it when it stays silent.
    monitors: Monitors,
    /// Whether this host is one of them.
    monitored: bool,
}

/// Names of an endpoint, its service and its announced zone.
#[derive(Clone, Debug)]
struct TargetNames {
    endpoint: Arc<str>,
    service: Arc<str>,
    zone: Arc<str>,
}

impl TargetNames {
    fn new(a: &Announcement) -> Self {
        let name = |s: &str| Arc::from(s);
        Self { endpoint: name(&a.endpoint), service: name(&a.service), zone: name(&a.zone) }
    }
}

impl Endpoint {
    fn new(now: Time, latest: Announcement) -> Self {
        let (zero, names) = (Version::default(), TargetNames::new(&latest));
        let monitors = Monitors::default();
        Self { latest, names, seen: now, direct: zero, heartbeat: zero, monitors, monitored: false }
    }

    /// Replaces the latest announcement by one with other content.
    fn replace(&mut self, now: Time, a: Announcement) {
        (self.names, self.latest, self.seen) = (TargetNames::new(&a), a, now);
    }

    fn version(&self) -> Version {
        (self.latest.incarnation, self.latest.sequence)
    }

    fn update_monitors(
        &mut self,
        now: Time,
        host: &str,
        update: &mut impl FnMut(&str, &mut Monitors),
    ) {
        update(&self.latest.endpoint, &mut self.monitors);
        let monitored = self.monitors.contains(host);
        if monitored && !self.monitored {
            self.seen = now;
        }
        self.monitored = monitored;
    }

    /// Raises the latest sequence to that of the newest announcement made to this host, so that
    /// the next comparison sends it to the other hosts.
    fn advance_sequence(&mut self) {
        if self.direct.0 == self.latest.incarnation {
            self.latest.sequence = self.latest.sequence.max(self.direct.1);
        }
    }

    fn newest(&self) -> Version {
        self.version().max(self.direct).max(self.heartbeat)
    }
}

/// Effect of an announcement on the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// Ignored, since an equal or newer one is known.
    Stale,
    /// Changed nothing but the time at which the endpoint was last seen.
    Refreshed,
    /// Added the endpoint or changed its entry.
    Changed,
    /// Ignored, since the registry is full.
    Full,
}

/// Endpoints known to this host.
#[derive(Debug, Default)]
pub struct Registry {
    arena: SlotMap<EndpointKey, Endpoint>,
    names: IndexMap<Arc<str>, EndpointKey>,
    /// Removed endpoints, with the version up to which announcements are ignored.
    tombstones: IndexMap<Arc<str>, (Version, Time)>,
    document: Arc<Document>,
    /// Zones that were put back lately, and when this host heard of it.
    returned: IndexMap<String, Time>,
    /// Longest time that an endpoint stays in cold start.
    cold_time: Option<Span>,
    /// Overrides [`EXPIRY`].
    expiry: Option<Span>,
    /// Endpoints whose monitors were never determined.
    unmonitored: Vec<EndpointKey>,
    /// Number of times that the monitors of an endpoint were looked at to update them.
    monitor_updates: u64,
    /// Number of changes of what [`Self::versions`] lists.
    version_changes: u64,
    /// When silent endpoints were last looked for.
    last_expiry: Option<Time>,
    /// Endpoints by announced address.
    addresses: IndexMap<SocketAddr, Vec<Arc<str>>>,
    /// Index of targets, without the changes that are listed below.
    routes: Arc<Routes>,
    /// Endpoints whose targets may have changed since.
    changed: IndexSet<Arc<str>>,
    /// Whether all targets may have changed since, as with a document.
    all_changed: bool,
    /// Number of endpoints that were looked at to keep the index up to date.
    target_updates: u64,
}

impl Registry {
    /// Applies an announcement that the endpoint made to this host.
    pub fn announce(&mut self, now: Time, a: Announcement) -> ApplyOutcome {
        let version = (a.incarnation, a.sequence);
        if let Some(e) = self.find(&a.endpoint) {
            if version <= e.version().max(e.direct) {
                return ApplyOutcome::Stale;
            }
            if e.latest.has_same_content(&a) {
                (e.direct, e.seen) = (version, now);
                return ApplyOutcome::Refreshed;
            }
        }
        let name = a.endpoint.clone();
        let applied = self.merge(now, a);
        if let (ApplyOutcome::Changed, Some(e)) = (applied, self.find(&name)) {
            (e.direct, e.seen) = (version, now);
        }
        applied
    }

    /// Applies an announcement that another host forwarded.
    pub fn merge(&mut self, now: Time, a: Announcement) -> ApplyOutcome {
        let version = (a.incarnation, a.sequence);
        if self.tombstones.get(&*a.endpoint).is_some_and(|(removed, _)| version <= *removed) {
            return ApplyOutcome::Stale;
        }
        let Some(e) = self.find(&a.endpoint) else { return self.insert(now, a) };
        if version <= e.version().max(e.direct) {
            return ApplyOutcome::Stale;
        }
        let same = e.latest.has_same_content(&a);
        if same {
            (e.latest.sequence, e.seen) = (a.sequence, now);
        } else {
            let (old, new) = (e.latest.address, a.address);
            let has_holdings = !e.latest.holdings.is_empty() || !a.holdings.is_empty();
            e.replace(now, a);
            let name = e.names.endpoint.clone();
            self.note_change(&name, has_holdings, old);
            self.move_address(&name, old, new);
        }
        self.version_changes += 1;
        if same { ApplyOutcome::Refreshed } else { ApplyOutcome::Changed }
    }

    fn find(&mut self, name: &str) -> Option<&mut Endpoint> {
        self.arena.get_mut(*self.names.get(name)?)
    }

    fn insert(&mut self, now: Time, a: Announcement) -> ApplyOutcome {
        if self.names.len() >= ENDPOINTS_MAX {
            return ApplyOutcome::Full;
        }
        let (address, has_holdings) = (a.address, !a.holdings.is_empty());
        let endpoint = Endpoint::new(now, a);
        let name = endpoint.names.endpoint.clone();
        self.tombstones.swap_remove(&name);
        let key = self.arena.insert(endpoint);
        self.names.insert(name.clone(), key);
        self.addresses.entry(address).or_default().push(name.clone());
        self.note_change(&name, has_holdings, address);
        self.unmonitored.push(key);
        self.version_changes += 1;
        ApplyOutcome::Changed
    }

    /// Records that another host received an announcement of an endpoint.
    pub fn heartbeat(&mut self, now: Time, name: &str, version: Version) {
        if let Some(e) = self.find(name).filter(|e| version > e.newest()) {
            (e.heartbeat, e.seen) = (version, now);
        }
    }

    /// Leaves a tombstone for an endpoint that was silent after `version`, and removes the endpoint
    /// unless this host has heard from it since; returns whether it was removed.
    pub fn remove(&mut self, now: Time, name: &Arc<str>, version: Version) -> bool {
        self.version_changes += 1;
        if self.tombstones.get(name).is_none_or(|(removed, _)| *removed < version) {
            self.tombstones.insert(name.clone(), (version, now));
        }
        let silent = self.find(name).is_some_and(|e| e.version().max(e.direct) <= version);
        // This host has heard from it since `version`, but the hosts that removed it ignore
        // announcements up to `version`.
        if let Some(e) = self.find(name).filter(|e| !silent && e.version() <= version) {
            e.advance_sequence();
        }
        if let Some(key) = self.names.get(name).filter(|_| silent) {
            if let Some(e) = self.arena.remove(*key) {
                let address = e.latest.address;
                self.note_change(name, !e.latest.holdings.is_empty(), address);
                self.drop_address(name, address);
            }
            self.names.swap_remove(name);
        }
        silent
    }

    /// Notes that the target of an endpoint may have changed, and with it those of the others that
    /// announced the same address.
    fn note_change(&mut self, name: &Arc<str>, has_holdings: bool, address: SocketAddr) {
        self.all_changed |= has_holdings;
        if self.all_changed {
            return self.changed.clear();
        }
        self.changed.insert(name.clone());
        self.changed.extend(self.addresses.get(&address).into_iter().flatten().cloned());
    }

    fn move_address(&mut self, name: &Arc<str>, old: SocketAddr, new: SocketAddr) {
        if old != new {
            self.drop_address(name, old);
            let others = self.addresses.entry(new).or_default();
            self.changed.extend(others.iter().cloned());
            others.push(name.clone());
        }
    }

    fn drop_address(&mut self, name: &str, address: SocketAddr) {
        if let Some(names) = self.addresses.get_mut(&address) {
            names.retain(|n| **n != *name);
            if names.is_empty() {
                self.addresses.swap_remove(&address);
            }
        }
    }

    /// Version of an endpoint's tombstone, if it is not older than `version`.
    pub fn tombstone(&self, name: &str, version: Version) -> Option<Version> {
        self.tombstones.get(name).map(|(removed, _)| *removed).filter(|removed| *removed >= version)
    }

    /// Names of all endpoints, with the version of their latest announcement.
    pub fn versions(&self) -> impl Iterator<Item = (Arc<str>, Version)> {
        self.names.iter().filter_map(|(n, &k)| Some((n.clone(), self.arena.get(k)?.version())))
    }

    /// Number that rises whenever [`Self::versions`] may list something else.
    pub fn version_changes(&self) -> u64 {
        self.version_changes
    }

    /// Latest announcement of an endpoint.
    pub fn latest(&self, name: &str) -> Option<&Announcement> {
        self.arena.get(*self.names.get(name)?).map(|e| &e.latest)
    }

    /// Updates the monitors of each endpoint with `update`. This host removes those that it monitors
    /// when they stay silent; the expiry of newly monitored ones starts anew.
    pub fn update_monitors(
        &mut self,
        now: Time,
        host: &str,
        mut update: impl FnMut(&str, &mut Monitors),
    ) {
        self.monitor_updates += self.arena.len() as u64;
        self.arena.values_mut().for_each(|e| e.update_monitors(now, host, &mut update));
        self.unmonitored.clear();
    }

    /// Like [`Self::update_monitors`] for the endpoints that were added since the last update.
    pub fn update_new_monitors(
        &mut self,
        now: Time,
        host: &str,
        mut update: impl FnMut(&str, &mut Monitors),
    ) {
        for key in std::mem::take(&mut self.unmonitored) {
            if let Some(e) = self.arena.get_mut(key) {
                self.monitor_updates += 1;
                e.update_monitors(now, host, &mut update);
            }
        }
    }

    /// Number of times that the monitors of an endpoint were looked at to update them.
    pub fn monitor_updates(&self) -> u64 {
        self.monitor_updates
    }

    /// Monitors of an endpoint.
    pub fn monitors(&self, name: &str) -> Option<&Monitors> {
        self.arena.get(*self.names.get(name)?).map(|e| &e.monitors)
    }

    /// Sets the time without a heartbeat after which an endpoint is removed.
    pub fn set_expiry(&mut self, expiry: Span) {
        self.expiry = Some(expiry);
    }

    /// Sets the document in force. Endpoints of a zone that it puts back may have become cold in the
    /// meantime, and are taken to be in cold start until they would have left it.
    ///
    /// Answers this load pattern: all requests of a zone move back to it at once, before its endpoints
    /// have said that they are cold.
    pub fn set_document(&mut self, now: Time, document: Arc<Document>) {
        if self.document == document {
            return;
        }
        self.all_changed = true;
        let changed = |d: &Document, zone: &str| d.zone_changes.get(zone).copied().unwrap_or(0);
        for zone in &document.zones {
            let name = zone.name.as_str();
            let was_out = self.document.zone(name).is_some_and(|z| z.state == ZoneState::Out);
            // A host that missed the time out sees only that there was a change.
            let was_changed = changed(&document, name) > changed(&self.document, name);
            if zone.state == ZoneState::Out {
                self.returned.swap_remove(name);
            } else if was_out || was_changed {
                self.returned.insert(name.to_owned(), now);
            }
        }
        self.document = document;
    }

    /// Sets the longest time that an endpoint stays in cold start; [`COLD_TIME`] if none is known.
    pub fn set_cold_time(&mut self, time: Option<Span>) {
        self.cold_time = time;
    }

    /// Forgets the zones that were put back long enough ago; returns whether there were any.
    pub fn expire_returns(&mut self, now: Time) -> bool {
        let before = self.returned.len();
        let cold_time = self.cold_time.unwrap_or(COLD_TIME);
        self.returned.retain(|_, at| now.since(*at) < cold_time);
        let expired = self.returned.len() < before;
        self.all_changed |= expired;
        expired
    }

    /// Removes the monitored endpoints that have been silent too long, and returns them; looks for them
    /// once per [`EXPIRY_PERIOD`].
    pub fn expire(&mut self, now: Time) -> Vec<(Arc<str>, Version)> {
        if self.last_expiry.is_some_and(|last| now.since(last) < EXPIRY_PERIOD) {
            return Vec::new();
        }
        self.last_expiry = Some(now);
        self.tombstones.retain(|_, (_, at)| now.since(*at) < TOMBSTONE_TTL);
        let expiry = self.expiry.unwrap_or(EXPIRY);
        let silent = |e: &Endpoint| e.monitored && now.since(e.seen) > expiry;
        let names = self.names.iter().filter_map(|(n, &k)| Some((n, self.arena.get(k)?)));
        let expired: Vec<_> =
            names.filter(|(_, e)| silent(e)).map(|(n, e)| (n.clone(), e.newest())).collect();
        for (name, version) in &expired {
            self.remove(now, name, *version);
        }
        expired
    }

    /// All endpoints.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        self.names.values().filter_map(|&k| Some((k, self.arena.get(k)?)))
    }

    /// Zone of an endpoint and the limit on its concurrent requests; none if it isn't admitted.
    pub fn zone_and_limit<'a>(&'a self, a: &'a Announcement) -> Option<(&'a str, u32)> {
        let host = self.document.hosts.iter().find(|h| h.name == a.host);
        self.admit(host.map(|h| (h.zone.as_str(), h.state)), a)
    }

    fn admit<'a>(
        &self,
        host: Option<(&'a str, HostState)>,
        a: &'a Announcement,
    ) -> Option<(&'a str, u32)> {
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
            HostState::Serving if self.returned.contains_key(zone) => limit.min(a.bearable),
            HostState::Serving => limit,
            HostState::Starting => limit.min(a.bearable),
            HostState::Leaving | HostState::Retired => 0,
        };
        Some((zone, allowed))
    }

    /// Whether another endpoint with a newer incarnation has announced the same address. This one has then
    /// ended without notice, and its requests must not go to the process that has taken over the address.
    fn is_replaced(&self, a: &Announcement) -> bool {
        let same = self.addresses.get(&a.address).into_iter().flatten();
        let mut latest = same.filter_map(|name| self.latest(name));
        latest.any(|other| other.incarnation > a.incarnation)
    }

    /// Number of endpoints that were looked at to keep the index of targets up to date, a measure of the work
    /// done here.
    pub fn target_updates(&self) -> u64 {
        self.target_updates
    }

    /// Whether [`Self::routes`] may return another index than before.
    pub fn routes_changed(&self) -> bool {
        self.all_changed || !self.changed.is_empty()
    }

    /// Index of the endpoints that requests can be sent to. Takes work for the endpoints that have changed
    /// since the last call, or for all after a change of the document.
    ///
    /// Answers the load of many endpoints that are replaced one after the other: each change would take
    /// every host milliseconds, if it built the index anew.
    pub fn routes(&mut self) -> Arc<Routes> {
        let changed = std::mem::take(&mut self.changed);
        if std::mem::take(&mut self.all_changed) {
            self.routes = Arc::new(self.build_routes());
        } else if !changed.is_empty() {
            self.target_updates += changed.len() as u64;
            let mut routes = Routes::clone(&self.routes);
            changed.iter().for_each(|name| self.update_target(&mut routes, name));
            self.routes = Arc::new(routes);
        }
        self.routes.clone()
    }

    /// Replaces the target of an endpoint without holdings in an index.
    fn update_target(&self, routes: &mut Routes, name: &Arc<str>) {
        let new = self.target(name);
        if routes.targets.get(name).map(|old| &**old) == new.as_ref() {
            return;
        }
        let new = new.map(Arc::new);
        let old = match &new {
            Some(new) => routes.targets.insert(name.clone(), new.clone()),
            None => routes.targets.swap_remove(name),
        };
        if let Some(old) = old
            && let Some(replicas) = routes.services.get_mut(&old.service)
            && replicas.iter().any(|t| t.name == old.name)
        {
            Arc::make_mut(replicas).retain(|t| t.name != old.name);
            if replicas.is_empty() {
                routes.services.swap_remove(&old.service);
            }
        }
        if let Some(new) = new.filter(|t| t.allowed > 0) {
            let replicas = routes.services.entry(new.service.clone()).or_default();
            Arc::make_mut(replicas).push(Target::clone(&new));
        }
    }

    /// Target of an endpoint; none if it isn't admitted or another one has taken over its address.
    fn target(&self, name: &str) -> Option<Target> {
        let key = *self.names.get(name)?;
        let e = self.arena.get(key)?;
        let (zone, allowed) = self.zone_and_limit(&e.latest)?;
        if self.is_replaced(&e.latest) {
            return None;
        }
        Some(target(key, e, zone, allowed, self.returned.contains_key(zone)))
    }

    fn build_routes(&mut self) -> Routes {
        self.target_updates += self.names.len() as u64;
        let hosts = self.document.hosts_by_name();
        let mut found: IndexMap<&str, IndexMap<(&str, u32), Snapshot>> = IndexMap::new();
        let mut targets = IndexMap::new();
        let mut services: IndexMap<Arc<str>, Replicas> = IndexMap::new();
        for (key, e) in self.iter() {
            let a = &e.latest;
            if self.is_replaced(a) {
                continue;
            }
            let host = hosts.get(a.host.as_str()).map(|h| (h.zone.as_str(), h.state));
            let Some((zone, allowed)) = self.admit(host, a) else { continue };
            let returned = self.returned.contains_key(zone);
            let target = target(key, e, zone, allowed, returned);
            targets.insert(target.name.clone(), Arc::new(target.clone()));
            if allowed > 0 {
                let replicas = services.entry(target.service.clone()).or_default();
                Arc::make_mut(replicas).push(target.clone());
            }
            for h in &a.holdings {
                let snapshots = found.entry(&h.collection).or_default();
                // Snapshots with the same name and different numbers of shards are kept apart.
                let s = snapshots.entry((&h.snapshot, h.shards)).or_insert_with(|| Snapshot {
                    name: h.snapshot.as_str().into(),
                    shards: vec![Replicas::default(); h.shards as usize],
                });
                if allowed > 0 {
                    Arc::make_mut(&mut s.shards[h.shard as usize]).push(target.clone());
                }
            }
        }
        let collections = found.into_iter().map(|(n, s)| (n.to_owned(), collection(s))).collect();
        Routes { collections, targets, services }
    }
}

fn target(key: EndpointKey, e: &Endpoint, zone: &str, allowed: u32, returned: bool) -> Target {
    let (a, names) = (&e.latest, &e.names);
    Target {
        key,
        name: names.endpoint.clone(),
        service: names.service.clone(),
        zone: if *names.zone == *zone { names.zone.clone() } else { zone.into() },
        address: a.address,
        incarnation: a.incarnation,
        allowed,
        connections: a.connections,
        bearable: a.bearable,
        cold: returned || a.state == EndpointState::Starting,
    }
}

/// Sorts the snapshots of a collection, the newest first.
///
/// Of those with the same name and different numbers of shards, the one with the most replicas
/// goes first. A number of shards that few replicas announce is taken for a misconfiguration and
/// ignored.
fn collection(snapshots: IndexMap<(&str, u32), Snapshot>) -> Collection {
    let mut most: IndexMap<&str, usize> = IndexMap::new();
    for ((name, _), s) in &snapshots {
        let most = most.entry(name).or_default();
        *most = s.replica_count().max(*most);
    }
    let few = |name: &str, s: &Snapshot| s.replica_count() * MINORITY_DIVISOR < most[name];
    let kept = snapshots.into_iter().filter(|((name, _), s)| !few(name, s));
    let mut list: Vec<_> = kept.map(|(_, s)| Arc::new(s)).collect();
    list.sort_by(|a, b| {
        let by_replicas = b.replica_count().cmp(&a.replica_count());
        let by_shards = b.shards.len().cmp(&a.shards.len());
        b.name.cmp(&a.name).then(by_replicas).then(by_shards)
    });
    Collection { snapshots: list }
}
