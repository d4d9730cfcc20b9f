//! Queries that wait for a free slot at an endpoint; the most urgent one is woken first.

use crate::core::wait_queue::{Urgency, WaitQueues};
use crate::prelude::*;
use parking_lot::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::Notify;

/// Notifies one query of free slots.
#[derive(Default)]
pub struct Waiter {
    notify: Notify,
    freed: Mutex<Vec<EndpointKey>>,
}

impl Waiter {
    /// Waits until an endpoint that the query waits for has a free slot.
    pub async fn notified(&self) {
        self.notify.notified().await;
    }

    /// Takes the endpoints at which a slot was freed for this query since the last call.
    pub fn take_freed(&self) -> Vec<EndpointKey> {
        std::mem::take(&mut *self.freed.lock())
    }
}

#[derive(Default)]
struct State {
    queues: WaitQueues,
    waiters: IndexMap<u64, Arc<Waiter>>,
}

/// The waiting queries, by endpoint.
#[derive(Default)]
pub struct SlotQueue {
    state: Mutex<State>,
    /// Length of the queues, readable without the lock.
    waiting: AtomicUsize,
}

impl SlotQueue {
    /// Adds a query to the queue of an endpoint.
    pub fn enqueue(&self, at: EndpointKey, query: Urgency, waiter: &Arc<Waiter>) {
        let mut s = self.state.lock();
        s.queues.push(at, query);
        s.waiters.entry(query.serial).or_insert_with(|| Arc::clone(waiter));
        self.waiting.store(s.queues.len(), Ordering::Release);
    }

    /// Removes a query from the queue of an endpoint.
    pub fn dequeue(&self, at: EndpointKey, query: Urgency) {
        let mut s = self.state.lock();
        s.queues.remove(at, query);
        self.waiting.store(s.queues.len(), Ordering::Release);
    }

    /// Whether any query waits for a slot at an endpoint.
    pub fn has_waiters(&self, at: EndpointKey) -> bool {
        self.waiting.load(Ordering::Acquire) > 0 && self.state.lock().queues.has_waiters(at)
    }

    /// Drops the waiter of a finished query.
    pub fn remove_waiter(&self, query: Urgency) {
        self.state.lock().waiters.swap_remove(&query.serial);
    }

    /// Wakes the most urgent query that waits for an endpoint, which has a free slot now.
    pub fn slot_freed(&self, at: EndpointKey) {
        if self.waiting.load(Ordering::Acquire) == 0 {
            return;
        }
        let mut s = self.state.lock();
        let next = s.queues.pop(at);
        self.waiting.store(s.queues.len(), Ordering::Release);
        let waiter = next.and_then(|q| s.waiters.get(&q.serial).cloned());
        drop(s);
        if let Some(waiter) = waiter {
            waiter.freed.lock().push(at);
            waiter.notify.notify_one();
        }
    }
}
