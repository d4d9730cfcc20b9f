//! One replica of the log: its state, and which rule an event goes to.

use super::durable::Durable;
use super::lead::Progress;
use super::{
    Action, Body, Checkpoint, Config, ELECTION_MIN, ELECTION_SPREAD, Entries, Event, HardState,
    Index, Limits, Message, ProposeError, Record, Replica, Snapshot, Term, WriteId,
};
use crate::prelude::*;

/// What a replica is to the others.
#[derive(Clone, Debug)]
pub(super) enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether it would be elected, or to be elected.
    Candidate { pre: bool, votes: IndexSet<Replica> },
    /// Leads since the entry at `first`.
    Leader { first: Index, others: IndexMap<Replica, Progress> },
}

/// A snapshot that is being received.
#[derive(Clone, Debug)]
pub(super) struct Partial {
    pub(super) index: Index,
    pub(super) term: Term,
    pub(super) data: Vec<u8>,
}

/// One replica.
#[derive(Clone, Debug)]
pub struct Node {
    pub(super) me: Replica,
    pub(super) hard: HardState,
    pub(super) log: Entries,
    pub(super) snapshot: Arc<Snapshot>,
    pub(super) commit: Index,
    pub(super) role: Role,
    pub(super) leader: Option<Replica>,
    /// When the leader was last heard from.
    pub(super) heard: Option<Time>,
    /// When to begin an election or send heartbeats next.
    pub(super) due: Time,
    pub(super) partial: Option<Partial>,
    pub(super) durable: Durable,
    /// The log matches that of this term's leader up to here.
    pub(super) agreed: Index,
    pub(super) out: Vec<Action>,
    pub(super) limits: Limits,
    seed: u64,
}

impl Node {
    /// A replica with what it made durable; `seed` differs between replicas and starts.
    pub fn recover(
        me: Replica,
        base: Checkpoint,
        records: Vec<Record>,
        seed: u64,
        now: Time,
    ) -> Self {
        let mut log = Entries::after(&base.snapshot);
        base.entries.into_iter().for_each(|e| log.put(e));
        let mut node = Self {
            me,
            hard: base.hard,
            log,
            commit: base.snapshot.index,
            snapshot: base.snapshot,
            role: Role::Follower,
            leader: None,
            heard: None,
            due: now,
            partial: None,
            durable: Durable::new(0),
            agreed: 0,
            out: Vec::new(),
            limits: Limits::default(),
            seed,
        };
        for record in records {
            match record {
                Record::Hard(hard) => node.hard = hard,
                Record::Entry(entry) => node.log.put(entry),
            }
        }
        node.durable = Durable::new(node.log.last());
        node.wait(now);
        if node.log.config().voters == [node.me.clone()] {
            // Nobody else can lead.
            node.due = now;
        }
        node
    }

