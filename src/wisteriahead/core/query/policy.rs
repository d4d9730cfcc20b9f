//! How a query may be repeated, and when it is cut short.

use super::shard::ATTEMPTS_MAX;
use super::{Gather, reaches};
use crate::core::time::Time;

/// How a query may be repeated, and when it is cut short.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Most attempts for one shard, those refused as busy not counted.
    pub attempts: u32,
    /// Whether what may have run may be sent again.
    pub repeats: bool,
    /// Whether every attempt after the first of a shard is paid from the budget; without budget
    /// the shard is given up at once.
    pub paid: bool,
    /// Whether it starts again on another snapshot when this one falls short, and waits for one;
    /// otherwise it ends as soon as the least coverage is out of reach.
    pub replans: bool,
    /// Whether it is sent nowhere before enough shards for the least coverage have room.
    pub whole: bool,
    /// Whether a lost connection is taken for the death of its endpoint.
    pub suspects: bool,
    /// Time from which the least coverage is answered without waiting for more.
    pub enough: Option<Time>,
    /// Time until which a shard waits for room; the deadline if none.
    pub patience: Option<Time>,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            attempts: ATTEMPTS_MAX,
            repeats: true,
            paid: false,
            replans: true,
            whole: false,
            suspects: true,
            enough: None,
            patience: None,
        }
    }
}

impl<T> Gather<T> {
    /// Whether the answer stands: what is in is enough by now, or can never be.
    pub(super) fn is_cut_short(&self, now: Time) -> bool {
        let share = |shards: usize| reaches(shards, self.shards.len(), self.least);
        let answered = self.shards.len() - self.missing;
        if answered > 0 && self.policy.enough.is_some_and(|at| at <= now) && share(answered) {
            return true;
        }
        !self.policy.replans && !share(self.shards.len() - self.exhausted)
    }

    /// Whether a shard still waits for room at this time.
    pub(super) fn is_patient(&self, now: Time) -> bool {
        self.policy.patience.is_none_or(|at| now < at)
    }
}
