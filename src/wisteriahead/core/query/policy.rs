//! How a query may be repeated, and when it is cut short.

use super::shard::ATTEMPTS_MAX;
use super::{Gather, meets_coverage};
use crate::core::time::Time;

/// How a query may be repeated, and when it is cut short.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Most attempts for one shard, those refused as busy not counted.
    pub max_attempts: u32,
    /// Whether what may have run may be sent again.
    pub idempotent: bool,
    /// Whether every attempt after the first of a shard is paid from the budget; without budget
    /// the shard is given up at once.
    pub strict_budget: bool,
    /// Whether it starts again on another snapshot when this one falls short, and waits for one;
    /// otherwise it ends as soon as the least coverage is out of reach.
    pub replans: bool,
    /// Whether it is sent nowhere before enough shards for the least coverage have room.
    pub gang_start: bool,
    /// Whether a lost connection is taken for the death of its endpoint.
    pub detect_deaths: bool,
    /// Time from which the least coverage is answered without waiting for more.
    pub partial_after: Option<Time>,
    /// Time until which a shard waits for room; the deadline if none.
    pub slot_deadline: Option<Time>,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            max_attempts: ATTEMPTS_MAX,
            idempotent: true,
            strict_budget: false,
            replans: true,
            gang_start: false,
            detect_deaths: true,
            partial_after: None,
            slot_deadline: None,
        }
    }
}

impl<T> Gather<T> {
    /// Whether the answer stands: what is in is enough by now, or can never be.
    pub(super) fn is_cut_short(&self, now: Time) -> bool {
        let share = |shards: usize| meets_coverage(shards, self.shards.len(), self.least);
        let answered = self.shards.len() - self.missing;
        if answered > 0 && self.policy.partial_after.is_some_and(|at| at <= now) && share(answered)
        {
            return true;
        }
        !self.policy.replans && !share(self.shards.len() - self.exhausted)
    }

    /// Whether a shard still waits for room at this time.
    pub(super) fn is_patient(&self, now: Time) -> bool {
        self.policy.slot_deadline.is_none_or(|at| now < at)
    }
}
