//! Sends attempts: the first of each shard, retries and hedges.

use super::{
    Action, AttemptId, DEATH_WAIT, Environment, Gather, OpenAttempt, Shortage, Step, Wait,
};
use crate::core::quarantine::SuspectRun;
use crate::core::routes::Target;
use crate::core::time::{Span, Time};
use std::sync::Arc;

/// Delay before a shard that waits for a slot tries again without being notified.
const SLOT_RETRY: Span = Span::millis(50);
/// Delay before a hedge that was not sent is tried again.
pub(super) const HEDGE_RETRY: Span = Span::millis(5);

/// What an attempt takes from the budget of extra attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cost {
    /// Nothing.
    Free,
    /// One extra attempt.
    Extra,
}

impl<T> Gather<T> {
    /// Sends an attempt for a shard, or lets the shard wait for a free slot.
    pub(super) fn send<E: Environment>(&mut self, shard: usize, step: &mut Step<'_, E>) {
        let s = &mut self.shards[shard];
        if matches!(s.wait, Wait::Slot { .. } | Wait::Backoff { .. }) {
            self.last_slot_wait = Some(step.now);
        }
        s.wait = Wait::Nothing;
        if !self.may_send(shard) || !self.passes_quarantine(shard, step) {
            return;
        }
        let is_extra = self.policy.strict_budget && self.shards[shard].arrivals > 0;
        match self.open(shard, if is_extra { Cost::Extra } else { Cost::Free }, step) {
            Ok(()) => return self.schedule_hedge(shard, step),
            Err(Shortage::Budget) => return,
            Err(Shortage::Slot) if !self.may_await_slot(step.now) => return,
            Err(Shortage::Slot) => {}
        }
        let until = step.now + SLOT_RETRY;
        self.shards[shard].wait = Wait::Slot { until };
        self.wake_at(until, step);
    }

    /// Whether a shard may be sent to; if endpoints died running the query, the quarantine decides.
    fn passes_quarantine<E: Environment>(&mut self, shard: usize, step: &mut Step<'_, E>) -> bool {
        if self.shards[shard].deaths == 0 && !self.suspect {
            return true;
        }
        if self.is_other_suspect_open(shard) {
            self.back_off(shard, DEATH_WAIT, step);
            return false;
        }
        match step.env.try_suspect(step.now, self.canary.is_none().then_some(shard as u32)) {
            SuspectRun::Allowed => return true,
            SuspectRun::Wait => self.back_off(shard, DEATH_WAIT, step),
            SuspectRun::Quarantined => self.quarantined = true,
        }
        false
    }

    /// Whether another shard runs the query after a death there, while no shard has answered: a query
    /// that crashes endpoints of all shards would otherwise crash another of each.
    fn is_other_suspect_open(&self, shard: usize) -> bool {
        let suspects = self.shards.iter().enumerate().filter(|(_, s)| s.deaths > 0);
        self.missing == self.shards.len()
            && suspects.into_iter().any(|(other, s)| other != shard && !s.open.is_empty())
    }

    /// Schedules a hedge for a shard if the policy allows one and an untried replica is left.
    fn schedule_hedge<E: Environment>(&mut self, shard: usize, step: &mut Step<'_, E>) {
        let s = &mut self.shards[shard];
        let replicas = &self.snapshot.shards[shard];
        if s.deaths == 0
            && !self.suspect
            && self.policy.idempotent
            && s.sent < self.policy.max_attempts
            && s.tried.len() < replicas.len()
            && let Some(delay) = step.env.hedge_delay(replicas)
        {
            let until = self.hedge_time(step.now, step.now + delay);
            self.shards[shard].wait = Wait::Hedge { until };
        }
    }

    /// Sends again after a failure. Unless `free`, it takes from the budget of extra attempts and
    /// waits while that is used up; under a strict budget, [`Self::send`] takes from it instead.
    pub(super) fn retry<E: Environment>(
        &mut self,
        shard: usize,
        free: bool,
        step: &mut Step<'_, E>,
    ) {
        self.shards[shard].wait = Wait::Nothing;
        let replicas = &self.snapshot.shards[shard];
        let exempt = free || self.policy.strict_budget || !self.may_send(shard);
        if exempt || step.env.take_extra(replicas) {
            self.send(shard, step);
            return;
        }
        let s = &mut self.shards[shard];
        let until = step.now + s.next_backoff();
        s.wait = Wait::Budget { until };
        self.wake_at(until, step);
    }

    /// Sends a second attempt, which was due at `due`, while the first is still open.
    pub(super) fn hedge<E: Environment>(
        &mut self,
        shard: usize,
        due: Time,
        step: &mut Step<'_, E>,
    ) {
        self.shards[shard].wait = Wait::Nothing;
        if !self.may_send(shard) {
            return;
        }
        if let Some(until) = self.hedge_held_until(step.now, due) {
            self.shards[shard].wait = Wait::Hedge { until };
            return;
        }
        let shortage = self.open(shard, Cost::Extra, step).err();
        // Under a strict budget, a hedge refused for lack of budget is not tried again.
        if shortage.is_some_and(|s| s == Shortage::Slot || !self.policy.strict_budget) {
            self.shards[shard].wait = Wait::Hedge { until: step.now + HEDGE_RETRY };
        }
    }

    /// Whether a shard may be sent another attempt to an untried replica.
    fn may_send(&self, shard: usize) -> bool {
        self.shards[shard].may_send(&self.snapshot.shards[shard], self.policy.max_attempts)
    }

    /// Opens an attempt for a shard, or records why that was not possible.
    fn open<E: Environment>(
        &mut self,
        shard: usize,
        cost: Cost,
        step: &mut Step<'_, E>,
    ) -> Result<(), Shortage> {
        let opened = self.try_open(shard, cost, step);
        self.shards[shard].shortage = opened.err();
        opened
    }

    fn try_open<E: Environment>(
        &mut self,
        shard: usize,
        cost: Cost,
        step: &mut Step<'_, E>,
    ) -> Result<(), Shortage> {
        let replicas = &self.snapshot.shards[shard];
        let tried = &self.shards[shard].tried;
        let Some((target, permit)) = step.env.acquire(step.now, replicas, tried) else {
            return Err(Shortage::Slot);
        };
        // The permit is taken first, so that a hedge without a free slot costs no budget.
        if cost == Cost::Extra && !step.env.take_extra(replicas) {
            return Err(Shortage::Budget);
        }
        self.send_to(shard, target, permit, step);
        Ok(())
    }

    /// Records an attempt as open and sends it.
    fn send_to<E: Environment>(
        &mut self,
        shard: usize,
        target: Target,
        permit: E::Permit,
        step: &mut Step<'_, E>,
    ) {
        let attempt = AttemptId(self.attempts.len() as u32);
        let s = &mut self.shards[shard];
        s.tried.push(target.key);
        s.sent += 1;
        s.arrivals += 1;
        s.open.push(attempt);
        self.attempts.push(Some(OpenAttempt { shard: shard as u32, key: target.key }));
        let snapshot = Arc::clone(&self.snapshot);
        step.actions.push(Action::Send { attempt, snapshot, shard: shard as u32, target, permit });
    }
}
