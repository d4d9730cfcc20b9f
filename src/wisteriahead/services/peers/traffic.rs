//! Metrics of the traffic between hosts: bytes of messages by topic, and bytes and system calls of the
//! connections.

use crate::core::message::Topic;
use crate::core::peers::clock::Age;
use crate::prelude::*;
use crate::util::metrics::Metrics;
use parking_lot::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Time between two reports of the metrics.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Lateness from which a message counts as delayed.
pub const DELAYED_FROM: Span = Span::millis(20);

/// Bytes of the messages of one topic since the last report.
#[derive(Clone, Copy, Default)]
struct TopicBytes {
    sent: i64,
    received: i64,
}

/// Traffic since the last report; nothing is counted unless metrics are set.
#[derive(Default)]
pub struct Traffic {
    metrics: OnceLock<Metrics>,
    topics: Mutex<IndexMap<Topic, TopicBytes>>,
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
    writes: AtomicU64,
    reads: AtomicU64,
    delayed: AtomicU64,
    expired: AtomicU64,
    withdrawn: AtomicU64,
}

impl Traffic {
    /// Sets where to report the traffic, and starts counting.
    pub fn set_metrics(&self, metrics: Metrics) {
        // Metrics that were set before are kept.
        let _ = self.metrics.set(metrics);
    }

    /// Counts a system call that wrote to a connection.
    pub fn count_write(&self, bytes: usize) {
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        self.writes.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a system call that read from a connection.
    pub fn count_read(&self, bytes: usize) {
        self.received_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        self.reads.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts the age of a timed message, and whether it came too late to be of use.
    pub fn count_age(&self, age: Age, expired: bool) {
        self.delayed.fetch_add(u64::from(age.least >= DELAYED_FROM), Ordering::Relaxed);
        self.expired.fetch_add(u64::from(expired), Ordering::Relaxed);
    }

    /// Counts a request that was taken back before it was sent.
    pub fn count_withdrawn(&self) {
        self.withdrawn.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a message that is to be sent.
    pub fn count_sent(&self, topic: Topic, bytes: usize) {
        self.count(topic, |b| b.sent += bytes as i64);
    }

    /// Counts a received message.
    pub fn count_received(&self, topic: Topic, bytes: usize) {
        self.count(topic, |b| b.received += bytes as i64);
    }

    fn count(&self, topic: Topic, add: impl FnOnce(&mut TopicBytes)) {
        if self.metrics.get().is_some() {
            add(self.topics.lock().entry(topic).or_default());
        }
    }

    /// Reports the traffic periodically; returns at once if no metrics are set.
    pub async fn report(&self) {
        let Some(metrics) = self.metrics.get() else { return };
        let mut tick = tokio::time::interval(REPORT_PERIOD);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tick.tick().await;
            for (topic, bytes) in std::mem::take(&mut *self.topics.lock()) {
                report_topic(metrics, topic, bytes);
            }
            self.report_connections(metrics);
        }
    }

    fn report_connections(&self, metrics: &Metrics) {
        let taken = |count: &AtomicU64| count.swap(0, Ordering::Relaxed) as i64;
        metrics.count("peers.sent_bytes", taken(&self.sent_bytes));
        metrics.count("peers.received_bytes", taken(&self.received_bytes));
        metrics.count("peers.writes", taken(&self.writes));
        metrics.count("peers.reads", taken(&self.reads));
        metrics.count("peers.messages_delayed", taken(&self.delayed));
        metrics.count("peers.messages_expired", taken(&self.expired));
        metrics.count("peers.requests_withdrawn", taken(&self.withdrawn));
    }
}

fn report_topic(metrics: &Metrics, topic: Topic, bytes: TopicBytes) {
    let TopicBytes { sent, received } = bytes;
    log::debug!(
        event = "peer-traffic", topic = topic.name(), sent, received;
        "sent {sent} and received {received} bytes of topic {}", topic.name()
    );
    metrics.count(
        match topic {
            Topic::Member => "peers.member.sent_bytes",
            Topic::Registry => "peers.registry.sent_bytes",
            Topic::Allowance => "peers.allowance.sent_bytes",
            Topic::Control => "peers.control.sent_bytes",
            Topic::Orders => "peers.orders.sent_bytes",
            Topic::Quarantine => "peers.quarantine.sent_bytes",
            Topic::Relay => "peers.relay.sent_bytes",
        },
        bytes.sent,
    );
    metrics.count(
        match topic {
            Topic::Member => "peers.member.received_bytes",
            Topic::Registry => "peers.registry.received_bytes",
            Topic::Allowance => "peers.allowance.received_bytes",
            Topic::Control => "peers.control.received_bytes",
            Topic::Orders => "peers.orders.received_bytes",
            Topic::Quarantine => "peers.quarantine.received_bytes",
            Topic::Relay => "peers.relay.received_bytes",
        },
        bytes.received,
    );
}
