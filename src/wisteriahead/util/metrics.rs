//! Metrics, sent over UDP in the statsd format; disabled unless an address is set.

use anyhow::{Context as _, Result};
use cadence::{
    Counted, CountedExt as _, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, Timed,
    UdpMetricSink,
};
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

/// Prefix of every metric's name.
const PREFIX: &str = "wisteriahead";
/// Maximum number of metrics queued for sending; further ones are dropped.
const QUEUE_MAX: usize = 4_096;

/// Sends metrics.
#[derive(Clone)]
pub struct Metrics {
    client: std::sync::Arc<StatsdClient>,
    enabled: bool,
}

impl Metrics {
    /// Sends metrics to `address`, or discards them if there is none.
    ///
    /// # Errors
    ///
    /// Fails if no local UDP socket can be opened.
    pub fn new(address: Option<SocketAddr>) -> Result<Self> {
        let client = match address {
            None => StatsdClient::from_sink(PREFIX, NopMetricSink),
            Some(to) => StatsdClient::from_sink(PREFIX, sink(to)?),
        };
        Ok(Self { client: std::sync::Arc::new(client), enabled: address.is_some() })
    }

    /// Whether metrics are sent anywhere.
    pub const fn is_enabled(&self) -> bool {
        self.enabled
    }

    /// Adds `n` to a counter.
    pub fn count(&self, name: &str, n: i64) {
        // Metrics are best effort and dropped when the queue is full.
        let _ = self.client.count(name, n);
    }

    /// Adds 1 to a counter.
    pub fn incr(&self, name: &str) {
        let _ = self.client.incr(name);
    }

    /// Records a duration.
    pub fn time(&self, name: &str, t: Duration) {
        let _ = self.client.time(name, t);
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, v: u64) {
        let _ = self.client.gauge(name, v);
    }
}

fn sink(to: SocketAddr) -> Result<QueuingMetricSink> {
    let local = if to.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
    let socket = UdpSocket::bind(local).context("could not open a UDP socket for metrics")?;
    socket
        .set_nonblocking(true)
        .context("could not set the UDP socket for metrics non-blocking")?;
    let udp = UdpMetricSink::from(to, socket).context("could not use the metrics address")?;
    Ok(QueuingMetricSink::with_capacity(udp, QUEUE_MAX))
}
