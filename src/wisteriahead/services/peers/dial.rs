//! Opens one connection to each address on demand: dials, says hello, and dials again with
//! backoff. A connection that nobody uses closes by itself.

use super::hub::{Hub, Peer};
use super::wire::{HELLO_MAX_BYTES, Hello};
use super::{HANDSHAKE_TIMEOUT, holder};
use crate::core::message;
use crate::prelude::*;
use crate::util::tls::SERVER_NAME;
use quinn::Connection;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// First wait before dialling again.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
/// Longest wait before dialling again.
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Opens connections to an address on demand until its host moves; seeds have no name and
/// are dialled at once, until they answer.
pub async fn keep(hub: Arc<Hub>, name: Option<String>, address: SocketAddr) {
    let mut backoff = BACKOFF_MIN;
    let mut known = name.as_deref().and_then(|n| hub.peer(n));
    loop {
        if let Some(peer) = &known {
            peer.wanted().await;
        }
        if name.as_deref().is_some_and(|n| hub.moved(n, address)) {
            return hub.hang_up(address);
        }
        match connect(&hub, address).await {
            Ok(Some((peer, link))) => {
                backoff = BACKOFF_MIN;
                hub.traffic.follow(&link);
                hold(&hub, &peer, link).await;
                known = Some(peer);
                continue;
            }
            Ok(None) => return,
            Err(e) => log::debug!("could not connect to {address}: {e:#}"),
        }
        sleep(backoff.mul_f64(rand::random_range(0.5..1.0))).await;
        backoff = (backoff * 2).min(BACKOFF_MAX);
    }
}

/// Offers the connection to senders until it closes.
async fn hold(hub: &Hub, peer: &Peer, link: Connection) {
    let id = link.stable_id();
    peer.link.send_replace(Some(link.clone()));
    // It may have been shut out since it said hello.
    hub.part();
    let cause = link.closed().await;
    log::debug!("connection to {} closed: {cause}", link.remote_address());
    peer.link.send_if_modified(|l| l.take_if(|l| l.stable_id() == id).is_some());
}

/// Connects and says hello; nothing when the address is this host's own.
async fn connect(hub: &Arc<Hub>, address: SocketAddr) -> Result<Option<(Arc<Peer>, Connection)>> {
    let endpoint = hub.endpoint.get().context("the socket is not bound")?;
    let connecting = endpoint.connect(address, SERVER_NAME)?;
    let link = timeout(HANDSHAKE_TIMEOUT.to_std(), connecting).await.context("no answer")??;
    let id = holder(&link)?;
    if id.name == hub.settings.host {
        link.close(0u32.into(), b"own address");
        return Ok(None);
    }
    let hello =
        timeout(HANDSHAKE_TIMEOUT.to_std(), greet(hub, &link)).await.context("no hello")??;
    let peer = hub.meet(&id, hello, link.remote_address())?;
    Ok(Some((peer, link)))
}

async fn greet(hub: &Hub, link: &Connection) -> Result<Hello> {
    let (mut tx, mut rx) = link.open_bi().await?;
    tx.write_all(&message::encode(&hub.hello())).await?;
    tx.finish()?;
    Ok(Hello::read(&rx.read_to_end(HELLO_MAX_BYTES).await?)?)
}
