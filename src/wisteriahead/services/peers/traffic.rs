//! Metrics of the traffic between hosts: bytes of messages by topic, and datagrams that QUIC sends
//! and receives.

use crate::core::message::Topic;
use crate::prelude::*;
use crate::util::metrics::Metrics;
use parking_lot::Mutex;
use quinn::Connection;
use std::sync::OnceLock;
use std::time::Duration;

/// Time between two reports of the metrics.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Bytes of the messages of one topic since the last report.
#[derive(Clone, Copy, Default)]
struct TopicBytes {
    sent: i64,
    received: i64,
}

/// Datagrams of a connection in total, or of several connections since the last report.
#[derive(Clone, Copy, Default)]
struct Datagrams {
    sent: u64,
    sent_bytes: u64,
    received: u64,
    received_bytes: u64,
    /// System calls that sent datagrams.
    writes: u64,
    /// System calls that received datagrams.
    reads: u64,
}

/// An open connection and its totals at the last report.
struct TrackedConnection {
    connection: Connection,
    reported: Datagrams,
}

/// Traffic since the last report; nothing is counted unless metrics are set.
#[derive(Default)]
pub struct Traffic {
    metrics: OnceLock<Metrics>,
    topics: Mutex<IndexMap<Topic, TopicBytes>>,
    links: Mutex<Vec<TrackedConnection>>,
}

impl Traffic {
    /// Sets where to report the traffic, and starts counting.
    pub fn set_metrics(&self, metrics: Metrics) {
        // Metrics that were set before are kept.
        let _ = self.metrics.set(metrics);
    }

    /// Counts the datagrams of a connection from its start until it closes.
    pub fn track(&self, connection: &Connection) {
        if self.metrics.get().is_some() {
            let link = TrackedConnection {
                connection: connection.clone(),
                reported: Datagrams::default(),
            };
            self.links.lock().push(link);
        }
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
            self.report_datagrams(metrics);
        }
    }

    fn report_datagrams(&self, metrics: &Metrics) {
        let mut sum = Datagrams::default();
        self.links.lock().retain_mut(|link| {
            let open = link.connection.close_reason().is_none();
            let now = Datagrams::of(&link.connection);
            sum.add_increase(&link.reported, &now);
            link.reported = now;
            open
        });
        metrics.count("peers.sent_bytes", sum.sent_bytes as i64);
        metrics.count("peers.received_bytes", sum.received_bytes as i64);
        metrics.count("peers.sent_datagrams", sum.sent as i64);
        metrics.count("peers.received_datagrams", sum.received as i64);
        metrics.count("peers.writes", sum.writes as i64);
        metrics.count("peers.reads", sum.reads as i64);
    }
}

impl Datagrams {
    fn of(connection: &Connection) -> Self {
        let stats = connection.stats();
        Self {
            sent: stats.udp_tx.datagrams,
            sent_bytes: stats.udp_tx.bytes,
            received: stats.udp_rx.datagrams,
            received_bytes: stats.udp_rx.bytes,
            writes: stats.udp_tx.ios,
            reads: stats.udp_rx.ios,
        }
    }

    fn add_increase(&mut self, from: &Self, to: &Self) {
        self.sent += to.sent.saturating_sub(from.sent);
        self.sent_bytes += to.sent_bytes.saturating_sub(from.sent_bytes);
        self.received += to.received.saturating_sub(from.received);
        self.received_bytes += to.received_bytes.saturating_sub(from.received_bytes);
        self.writes += to.writes.saturating_sub(from.writes);
        self.reads += to.reads.saturating_sub(from.reads);
    }
}

fn report_topic(metrics: &Metrics, topic: Topic, bytes: TopicBytes) {
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
