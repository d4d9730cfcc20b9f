//! Follower: stores the leader's entries and snapshots and acknowledges them.

use super::node::{Node, PartialSnapshot, Role};
use super::{Action, Body, Config, Entries, Entry, Index, Replica, Snapshot, Term};
use crate::prelude::*;

impl Node {
    /// Stores the leader's entries if the log has the entry `prev`, given by position and term.
    pub(super) fn handle_append(
        &mut self,
        now: Time,
        from: Replica,
        prev: (Index, Term),
        entries: Vec<Arc<Entry>>,
        commit: Index,
    ) {
        if !self.accept_leader(now, &from) {
            return;
        }
        let (index, term) = prev;
        if index < self.log.base() {
            // Committed entries match the log of every later leader.
            return self.acknowledge(&from, self.commit);
        }
        if self.log.term(index) != Some(term) {
            let hint = self.log.last().min(index.saturating_sub(1)).max(self.commit);
            return self.send(&from, Body::Appended { matched: false, index: hint });
        }
        let end = self.store_entries(index, entries);
        self.commit_to(commit.min(end));
        self.matched = self.matched.max(end);
        self.acknowledge(&from, end);
    }

    /// Reports to the leader up to which position the logs match and the entries are durable.
    fn acknowledge(&mut self, leader: &Replica, end: Index) {
        let index = end.min(self.writes.durable_index());
        self.send(leader, Body::Appended { matched: true, index });
    }

    /// Reports to the leader that more matching entries have become durable.
    pub(super) fn acknowledge_durable(&mut self) {
        if let Some(leader) = self.leader.clone() {
            self.acknowledge(&leader, self.matched);
        }
    }

    /// Stores the entries after `index`, and returns the last position that matches the leader.
    fn store_entries(&mut self, index: Index, entries: Vec<Arc<Entry>>) -> Index {
        let mut end = index;
        let mut new = Vec::new();
        for entry in entries {
            if entry.index != end + 1 {
                break;
            }
            end = entry.index;
            let known = new.is_empty() && self.log.term(end) == Some(entry.term);
            // A message never replaces committed entries.
            if !known && end > self.commit {
                self.writes.truncate(end - 1);
                self.log.put(entry.clone());
                new.push(entry);
            }
        }
        if !new.is_empty() {
            self.persist_entries(new);
        }
        end
    }

    /// Follows the sender as the leader of this term; false if this replica is the leader.
    fn accept_leader(&mut self, now: Time, from: &Replica) -> bool {
        if self.is_leader() {
            return false;
        }
        self.role = Role::Follower;
        self.leader = Some(from.clone());
        self.leader_heard = Some(now);
        self.reset_election_timer(now);
        true
    }

    /// Handles a part of a snapshot; `extent` is its offset and the size of the whole snapshot.
    pub(super) fn handle_chunk(
        &mut self,
        now: Time,
        from: Replica,
        config: Config,
        extent: (u64, u64),
        part: PartialSnapshot,
    ) {
        if !self.accept_leader(now, &from) {
            return;
        }
        let (index, (offset, total)) = (part.index, extent);
        if index <= self.commit {
            return self.acknowledge(&from, self.commit);
        }
        let have = self.add_chunk(offset, part);
        if have < total {
            return self.send(&from, Body::More { index, offset: have });
        }
        if let Some(PartialSnapshot { index, term, data }) = self.partial.take() {
            // The snapshot is acknowledged once it is durable.
            self.install_snapshot(Snapshot { index, term, config, data });
        }
    }

    /// Appends a part if it is the next one, and returns the bytes received so far.
    fn add_chunk(&mut self, offset: u64, part: PartialSnapshot) -> u64 {
        let same = |p: &PartialSnapshot| (p.index, p.term) == (part.index, part.term);
        match &mut self.partial {
            Some(p) if same(p) => {
                if p.data.len() as u64 == offset {
                    p.data.extend_from_slice(&part.data);
                }
            }
            _ if offset == 0 => self.partial = Some(part),
            other => *other = Some(PartialSnapshot { data: Vec::new(), ..part }),
        }
        self.partial.as_ref().map_or(0, |p| p.data.len() as u64)
    }

    fn install_snapshot(&mut self, snapshot: Snapshot) {
        let snapshot = Arc::new(snapshot);
        self.matched = self.matched.max(snapshot.index);
        if self.log.term(snapshot.index) == Some(snapshot.term) {
            self.log.trim(snapshot.index, self.limits.kept_entries);
        } else {
            // Of the entries on disk, only the committed ones surely match the new log.
            self.writes.truncate(self.commit);
            self.log = Entries::after(&snapshot);
        }
        self.commit = snapshot.index;
        self.snapshot = snapshot.clone();
        self.persist_checkpoint();
        self.actions.push(Action::Install(snapshot));
    }
}
