//! Log of executions, shared by all leaves of a process.

use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// How an execution ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Still running.
    Running,
    /// Completed.
    Ran,
    /// Stopped early by a cancellation.
    Cancelled,
    /// Stopped early at its deadline.
    Deadline,
    /// Stopped early because the connection closed or the leaf died.
    Abandoned,
}

/// An execution: a request that was admitted to a slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Attempt id from the request.
    pub attempt: String,
    /// `search` or `order`.
    pub kind: String,
    /// Hash of the body, in hexadecimal.
    pub body: String,
    /// Order id from the body, for orders.
    pub id: Option<String>,
    /// Idempotency key from the request, if present.
    pub key: Option<String>,
    /// Requested collection.
    pub collection: String,
    /// Requested snapshot.
    pub snapshot: String,
    /// Requested shard.
    pub shard: u32,
    /// Name of the leaf that ran the request.
    pub leaf: String,
    /// How it ended.
    pub outcome: Outcome,
}

/// Counters of one leaf.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Requests admitted to a slot.
    pub executions: u64,
    /// Requests refused before execution.
    pub refused: u64,
    /// Requests refused because no slot was free.
    pub busy: u64,
    /// Requests refused because of an expired deadline or an earlier cancellation.
    pub late: u64,
    /// Executions that started in a collapsed (overloaded) leaf and therefore ran slower.
    pub collapsed: u64,
    /// Highest number of concurrent executions.
    pub max_concurrent: u32,
    /// Highest number of concurrent executions during a cold start.
    pub max_cold: u32,
    /// Highest number of open connections.
    pub max_connections: u32,
    /// Connections closed because the limit was reached.
    pub extra_connections: u64,
}

/// Counters of all leaves and the list of executions.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Executions {
    /// Total executions of all leaves.
    pub total: u64,
    /// Counters by leaf name.
    pub leaves: IndexMap<String, Counters>,
    /// Executions in start order.
    pub executions: Vec<Execution>,
}

/// Handle of an execution in the log; invalid after a reset.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExecutionHandle {
    epoch: u64,
    index: usize,
}

#[derive(Debug, Default)]
struct Inner {
    /// Incremented by each reset.
    epoch: u64,
    log: Executions,
}

/// Execution log that all leaves of a process write to.
#[derive(Debug, Default)]
pub(crate) struct ExecutionLog(Mutex<Inner>);

impl ExecutionLog {
    pub(crate) fn start(&self, execution: Execution) -> ExecutionHandle {
        let mut inner = self.0.lock();
        inner.log.total += 1;
        inner.log.leaves.entry(execution.leaf.clone()).or_default().executions += 1;
        inner.log.executions.push(execution);
        ExecutionHandle { epoch: inner.epoch, index: inner.log.executions.len() - 1 }
    }

    pub(crate) fn finish(&self, handle: ExecutionHandle, outcome: Outcome) {
        let mut inner = self.0.lock();
        if handle.epoch != inner.epoch {
            return;
        }
        if let Some(execution) = inner.log.executions.get_mut(handle.index) {
            execution.outcome = outcome;
        }
    }

    pub(crate) fn update_counters(&self, leaf: &str, update: impl FnOnce(&mut Counters)) {
        update(self.0.lock().log.leaves.entry(leaf.to_owned()).or_default());
    }

    pub(crate) fn reset(&self) {
        let mut inner = self.0.lock();
        inner.epoch += 1;
        inner.log = Executions::default();
    }

    pub(crate) fn snapshot(&self) -> Executions {
        self.0.lock().log.clone()
    }

    /// Counters with an empty list of executions.
    pub(crate) fn counters(&self) -> Executions {
        let inner = self.0.lock();
        Executions {
            total: inner.log.total,
            leaves: inner.log.leaves.clone(),
            executions: Vec::new(),
        }
    }
}
