//! Announcements, the heartbeat of a leaf.

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

const PERIOD: Duration = Duration::from_millis(500);
const SEND_TIMEOUT: Duration = Duration::from_millis(400);

/// State that an endpoint announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// In cold start.
    Starting,
    /// Ready for full load.
    Warm,
    /// Leaving.
    Draining,
}

/// One shard of one snapshot that an endpoint holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// Collection.
    pub collection: String,
    /// Snapshot of the collection.
    pub snapshot: String,
    /// Shard of the snapshot.
    pub shard: u32,
    /// Shards of the snapshot in all.
    pub shards: u32,
}

/// Body of `POST /v1/announce`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Host it runs on.
    pub host: String,
    /// Where it serves.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Service.
    pub service: String,
    /// Rises with each start.
    pub incarnation: u64,
    /// Rises with each announcement.
    pub sequence: u64,
    /// State.
    pub state: State,
    /// Requests it runs at once.
    pub slots: u32,
    /// Connections it serves at once.
    pub connections: u32,
    /// Requests it bears at once in cold start.
    pub bearable: u32,
    /// What it holds.
    pub holdings: Vec<Holding>,
}

/// Announces the leaf to one of the entry hosts, and takes the next when one fails.
pub(crate) async fn announce(leaf: Arc<Leaf>, entries: Vec<SocketAddr>) {
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut current = 0;
    while !entries.is_empty() {
        ticks.tick().await;
        let Some(announcement) = leaf.announcement() else { continue };
        for _ in 0..entries.len() {
            let Err(error) = send(entries[current], &announcement).await else { break };
            log::debug!("{}: announcing to {}: {error:#}", leaf.name(), entries[current]);
            current = (current + 1) % entries.len();
        }
    }
}

async fn send(entry: SocketAddr, announcement: &Announcement) -> Result<()> {
    timeout(SEND_TIMEOUT, post(entry, announcement)).await.context("timeout")?
}

async fn post(entry: SocketAddr, announcement: &Announcement) -> Result<()> {
    let stream = TcpStream::connect(entry).await.context("connect")?;
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
    ensure!(status.is_success(), "status {status}");
    Ok(())
}
