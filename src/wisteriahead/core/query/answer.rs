//! Results of a query: snapshot, coverage, verdict and hits.

use super::{Coverage, Gather, Shortage, Wait};
use crate::core::hits::Hits;
use crate::core::routes::{Snapshot, Target};
use crate::core::time::Time;
use crate::core::verdict::Verdict;
use std::sync::Arc;

impl<T> Gather<T> {
    /// Snapshot that the query runs on; all hits come from it.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Replicas of the shards that wait for a free slot.
    pub fn awaiting_slot(&self) -> impl Iterator<Item = &Target> {
        let shards = self.shards.iter().zip(&self.snapshot.shards);
        shards.filter(|(s, _)| matches!(s.wait, Wait::Slot { .. })).flat_map(|(_, r)| r.iter())
    }

    /// Coverage of the answers received so far.
    pub fn coverage(&self) -> Coverage {
        let missing: Vec<u32> =
            (0u32..).zip(&self.shards).filter(|(_, s)| s.hits.is_none()).map(|(i, _)| i).collect();
        let shards = self.shards.len() as u32;
        Coverage { shards, answered: shards - missing.len() as u32, missing }
    }

    /// Replaces the answer of a shard; no effect if the shard has not answered.
    pub fn replace(&mut self, shard: u32, hits: T) {
        if let Some(s) = self.shards.get_mut(shard as usize).filter(|s| s.hits.is_some()) {
            s.hits = Some(hits);
        }
    }

    /// Shards without an answer: index, attempts sent, and why the next attempt was not sent.
    pub fn unanswered(&self) -> impl Iterator<Item = (u32, u32, Option<Shortage>)> {
        let shards = (0u32..).zip(&self.shards).filter(|(_, s)| s.hits.is_none());
        shards.map(|(i, s)| (i, s.sent, s.shortage))
    }

    /// Whether no shard but the canary has been sent to so far.
    pub fn is_canary_only(&self) -> bool {
        self.canary.is_some()
    }

    /// Whether the query is quarantined because endpoints died while they ran it.
    pub fn is_quarantined(&self) -> bool {
        self.quarantined
    }

    /// When a shard last waited for a free slot.
    pub fn last_slot_wait(&self) -> Option<Time> {
        self.last_slot_wait
    }

    /// Verdict if the query is refused: `NotRun` if every attempt sent is known not to have run.
    pub fn verdict(&self) -> Verdict {
        if self.not_run == self.attempts.len() { Verdict::NotRun } else { Verdict::MayHaveRun }
    }

    /// Consumes the query and yields each answer with the index of its shard.
    pub fn into_parts(self) -> impl Iterator<Item = (u32, T)> {
        (0u32..).zip(self.shards).filter_map(|(i, s)| Some((i, s.hits?)))
    }
}

impl Gather {
    /// Consumes the query and returns the hits of all shards that answered, each labelled with its
    /// shard.
    pub fn into_hits(self) -> Vec<Hits> {
        self.into_parts()
            .map(|(i, mut hits)| {
                hits.0.iter_mut().for_each(|h| h.shard = i);
                hits
            })
            .collect()
    }
}
