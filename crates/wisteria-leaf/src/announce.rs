//! Announcements: heartbeats that a leaf sends to entry hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result, ensure};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;
use tokio::time::{MissedTickBehavior, interval, timeout};

use crate::leaf::Leaf;

const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
const SEND_TIMEOUT: Duration = Duration::from_millis(400);

/// Lifecycle state in an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Cold start in progress; takes limited load.
    Starting,
    /// Ready for full load.
    Warm,
    /// Refuses new requests and finishes running ones.
    Draining,
}

/// A shard of a snapshot that an endpoint holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// Name of the collection.
    pub collection: String,
    /// Name of the collection's snapshot.
    pub snapshot: String,
    /// Index of the shard in the snapshot.
    pub shard: u32,
    /// Total number of shards in the snapshot.
    pub shards: u32,
}

/// Body of `POST /v1/announce`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Host that it runs on.
    pub host: String,
    /// Address that serves requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Name of the service.
    pub service: String,
    /// Number that increases with each start.
    pub incarnation: u64,
    /// Number that increases with each announcement.
    pub sequence: u64,
    /// Current lifecycle state.
    pub state: State,
    /// Maximum concurrent requests.
    pub slots: u32,
    /// Maximum open connections.
    pub connections: u32,
    /// Maximum concurrent requests during a cold start without collapse.
    pub bearable: u32,
    /// Shards of snapshots that it can search.
    pub holdings: Vec<Holding>,
}

/// Announces the leaf periodically to one entry host, and switches to the next one on failure.
pub(crate) async fn announce_periodically(leaf: Arc<Leaf>, entries: Vec<SocketAddr>) {
    let mut ticks = interval(ANNOUNCE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut current = 0;
    while !entries.is_empty() {
        ticks.tick().await;
        let Some(announcement) = leaf.next_announcement() else { continue };
        for _ in 0..entries.len() {
            let Err(error) = send(entries[current], &announcement).await else { break };
            log::debug!("{}: announcement to {} failed: {error:#}", leaf.name(), entries[current]);
            current = (current + 1) % entries.len();
        }
    }
}

async fn send(entry: SocketAddr, announcement: &Announcement) -> Result<()> {
    timeout(SEND_TIMEOUT, post(entry, announcement)).await.context("timed out")?
}

async fn post(entry: SocketAddr, announcement: &Announcement) -> Result<()> {
    let stream = TcpStream::connect(entry).await.context("could not connect")?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let driver = tokio::spawn(connection);
    let request = Request::post("/v1/announce")
        .header("host", entry.to_string())
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(serde_json::to_vec(announcement)?)))?;
    let response = sender.send_request(request).await;
    driver.abort();
    let status = response?.status();
    ensure!(status.is_success(), "unexpected status {status}");
    Ok(())
}
