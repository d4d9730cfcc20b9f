//! State of one replica and dispatch of events to the handlers of its role.

use super::durable::WriteTracker;
use super::lead::Progress;
use super::{
    Action, Body, Checkpoint, Config, ELECTION_MIN, ELECTION_SPREAD, Entries, Event, HardState,
    Index, Limits, Message, ProposeError, Record, Replica, Snapshot, Term, WriteId,
};
use crate::prelude::*;

/// Raft role of a replica.
#[derive(Clone, Debug)]
pub(super) enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Collects votes in a pre-vote (`pre`) or an election.
    Candidate { pre: bool, votes: IndexSet<Replica> },
    /// Leader whose first entry of its term is at position `first`.
    Leader { first: Index, progress: IndexMap<Replica, Progress> },
}

/// Snapshot of which a part has been received.
#[derive(Clone, Debug)]
pub(super) struct PartialSnapshot {
    pub(super) index: Index,
    pub(super) term: Term,
    pub(super) data: Vec<u8>,
}

/// State machine of one replica.
#[derive(Clone, Debug)]
pub struct Node {
    pub(super) me: Replica,
    pub(super) hard_state: HardState,
    pub(super) log: Entries,
    pub(super) snapshot: Arc<Snapshot>,
    pub(super) commit: Index,
    pub(super) role: Role,
    pub(super) leader: Option<Replica>,
    /// When the leader was last heard from.
    pub(super) leader_heard: Option<Time>,
    /// When the election timeout expires or, for a leader, the next heartbeat is due.
    pub(super) timeout_at: Time,
    pub(super) partial: Option<PartialSnapshot>,
    pub(super) writes: WriteTracker,
    /// Position up to which the log is known to match that of the leader of this term.
    pub(super) matched: Index,
    pub(super) actions: Vec<Action>,
    pub(super) limits: Limits,
    seed: u64,
}

impl Node {
    /// Restores a replica from its checkpoint and the records after it; `seed` randomizes election
    /// timeouts and must differ between replicas and restarts.
    pub fn recover(
        me: Replica,
        checkpoint: Checkpoint,
        records: Vec<Record>,
        seed: u64,
        now: Time,
    ) -> Self {
        let mut log = Entries::after(&checkpoint.snapshot);
        checkpoint.entries.into_iter().for_each(|e| log.put(e));
        let mut node = Self {
            me,
            hard_state: checkpoint.hard,
            log,
            commit: checkpoint.snapshot.index,
            snapshot: checkpoint.snapshot,
            role: Role::Follower,
            leader: None,
            leader_heard: None,
            timeout_at: now,
            partial: None,
            writes: WriteTracker::new(0),
            matched: 0,
            actions: Vec::new(),
            limits: Limits::default(),
            seed,
        };
        for record in records {
            match record {
                Record::Hard(hard) => node.hard_state = hard,
                Record::Entry(entry) => node.log.put(entry),
            }
        }
        node.writes = WriteTracker::new(node.log.last());
        node.reset_election_timer(now);
        if node.log.config().voters == [node.me.clone()] {
            // The only voter needs no election timeout.
            node.timeout_at = now;
        }
        node
    }

