//! Hosts that share something which each of them divides by itself, such as the endpoints.
//!
//! Answers the load of rolling restarts: a host that leaves as announced is mostly back within seconds, and
//! dividing everything anew for its absence and again for its return would cost each other host more than
//! the requests that it serves meanwhile.

use super::{Health, Member};
use crate::core::time::{Span, Time};
use indexmap::IndexMap;
use std::cmp::Ordering;
use std::sync::Arc;

/// Time for which a host that has left keeps its share.
pub const LEFT_KEPT: Span = Span::secs(30);
/// Time between two changes of the set, so that hosts which come or go together change it once.
pub const CHANGE_PERIOD: Span = Span::secs(1);

/// A host that has a share.
#[derive(Clone, Debug)]
struct Share {
    zone: Arc<str>,
    /// Since when it is known to have left.
    left: Option<Time>,
}

/// Hosts that have a share, with their zones.
#[derive(Clone, Debug)]
pub struct HostSet {
    /// Worst health with which a host that has not left keeps its share.
    worst: Health,
    hosts: IndexMap<Arc<str>, Share>,
    /// When the share of a host that has left ends next.
    next_end: Option<Time>,
    /// Whether the hosts have changed since the last call of [`Self::take_change`] that said so, and when
    /// that was.
    changed: bool,
    taken: Option<Time>,
    /// Number of hosts at that time.
    divided: usize,
}

impl HostSet {
    /// An empty set, in which hosts keep their share up to the health `worst`.
    pub fn new(worst: Health) -> Self {
        Self {
            worst,
            hosts: IndexMap::new(),
            next_end: None,
            changed: false,
            taken: None,
            divided: 0,
        }
    }

    /// Applies changes of the members.
    pub fn update(&mut self, now: Time, changes: &MemberChanges) {
        for member in &changes.members {
            self.changed |= self.apply(now, member);
        }
        for member in &changes.gone {
            self.changed |= self.hosts.swap_remove(&member.host).is_some();
        }
    }

    /// Forgets hosts that left long ago. Returns whether what the hosts share is to be divided anew, since the
    /// set has changed. That is said at once if it has grown or shrunk by half, as while a host that starts
    /// learns of the others; otherwise at most once in [`CHANGE_PERIOD`].
    pub fn take_change(&mut self, now: Time) -> bool {
        self.changed |= self.expire(now);
        let (hosts, divided) = (self.hosts.len(), self.divided);
        let much = hosts * 2 >= divided * 3 || hosts * 2 <= divided;
        let early = self.taken.is_some_and(|at| now.since(at) < CHANGE_PERIOD);
        if !self.changed || early && !much {
            return false;
        }
        (self.changed, self.taken, self.divided) = (false, Some(now), hosts);
        true
    }

    fn apply(&mut self, now: Time, member: &Member) -> bool {
        let left = (member.health == Health::Left).then_some(now);
        if left.is_none() && member.health > self.worst {
            return self.hosts.swap_remove(&member.host).is_some();
        }
        if let Some(at) = left {
            let end = at + LEFT_KEPT;
            self.next_end = Some(self.next_end.map_or(end, |next| next.min(end)));
        }
        match self.hosts.get_mut(&member.host) {
            Some(share) => {
                share.left = left.map(|now| share.left.unwrap_or(now));
                let moved = share.zone != member.zone;
                share.zone = member.zone.clone();
                moved
            }
            None => {
                let share = Share { zone: member.zone.clone(), left };
                self.hosts.insert(member.host.clone(), share);
                true
            }
        }
    }

    /// Takes the share of the hosts that left long ago; returns whether there were any.
    fn expire(&mut self, now: Time) -> bool {
        if self.next_end.is_none_or(|at| now < at) {
            return false;
        }
        let before = self.hosts.len();
        self.hosts.retain(|_, share| share.left.is_none_or(|at| now.since(at) < LEFT_KEPT));
        let ends = self.hosts.values().filter_map(|share| share.left);
        self.next_end = ends.map(|at| at + LEFT_KEPT).min();
        self.hosts.len() < before
    }

    /// The hosts and their zones, sorted by name.
    pub fn sorted(&self) -> Vec<(Arc<str>, Arc<str>)> {
        let mut all: Vec<_> =
            self.hosts.iter().map(|(host, share)| (host.clone(), share.zone.clone())).collect();
        all.sort_unstable();
        all
    }

    /// Number of hosts.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Whether there is no host.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}

/// Differences between two lists of members.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberChanges {
    /// Members that are new or differ, as they are now.
    pub members: Vec<Member>,
    /// Members that are no longer listed, as hosts that have left.
    pub gone: Vec<Member>,
}

impl MemberChanges {
    /// Changes from one list to another; both are sorted by name.
    pub fn between(old: &[Member], new: &[Member]) -> Self {
        let (mut old, mut new) = (old.iter().peekable(), new.iter().peekable());
        let mut changes = Self::default();
        while let Some(order) = order(old.peek().copied(), new.peek().copied()) {
            let before = if order.is_le() { old.next() } else { None };
            let after = if order.is_ge() { new.next() } else { None };
            match (before, after) {
                (Some(a), None) => {
                    changes.gone.push(Member { health: Health::Left, ..a.clone() });
                }
                (a, Some(b)) if a != Some(b) => changes.members.push(b.clone()),
                _ => {}
            }
        }
        changes
    }
}

/// Which of two members comes first by name; none if both lists have ended.
fn order(a: Option<&Member>, b: Option<&Member>) -> Option<Ordering> {
    Some(match (a, b) {
        (None, None) => return None,
        (Some(_), None) => Ordering::Less,
        (None, Some(_)) => Ordering::Greater,
        (Some(a), Some(b)) if Arc::ptr_eq(&a.host, &b.host) => Ordering::Equal,
        (Some(a), Some(b)) => a.host.cmp(&b.host),
    })
}
