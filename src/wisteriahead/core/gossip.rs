//! How the hosts agree on the registry: pushed changes, heartbeats to keepers, digests.
//!
//! A material change of an endpoint is pushed to all hosts at once. A heartbeat that changes
//! nothing is only told, many in one message a period, to the endpoint's keepers: the few
//! hosts that decide when it has been silent too long and push that. Digests, exchanged with
//! one of a few other hosts each period, find what was lost: each host has its own few, so that
//! what one of them holds reaches all.

use super::registry::{ApplyOutcome, Registry};
use crate::core::budget::{BUCKETS, bucket};
use crate::core::digest;
use crate::core::endpoint::Announcement;
use crate::core::time::{Span, Time};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Time between two heartbeat summaries.
pub const BEAT_PERIOD: Span = Span::secs(1);
/// Time between two comparisons with another host.
pub const COMPARE_PERIOD: Span = Span::secs(1);
/// Wait before a change is pushed once more, in case the first push was lost.
pub const PUSH_AGAIN: Span = Span::millis(500);
/// Hosts that watch each endpoint for silence.
pub const KEEPERS: usize = 2;
/// Hosts that one compares with, in turn: as many random ones join all hosts to one net even at
/// the design size, and a connection to each stays open.
const COMPARED: usize = 3;
/// Most endpoints named in one message.
const NAMES_MAX: usize = 4_096;

/// One point in the life of an endpoint: its incarnation, then its sequence.
pub type Mark = (u64, u64);

/// What hosts send each other of the registry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Announcements that changed something.
    Push(Vec<Announcement>),
    /// Endpoints heard of since the last summary.
    Beats(Vec<(Arc<str>, Mark)>),
    /// Endpoints that were silent too long, at their last mark.
    Gone(Vec<(Arc<str>, Mark)>),
    /// Digests of the sender's endpoints by bucket.
    Digests(Vec<u64>),
    /// All endpoints of the sender in some buckets.
    Marks {
        /// The buckets.
        buckets: u16,
        /// The endpoints and the marks of their last change.
        marks: Vec<(Arc<str>, Mark)>,
        /// Whether the receiver is to send its own marks too.
        reply: bool,
    },
}

/// A message to send and its receiver.
pub type Send = (Arc<str>, Message);

/// The registry of one host together with what it owes the others.
#[derive(Debug, Default)]
pub struct Gossip {
    /// The registry.
    pub registry: Registry,
    host: Arc<str>,
    others: Vec<Arc<str>>,
    /// Those that this one compares with.
    partners: Vec<Arc<str>>,
    heard: IndexMap<Arc<str>, Mark>,
    /// Changes to push once more.
    again: Vec<(Time, Announcement)>,
    beaten: Time,
    compared: Time,
    turn: usize,
}

impl Gossip {
    /// An empty registry at a host.
    pub fn new(host: Arc<str>) -> Self {
        Self { host, ..Self::default() }
    }

    /// Sets the other hosts that are alive.
    pub fn set_others(&mut self, now: Time, others: Vec<Arc<str>>) {
        let ranked = digest::rank(&self.host, others.iter().map(|h| &**h));
        self.partners = ranked.into_iter().take(COMPARED).map(Arc::from).collect();
        self.others = others;
        self.watch(now);
    }

    /// Finds out which endpoints this host watches for silence.
    fn watch(&mut self, now: Time) {
        let (host, others) = (&self.host, &self.others);
        self.registry.set_watched(now, |name| keepers(name, host, others).contains(host));
    }

    /// Takes an announcement that the endpoint itself made here.
    pub fn announce(&mut self, now: Time, a: Announcement) -> (ApplyOutcome, Vec<Send>) {
        let name: Arc<str> = a.endpoint.as_str().into();
        let mark = (a.incarnation, a.sequence);
        let applied = self.registry.announce(now, a.clone());
        if applied == ApplyOutcome::Changed {
            self.watch(now);
        }
        let out = match applied {
            ApplyOutcome::Changed => {
                self.again.push((now + PUSH_AGAIN, a.clone()));
                self.to_all(&Message::Push(vec![a]))
            }
            ApplyOutcome::Refreshed => {
                self.heard.insert(name, mark);
                Vec::new()
            }
            ApplyOutcome::Stale | ApplyOutcome::Full => Vec::new(),
        };
        (applied, out)
    }

    /// Takes the word of an endpoint that it leaves. Nothing that this incarnation announced, or
    /// announces still, counts from here on.
    pub fn leave(&mut self, now: Time, endpoint: &Arc<str>, incarnation: u64) -> Vec<Send> {
        let mark = (incarnation, u64::MAX);
        self.registry.remove(now, endpoint, mark);
        self.to_all(&Message::Gone(vec![(endpoint.clone(), mark)]))
    }

    fn to_all(&self, message: &Message) -> Vec<Send> {
        self.others.iter().map(|to| (to.clone(), message.clone())).collect()
    }

