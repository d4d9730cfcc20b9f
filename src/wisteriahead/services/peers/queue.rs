//! Bounded queue of one-way messages that drops the oldest when full.

use parking_lot::Mutex;
use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::Notify;

/// Maximum number of messages queued for one host.
pub const QUEUE_MAX: usize = 1024;
/// Maximum number of bytes queued for one host.
pub const QUEUE_MAX_BYTES: usize = 16 << 20;

/// Messages queued for one host.
#[derive(Default)]
pub struct Queue {
    items: Mutex<Items>,
    ready: Notify,
    dropped: AtomicU64,
}

#[derive(Default)]
struct Items {
    messages: VecDeque<Vec<u8>>,
    bytes: usize,
}

impl Queue {
    /// Adds a message; drops the oldest ones while a limit is exceeded.
    pub fn push(&self, message: Vec<u8>) {
        let mut items = self.items.lock();
        items.bytes += message.len();
        items.messages.push_back(message);
        while items.messages.len() > QUEUE_MAX || items.bytes > QUEUE_MAX_BYTES {
            let Some(old) = items.messages.pop_front() else { break };
            items.bytes -= old.len();
            self.count_dropped();
        }
        drop(items);
        self.ready.notify_one();
    }

    /// Waits for the next message.
    pub async fn pop(&self) -> Vec<u8> {
        loop {
            if let Some(message) = self.try_pop() {
                return message;
            }
            self.ready.notified().await;
        }
    }

    /// Counts a message that was dropped.
    pub fn count_dropped(&self) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
    }

    /// Number of messages dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    fn try_pop(&self) -> Option<Vec<u8>> {
        let mut items = self.items.lock();
        let message = items.messages.pop_front()?;
        items.bytes -= message.len();
        Some(message)
    }
}
