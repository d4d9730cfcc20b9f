//! Policy of a query: retries, budget, and when it ends early.

use super::send::HEDGE_RETRY;
use super::shard::ATTEMPTS_MAX;
use super::{Gather, meets_coverage};
use crate::core::time::Time;

/// How a query may be retried, and when it ends early.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Maximum attempts per shard, not counting those refused as busy or that reached no endpoint.
    pub max_attempts: u32,
    /// Whether an attempt may be sent again after one that may have run.
    pub idempotent: bool,
    /// Whether every attempt after the first of a shard takes from the budget of extra attempts;
    /// when that is used up, the shard is given up at once.
    pub strict_budget: bool,
    /// Whether the query restarts on another snapshot, or waits for one, when this one loses
    /// shards; otherwise it ends as soon as the minimum coverage is out of reach.
    pub may_restart: bool,
    /// Whether nothing is sent before enough shards for the minimum coverage have a free slot.
    pub gang_start: bool,
    /// Time until which shards are hedged only while at most half of all are unanswered. If more are
    /// open, the delay is hardly that of single endpoints, and hedges would add to it.
    pub hedge_few_until: Option<Time>,
    /// Times after and before which a hedge cannot help.
    pub hedges_useless: Option<(Time, Time)>,
    /// Whether a lost connection counts as the death of its endpoint, a reason for quarantine.
    pub detect_deaths: bool,
    /// Time from which the query ends as soon as it has the minimum coverage.
    pub partial_after: Option<Time>,
    /// Time until which a shard waits for a free slot; the deadline if none.
    pub slot_deadline: Option<Time>,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            max_attempts: ATTEMPTS_MAX,
            idempotent: true,
            strict_budget: false,
            may_restart: true,
            gang_start: false,
            hedge_few_until: None,
            hedges_useless: None,
            detect_deaths: true,
            partial_after: None,
            slot_deadline: None,
        }
    }
}

impl<T> Gather<T> {
    /// Whether the query ends early: the coverage suffices by now, or can no longer suffice.
    pub(super) fn is_cut_short(&self, now: Time) -> bool {
        let meets = |shards: usize| meets_coverage(shards, self.shards.len(), self.min_coverage);
        let answered = self.shards.len() - self.missing;
        if answered > 0 && self.policy.partial_after.is_some_and(|at| at <= now) && meets(answered)
        {
            return true;
        }
        !self.policy.may_restart && !meets(self.shards.len() - self.exhausted)
    }

    /// When a hedge that is due at `at` is sent: earlier if it could not help then.
    pub(super) fn hedge_time(&self, now: Time, at: Time) -> Time {
        match self.policy.hedges_useless {
            Some((from, _)) if now <= from => at.min(from),
            _ => at,
        }
    }

    /// Until when a hedge that was due at `due` is held back, if it may not be sent now. What counts is
    /// when it was due, since timers fire late.
    pub(super) fn hedge_held_until(&self, now: Time, due: Time) -> Option<Time> {
        let useless =
            self.policy.hedges_useless.filter(|(from, until)| *from < due && now < *until);
        if let Some((_, until)) = useless {
            return Some(until);
        }
        let few = self.missing * 2 <= self.shards.len()
            || self.policy.hedge_few_until.is_none_or(|until| now >= until);
        (!few).then_some(now + HEDGE_RETRY)
    }

    /// Whether a shard may still wait for a free slot.
    pub(super) fn may_await_slot(&self, now: Time) -> bool {
        self.policy.slot_deadline.is_none_or(|at| now < at)
    }
}
