//! The registry of endpoints: what they announced, and what the operators say.
//!
//! The newest announcement of each endpoint is kept until it has been silent for
//! [`EXPIRY`]. The document in force decides the zone of a listed host, and
//! whether it takes new work. [`Registry::routes`] draws the two together.

use super::document::{Admit, Document, HostState, ZoneState};
use super::endpoint::{Announcement, EndpointKey, EndpointState};
use super::gossip::Version;
use super::routes::{Collection, Routes, Snapshot, Target};
use super::time::{Span, Time};
use indexmap::IndexMap;
use slotmap::SlotMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Silence after which an endpoint is forgotten.
pub const EXPIRY: Span = Span::secs(5);
/// Time for which late announcements of a forgotten endpoint are recognised.
pub const GONE_KEPT: Span = Span::secs(60);
/// How many times fewer endpoints than hold a snapshot in one partitioning are too few to make
/// another.
const FEW: usize = 8;
/// Most endpoints kept.
pub const ENDPOINTS_MAX: usize = 20_000;

/// One endpoint in the registry.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Its newest announcement that changed something.
    pub latest: Announcement,
    /// When it was last heard of.
    pub seen: Time,
    /// The newest announcement that it made here itself.
    direct: Version,
    /// The newest that another host heard of.
    beat: Version,
    /// Whether this host watches it for silence.
    kept: bool,
}

impl Endpoint {
    fn new(now: Time, latest: Announcement) -> Self {
        let zero = Version::default();
        Self { latest, seen: now, direct: zero, beat: zero, kept: false }
    }

    fn mark(&self) -> Version {
        (self.latest.incarnation, self.latest.sequence)
    }

    /// Whether an announcement differs in nothing but its sequence.
    fn says_the_same(&self, a: &Announcement) -> bool {
        Announcement { sequence: a.sequence, ..self.latest.clone() } == *a
    }

    /// Takes the newest announcement made here for a change, so that the others learn of it.
    fn renew(&mut self) {
        if self.direct.0 == self.latest.incarnation {
            self.latest.sequence = self.latest.sequence.max(self.direct.1);
        }
    }

    fn newest(&self) -> Version {
        self.mark().max(self.direct).max(self.beat)
    }
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
    names: IndexMap<Arc<str>, EndpointKey>,
    gone: IndexMap<Arc<str>, (Version, Time)>,
    document: Arc<Document>,
    /// Silence after which an endpoint is forgotten, if not [`EXPIRY`].
    expiry: Option<Span>,
}

impl Registry {
    /// Applies an announcement that the endpoint made here.
    pub fn announce(&mut self, now: Time, a: Announcement) -> Applied {
        let mark = (a.incarnation, a.sequence);
        if let Some(e) = self.find(&a.endpoint) {
            if mark <= e.mark().max(e.direct) {
                return Applied::Stale;
            }
            if e.says_the_same(&a) {
                (e.direct, e.seen) = (mark, now);
                return Applied::Refreshed;
            }
        }
        let name = a.endpoint.clone();
        let applied = self.learn(now, a);
        if let (Applied::Changed, Some(e)) = (applied, self.find(&name)) {
            (e.direct, e.seen) = (mark, now);
        }
        applied
    }

    /// Applies an announcement that another host passed on.
    pub fn learn(&mut self, now: Time, a: Announcement) -> Applied {
        let mark = (a.incarnation, a.sequence);
        if self.gone.get(&*a.endpoint).is_some_and(|(gone, _)| mark <= *gone) {
            return Applied::Stale;
        }
        let Some(e) = self.find(&a.endpoint) else { return self.insert(now, a) };
        if mark <= e.mark().max(e.direct) {
            return Applied::Stale;
        }
        let same = e.says_the_same(&a);
        (e.latest, e.seen) = (a, now);
        if same { Applied::Refreshed } else { Applied::Changed }
    }

    fn find(&mut self, name: &str) -> Option<&mut Endpoint> {
        self.arena.get_mut(*self.names.get(name)?)
    }

    fn insert(&mut self, now: Time, a: Announcement) -> Applied {
        if self.names.len() >= ENDPOINTS_MAX {
            return Applied::Full;
        }
        let name = a.endpoint.as_str().into();
        self.gone.swap_remove(&name);
        let key = self.arena.insert(Endpoint::new(now, a));
        self.names.insert(name, key);
        Applied::Changed
    }

    /// Notes that another host heard of an endpoint.
    pub fn beat(&mut self, now: Time, name: &str, mark: Version) {
        if let Some(e) = self.find(name).filter(|e| mark > e.newest()) {
            (e.beat, e.seen) = (mark, now);
        }
    }

    /// Forgets an endpoint that was silent after `mark`; says whether it was known.
    pub fn drop_at(&mut self, now: Time, name: &Arc<str>, mark: Version) -> bool {
        if self.gone.get(name).is_none_or(|(gone, _)| *gone < mark) {
            self.gone.insert(name.clone(), (mark, now));
        }
        let old = self.find(name).is_some_and(|e| e.mark().max(e.direct) <= mark);
        // Those that forgot it take nothing up to `mark`; it has been heard here since.
        if let Some(e) = self.find(name).filter(|e| !old && e.mark() <= mark) {
            e.renew();
        }
        if let Some(key) = self.names.get(name).filter(|_| old) {
            self.arena.remove(*key);
            self.names.swap_remove(name);
        }
        old
    }

