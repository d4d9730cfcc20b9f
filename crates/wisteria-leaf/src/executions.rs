//! The log of executions, shared by all leaves of a process.

use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// How an execution ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Still in a slot.
    Running,
    /// Finished.
    Ran,
    /// Stopped early by a cancellation.
    Cancelled,
    /// Stopped early at its deadline.
    Deadline,
    /// Stopped early because the connection or the leaf went away.
    Abandoned,
}

/// One execution: a request that got a slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Name of the attempt.
    pub attempt: String,
    /// `search` or `order`.
    pub kind: String,
    /// Hash of the body, in hexadecimal.
    pub body: String,
    /// Id that an order names in its body.
    pub id: Option<String>,
    /// Idempotency key, if the request carried one.
    pub key: Option<String>,
    /// Collection it ran on.
    pub collection: String,
    /// Snapshot it ran on.
    pub snapshot: String,
    /// Shard it ran on.
    pub shard: u32,
    /// Leaf that ran it.
    pub leaf: String,
    /// How it ended.
    pub outcome: Outcome,
}

/// What one leaf has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Requests that got a slot.
    pub executions: u64,
    /// Requests refused before they ran.
    pub refused: u64,
    /// Those of them that found no free slot.
    pub busy: u64,
    /// Those of them whose deadline or cancellation came first.
    pub late: u64,
    /// Executions that started while the leaf was collapsed.
    pub collapsed: u64,
    /// Most executions at once.
    pub max_concurrent: u32,
    /// Most executions at once during a cold start.
    pub max_cold: u32,
    /// Most connections served at once.
    pub max_connections: u32,
    /// Connections closed for being over the limit.
    pub extra_connections: u64,
}

/// The counters of all leaves and the list of executions.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Executions {
    /// Executions of all leaves together.
    pub total: u64,
    /// Counters by name of leaf.
    pub leaves: IndexMap<String, Counters>,
    /// Every execution in the order of their starts.
    pub executions: Vec<Execution>,
}

/// Place of an execution in the log; stale after a reset.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Entry {
    epoch: u64,
    index: usize,
}

#[derive(Debug, Default)]
struct Inner {
    epoch: u64,
    log: Executions,
}

/// The shared log.
#[derive(Debug, Default)]
pub(crate) struct ExecutionLog(Mutex<Inner>);

impl ExecutionLog {
    pub(crate) fn start(&self, execution: Execution) -> Entry {
        let mut inner = self.0.lock();
        inner.log.total += 1;
        inner.log.leaves.entry(execution.leaf.clone()).or_default().executions += 1;
        inner.log.executions.push(execution);
        Entry { epoch: inner.epoch, index: inner.log.executions.len() - 1 }
    }

    pub(crate) fn finish(&self, entry: Entry, outcome: Outcome) {
        let mut inner = self.0.lock();
        if entry.epoch != inner.epoch {
            return;
        }
        if let Some(execution) = inner.log.executions.get_mut(entry.index) {
            execution.outcome = outcome;
        }
    }

    pub(crate) fn count(&self, leaf: &str, update: impl FnOnce(&mut Counters)) {
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

    /// The counters alone, with an empty list.
    pub(crate) fn counters(&self) -> Executions {
        let inner = self.0.lock();
        Executions {
            total: inner.log.total,
            leaves: inner.log.leaves.clone(),
            executions: Vec::new(),
        }
    }
}
