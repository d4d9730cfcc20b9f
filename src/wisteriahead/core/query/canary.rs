//! Canary shard: the query is sent to it before all others, so that a request that crashes
//! endpoints crashes few of them.

use super::{Environment, Gather, Step, Wait};
use crate::core::time::{Span, Time};

/// The shard that is sent to first, and how long the others are held back.
#[derive(Clone, Copy, Debug)]
pub(super) struct Canary {
    shard: u32,
    hold: Span,
    /// When the other shards are sent to, unless an endpoint died running the query.
    until: Option<Time>,
}

impl Canary {
    pub(super) fn new(shard: u32, hold: Span) -> Self {
        Self { shard, hold, until: None }
    }

    pub(super) fn shard(self) -> usize {
        self.shard as usize
    }

    pub(super) fn started(self, now: Time) -> Self {
        Self { until: Some(now + self.hold), ..self }
    }

    pub(super) fn until(self) -> Option<Time> {
        self.until
    }

    fn has_expired(self, now: Time) -> bool {
        self.until.is_some_and(|at| at <= now)
    }
}

impl<T> Gather<T> {
    /// Sends to the shards held back, once the canary has answered, failed for good or timed out.
    pub(super) fn release_held<E: Environment>(&mut self, step: &mut Step<'_, E>) {
        let Some(canary) = self.canary else { return };
        let s = &self.shards[canary.shard()];
        if s.deaths > 0 && s.hits.is_none() {
            // No replica is left whose answer could clear the query, so it goes to no other shard.
            self.quarantined |= s.is_exhausted();
            return;
        }
        let over = s.hits.is_some() || s.is_exhausted() || canary.has_expired(step.now);
        if self.quarantined || !over || step.now >= self.deadline {
            return;
        }
        self.canary = None;
        for shard in 0..self.shards.len() {
            if self.shards[shard].wait == Wait::Held {
                self.send(shard, step);
            }
        }
        self.reschedule(step);
    }
}
