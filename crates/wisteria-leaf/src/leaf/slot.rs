//! Slots and connections: taken here, given back when dropped.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;

use super::Leaf;
use crate::executions::{Entry, Execution, Outcome};
use crate::hits;
use crate::message::{Refusal, RunRequest};

/// How many times longer an execution takes on a collapsed leaf.
const COLLAPSE_FACTOR: u32 = 10;
impl Leaf {
    /// Takes a connection, unless the limit is reached.
    pub(crate) fn connect(self: &Arc<Self>) -> Option<ConnectionGuard> {
        let mut inner = self.inner.lock();
        if inner.connections >= self.profile.connections {
            self.log.count(self.name(), |c| c.extra_connections += 1);
            return None;
        }
        inner.connections += 1;
        let now = inner.connections;
        self.log.count(self.name(), |c| c.max_connections = c.max_connections.max(now));
        Some(ConnectionGuard(Arc::clone(self)))
    }

    /// Gives the request a slot, or refuses it.
    pub(crate) fn admit(self: &Arc<Self>, run: &RunRequest) -> Result<Slot, Refusal> {
        let mut inner = self.inner.lock();
        if let Err(refusal) = inner.check(run, self.profile.slots) {
            self.log.count(self.name(), |c| {
                c.refused += 1;
                c.busy += u64::from(refusal == Refusal::Busy);
                c.late += u64::from(refusal.is_late());
            });
            return Err(refusal);
        }
        inner.running += 1;
        let running = inner.running;
        let cold = inner.is_cold();
        inner.collapsed = cold && (inner.collapsed || running > self.profile.bearable);
        let collapsed = inner.collapsed;
        let sample = self.profile.latency.sample(self.profile.seed, run.shard, &run.body);
        let cancelled = Arc::new(Notify::new());
        inner.attempts.insert(run.attempt.clone(), Arc::clone(&cancelled));
        self.log.count(self.name(), |c| {
            c.max_concurrent = c.max_concurrent.max(running);
            c.max_cold = c.max_cold.max(if cold { running } else { 0 });
            c.collapsed += u64::from(collapsed);
        });
        let entry = self.log.start(self.execution(run));
        let time = if collapsed { sample * COLLAPSE_FACTOR } else { sample };
        let attempt = run.attempt.clone();
        let outcome = Outcome::Abandoned;
        Ok(Slot { leaf: Arc::clone(self), attempt, cancelled, time, entry, outcome })
    }

    fn execution(&self, run: &RunRequest) -> Execution {
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

/// A connection that counts against the limit.
#[derive(Debug)]
pub(crate) struct ConnectionGuard(Arc<Leaf>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.inner.lock().connections -= 1;
    }
}

/// A slot taken by one execution; dropping it frees the slot and logs the outcome.
#[derive(Debug)]
pub(crate) struct Slot {
    leaf: Arc<Leaf>,
    attempt: String,
    pub(crate) cancelled: Arc<Notify>,
    pub(crate) time: Duration,
    entry: Entry,
    outcome: Outcome,
}

impl Slot {
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
        self.leaf.log.finish(self.entry, self.outcome);
    }
}
