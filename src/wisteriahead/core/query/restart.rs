//! Restart of the whole query on another snapshot.

use super::{Environment, Gather, ShardState, Step, meets_coverage};
use crate::core::routes::Snapshot;
use crate::core::time::Span;
use std::sync::Arc;

/// Delay before another snapshot is looked for again.
const SNAPSHOT_RETRY: Span = Span::millis(20);
/// Maximum snapshots that one query starts on.
const SNAPSHOTS_MAX: usize = 3;

impl<T> Gather<T> {
    /// Restarts on a snapshot with better coverage if this one has lost shards; returns whether it
    /// did.
    pub(super) fn restart<E: Environment>(&mut self, step: &mut Step<'_, E>) -> bool {
        if self.exhausted == 0 || self.snapshot_retry.is_some_and(|at| step.now < at) {
            return false;
        }
        self.snapshot_retry = None;
        let snapshot_gone = self.shards.iter().any(|s| s.snapshot_gone && s.is_exhausted());
        let reachable = self.shards.len() - self.exhausted;
        let short = !meets_coverage(reachable, self.shards.len(), self.min_coverage);
        if !(snapshot_gone || short) || self.discarded.len() + 1 >= SNAPSHOTS_MAX {
            return false;
        }
        let mut discarded = self.discarded.clone();
        discarded.push(Arc::clone(&self.snapshot));
        let better =
            |s: &Snapshot| s.shards_held() * self.shards.len() > reachable * s.shards.len();
        if let Some(next) = step.env.next_snapshot(&discarded).filter(|s| better(s)) {
            self.discarded = discarded;
            self.switch_to(next, step);
            self.start(step);
            return true;
        }
        if short {
            let until = step.now + SNAPSHOT_RETRY;
            self.snapshot_retry = Some(until);
            self.wake_at(until, step);
        }
        false
    }

    fn switch_to<E: Environment>(&mut self, snapshot: Arc<Snapshot>, step: &mut Step<'_, E>) {
        self.cancel_all(step);
        self.shards = snapshot.shards.iter().map(|_| ShardState::default()).collect();
        self.missing = self.shards.len();
        self.exhausted = 0;
        self.snapshot = snapshot;
    }
}