    /// The mark at which an endpoint is gone, if that is not before `mark`.
    pub fn gone(&self, name: &str, mark: Version) -> Option<Version> {
        self.gone.get(name).map(|(gone, _)| *gone).filter(|gone| *gone >= mark)
    }

    /// Every endpoint and the mark of its last change.
    pub fn marks(&self) -> impl Iterator<Item = (Arc<str>, Version)> {
        self.names.iter().filter_map(|(n, &k)| Some((n.clone(), self.arena.get(k)?.mark())))
    }

    /// The newest announcement of an endpoint.
    pub fn latest(&self, name: &str) -> Option<&Announcement> {
        self.arena.get(*self.names.get(name)?).map(|e| &e.latest)
    }

    /// Sets which endpoints this host watches for silence; those newly watched get their full time.
    pub fn keep(&mut self, now: Time, is_keeper: impl Fn(&str) -> bool) {
        for e in self.arena.values_mut() {
            let kept = is_keeper(&e.latest.endpoint);
            if kept && !e.kept {
                e.seen = now;
            }
            e.kept = kept;
        }
    }

    /// Sets the silence after which an endpoint is forgotten.
    pub fn set_expiry(&mut self, expiry: Span) {
        self.expiry = Some(expiry);
    }

    /// Sets the document in force.
    pub fn set_document(&mut self, document: Arc<Document>) {
        self.document = document;
    }

    /// Forgets the watched endpoints that have been silent too long, and returns them.
    pub fn expire(&mut self, now: Time) -> Vec<(Arc<str>, Version)> {
        self.gone.retain(|_, (_, at)| now.since(*at) < GONE_KEPT);
        let expiry = self.expiry.unwrap_or(EXPIRY);
        let silent = |e: &Endpoint| e.kept && now.since(e.seen) > expiry;
        let names = self.names.iter().filter_map(|(n, &k)| Some((n, self.arena.get(k)?)));
        let over: Vec<_> =
            names.filter(|(_, e)| silent(e)).map(|(n, e)| (n.clone(), e.newest())).collect();
        for (name, mark) in &over {
            self.drop_at(now, name, *mark);
        }
        over
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

    /// The last start of any endpoint that announces an address. Those that started before it have
    /// ended without notice, and their requests must not go there.
    fn last_starts(&self) -> IndexMap<SocketAddr, u64> {
        let mut starts = IndexMap::new();
        for (_, e) in self.iter() {
            let last = starts.entry(e.latest.address).or_insert(e.latest.incarnation);
            *last = e.latest.incarnation.max(*last);
        }
        starts
    }

    /// Builds the index that queries plan on.
    pub fn routes(&self) -> Routes {
        let hosts = self.document.hosts_by_name();
        let mut found: IndexMap<&str, IndexMap<(&str, u32), Snapshot>> = IndexMap::new();
        let mut targets = IndexMap::new();
        let mut services: IndexMap<Arc<str>, Vec<Target>> = IndexMap::new();
        let starts = self.last_starts();
        for (key, e) in self.iter() {
            let a = &e.latest;
            if starts.get(&a.address).is_some_and(|last| *last > a.incarnation) {
                continue;
            }
            let host = hosts.get(a.host.as_str()).map(|h| (h.zone.as_str(), h.state));
            let Some((zone, allowed)) = self.judge(host, a) else { continue };
            let target = target(key, a, &zone, allowed);
            targets.insert(target.name.clone(), target.clone());
            if allowed > 0 {
                services.entry(target.service.clone()).or_default().push(target.clone());
            }
            for h in &a.holdings {
                let snapshots = found.entry(&h.collection).or_default();
                // An endpoint that names another number of shards holds another snapshot.
                let s = snapshots.entry((&h.snapshot, h.shards)).or_insert_with(|| Snapshot {
                    name: h.snapshot.as_str().into(),
                    shards: vec![Vec::new(); h.shards as usize],
                });
                if allowed > 0 {
                    s.shards[h.shard as usize].push(target.clone());
                }
            }
        }
        let collections = found.into_iter().map(|(n, s)| (n.to_owned(), collection(s))).collect();
        Routes { collections, targets, services }
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
        bearable: a.bearable,
        cold: a.state == EndpointState::Starting,
    }
}

/// The newest first; of those with one name and several numbers of shards, the one that most
/// endpoints hold. A number that only few name is an error of theirs and no partitioning.
fn collection(snapshots: IndexMap<(&str, u32), Snapshot>) -> Collection {
    let mut most: IndexMap<&str, usize> = IndexMap::new();
    for ((name, _), s) in &snapshots {
        let most = most.entry(name).or_default();
        *most = s.replicas().max(*most);
    }
    let few = |name: &str, s: &Snapshot| s.replicas() * FEW < most[name];
    let kept = snapshots.into_iter().filter(|((name, _), s)| !few(name, s));
    let mut list: Vec<_> = kept.map(|(_, s)| Arc::new(s)).collect();
    list.sort_by(|a, b| {
        let by_holders = b.replicas().cmp(&a.replicas());
        let by_shards = b.shards.len().cmp(&a.shards.len());
        b.name.cmp(&a.name).then(by_holders).then(by_shards)
    });
    Collection { snapshots: list }
}
