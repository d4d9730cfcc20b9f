//! Priority queues of the queries that wait for a free slot at an endpoint.

use super::endpoint::EndpointKey;
use super::time::Time;
use indexmap::IndexMap;
use std::collections::BTreeSet;

/// Sort key of a waiting query: the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Urgency {
    /// Priority of the caller's class.
    pub priority: u8,
    /// Time by which the answer is due.
    pub deadline: Time,
    /// Serial number of the query, so that no two keys are equal.
    pub serial: u64,
}

/// Waiting queries by endpoint.
#[derive(Debug, Default)]
pub struct WaitQueues {
    queues: IndexMap<EndpointKey, BTreeSet<Urgency>>,
}

impl WaitQueues {
    /// Adds a query to an endpoint's queue.
    pub fn push(&mut self, endpoint: EndpointKey, query: Urgency) {
        self.queues.entry(endpoint).or_default().insert(query);
    }

    /// Removes a query from an endpoint's queue.
    pub fn remove(&mut self, endpoint: EndpointKey, query: Urgency) {
        if let Some(queue) = self.queues.get_mut(&endpoint) {
            queue.remove(&query);
            self.drop_if_empty(endpoint);
        }
    }

    /// Removes and returns the most urgent query of an endpoint's queue.
    pub fn pop(&mut self, endpoint: EndpointKey) -> Option<Urgency> {
        let first = self.queues.get_mut(&endpoint)?.pop_first();
        self.drop_if_empty(endpoint);
        first
    }

    /// Whether any query waits for an endpoint.
    pub fn has_waiters(&self, endpoint: EndpointKey) -> bool {
        self.queues.contains_key(&endpoint)
    }

    /// Number of endpoints with waiting queries.
    pub fn len(&self) -> usize {
        self.queues.len()
    }

    /// Whether no query waits.
    pub fn is_empty(&self) -> bool {
        self.queues.is_empty()
    }

    fn drop_if_empty(&mut self, endpoint: EndpointKey) {
        if self.queues.get(&endpoint).is_some_and(BTreeSet::is_empty) {
            self.queues.swap_remove(&endpoint);
        }
    }
}