    /// The same replica with other sizes.
    pub const fn with_limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Takes an event and returns what is to be done, in this order.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::Receive(message) => self.receive(now, message),
            Event::Propose { token, data } => {
                let at = self.propose(now, super::Payload::Data(data));
                self.out.push(Action::Proposed { token, at });
            }
            Event::Change { token, change } => {
                let at = self.change(now, change);
                self.out.push(Action::Proposed { token, at });
            }
            Event::Synced(mark) => self.synced(now, mark),
            Event::Compact(data) => self.compact(data),
        }
        std::mem::take(&mut self.out)
    }

    /// This replica.
    pub const fn me(&self) -> &Replica {
        &self.me
    }

    /// Term and vote.
    pub const fn hard_state(&self) -> &HardState {
        &self.hard
    }

    /// The entries.
    pub const fn entries(&self) -> &Entries {
        &self.log
    }

    /// The snapshot that it started from or took last.
    pub const fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Last position known to be committed.
    pub const fn commit(&self) -> Index {
        self.commit
    }

    /// Who holds the log.
    pub fn config(&self) -> &Config {
        self.log.config()
    }

    /// The leader, if one is known.
    pub const fn leader(&self) -> Option<&Replica> {
        self.leader.as_ref()
    }

    /// Whether this replica leads.
    pub const fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader { .. })
    }

    /// Whether this replica leads and has committed an entry of its term.
    pub const fn has_committed_in_term(&self) -> bool {
        matches!(self.role, Role::Leader { first, .. } if self.commit >= first)
    }

    /// When a leader with a quorum was last heard from; for a leader, the last instant at
    /// which it had heard from a quorum.
    pub fn last_contact(&self, now: Time) -> Option<Time> {
        match &self.role {
            Role::Leader { others, .. } => Some(self.quorum_heard(others, now)),
            Role::Follower | Role::Candidate { .. } => self.heard,
        }
    }

    fn tick(&mut self, now: Time) {
        if self.is_leader() && !self.has_quorum(now) {
            self.follow(now, self.hard.term, None);
        }
        if now < self.due {
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
            return self.ask(now, term, from, pre, (last, index));
        }
        if let Body::Vote { pre: true, granted: true } = body {
            return self.vote(now, term, from, true, true);
        }
        if term > self.hard.term {
            self.follow(now, term, None);
        }
        if term < self.hard.term {
            // Tells an old leader that its term is over.
            return self.send(&from, Body::Appended { matched: false, index: 0 });
        }
        match body {
            Body::Ask { .. } => {}
            Body::Vote { pre, granted } => self.vote(now, term, from, pre, granted),
            Body::Append { prev, prev_term, entries, commit } => {
                self.append(now, from, (prev, prev_term), entries, commit);
            }
            Body::Chunk { index, last, config, offset, total, data } => {
                let part = Partial { index, term: last, data };
                self.chunk(now, from, config, (offset, total), part);
            }
            Body::Appended { matched, index } => self.appended(now, &from, matched, index),
            Body::More { index, offset } => self.more(now, &from, index, offset),
        }
    }

    /// Becomes a follower in the given term.
    pub(super) fn follow(&mut self, now: Time, term: Term, leader: Option<Replica>) {
        if term > self.hard.term {
            self.hard = HardState { term, vote: None };
            self.agreed = 0;
            self.keep_hard();
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.wait(now);
    }

    /// Sets the time of the next election.
    pub(super) fn wait(&mut self, now: Time) {
        self.seed = self.seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let spread = (self.seed >> 33) % ELECTION_SPREAD.0;
        self.due = now + ELECTION_MIN + Span::micros(spread);
    }

    /// Begins to make the last entries of the log durable.
    pub(super) fn keep(&mut self, entries: Vec<Arc<super::Entry>>) {
        let mark = self.durable.begin(self.log.last());
        self.out.push(Action::Persist(mark, entries.into_iter().map(Record::Entry).collect()));
    }

    /// Begins to make a new term or vote durable.
    pub(super) fn keep_hard(&mut self) {
        let mark = self.durable.begin(self.durable.index());
        self.durable.renew();
        self.out.push(Action::Persist(mark, vec![Record::Hard(self.hard.clone())]));
    }

    /// All writes up to a mark are durable.
    fn synced(&mut self, now: Time, mark: WriteId) {
        let before = self.durable.index();
        let held = self.durable.finish(mark);
        self.out.extend(held);
        if self.durable.index() == before {
            return;
        }
        match self.role {
            Role::Leader { .. } => self.advance(now),
            Role::Follower => self.confirm(),
            Role::Candidate { .. } => {}
        }
    }

    pub(super) fn send(&mut self, to: &Replica, body: Body) {
        self.send_at(to, self.hard.term, body);
    }

    pub(super) fn send_at(&mut self, to: &Replica, term: Term, body: Body) {
        // A pre-vote promises nothing.
        let free = matches!(body, Body::Ask { pre: true, .. } | Body::Vote { pre: true, .. });
        let message = Message { term, from: self.me.clone(), body };
        let send = Action::Send { to: to.clone(), message };
        if free || self.durable.is_hard() {
            self.out.push(send);
        } else {
            self.durable.hold(send);
        }
    }

    /// Commits up to a position and applies what it covers.
    pub(super) fn commit_to(&mut self, index: Index) {
        let to = index.min(self.log.last());
        while self.commit < to {
            self.commit += 1;
            if let Some(entry) = self.log.get(self.commit) {
                self.out.push(Action::Apply(entry.clone()));
            }
        }
    }

    fn compact(&mut self, data: Vec<u8>) {
        let Some(term) = self.log.term(self.commit) else { return };
        let (index, config) = (self.commit, self.log.config_at(self.commit));
        self.snapshot = Arc::new(Snapshot { index, term, config, data });
        self.log.trim(index, self.limits.kept_entries);
        self.keep_base();
    }

    /// Begins to make all that the replica holds durable.
    pub(super) fn keep_base(&mut self) {
        let mark = self.durable.begin(self.log.last());
        let base = self.base();
        self.out.push(Action::Checkpoint(mark, base));
    }

    fn base(&self) -> Checkpoint {
        Checkpoint {
            hard: self.hard.clone(),
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
        let entry = super::Entry { index: self.log.last() + 1, term: self.hard.term, payload };
        let at = (entry.index, entry.term);
        let entry = Arc::new(entry);
        self.log.put(entry.clone());
        self.keep(vec![entry]);
        self.replicate();
        self.advance(now);
        Ok(at)
    }
}
