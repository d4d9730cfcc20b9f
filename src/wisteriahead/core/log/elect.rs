//! Elections, with a pre-vote so that a replica that was cut off does not end a term.

use super::node::{Node, Role};
use super::{Body, ELECTION_MIN, HardState, Index, Replica, Term};
use crate::prelude::*;

impl Node {
    /// Begins a pre-vote or an election.
    pub(super) fn campaign(&mut self, now: Time, pre: bool) {
        self.wait(now);
        if !self.log.config().voters.contains(&self.me) {
            return;
        }
        let term = self.hard.term + 1;
        if !pre {
            self.hard = HardState { term, vote: Some(self.me.clone()) };
            self.agreed = 0;
            self.keep_hard();
        }
        self.leader = None;
        self.role = Role::Candidate { pre, votes: IndexSet::new() };
        let (index, last) = (self.log.last(), self.log.last_term());
        for to in self.log.config().voters.clone() {
            if to != self.me {
                self.send_at(&to, term, Body::Ask { pre, index, last });
            }
        }
        self.vote(now, term, self.me.clone(), pre, true);
    }

    /// Answers a candidate; `last` is term and position of the end of its log.
    pub(super) fn ask(
        &mut self,
        now: Time,
        term: Term,
        from: Replica,
        pre: bool,
        last: (Term, Index),
    ) {
        // While a leader is heard, no one is helped to end its term.
        if self.is_led(now) {
            return;
        }
        if !pre && term > self.hard.term {
            self.follow(now, term, None);
        }
        let complete = last >= (self.log.last_term(), self.log.last());
        let free = match &self.hard.vote {
            _ if pre => term > self.hard.term,
            vote => term == self.hard.term && vote.as_ref().is_none_or(|v| *v == from),
        };
        let granted = complete && free;
        if granted && !pre {
            self.hard.vote = Some(from.clone());
            self.keep_hard();
            self.wait(now);
        }
        let term = if granted { term } else { self.hard.term };
        self.send_at(&from, term, Body::Vote { pre, granted });
    }

    fn is_led(&self, now: Time) -> bool {
        match self.role {
            Role::Leader { .. } => self.has_quorum(now),
            Role::Follower => self.heard.is_some_and(|at| now.since(at) < ELECTION_MIN),
            Role::Candidate { .. } => false,
        }
    }

    /// Counts a vote.
    pub(super) fn vote(&mut self, now: Time, term: Term, from: Replica, pre: bool, granted: bool) {
        let asked = if pre { self.hard.term + 1 } else { self.hard.term };
        let Role::Candidate { pre: role, votes } = &mut self.role else { return };
        if *role != pre || term != asked || !granted {
            return;
        }
        votes.insert(from);
        let elected = self.log.config().has_quorum(|v| votes.contains(v));
        match (elected, pre) {
            (true, true) => self.campaign(now, false),
            (true, false) => self.lead(now),
            (false, _) => {}
        }
    }
}