    /// Takes a message; says whether what may be sent to endpoints changed.
    pub fn receive(&mut self, now: Time, from: &Arc<str>, message: Message) -> (bool, Vec<Send>) {
        match message {
            Message::Push(list) => {
                let sound = list.into_iter().filter(|a| a.check().is_ok()).take(NAMES_MAX);
                let applied = sound.map(|a| self.registry.merge(now, a));
                let changed = applied.filter(|a| *a == ApplyOutcome::Changed).count() > 0;
                if changed {
                    self.watch(now);
                }
                (changed, Vec::new())
            }
            Message::Beats(list) => {
                list.iter().for_each(|(name, mark)| self.registry.heartbeat(now, name, *mark));
                (false, Vec::new())
            }
            Message::Gone(list) => {
                let dropped = list.iter().filter(|(n, mark)| self.registry.remove(now, n, *mark));
                (dropped.count() > 0, Vec::new())
            }
            Message::Digests(theirs) => (false, self.differ(from, &theirs)),
            Message::Marks { buckets, marks, reply } => {
                (false, self.mend(from, buckets, marks, reply))
            }
        }
    }

    /// Lets time pass; says whether what may be sent to endpoints changed.
    pub fn tick(&mut self, now: Time) -> (bool, Vec<Send>) {
        let mut out = Vec::new();
        if now.since(self.beaten) >= BEAT_PERIOD {
            self.beaten = now;
            self.beat(&mut out);
        }
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.again).into_iter().partition(|(at, _)| *at <= now);
        self.again = later;
        if !due.is_empty() {
            let list = due.into_iter().map(|(_, a)| a).collect();
            out.extend(self.to_all(&Message::Push(list)));
        }
        let with = &self.partners;
        if now.since(self.compared) >= COMPARE_PERIOD && !with.is_empty() {
            self.compared = now;
            self.turn = (self.turn + 1) % with.len();
            out.push((with[self.turn].clone(), Message::Digests(self.digests())));
        }
        let gone = self.registry.expire(now);
        if !gone.is_empty() {
            out.extend(self.to_all(&Message::Gone(gone.clone())));
        }
        (!gone.is_empty(), out)
    }

    fn beat(&mut self, out: &mut Vec<Send>) {
        let mut by_keeper: IndexMap<Arc<str>, Vec<_>> = IndexMap::new();
        for (name, mark) in std::mem::take(&mut self.heard) {
            for keeper in keepers(&name, &self.host, &self.others) {
                if keeper != self.host {
                    by_keeper.entry(keeper).or_default().push((name.clone(), mark));
                }
            }
        }
        out.extend(by_keeper.into_iter().map(|(to, list)| (to, Message::Beats(list))));
    }

    fn digests(&self) -> Vec<u64> {
        let mut all = vec![0; BUCKETS as usize];
        for (name, (incarnation, sequence)) in self.registry.marks() {
            let state = digest::mix(incarnation).wrapping_add(sequence);
            all[bucket(&name) as usize] ^= digest::mix(digest::hash(&[&name]) ^ digest::mix(state));
        }
        all
    }

    fn differ(&self, from: &Arc<str>, theirs: &[u64]) -> Vec<Send> {
        let own = self.digests();
        let differs = |b: &usize| theirs.get(*b) != own.get(*b);
        let buckets = (0..BUCKETS as usize).filter(differs).fold(0, |set, b| set | 1 << b);
        if buckets == 0 { Vec::new() } else { vec![self.marks(from, buckets, true)] }
    }

    fn marks(&self, to: &Arc<str>, buckets: u16, reply: bool) -> Send {
        let listed = self.registry.marks().filter(|(n, _)| buckets >> bucket(n) & 1 == 1);
        (to.clone(), Message::Marks { buckets, marks: listed.collect(), reply })
    }

    /// Sends what is newer here than in the other host's marks, and what is gone.
    fn mend(
        &self,
        from: &Arc<str>,
        buckets: u16,
        marks: Vec<(Arc<str>, Mark)>,
        reply: bool,
    ) -> Vec<Send> {
        let theirs: IndexMap<_, _> = marks.into_iter().take(NAMES_MAX).collect();
        let newer = |name: &Arc<str>, mark: Mark| theirs.get(name).is_none_or(|m| *m < mark);
        let here = self.registry.marks().filter(|(n, _)| buckets >> bucket(n) & 1 == 1);
        let push: Vec<_> = here
            .filter(|(name, mark)| newer(name, *mark))
            .filter_map(|(name, _)| self.registry.latest(&name).cloned())
            .collect();
        let gone: Vec<_> = theirs
            .iter()
            .filter_map(|(name, mark)| Some((name.clone(), self.registry.tombstone(name, *mark)?)))
            .collect();
        let mut out = Vec::new();
        if !push.is_empty() {
            out.push((from.clone(), Message::Push(push)));
        }
        if !gone.is_empty() {
            out.push((from.clone(), Message::Gone(gone)));
        }
        if reply {
            out.push(self.marks(from, buckets, false));
        }
        out
    }
}

/// The hosts that watch an endpoint for silence.
fn keepers(endpoint: &str, host: &Arc<str>, others: &[Arc<str>]) -> Vec<Arc<str>> {
    let all = others.iter().chain([host]).map(|h| &**h);
    digest::rank(endpoint, all).into_iter().take(KEEPERS).map(Arc::from).collect()
}
