//! Configuration changes, one replica at a time.

use super::node::{Node, Role};
use super::{Change, Config, ELECTION_MIN, Index, Payload, ProposeError, Replica, Term};
use crate::prelude::*;

impl Node {
    /// Appends an entry with the changed configuration.
    pub(super) fn propose_change(
        &mut self,
        now: Time,
        change: Change,
    ) -> Result<(Index, Term), ProposeError> {
        if !self.is_leader() {
            return Err(ProposeError::NotLeader);
        }
        // Quorums of the old and the new configuration overlap only if the previous change is
        // committed, and a leader knows that only after committing an entry of its own term.
        if !self.has_committed_in_term() || self.log.config_index() > self.commit {
            return Err(ProposeError::ChangePending);
        }
        let config = self.apply_change(now, change).ok_or(ProposeError::InvalidChange)?;
        let at = self.propose(now, Payload::Config(config))?;
        self.sync_progress(now);
        self.replicate();
        Ok(at)
    }

    fn apply_change(&self, now: Time, change: Change) -> Option<Config> {
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

    /// Whether a replica holds all committed entries and has responded within [`ELECTION_MIN`].
    pub fn is_caught_up(&self, now: Time, r: &Replica) -> bool {
        let Role::Leader { progress, .. } = &self.role else { return false };
        progress
            .get(r)
            .is_some_and(|p| p.matched >= self.commit && now.since(p.heard) < ELECTION_MIN)
    }

    /// Whether a replica has responded within [`ELECTION_MIN`].
    pub fn is_responsive(&self, now: Time, r: &Replica) -> bool {
        let Role::Leader { progress, .. } = &self.role else { return false };
        *r == self.me || progress.get(r).is_some_and(|p| now.since(p.heard) < ELECTION_MIN)
    }
}
