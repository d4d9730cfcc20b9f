//! What a follower does with the leader's entries and snapshots.

use super::node::{Node, Partial, Role};
use super::{Action, Body, Config, Entries, Entry, Index, Replica, Snapshot, Term};
use crate::prelude::*;

impl Node {
    /// Takes the leader's entries if its log matches at `prev`.
    pub(super) fn append(
        &mut self,
        now: Time,
        from: Replica,
        prev: (Index, Term),
        entries: Vec<Arc<Entry>>,
        commit: Index,
    ) {
        if !self.obey(now, &from) {
            return;
        }
        let (index, term) = prev;
        if index < self.log.base() {
            // All up to the commit matches any leader's log.
            return self.acknowledge(&from, self.commit);
        }
        if self.log.term(index) != Some(term) {
            let hint = self.log.last().min(index.saturating_sub(1)).max(self.commit);
            return self.send(&from, Body::Appended { matched: false, index: hint });
        }
        let end = self.take(index, entries);
        self.commit_to(commit.min(end));
        self.agreed = self.agreed.max(end);
        self.acknowledge(&from, end);
    }

    /// Tells the leader up to where the logs match, as far as that is durable.
    fn acknowledge(&mut self, leader: &Replica, end: Index) {
        let index = end.min(self.durable.index());
        self.send(leader, Body::Appended { matched: true, index });
    }

    /// Tells the leader that more of the log is durable.
    pub(super) fn confirm(&mut self) {
        if let Some(leader) = self.leader.clone() {
            self.acknowledge(&leader, self.agreed);
        }
    }

    /// Puts new entries after `index` and returns the last position that matches.
    fn take(&mut self, index: Index, entries: Vec<Arc<Entry>>) -> Index {
        let mut end = index;
        let mut new = Vec::new();
        for entry in entries {
            if entry.index != end + 1 {
                break;
            }
            end = entry.index;
            let known = new.is_empty() && self.log.term(end) == Some(entry.term);
            // What is committed is never replaced, whatever a message says.
            if !known && end > self.commit {
                self.durable.cut(end - 1);
                self.log.put(entry.clone());
                new.push(entry);
            }
        }
        if !new.is_empty() {
            self.keep(new);
        }
        end
    }

    /// Notes the leader of this term; false when this replica leads itself.
    fn obey(&mut self, now: Time, from: &Replica) -> bool {
        if self.is_leader() {
            return false;
        }
        self.role = Role::Follower;
        self.leader = Some(from.clone());
        self.heard = Some(now);
        self.wait(now);
        true
    }

    /// Takes a part of a snapshot; `place` is its offset and the bytes of the whole.
    pub(super) fn chunk(
        &mut self,
        now: Time,
        from: Replica,
        config: Config,
        place: (u64, u64),
        part: Partial,
    ) {
        if !self.obey(now, &from) {
            return;
        }
        let (index, (offset, total)) = (part.index, place);
        if index <= self.commit {
            return self.acknowledge(&from, self.commit);
        }
        let have = self.gather(offset, part);
        if have < total {
            return self.send(&from, Body::More { index, offset: have });
        }
        if let Some(Partial { index, term, data }) = self.partial.take() {
            // It is acknowledged once it is durable.
            self.install(Snapshot { index, term, config, data });
        }
    }

    /// Adds a part if it is the next one, and returns the bytes received so far.
    fn gather(&mut self, offset: u64, part: Partial) -> u64 {
        let same = |p: &Partial| (p.index, p.term) == (part.index, part.term);
        match &mut self.partial {
            Some(p) if same(p) => {
                if p.data.len() as u64 == offset {
                    p.data.extend_from_slice(&part.data);
                }
            }
            _ if offset == 0 => self.partial = Some(part),
            other => *other = Some(Partial { data: Vec::new(), ..part }),
        }
        self.partial.as_ref().map_or(0, |p| p.data.len() as u64)
    }

    fn install(&mut self, snapshot: Snapshot) {
        let snapshot = Arc::new(snapshot);
        self.agreed = self.agreed.max(snapshot.index);
        if self.log.term(snapshot.index) == Some(snapshot.term) {
            self.log.trim(snapshot.index, self.limits.kept_entries);
        } else {
            // Only what was committed is surely the same on disk.
            self.durable.cut(self.commit);
            self.log = Entries::after(&snapshot);
        }
        self.commit = snapshot.index;
        self.snapshot = snapshot.clone();
        self.keep_base();
        self.out.push(Action::Install(snapshot));
    }
}
