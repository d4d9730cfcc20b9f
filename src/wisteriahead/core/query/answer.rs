//! What a query has come to: its snapshot, coverage, verdict and hits.

use super::{Coverage, Gather, Shortage, Wait};
use crate::core::hits::Hits;
use crate::core::routes::{Snapshot, Target};
use crate::core::time::Time;
use crate::core::verdict::Verdict;
use std::sync::Arc;

impl<T> Gather<T> {
    /// The snapshot that the answer is drawn from.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Replicas of the shards that wait for room.
    pub fn awaiting_slot(&self) -> impl Iterator<Item = &Target> {
        let shards = self.shards.iter().zip(&self.snapshot.shards);
        shards.filter(|(s, _)| matches!(s.wait, Wait::Room { .. })).flat_map(|(_, r)| r)
    }

    /// The coverage so far.
    pub fn coverage(&self) -> Coverage {
        let missing: Vec<u32> =
            (0u32..).zip(&self.shards).filter(|(_, s)| s.hits.is_none()).map(|(i, _)| i).collect();
        let shards = self.shards.len() as u32;
        Coverage { shards, answered: shards - missing.len() as u32, missing }
    }

    /// Puts another answer of a shard in the place of the one that it has.
    pub fn replace(&mut self, shard: u32, hits: T) {
        if let Some(s) = self.shards.get_mut(shard as usize).filter(|s| s.hits.is_some()) {
            s.hits = Some(hits);
        }
    }

    /// Shards that have not answered: attempts sent there, and what the next one lacked.
    pub fn unanswered(&self) -> impl Iterator<Item = (u32, u32, Option<Shortage>)> {
        let shards = (0u32..).zip(&self.shards).filter(|(_, s)| s.hits.is_none());
        shards.map(|(i, s)| (i, s.sent, s.lack))
    }

    /// Whether it has been sent to its first shard alone so far.
    pub fn is_canary_only(&self) -> bool {
        self.lead.is_some()
    }

    /// Whether the query is quarantined: endpoints died with it in flight.
    pub fn is_quarantined(&self) -> bool {
        self.banned
    }

    /// When a shard last waited for room at an endpoint.
    pub fn last_slot_wait(&self) -> Option<Time> {
        self.crowded
    }

    /// The verdict of a refusal: "not run" when every attempt sent is proven not to have run.
    pub fn verdict(&self) -> Verdict {
        if self.proven == self.attempts.len() { Verdict::NotRun } else { Verdict::MayHaveRun }
    }

    /// Takes what the shards answered, with their numbers.
    pub fn into_parts(self) -> impl Iterator<Item = (u32, T)> {
        (0u32..).zip(self.shards).filter_map(|(i, s)| Some((i, s.hits?)))
    }
}

impl Gather {
    /// Takes the hits of all shards that answered, each marked with its shard.
    pub fn into_hits(self) -> Vec<Hits> {
        self.into_parts()
            .map(|(i, mut hits)| {
                hits.0.iter_mut().for_each(|h| h.shard = i);
                hits
            })
            .collect()
    }
}
