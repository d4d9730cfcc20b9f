//! Elections. A pre-vote comes first, so that a replica that was partitioned does not depose a
//! working leader when it returns.

use super::node::{Node, Role};
use super::{Body, ELECTION_MIN, HardState, Index, Replica, Term};
use crate::prelude::*;

impl Node {
    /// Starts a pre-vote or an election.
    pub(super) fn campaign(&mut self, now: Time, pre: bool) {
        self.reset_election_timer(now);
        if !self.log.config().voters.contains(&self.me) {
            return;
        }
        let term = self.hard_state.term + 1;
        if !pre {
            self.hard_state = HardState { term, vote: Some(self.me.clone()) };
            self.matched = 0;
            self.persist_hard_state();
        }
        self.leader = None;
        self.role = Role::Candidate { pre, votes: IndexSet::new() };
        let (index, last) = (self.log.last(), self.log.last_term());
        for to in self.log.config().voters.clone() {
            if to != self.me {
                self.send_at(&to, term, Body::Ask { pre, index, last });
            }
        }
        self.handle_vote(now, term, self.me.clone(), pre, true);
    }

    /// Responds to a vote request; `last` is the term and position of the candidate's last entry.
    pub(super) fn handle_vote_request(
        &mut self,
        now: Time,
        term: Term,
        from: Replica,
        pre: bool,
        last: (Term, Index),
    ) {
        // A replica in contact with a working leader ignores candidates, so that they cannot
        // depose it.
        if self.has_live_leader(now) {
            return;
        }
        if !pre && term > self.hard_state.term {
            self.become_follower(now, term, None);
        }
        let up_to_date = last >= (self.log.last_term(), self.log.last());
        let may_vote = match &self.hard_state.vote {
            _ if pre => term > self.hard_state.term,
            vote => term == self.hard_state.term && vote.as_ref().is_none_or(|v| *v == from),
        };
        let granted = up_to_date && may_vote;
        if granted && !pre {
            self.hard_state.vote = Some(from.clone());
            self.persist_hard_state();
            self.reset_election_timer(now);
        }
        let term = if granted { term } else { self.hard_state.term };
        self.send_at(&from, term, Body::Vote { pre, granted });
    }

    fn has_live_leader(&self, now: Time) -> bool {
        match self.role {
            Role::Leader { .. } => self.has_quorum_contact(now),
            Role::Follower => self.leader_heard.is_some_and(|at| now.since(at) < ELECTION_MIN),
            Role::Candidate { .. } => false,
        }
    }

    /// Counts a vote; a quorum of pre-votes starts an election, a quorum of votes wins it.
    pub(super) fn handle_vote(
        &mut self,
        now: Time,
        term: Term,
        from: Replica,
        pre: bool,
        granted: bool,
    ) {
        let expected_term = if pre { self.hard_state.term + 1 } else { self.hard_state.term };
        let Role::Candidate { pre: role, votes } = &mut self.role else { return };
        if *role != pre || term != expected_term || !granted {
            return;
        }
        votes.insert(from);
        let elected = self.log.config().has_quorum(|v| votes.contains(v));
        match (elected, pre) {
            (true, true) => self.campaign(now, false),
            (true, false) => self.become_leader(now),
            (false, _) => {}
        }
    }
}
