//! Opens one connection to each address on demand: connects, exchanges hellos, and retries with
//! backoff. An unused connection closes by the idle timeout.

use super::hub::{Hub, Peer};
use super::wire::{HELLO_MAX_BYTES, Hello};
use super::{HANDSHAKE_TIMEOUT, peer_identity};
use crate::core::message;
use crate::prelude::*;
use crate::util::tls::SERVER_NAME;
use quinn::Connection;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Delay before the first retry.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
/// Maximum delay before a retry.
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Opens connections to an address on demand, until its host moves to another address. A seed has
/// no name yet: it is dialed at once and until it answers.
pub async fn run(hub: Arc<Hub>, name: Option<String>, address: SocketAddr) {
    let mut backoff = BACKOFF_MIN;
    let mut known_peer = name.as_deref().and_then(|n| hub.peer(n));
    loop {
        if let Some(peer) = &known_peer {
            peer.connection_needed().await;
        }
        if name.as_deref().is_some_and(|n| hub.has_moved(n, address)) {
            return hub.remove_dialer(address);
        }
        match connect(&hub, address).await {
            Ok(Some((peer, link))) => {
                backoff = BACKOFF_MIN;
                hub.traffic.track(&link);
                offer_connection(&hub, &peer, link).await;
                known_peer = Some(peer);
                continue;
            }
            Ok(None) => return,
            Err(e) => log::debug!("could not connect to {address}: {e:#}"),
        }
        sleep(backoff.mul_f64(rand::random_range(0.5..1.0))).await;
        backoff = (backoff * 2).min(BACKOFF_MAX);
    }
}

/// Lets senders use a connection until it closes.
async fn offer_connection(hub: &Hub, peer: &Peer, link: Connection) {
    let id = link.stable_id();
    peer.link.send_replace(Some(link.clone()));
    // The host may have been blocked since the exchange of hellos.
    hub.close_blocked();
    let cause = link.closed().await;
    log::debug!("connection to {} closed: {cause}", link.remote_address());
    peer.link.send_if_modified(|l| l.take_if(|l| l.stable_id() == id).is_some());
}

/// Connects and exchanges hellos; `None` if the address is this host's own.
async fn connect(hub: &Arc<Hub>, address: SocketAddr) -> Result<Option<(Arc<Peer>, Connection)>> {
    let endpoint = hub.endpoint.get().context("the socket is not bound")?;
    let connecting = endpoint.connect(address, SERVER_NAME)?;
    let link = timeout(HANDSHAKE_TIMEOUT.to_std(), connecting)
        .await
        .context("the handshake timed out")??;
    let id = peer_identity(&link)?;
    if id.name == hub.settings.host {
        link.close(0u32.into(), b"own address");
        return Ok(None);
    }
    let hello = timeout(HANDSHAKE_TIMEOUT.to_std(), exchange_hellos(hub, &link))
        .await
        .context("the host sent no hello in time")??;
    let peer = hub.accept_hello(&id, hello, link.remote_address())?;
    Ok(Some((peer, link)))
}

async fn exchange_hellos(hub: &Hub, link: &Connection) -> Result<Hello> {
    let (mut tx, mut rx) = link.open_bi().await?;
    tx.write_all(&message::encode(&hub.hello())).await?;
    tx.finish()?;
    Ok(Hello::read(&rx.read_to_end(HELLO_MAX_BYTES).await?)?)
}
