//! Wakes the queries that wait for room at an endpoint, the most urgent first.

use crate::core::wait_queue::{Urgency, WaitQueues};
use crate::prelude::*;
use parking_lot::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::Notify;

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

#[derive(Default)]
struct State {
    order: WaitQueues,
    waiters: IndexMap<u64, Arc<Waiter>>,
}

/// The queries that wait, by endpoint.
#[derive(Default)]
pub struct Room {
    state: Mutex<State>,
    waiting: AtomicUsize,
}

impl Room {
    /// Has a query wait for an endpoint.
    pub fn wait(&self, at: EndpointKey, query: Urgency, waiter: &Arc<Waiter>) {
        let mut s = self.state.lock();
        s.order.push(at, query);
        s.waiters.entry(query.serial).or_insert_with(|| Arc::clone(waiter));
        self.waiting.store(s.order.len(), Ordering::Release);
    }

    /// Forgets that a query waits for an endpoint.
    pub fn forget(&self, at: EndpointKey, query: Urgency) {
        let mut s = self.state.lock();
        s.order.remove(at, query);
        self.waiting.store(s.order.len(), Ordering::Release);
    }

    /// Whether a query waits for an endpoint.
    pub fn is_waited_for(&self, at: EndpointKey) -> bool {
        self.waiting.load(Ordering::Acquire) > 0 && self.state.lock().order.has_waiters(at)
    }

    /// Forgets a query that is over.
    pub fn leave(&self, query: Urgency) {
        self.state.lock().waiters.swap_remove(&query.serial);
    }

    /// Wakes the most urgent query that waits for an endpoint.
    pub fn freed(&self, at: EndpointKey) {
        if self.waiting.load(Ordering::Acquire) == 0 {
            return;
        }
        let mut s = self.state.lock();
        let first = s.order.pop(at);
        self.waiting.store(s.order.len(), Ordering::Release);
        let waiter = first.and_then(|q| s.waiters.get(&q.serial).cloned());
        drop(s);
        if let Some(waiter) = waiter {
            waiter.freed.lock().push(at);
            waiter.notify.notify_one();
        }
    }
}
