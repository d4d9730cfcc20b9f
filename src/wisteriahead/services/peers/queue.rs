//! A bounded queue of one-way messages that drops the oldest when full.

use parking_lot::Mutex;
use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::Notify;

/// Most messages that wait for one host.
pub const QUEUE_MAX: usize = 1024;
/// Most bytes that wait for one host.
pub const QUEUE_MAX_BYTES: usize = 16 << 20;

/// Messages that wait for one host.
#[derive(Default)]
pub struct Queue {
    items: Mutex<Items>,
    ready: Notify,
    dropped: AtomicU64,
}

#[derive(Default)]
struct Items {
    list: VecDeque<Vec<u8>>,
    bytes: usize,
}

impl Queue {
    /// Adds a message; the oldest go when a limit is passed.
    pub fn push(&self, message: Vec<u8>) {
        let mut items = self.items.lock();
        items.bytes += message.len();
        items.list.push_back(message);
        while items.list.len() > QUEUE_MAX || items.bytes > QUEUE_MAX_BYTES {
            let Some(old) = items.list.pop_front() else { break };
            items.bytes -= old.len();
            self.lost();
        }
        drop(items);
        self.ready.notify_one();
    }

    /// Waits for the next message.
    pub async fn pop(&self) -> Vec<u8> {
        loop {
            if let Some(message) = self.take() {
                return message;
            }
            self.ready.notified().await;
        }
    }

    /// Counts a message that was lost.
    pub fn lost(&self) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
    }

    /// Number of messages lost so far.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    fn take(&self) -> Option<Vec<u8>> {
        let mut items = self.items.lock();
        let message = items.list.pop_front()?;
        items.bytes -= message.len();
        Some(message)
    }
}
