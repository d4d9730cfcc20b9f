//! Admission of connections and requests; the returned guards release on drop.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;

use super::Leaf;
use crate::executions::{Execution, ExecutionHandle, Outcome};
use crate::hits;
use crate::message::{Refusal, RunRequest};

/// Factor by which executions take longer in a collapsed leaf.
const COLLAPSE_FACTOR: u32 = 10;

impl Leaf {
    /// Admits a connection unless the limit is reached.
    pub(crate) fn admit_connection(self: &Arc<Self>) -> Option<ConnectionGuard> {
        let mut inner = self.inner.lock();
        if inner.connections >= self.profile.connections {
            self.log.update_counters(self.name(), |c| c.extra_connections += 1);
            return None;
        }
        inner.connections += 1;
        let open = inner.connections;
        self.log.update_counters(self.name(), |c| c.max_connections = c.max_connections.max(open));
        Some(ConnectionGuard(Arc::clone(self)))
    }

    /// Admits a request to a slot, or refuses it.
    pub(crate) fn admit_request(self: &Arc<Self>, run: &RunRequest) -> Result<Slot, Refusal> {
        let mut inner = self.inner.lock();
        if let Err(refusal) = inner.check_request(run, self.profile.slots) {
            self.log.update_counters(self.name(), |c| {
                c.refused += 1;
                c.busy += u64::from(refusal == Refusal::Busy);
                c.late += u64::from(refusal.is_expired_or_cancelled());
            });
            return Err(refusal);
        }
        inner.running += 1;
        let running = inner.running;
        let cold = inner.is_cold();
        inner.collapsed = cold && (inner.collapsed || running > self.profile.bearable);
        let collapsed = inner.collapsed;
        let base_time = self.profile.latency.sample(self.profile.seed, run.shard, &run.body);
        let cancelled = Arc::new(Notify::new());
        inner.attempts.insert(run.attempt.clone(), Arc::clone(&cancelled));
        self.log.update_counters(self.name(), |c| {
            c.max_concurrent = c.max_concurrent.max(running);
            c.max_cold = c.max_cold.max(if cold { running } else { 0 });
            c.collapsed += u64::from(collapsed);
        });
        let handle = self.log.start(self.new_execution(run));
        let time = if collapsed { base_time * COLLAPSE_FACTOR } else { base_time };
        let attempt = run.attempt.clone();
        let outcome = Outcome::Abandoned;
        Ok(Slot { leaf: Arc::clone(self), attempt, cancelled, time, handle, outcome })
    }

    fn new_execution(&self, run: &RunRequest) -> Execution {
        Execution {
            attempt: run.attempt.clone(),
            kind: run.kind().to_owned(),
            body: format!("{:016x}", hits::hash(&run.body)),
            id: run.id(),
            key: run.key.clone(),
            collection: run.collection.clone(),
            snapshot: run.snapshot.clone(),
            shard: run.shard,
            leaf: self.profile.name.clone(),
            outcome: Outcome::Running,
        }
    }
}

/// An open connection, counted against the limit until dropped.
#[derive(Debug)]
pub(crate) struct ConnectionGuard(Arc<Leaf>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.inner.lock().connections -= 1;
    }
}

/// An execution's slot; dropping it releases the slot and logs the outcome.
#[derive(Debug)]
pub(crate) struct Slot {
    leaf: Arc<Leaf>,
    attempt: String,
    pub(crate) cancelled: Arc<Notify>,
    pub(crate) time: Duration,
    handle: ExecutionHandle,
    outcome: Outcome,
}

impl Slot {
    /// Releases the slot with this outcome instead of [`Outcome::Abandoned`].
    pub(crate) fn finish(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut inner = self.leaf.inner.lock();
        inner.running -= 1;
        inner.collapsed &= inner.running > 0;
        inner.attempts.swap_remove(&self.attempt);
        self.leaf.log.finish(self.handle, self.outcome);
    }
}
