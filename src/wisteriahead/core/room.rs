//! Who goes first when an endpoint has room again.

use super::endpoint::EndpointKey;
use super::time::Time;
use indexmap::IndexMap;
use std::collections::BTreeSet;

/// How urgent a query is: the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Urgency {
    /// Priority of the caller's class.
    pub priority: u8,
    /// Time by which the answer is due.
    pub deadline: Time,
    /// Number of the query, so that no two are equal.
    pub serial: u64,
}

/// Queries that wait for room, by endpoint.
#[derive(Debug, Default)]
pub struct Room {
    queues: IndexMap<EndpointKey, BTreeSet<Urgency>>,
}

impl Room {
    /// Has a query wait for an endpoint.
    pub fn wait(&mut self, at: EndpointKey, query: Urgency) {
        self.queues.entry(at).or_default().insert(query);
    }

    /// Forgets that a query waits for an endpoint.
    pub fn forget(&mut self, at: EndpointKey, query: Urgency) {
        if let Some(queue) = self.queues.get_mut(&at) {
            queue.remove(&query);
            self.drop_if_empty(at);
        }
    }

    /// Takes the most urgent query that waits for an endpoint.
    pub fn freed(&mut self, at: EndpointKey) -> Option<Urgency> {
        let first = self.queues.get_mut(&at)?.pop_first();
        self.drop_if_empty(at);
        first
    }

    /// Whether a query waits for an endpoint.
    pub fn is_waited_for(&self, at: EndpointKey) -> bool {
        self.queues.contains_key(&at)
    }

    /// Endpoints that are waited for.
    pub fn len(&self) -> usize {
        self.queues.len()
    }

    /// Whether no query waits.
    pub fn is_empty(&self) -> bool {
        self.queues.is_empty()
    }

    fn drop_if_empty(&mut self, at: EndpointKey) {
        if self.queues.get(&at).is_some_and(BTreeSet::is_empty) {
            self.queues.swap_remove(&at);
        }
    }
}