    /// Sets the size limits.
    pub const fn with_limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Handles an event and returns the actions to carry out, in order.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::Receive(message) => self.receive(now, message),
            Event::Propose { token, data } => {
                let at = self.propose(now, super::Payload::Data(data));
                self.actions.push(Action::Proposed { token, at });
            }
            Event::Change { token, change } => {
                let at = self.propose_change(now, change);
                self.actions.push(Action::Proposed { token, at });
            }
            Event::Synced(id) => self.synced(now, id),
            Event::Compact(data) => self.compact(data),
        }
        std::mem::take(&mut self.actions)
    }

    /// Identity of this replica.
    pub const fn me(&self) -> &Replica {
        &self.me
    }

    /// Current term and vote.
    pub const fn hard_state(&self) -> &HardState {
        &self.hard_state
    }

    /// Log entries in memory.
    pub const fn entries(&self) -> &Entries {
        &self.log
    }

    /// Latest snapshot.
    pub const fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Last position known to be committed.
    pub const fn commit(&self) -> Index {
        self.commit
    }

    /// Current replicas of the log.
    pub fn config(&self) -> &Config {
        self.log.config()
    }

    /// Current leader, if known.
    pub const fn leader(&self) -> Option<&Replica> {
        self.leader.as_ref()
    }

    /// Whether this replica is the leader.
    pub const fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader { .. })
    }

    /// Whether this replica is the leader and has committed an entry of its term.
    pub const fn has_committed_in_term(&self) -> bool {
        matches!(self.role, Role::Leader { first, .. } if self.commit >= first)
    }

    /// When the leader was last heard from; for a leader itself, the time since which it has heard
    /// from a quorum. None if no leader was heard from since the start.
    pub fn last_contact(&self, now: Time) -> Option<Time> {
        match &self.role {
            Role::Leader { progress, .. } => Some(self.quorum_contact(progress, now)),
            Role::Follower | Role::Candidate { .. } => self.leader_heard,
        }
    }

    fn tick(&mut self, now: Time) {
        if self.is_leader() && !self.has_quorum_contact(now) {
            self.become_follower(now, self.hard_state.term, None);
        }
        if now < self.timeout_at {
            return;
        }
        if self.is_leader() {
            self.heartbeat(now);
        } else {
            self.campaign(now, true);
        }
    }

    fn receive(&mut self, now: Time, message: Message) {
        let Message { term, from, body } = message;
        if let Body::Ask { pre, index, last } = body {
            return self.handle_vote_request(now, term, from, pre, (last, index));
        }
        if let Body::Vote { pre: true, granted: true } = body {
            return self.handle_vote(now, term, from, true, true);
        }
        if term > self.hard_state.term {
            self.become_follower(now, term, None);
        }
        if term < self.hard_state.term {
            // The response carries the newer term, so that an old leader steps down.
            return self.send(&from, Body::Appended { matched: false, index: 0 });
        }
        match body {
            Body::Ask { .. } => {}
            Body::Vote { pre, granted } => self.handle_vote(now, term, from, pre, granted),
            Body::Append { prev, prev_term, entries, commit } => {
                self.handle_append(now, from, (prev, prev_term), entries, commit);
            }
            Body::Chunk { index, last, config, offset, total, data } => {
                let part = PartialSnapshot { index, term: last, data };
                self.handle_chunk(now, from, config, (offset, total), part);
            }
            Body::Appended { matched, index } => {
                self.handle_append_response(now, &from, matched, index);
            }
            Body::More { index, offset } => self.handle_chunk_request(now, &from, index, offset),
        }
    }

    /// Becomes a follower, in a new term if `term` is higher than the current one.
    pub(super) fn become_follower(&mut self, now: Time, term: Term, leader: Option<Replica>) {
        if term > self.hard_state.term {
            self.hard_state = HardState { term, vote: None };
            self.matched = 0;
            self.persist_hard_state();
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.reset_election_timer(now);
    }

    /// Restarts the randomized election timeout.
    pub(super) fn reset_election_timer(&mut self, now: Time) {
        self.seed = self.seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let spread = (self.seed >> 33) % ELECTION_SPREAD.0;
        self.timeout_at = now + ELECTION_MIN + Span::micros(spread);
    }

    /// Starts writing the last entries of the log to disk.
    pub(super) fn persist_entries(&mut self, entries: Vec<Arc<super::Entry>>) {
        let id = self.writes.begin(self.log.last());
        self.actions.push(Action::Persist(id, entries.into_iter().map(Record::Entry).collect()));
    }

    /// Starts writing a new term or vote to disk.
    pub(super) fn persist_hard_state(&mut self) {
        let id = self.writes.begin(self.writes.durable_index());
        self.writes.note_hard_state();
        self.actions.push(Action::Persist(id, vec![Record::Hard(self.hard_state.clone())]));
    }

    /// Handles the report that all writes up to `id` are durable.
    fn synced(&mut self, now: Time, id: WriteId) {
        let before = self.writes.durable_index();
        let held = self.writes.complete(id);
        self.actions.extend(held);
        if self.writes.durable_index() == before {
            return;
        }
        match self.role {
            Role::Leader { .. } => self.advance_commit(now),
            Role::Follower => self.acknowledge_durable(),
            Role::Candidate { .. } => {}
        }
    }

    pub(super) fn send(&mut self, to: &Replica, body: Body) {
        self.send_at(to, self.hard_state.term, body);
    }

    pub(super) fn send_at(&mut self, to: &Replica, term: Term, body: Body) {
        // Pre-vote messages do not depend on a durable term or vote.
        let is_pre_vote =
            matches!(body, Body::Ask { pre: true, .. } | Body::Vote { pre: true, .. });
        let message = Message { term, from: self.me.clone(), body };
        let send = Action::Send { to: to.clone(), message };
        if is_pre_vote || self.writes.is_hard_state_durable() {
            self.actions.push(send);
        } else {
            self.writes.hold(send);
        }
    }

    /// Advances the commit index to a position and applies the entries up to it.
    pub(super) fn commit_to(&mut self, index: Index) {
        let to = index.min(self.log.last());
        while self.commit < to {
            self.commit += 1;
            if let Some(entry) = self.log.get(self.commit) {
                self.actions.push(Action::Apply(entry.clone()));
            }
        }
    }

    fn compact(&mut self, data: Vec<u8>) {
        let Some(term) = self.log.term(self.commit) else { return };
        let (index, config) = (self.commit, self.log.config_at(self.commit));
        self.snapshot = Arc::new(Snapshot { index, term, config, data });
        self.log.trim(index, self.limits.kept_entries);
        self.persist_checkpoint();
    }

    /// Starts writing a checkpoint to disk.
    pub(super) fn persist_checkpoint(&mut self) {
        let id = self.writes.begin(self.log.last());
        let checkpoint = self.checkpoint();
        self.actions.push(Action::Checkpoint(id, checkpoint));
    }

    fn checkpoint(&self) -> Checkpoint {
        Checkpoint {
            hard: self.hard_state.clone(),
            snapshot: self.snapshot.clone(),
            entries: self.log.tail(self.snapshot.index),
        }
    }

    pub(super) fn propose(
        &mut self,
        now: Time,
        payload: super::Payload,
    ) -> Result<(Index, Term), ProposeError> {
        if !self.is_leader() {
            return Err(ProposeError::NotLeader);
        }
        let entry =
            super::Entry { index: self.log.last() + 1, term: self.hard_state.term, payload };
        let at = (entry.index, entry.term);
        let entry = Arc::new(entry);
        self.log.put(entry.clone());
        self.persist_entries(vec![entry]);
        self.replicate();
        self.advance_commit(now);
        Ok(at)
    }
}
