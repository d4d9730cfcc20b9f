//! Sending attempts: the first of a shard, those after a failure, and hedges.

use super::{Action, AttemptId, DEATH_WAIT, Environment, Gather, Open, Shortage, Step, Wait};
use crate::core::quarantine::Trial;
use crate::core::routes::Target;
use crate::core::time::Span;
use std::sync::Arc;

/// Wait before a shard that waits for room is tried again without word of room.
const ROOM_WAIT: Span = Span::millis(50);
/// Wait before a hedge without a free replica or budget is tried again.
const HEDGE_WAIT: Span = Span::millis(5);

/// What an attempt costs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cost {
    /// Nothing.
    Free,
    /// One extra attempt of the budget.
    Extra,
}

impl<T> Gather<T> {
    /// Sends an attempt for a shard, or has it wait for room.
    pub(super) fn send<F: Environment>(&mut self, shard: usize, step: &mut Step<'_, F>) {
        let s = &mut self.shards[shard];
        if matches!(s.wait, Wait::Room { .. } | Wait::Later { .. }) {
            self.crowded = Some(step.now);
        }
        s.wait = Wait::Nothing;
        if !self.may_send(shard) || !self.may_try(shard, step) {
            return;
        }
        let paid = self.policy.strict_budget && self.shards[shard].arrivals > 0;
        match self.open(shard, if paid { Cost::Extra } else { Cost::Free }, step) {
            Ok(()) => return self.plan_hedge(shard, step),
            Err(Shortage::Budget) => return,
            Err(Shortage::Slot) if !self.is_patient(step.now) => return,
            Err(Shortage::Slot) => {}
        }
        let until = step.now + ROOM_WAIT;
        self.shards[shard].wait = Wait::Room { until };
        self.wake_at(until, step);
    }

    /// Whether a shard may be sent to, as far as endpoints died with it in flight.
    fn may_try<F: Environment>(&mut self, shard: usize, step: &mut Step<'_, F>) -> bool {
        if self.shards[shard].deaths == 0 {
            return true;
        }
        match step.fleet.try_suspect(step.now, self.lead.is_none().then_some(shard as u32)) {
            Trial::Go => return true,
            Trial::Wait => self.wait_later(shard, DEATH_WAIT, step),
            Trial::Never => self.banned = true,
        }
        false
    }

    /// Has a shard hedged when its attempt stays open long and a replica is left.
    fn plan_hedge<F: Environment>(&mut self, shard: usize, step: &mut Step<'_, F>) {
        let s = &mut self.shards[shard];
        let replicas = &self.snapshot.shards[shard];
        if s.deaths == 0
            && self.policy.idempotent
            && s.sent < self.policy.max_attempts
            && s.tried.len() < replicas.len()
            && let Some(delay) = step.fleet.hedge_delay(replicas)
        {
            s.wait = Wait::Hedge { until: step.now + delay };
        }
    }

    /// Sends again after a failure; after one that may have run, within the budget.
    pub(super) fn retry<F: Environment>(
        &mut self,
        shard: usize,
        free: bool,
        step: &mut Step<'_, F>,
    ) {
        self.shards[shard].wait = Wait::Nothing;
        let replicas = &self.snapshot.shards[shard];
        let unpaid = free || self.policy.strict_budget || !self.may_send(shard);
        if unpaid || step.fleet.take_extra(replicas) {
            self.send(shard, step);
            return;
        }
        let s = &mut self.shards[shard];
        let until = step.now + s.retry_wait();
        s.wait = Wait::Extra { until };
        self.wake_at(until, step);
    }

    /// Sends a second attempt beside an open one.
    pub(super) fn hedge<F: Environment>(&mut self, shard: usize, step: &mut Step<'_, F>) {
        self.shards[shard].wait = Wait::Nothing;
        if !self.may_send(shard) {
            return;
        }
        let lack = self.open(shard, Cost::Extra, step).err();
        // Where every extra attempt is paid, a query without budget does not ask again.
        if lack.is_some_and(|l| l == Shortage::Slot || !self.policy.strict_budget) {
            self.shards[shard].wait = Wait::Hedge { until: step.now + HEDGE_WAIT };
        }
    }

    /// Whether a shard may be sent another attempt.
    fn may_send(&self, shard: usize) -> bool {
        self.shards[shard].may_send(&self.snapshot.shards[shard], self.policy.max_attempts)
    }

    /// Opens an attempt for a shard where a replica has room.
    fn open<F: Environment>(
        &mut self,
        shard: usize,
        cost: Cost,
        step: &mut Step<'_, F>,
    ) -> Result<(), Shortage> {
        let opened = self.try_open(shard, cost, step);
        self.shards[shard].lack = opened.err();
        opened
    }

    fn try_open<F: Environment>(
        &mut self,
        shard: usize,
        cost: Cost,
        step: &mut Step<'_, F>,
    ) -> Result<(), Shortage> {
        let replicas = &self.snapshot.shards[shard];
        let tried = &self.shards[shard].tried;
        let Some((target, permit)) = step.fleet.acquire(step.now, replicas, tried) else {
            return Err(Shortage::Slot);
        };
        // The right comes first: a hedge that finds no room costs no budget.
        if cost == Cost::Extra && !step.fleet.take_extra(replicas) {
            return Err(Shortage::Budget);
        }
        self.begin(shard, target, permit, step);
        Ok(())
    }

    /// Notes an attempt as open and has it sent.
    fn begin<F: Environment>(
        &mut self,
        shard: usize,
        target: Target,
        permit: F::Permit,
        step: &mut Step<'_, F>,
    ) {
        let attempt = AttemptId(self.attempts.len() as u32);
        let s = &mut self.shards[shard];
        s.tried.push(target.key);
        s.sent += 1;
        s.arrivals += 1;
        s.open.push(attempt);
        self.attempts.push(Some(Open { shard: shard as u32, key: target.key }));
        let snapshot = Arc::clone(&self.snapshot);
        step.out.push(Action::Send { attempt, snapshot, shard: shard as u32, target, permit });
    }
}
