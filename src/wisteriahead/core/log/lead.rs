//! What a leader does: replicate, count, commit, and stop when it is cut off.

use super::node::{Node, Role};
use super::{Body, ELECTION_MIN, HEARTBEAT, Index, Payload, Replica};
use crate::prelude::*;

/// Silence after which a snapshot's part is sent again; shorter than [`ELECTION_MIN`].
const SNAPSHOT_RETRY: Span = Span::millis(400);

/// What a leader knows of another replica.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// Its log matches up to here.
    pub(super) matched: Index,
    /// The next entry to send.
    next: Index,
    /// When it last answered.
    pub(super) heard: Time,
    /// Whether it is being sent a snapshot, part by part as it asks.
    snapshot: bool,
}

impl Node {
    /// Begins to lead.
    pub(super) fn lead(&mut self, now: Time) {
        let next = self.log.last() + 1;
        self.role = Role::Leader { first: next, others: IndexMap::new() };
        self.leader = Some(self.me.clone());
        self.due = now + HEARTBEAT;
        self.enlist(now);
        // Its commit commits all entries of earlier terms.
        let _ = self.propose(now, Payload::Noop);
    }

    /// Keeps progress of exactly the other replicas of the configuration.
    pub(super) fn enlist(&mut self, now: Time) {
        let next = self.log.last() + 1;
        let me = &self.me;
        let wanted: Vec<Replica> = self.log.config().all().filter(|r| *r != me).cloned().collect();
        let Role::Leader { others, .. } = &mut self.role else { return };
        others.retain(|r, _| wanted.contains(r));
        for r in wanted {
            let new = Progress { matched: 0, next, heard: now, snapshot: false };
            others.entry(r).or_insert(new);
        }
    }

    /// Sends everyone what is missing, again from the last answer on.
    pub(super) fn heartbeat(&mut self, now: Time) {
        self.due = now + HEARTBEAT;
        let Role::Leader { others, .. } = &mut self.role else { return };
        for p in others.values_mut() {
            if now.since(p.heard) >= SNAPSHOT_RETRY {
                p.snapshot = false;
            }
            if p.matched > 0 {
                p.next = p.matched + 1;
            }
        }
        let all: Vec<Replica> = others.keys().cloned().collect();
        for to in all {
            self.feed(&to);
        }
    }

    /// Sends everyone what has been appended.
    pub(super) fn replicate(&mut self) {
        let Role::Leader { others, .. } = &self.role else { return };
        let all: Vec<Replica> = others.keys().cloned().collect();
        for to in all {
            self.feed(&to);
        }
    }

    /// Sends one replica its next entries, or a snapshot if those are gone.
    fn feed(&mut self, to: &Replica) {
        let base = self.log.base();
        let Role::Leader { others, .. } = &mut self.role else { return };
        let Some(p) = others.get_mut(to) else { return };
        if p.snapshot {
            return;
        }
        let prev = p.next - 1;
        let Some(prev_term) = self.log.term(prev).filter(|_| prev >= base) else {
            p.snapshot = true;
            return self.part(to, 0);
        };
        let entries = self.log.batch(p.next);
        p.next += entries.len() as u64;
        let commit = self.commit;
        self.send(to, Body::Append { prev, prev_term, entries, commit });
    }

    /// Sends one part of the snapshot.
    fn part(&mut self, to: &Replica, offset: u64) {
        let s = self.snapshot.clone();
        let begin = usize::try_from(offset).unwrap_or(usize::MAX).min(s.data.len());
        let end = begin.saturating_add(self.limits.chunk_bytes).min(s.data.len());
        let body = Body::Chunk {
            index: s.index,
            last: s.term,
            config: s.config.clone(),
            offset: begin as u64,
            total: s.data.len() as u64,
            data: s.data[begin..end].to_vec(),
        };
        self.send(to, body);
    }

    /// A replica asks for the next part of a snapshot.
    pub(super) fn more(&mut self, now: Time, from: &Replica, index: Index, offset: u64) {
        let Role::Leader { others, .. } = &mut self.role else { return };
        let Some(p) = others.get_mut(from) else { return };
        p.heard = now;
        p.snapshot = true;
        let offset = if index == self.snapshot.index { offset } else { 0 };
        self.part(from, offset);
    }

    /// A replica has answered entries or a snapshot.
    pub(super) fn appended(&mut self, now: Time, from: &Replica, matched: bool, index: Index) {
        let last = self.log.last();
        let Role::Leader { others, .. } = &mut self.role else { return };
        let Some(p) = others.get_mut(from) else { return };
        p.heard = now;
        p.snapshot = false;
        if !matched {
            p.next = index.saturating_add(1).min(p.next).max(p.matched + 1);
            return self.feed(from);
        }
        let matched = p.matched.max(index.min(last));
        // An answer without progress is one to a heartbeat; the next heartbeat sends again.
        let more = matched > p.matched && p.next <= last;
        p.matched = matched;
        p.next = p.next.max(p.matched + 1);
        if more && p.next <= last {
            self.feed(from);
        }
        self.advance(now);
    }

    /// Commits what a quorum holds, if it is of this term.
    pub(super) fn advance(&mut self, now: Time) {
        let Role::Leader { others, .. } = &self.role else { return };
        let held = |r: &Replica| match others.get(r) {
            Some(p) => p.matched,
            // Its own copy counts like any other: once it is durable.
            None if *r == self.me => self.durable.index(),
            None => 0,
        };
        let config = self.log.config();
        let mut all: Vec<Index> = config.voters.iter().map(held).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        let index = all.get(config.quorum() - 1).copied().unwrap_or(0);
        if index <= self.commit || self.log.term(index) != Some(self.hard.term) {
            return;
        }
        self.commit_to(index);
        self.replicate();
        self.retire(now);
    }

    /// Stops leading once its own removal is committed.
    fn retire(&mut self, now: Time) {
        let config = self.log.config();
        if self.log.config_index() <= self.commit && !config.voters.contains(&self.me) {
            self.follow(now, self.hard.term, None);
        }
    }

    /// Whether a quorum was heard within [`ELECTION_MIN`].
    pub(super) fn has_quorum(&self, now: Time) -> bool {
        let Role::Leader { others, .. } = &self.role else { return false };
        now.since(self.quorum_heard(others, now)) < ELECTION_MIN
    }

    /// The last instant since which a quorum was heard.
    pub(super) fn quorum_heard(&self, others: &IndexMap<Replica, Progress>, now: Time) -> Time {
        let config = self.log.config();
        let heard = |r: &Replica| {
            if *r == self.me { now } else { others.get(r).map_or(Time(0), |p| p.heard) }
        };
        let mut all: Vec<Time> = config.voters.iter().map(heard).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.get(config.quorum() - 1).copied().unwrap_or(now)
    }
}
