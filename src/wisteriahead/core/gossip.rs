//! Replication of the endpoint registry between the hosts.
//!
//! A host that receives announcements with changes pushes them to all other hosts, a few times a second
//! at most, so that many endpoints which change together take one message to each host.
//! Heartbeats without a change are summarized once per period and sent only to the endpoint's
//! monitors: the few hosts that detect when the endpoint has been silent for too long and then
//! notify all hosts. To repair lost messages, each host exchanges digests with one of its few
//! partners per period. Every host has its own partners, so that a change known to one host reaches
//! all.

use super::monitors::Monitors;
use super::registry::{ApplyOutcome, Registry};
use crate::core::budget::{BUCKETS, bucket};
use crate::core::digest;
use crate::core::endpoint::Announcement;
use crate::core::time::{Span, Time};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Time between heartbeat summaries.
pub const HEARTBEAT_PERIOD: Span = Span::secs(1);
/// Time between digests sent to a partner.
pub const DIGEST_PERIOD: Span = Span::secs(1);
/// Delay after which a change is pushed a second time, in case the first push was lost.
pub const REPUSH_DELAY: Span = Span::millis(500);
/// Least time between two pushes, so that endpoints which change one after the other take few messages to each
/// host. A change after a pause is pushed at the next tick.
pub const PUSH_PERIOD: Span = Span::millis(200);
/// Number of hosts that each host sends digests to, in turn. With this many random partners per
/// host, the hosts form a connected graph even at the design size. A connection to each partner
/// stays open.
const PARTNER_COUNT: usize = 3;
/// Maximum number of endpoints accepted in one message.
const NAMES_MAX: usize = 4_096;

/// Version of an announcement: the incarnation, then the sequence.
pub type Version = (u64, u64);

/// Message between the registries of two hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Announcements with a change.
    Push(Vec<Announcement>),
    /// Endpoints that sent a heartbeat since the last summary.
    Beats(Vec<(Arc<str>, Version)>),
    /// Endpoints that left or were silent for too long, with the last version that this covers.
    Gone(Vec<(Arc<str>, Version)>),
    /// A digest of the sender's endpoints for each bucket.
    Digests(Vec<u64>),
    /// All endpoints that the sender knows in some buckets.
    Marks {
        /// The buckets, as a bit set.
        buckets: u16,
        /// The endpoints and the versions of their last change.
        marks: Vec<(Arc<str>, Version)>,
        /// Whether the receiver must answer with its own list.
        reply: bool,
    },
}

/// A message to send, after its receiver.
pub type Outgoing = (Arc<str>, Message);

/// The registry of one host and its replication state.
#[derive(Debug, Default)]
pub struct Gossip {
    /// The registry.
    pub registry: Registry,
    host: Arc<str>,
    /// Other hosts that work.
    others: Vec<Arc<str>>,
    /// Other hosts that monitor endpoints.
    watchers: IndexSet<Arc<str>>,
    /// The same, in the order in which this host prefers them as partners.
    preferred: Vec<Arc<str>>,
    /// Hosts that this host sends digests to.
    partners: Vec<Arc<str>>,
    /// Heartbeats since the last summary.
    refreshed: IndexMap<Arc<str>, Version>,
    /// Changes to push at the next tick.
    changes: IndexMap<Arc<str>, Announcement>,
    /// Changes to push a second time, and when.
    repushes: Vec<(Time, Vec<Announcement>)>,
    last_push: Option<Time>,
    last_heartbeat: Time,
    last_digest: Time,
    /// Digests of the buckets, and the change of the registry up to which they hold.
    digests: (u64, Vec<u64>),
    partner_index: usize,
    /// Number of times that a host was ranked for an endpoint.
    rankings: u64,
}

impl Gossip {
    /// Creates an empty registry for a host.
    pub fn new(host: Arc<str>) -> Self {
        Self { host, ..Self::default() }
    }

    /// Sets the other hosts that are alive; all of them monitor endpoints.
    pub fn set_others(&mut self, now: Time, others: Vec<Arc<str>>) {
        self.set_watchers(now, others.iter().cloned().collect());
        self.set_receivers(others);
    }

    /// Sets the other hosts that work, which are sent all changes.
    pub fn set_receivers(&mut self, others: Vec<Arc<str>>) {
        let alive: IndexSet<&Arc<str>> = others.iter().collect();
        let partners = self.preferred.iter().filter(|h| alive.contains(*h));
        self.partners = partners.take(PARTNER_COUNT).cloned().collect();
        self.others = others;
    }

