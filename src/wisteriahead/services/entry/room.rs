//! Wakes the queries that wait for room at an endpoint, the most urgent first.

use crate::prelude::*;
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::Notify;

/// Order in which queries are woken: priority, deadline, then arrival.
pub type Urgency = (u8, Time, u64);

/// A query that can wait for room.
#[derive(Default)]
pub struct Waiter {
    notify: Notify,
    freed: Mutex<Vec<EndpointKey>>,
}

impl Waiter {
    /// Completes when an endpoint that the query waits for has room.
    pub async fn woken(&self) {
        self.notify.notified().await;
    }

    /// Takes the endpoints that had room since the last call.
    pub fn freed(&self) -> Vec<EndpointKey> {
        std::mem::take(&mut *self.freed.lock())
    }
}

type Queue = BTreeMap<Urgency, Arc<Waiter>>;

/// The queries that wait, by endpoint.
#[derive(Default)]
pub struct Room {
    queues: Mutex<IndexMap<EndpointKey, Queue>>,
    waiting: AtomicUsize,
}

impl Room {
    /// Has a query wait for an endpoint.
    pub fn wait(&self, at: EndpointKey, urgency: Urgency, waiter: &Arc<Waiter>) {
        let mut queues = self.queues.lock();
        queues.entry(at).or_default().insert(urgency, Arc::clone(waiter));
        self.waiting.store(queues.len(), Ordering::Release);
    }

    /// Forgets that a query waits for an endpoint.
    pub fn forget(&self, at: EndpointKey, urgency: Urgency) {
        self.take(at, |queue| drop(queue.remove(&urgency)));
    }

    /// Wakes the most urgent query that waits for an endpoint.
    pub fn freed(&self, at: EndpointKey) {
        if self.waiting.load(Ordering::Acquire) == 0 {
            return;
        }
        if let Some((_, waiter)) = self.take(at, BTreeMap::pop_first).flatten() {
            waiter.freed.lock().push(at);
            waiter.notify.notify_one();
        }
    }

    fn take<T>(&self, at: EndpointKey, f: impl FnOnce(&mut Queue) -> T) -> Option<T> {
        let mut queues = self.queues.lock();
        let queue = queues.get_mut(&at)?;
        let taken = f(queue);
        if queue.is_empty() {
            queues.swap_remove(&at);
        }
        self.waiting.store(queues.len(), Ordering::Release);
        Some(taken)
    }
}
