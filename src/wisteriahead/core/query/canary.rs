//! The shard that a query is sent to before all others, so that a request that stops
//! endpoints stops few.

use super::{Environment, Gather, Step, Wait};
use crate::core::time::{Span, Time};

/// A shard that is sent to before all others.
#[derive(Clone, Copy, Debug)]
pub(super) struct Lead {
    shard: u32,
    span: Span,
    /// When the others follow, unless an endpoint died with the lead in flight.
    until: Option<Time>,
}

impl Lead {
    pub(super) fn new(shard: u32, span: Span) -> Self {
        Self { shard, span, until: None }
    }

    pub(super) fn shard(self) -> usize {
        self.shard as usize
    }

    pub(super) fn begun(self, now: Time) -> Self {
        Self { until: Some(now + self.span), ..self }
    }

    pub(super) fn until(self) -> Option<Time> {
        self.until
    }

    fn is_over(self, now: Time) -> bool {
        self.until.is_some_and(|at| at <= now)
    }
}

impl<T> Gather<T> {
    /// Sends to the shards that the lead held back, when it is over.
    pub(super) fn follow<F: Environment>(&mut self, step: &mut Step<'_, F>) {
        let Some(lead) = self.lead else { return };
        let s = &self.shards[lead.shard()];
        if s.deaths > 0 && s.hits.is_none() {
            // Without another replica to try, nothing clears it: it goes to no other shard.
            self.banned |= s.exhausted();
            return;
        }
        let over = s.hits.is_some() || s.exhausted() || lead.is_over(step.now);
        if self.banned || !over || step.now >= self.deadline {
            return;
        }
        self.lead = None;
        for shard in 0..self.shards.len() {
            if self.shards[shard].wait == Wait::Held {
                self.send(shard, step);
            }
        }
        self.settle(step);
    }
}