    /// Sets the other hosts that monitor endpoints, and from which this one chooses its partners. A host that is away for a short time stays one of them,
    /// since each change takes work for all endpoints.
    pub fn set_watchers(&mut self, now: Time, watchers: IndexSet<Arc<str>>) {
        if self.watchers == watchers {
            return;
        }
        let before = std::mem::replace(&mut self.watchers, watchers);
        let ranked = digest::rank(&self.host, self.watchers.iter().map(|h| &**h));
        self.preferred = ranked.into_iter().map(Arc::from).collect();
        let others = std::mem::take(&mut self.others);
        self.set_receivers(others);
        let (host, after, rankings) = (&self.host, &self.watchers, &mut self.rankings);
        let added: Vec<_> = after.difference(&before).collect();
        self.registry.update_monitors(now, host, |endpoint, monitors| {
            if monitors.hosts().any(|h| !after.contains(h) && h != host) {
                *monitors = rank_all(endpoint, host, after, rankings);
                return;
            }
            *rankings += added.len() as u64;
            added.iter().for_each(|h| monitors.add_host(endpoint, h));
        });
    }

    /// Number of times that a host was ranked for an endpoint, a measure of the work done here.
    pub fn rankings(&self) -> u64 {
        self.rankings
    }

    /// Ranks the hosts for the endpoints that are new.
    fn assign_monitors(&mut self, now: Time) {
        let (host, watchers, rankings) = (&self.host, &self.watchers, &mut self.rankings);
        self.registry.update_new_monitors(now, host, |endpoint, monitors| {
            *monitors = rank_all(endpoint, host, watchers, rankings);
        });
    }

    /// Handles an announcement that the endpoint sent to this host.
    pub fn announce(&mut self, now: Time, a: Announcement) -> ApplyOutcome {
        let name: Arc<str> = a.endpoint.as_str().into();
        let version = (a.incarnation, a.sequence);
        let applied = self.registry.announce(now, a.clone());
        match applied {
            ApplyOutcome::Changed => {
                self.assign_monitors(now);
                self.changes.insert(name, a);
            }
            ApplyOutcome::Refreshed => {
                self.refreshed.insert(name, version);
            }
            ApplyOutcome::Stale | ApplyOutcome::Full => {}
        }
        applied
    }

    /// Handles the departure of an endpoint. All announcements of this incarnation are ignored from
    /// now on, later ones included. All hosts are told at once: the endpoint will not say so again.
    pub fn leave(&mut self, now: Time, endpoint: &Arc<str>, incarnation: u64) -> Vec<Outgoing> {
        let version = (incarnation, u64::MAX);
        self.registry.remove(now, endpoint, version);
        if self.changes.get(endpoint).is_some_and(|a| a.incarnation <= incarnation) {
            self.changes.swap_remove(endpoint);
        }
        self.broadcast(&Message::Gone(vec![(endpoint.clone(), version)]))
    }

    fn broadcast(&self, message: &Message) -> Vec<Outgoing> {
        self.others.iter().map(|to| (to.clone(), message.clone())).collect()
    }

    /// Handles a message. Returns whether the routes changed, and messages to send.
    pub fn receive(
        &mut self,
        now: Time,
        from: &Arc<str>,
        message: Message,
    ) -> (bool, Vec<Outgoing>) {
        match message {
            Message::Push(list) => {
                let valid = list.into_iter().filter(|a| a.check().is_ok()).take(NAMES_MAX);
                let applied = valid.map(|a| self.registry.merge(now, a));
                let changed = applied.filter(|a| *a == ApplyOutcome::Changed).count() > 0;
                if changed {
                    self.assign_monitors(now);
                }
                (changed, Vec::new())
            }
            Message::Beats(list) => {
                list.iter()
                    .for_each(|(name, version)| self.registry.heartbeat(now, name, *version));
                (false, Vec::new())
            }
            Message::Gone(list) => {
                let dropped =
                    list.iter().filter(|(n, version)| self.registry.remove(now, n, *version));
                (dropped.count() > 0, Vec::new())
            }
            Message::Digests(theirs) => (false, self.answer_digests(from, &theirs)),
            Message::Marks { buckets, marks, reply } => {
                (false, self.answer_marks(from, buckets, marks, reply))
            }
        }
    }

    /// Does the work due at `now`. Returns whether the routes changed, and messages to send.
    pub fn tick(&mut self, now: Time) -> (bool, Vec<Outgoing>) {
        let mut out = Vec::new();
        if now.since(self.last_heartbeat) >= HEARTBEAT_PERIOD {
            self.last_heartbeat = now;
            self.send_heartbeats(&mut out);
        }
        self.push_changes(now, &mut out);
        let partners = &self.partners;
        if now.since(self.last_digest) >= DIGEST_PERIOD && !partners.is_empty() {
            self.last_digest = now;
            self.partner_index = (self.partner_index + 1) % partners.len();
            let partner = partners[self.partner_index].clone();
            out.push((partner, Message::Digests(self.digests().to_vec())));
        }
        let gone = self.registry.expire(now);
        if !gone.is_empty() {
            out.extend(self.broadcast(&Message::Gone(gone.clone())));
        }
        let warm = self.registry.expire_returns(now);
        (warm || !gone.is_empty(), out)
    }

