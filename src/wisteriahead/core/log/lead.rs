//! Leader: replicates entries and snapshots, commits what a quorum holds, and steps down when
//! removed. It tracks its contact to a quorum, without which [`Node`] steps down.

use super::node::{Node, Role};
use super::{Body, ELECTION_MIN, HEARTBEAT, Index, Payload, Replica};
use crate::prelude::*;

/// Time without a response after which the first part of a snapshot is sent again, and the follower
/// asks for the part that it lacks; shorter than [`ELECTION_MIN`].
const SNAPSHOT_RETRY: Span = Span::millis(400);

/// Replication progress of another replica, as the leader knows it.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// Position up to which its log is known to match.
    pub(super) matched: Index,
    /// Position of the next entry to send.
    next: Index,
    /// Time of its last response.
    pub(super) heard: Time,
    /// Whether a snapshot transfer is in progress; each part is sent on request.
    sending_snapshot: bool,
}

impl Node {
    /// Becomes the leader of the current term.
    pub(super) fn become_leader(&mut self, now: Time) {
        let next = self.log.last() + 1;
        self.role = Role::Leader { first: next, progress: IndexMap::new() };
        self.leader = Some(self.me.clone());
        self.timeout_at = now + HEARTBEAT;
        self.sync_progress(now);
        // A leader commits entries of earlier terms only by committing one of its own term.
        let _ = self.propose(now, Payload::Noop);
    }

    /// Adds and removes progress entries to match the other replicas of the configuration.
    pub(super) fn sync_progress(&mut self, now: Time) {
        let next = self.log.last() + 1;
        let me = &self.me;
        let wanted: Vec<Replica> = self.log.config().all().filter(|r| *r != me).cloned().collect();
        let Role::Leader { progress, .. } = &mut self.role else { return };
        progress.retain(|r, _| wanted.contains(r));
        for r in wanted {
            let new = Progress { matched: 0, next, heard: now, sending_snapshot: false };
            progress.entry(r).or_insert(new);
        }
    }

    /// Sends a heartbeat to all replicas, with the entries that they have not acknowledged yet.
    pub(super) fn heartbeat(&mut self, now: Time) {
        self.timeout_at = now + HEARTBEAT;
        let Role::Leader { progress, .. } = &mut self.role else { return };
        for p in progress.values_mut() {
            if now.since(p.heard) >= SNAPSHOT_RETRY {
                p.sending_snapshot = false;
            }
            if p.matched > 0 {
                p.next = p.matched + 1;
            }
        }
        let all: Vec<Replica> = progress.keys().cloned().collect();
        for to in all {
            self.send_entries(&to);
        }
    }

    /// Sends new entries to all replicas.
    pub(super) fn replicate(&mut self) {
        let Role::Leader { progress, .. } = &self.role else { return };
        let all: Vec<Replica> = progress.keys().cloned().collect();
        for to in all {
            self.send_entries(&to);
        }
    }

    /// Sends a replica its next entries, or a snapshot if they are no longer in memory.
    fn send_entries(&mut self, to: &Replica) {
        let base = self.log.base();
        let Role::Leader { progress, .. } = &mut self.role else { return };
        let Some(p) = progress.get_mut(to) else { return };
        if p.sending_snapshot {
            return;
        }
        let prev = p.next - 1;
        let Some(prev_term) = self.log.term(prev).filter(|_| prev >= base) else {
            p.sending_snapshot = true;
            return self.send_chunk(to, 0);
        };
        let entries = self.log.batch(p.next);
        p.next += entries.len() as u64;
        let commit = self.commit;
        self.send(to, Body::Append { prev, prev_term, entries, commit });
    }

    /// Sends the part of the snapshot that starts at `offset`.
    fn send_chunk(&mut self, to: &Replica, offset: u64) {
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

    /// Handles a request for the next part of a snapshot.
    pub(super) fn handle_chunk_request(
        &mut self,
        now: Time,
        from: &Replica,
        index: Index,
        offset: u64,
    ) {
        let Role::Leader { progress, .. } = &mut self.role else { return };
        let Some(p) = progress.get_mut(from) else { return };
        p.heard = now;
        p.sending_snapshot = true;
        let offset = if index == self.snapshot.index { offset } else { 0 };
        self.send_chunk(from, offset);
    }

    /// Handles the response to entries or a snapshot.
    pub(super) fn handle_append_response(
        &mut self,
        now: Time,
        from: &Replica,
        matched: bool,
        index: Index,
    ) {
        let last = self.log.last();
        let Role::Leader { progress, .. } = &mut self.role else { return };
        let Some(p) = progress.get_mut(from) else { return };
        p.heard = now;
        p.sending_snapshot = false;
        if !matched {
            p.next = index.saturating_add(1).min(p.next).max(p.matched + 1);
            return self.send_entries(from);
        }
        let matched = p.matched.max(index.min(last));
        // A response without progress answers a heartbeat; the next heartbeat sends again what is
        // missing.
        let advanced = matched > p.matched && p.next <= last;
        p.matched = matched;
        p.next = p.next.max(p.matched + 1);
        if advanced && p.next <= last {
            self.send_entries(from);
        }
        self.advance_commit(now);
    }

    /// Commits the entries that a quorum holds, if the last of them is of this term.
    pub(super) fn advance_commit(&mut self, now: Time) {
        let Role::Leader { progress, .. } = &self.role else { return };
        let held = |r: &Replica| match progress.get(r) {
            Some(p) => p.matched,
            // The leader's own copy also counts only once it is durable.
            None if *r == self.me => self.writes.durable_index(),
            None => 0,
        };
        let config = self.log.config();
        let mut all: Vec<Index> = config.voters.iter().map(held).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        let index = all.get(config.quorum() - 1).copied().unwrap_or(0);
        if index <= self.commit || self.log.term(index) != Some(self.hard_state.term) {
            return;
        }
        self.commit_to(index);
        self.replicate();
        self.step_down_if_removed(now);
    }

    /// Steps down once the removal of this replica is committed.
    fn step_down_if_removed(&mut self, now: Time) {
        let config = self.log.config();
        if self.log.config_index() <= self.commit && !config.voters.contains(&self.me) {
            self.become_follower(now, self.hard_state.term, None);
        }
    }

    /// Whether a quorum responded within the last [`ELECTION_MIN`].
    pub(super) fn has_quorum_contact(&self, now: Time) -> bool {
        let Role::Leader { progress, .. } = &self.role else { return false };
        now.since(self.quorum_contact(progress, now)) < ELECTION_MIN
    }

    /// Latest time since which a quorum of the voters has responded.
    pub(super) fn quorum_contact(&self, progress: &IndexMap<Replica, Progress>, now: Time) -> Time {
        let config = self.log.config();
        let heard = |r: &Replica| {
            if *r == self.me { now } else { progress.get(r).map_or(Time(0), |p| p.heard) }
        };
        let mut all: Vec<Time> = config.voters.iter().map(heard).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.get(config.quorum() - 1).copied().unwrap_or(now)
    }
}
