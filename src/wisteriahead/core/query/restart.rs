//! Starting a query again, whole, on another snapshot.

use super::{Environment, Gather, Shard, Step, meets_coverage};
use crate::core::routes::Snapshot;
use crate::core::time::Span;
use std::sync::Arc;

/// Wait before another snapshot is asked for again.
const PLAN_WAIT: Span = Span::millis(20);
/// Most snapshots that one query starts on.
const PLANS_MAX: usize = 3;

impl<T> Gather<T> {
    /// Starts again on another snapshot when this one is losing shards; says whether it did.
    pub(super) fn restart<F: Environment>(&mut self, step: &mut Step<'_, F>) -> bool {
        if self.exhausted == 0 || self.replan.is_some_and(|at| step.now < at) {
            return false;
        }
        self.replan = None;
        let moved = self.shards.iter().any(|s| s.moved && s.exhausted());
        let reachable = self.shards.len() - self.exhausted;
        let short = !meets_coverage(reachable, self.shards.len(), self.least);
        if !(moved || short) || self.lost.len() + 1 >= PLANS_MAX {
            return false;
        }
        let mut lost = self.lost.clone();
        lost.push(Arc::clone(&self.snapshot));
        let better = |s: &Snapshot| s.held() * self.shards.len() > reachable * s.shards.len();
        if let Some(next) = step.fleet.next_snapshot(&lost).filter(|s| better(s)) {
            self.lost = lost;
            self.begin_on(next, step);
            self.start(step);
            return true;
        }
        if short {
            let until = step.now + PLAN_WAIT;
            self.replan = Some(until);
            self.wake_at(until, step);
        }
        false
    }

    fn begin_on<F: Environment>(&mut self, snapshot: Arc<Snapshot>, step: &mut Step<'_, F>) {
        self.cancel_all(step);
        self.shards = snapshot.shards.iter().map(|_| Shard::default()).collect();
        self.missing = self.shards.len();
        self.exhausted = 0;
        self.snapshot = snapshot;
    }
}
