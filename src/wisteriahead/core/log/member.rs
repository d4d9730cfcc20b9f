//! Changes of who holds the log, one replica at a time.

use super::node::{Node, Role};
use super::{Change, Config, ELECTION_MIN, Index, Payload, ProposeError, Replica, Term};
use crate::prelude::*;

impl Node {
    /// Appends a configuration with the change made.
    pub(super) fn change(
        &mut self,
        now: Time,
        change: Change,
    ) -> Result<(Index, Term), ProposeError> {
        if !self.is_leader() {
            return Err(ProposeError::NotLeader);
        }
        // Two quorums overlap only if the last change is settled, and only a leader with an
        // entry of its own committed knows the last one.
        if !self.has_committed_in_term() || self.log.config_index() > self.commit {
            return Err(ProposeError::ChangePending);
        }
        let config = self.changed(now, change).ok_or(ProposeError::InvalidChange)?;
        let at = self.propose(now, Payload::Config(config))?;
        self.enlist(now);
        self.replicate();
        Ok(at)
    }

    fn changed(&self, now: Time, change: Change) -> Option<Config> {
        let mut config = self.log.config().clone();
        match change {
            Change::AddLearner(r) => {
                let new = config.all().all(|known| *known != r);
                new.then(|| config.learners.push(r))?;
            }
            Change::Promote(r) => {
                let at = config.learners.iter().position(|l| *l == r)?;
                self.is_caught_up(now, &r)
                    .then(|| config.voters.push(config.learners.remove(at)))?;
            }
            Change::Remove(r) => {
                let known = config.all().any(|known| *known == r);
                let last = config.voters == [r.clone()];
                (known && !last).then_some(())?;
                config.voters.retain(|v| *v != r);
                config.learners.retain(|l| *l != r);
            }
        }
        Some(config)
    }

    /// Whether a learner holds all that is committed and answers.
    pub fn is_caught_up(&self, now: Time, r: &Replica) -> bool {
        let Role::Leader { others, .. } = &self.role else { return false };
        others.get(r).is_some_and(|p| p.matched >= self.commit && now.since(p.heard) < ELECTION_MIN)
    }

    /// Whether a replica has answered lately.
    pub fn answers(&self, now: Time, r: &Replica) -> bool {
        let Role::Leader { others, .. } = &self.role else { return false };
        *r == self.me || others.get(r).is_some_and(|p| now.since(p.heard) < ELECTION_MIN)
    }
}