    /// Pushes the changes since the last push, and those that are due a second time, in one message.
    fn push_changes(&mut self, now: Time, out: &mut Vec<Outgoing>) {
        if self.last_push.is_some_and(|at| now.since(at) < PUSH_PERIOD) {
            return;
        }
        let new: Vec<_> = std::mem::take(&mut self.changes).into_values().collect();
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.repushes).into_iter().partition(|(at, _)| *at <= now);
        self.repushes = later;
        if !new.is_empty() {
            self.repushes.push((now + REPUSH_DELAY, new.clone()));
        }
        let list: Vec<_> = due.into_iter().flat_map(|(_, list)| list).chain(new).collect();
        if !list.is_empty() {
            self.last_push = Some(now);
            out.extend(self.broadcast(&Message::Push(list)));
        }
    }

    fn send_heartbeats(&mut self, out: &mut Vec<Outgoing>) {
        let mut by_monitor: IndexMap<Arc<str>, Vec<_>> = IndexMap::new();
        for (name, version) in std::mem::take(&mut self.refreshed) {
            let monitors = self.registry.monitors(&name).into_iter().flat_map(Monitors::hosts);
            for monitor in monitors.filter(|m| **m != self.host) {
                by_monitor.entry(monitor.clone()).or_default().push((name.clone(), version));
            }
        }
        out.extend(by_monitor.into_iter().map(|(to, list)| (to, Message::Beats(list))));
    }

    fn digests(&mut self) -> &[u64] {
        let changes = self.registry.version_changes();
        if self.digests.0 != changes || self.digests.1.is_empty() {
            let mut all = vec![0; BUCKETS as usize];
            for (name, (incarnation, sequence)) in self.registry.versions() {
                let state = digest::mix(incarnation).wrapping_add(sequence);
                all[bucket(&name) as usize] ^=
                    digest::mix(digest::hash(&[&name]) ^ digest::mix(state));
            }
            self.digests = (changes, all);
        }
        &self.digests.1
    }

    fn answer_digests(&mut self, from: &Arc<str>, theirs: &[u64]) -> Vec<Outgoing> {
        let own = self.digests();
        let differs = |b: &usize| theirs.get(*b) != own.get(*b);
        let buckets = (0..BUCKETS as usize).filter(differs).fold(0, |set, b| set | 1 << b);
        if buckets == 0 { Vec::new() } else { vec![self.marks_message(from, buckets, true)] }
    }

    fn marks_message(&self, to: &Arc<str>, buckets: u16, reply: bool) -> Outgoing {
        let listed = self.registry.versions().filter(|(n, _)| buckets >> bucket(n) & 1 == 1);
        (to.clone(), Message::Marks { buckets, marks: listed.collect(), reply })
    }

    /// Sends what is newer here than in the other host's list, and which of its endpoints are gone.
    fn answer_marks(
        &self,
        from: &Arc<str>,
        buckets: u16,
        marks: Vec<(Arc<str>, Version)>,
        reply: bool,
    ) -> Vec<Outgoing> {
        let theirs: IndexMap<_, _> = marks.into_iter().take(NAMES_MAX).collect();
        let newer =
            |name: &Arc<str>, version: Version| theirs.get(name).is_none_or(|m| *m < version);
        let here = self.registry.versions().filter(|(n, _)| buckets >> bucket(n) & 1 == 1);
        let push: Vec<_> = here
            .filter(|(name, version)| newer(name, *version))
            .filter_map(|(name, _)| self.registry.latest(&name).cloned())
            .collect();
        let gone: Vec<_> = theirs
            .iter()
            .filter_map(|(name, version)| {
                Some((name.clone(), self.registry.tombstone(name, *version)?))
            })
            .collect();
        let mut out = Vec::new();
        if !push.is_empty() {
            out.push((from.clone(), Message::Push(push)));
        }
        if !gone.is_empty() {
            out.push((from.clone(), Message::Gone(gone)));
        }
        if reply {
            out.push(self.marks_message(from, buckets, false));
        }
        out
    }
}

/// Ranks all hosts for an endpoint, and counts them.
fn rank_all(
    endpoint: &str,
    host: &Arc<str>,
    others: &IndexSet<Arc<str>>,
    rankings: &mut u64,
) -> Monitors {
    *rankings += others.len() as u64 + 1;
    Monitors::rank(endpoint, others.iter().chain([host]))
}
