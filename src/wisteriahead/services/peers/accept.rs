//! Accepts connections from other hosts and passes their messages and calls to the handlers.

use super::hub::{Hub, InboundGuard};
use super::wire::{Answer, HELLO_MAX_BYTES, Hello};
use super::{HANDSHAKE_TIMEOUT, peer_identity};
use crate::core::message::{self, ENVELOPE_MAX_BYTES, Envelope};
use crate::prelude::*;
use anyhow::bail;
use quinn::{Connection, Endpoint, Incoming, RecvStream, SendStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;

/// Maximum number of inbound connections open at once.
const CONNECTIONS_MAX: usize = 2048;
/// Maximum size of an answer: the body, of up to an envelope's size, and one byte for the outcome.
pub const ANSWER_MAX_BYTES: usize = ENVELOPE_MAX_BYTES + 1;
/// Time limit for receiving one message.
const RECEIVE_TIMEOUT: Span = Span::secs(5);
/// QUIC error code with which a connection from a host that is not accepted is closed.
pub const CODE_REFUSED: u32 = 1;

/// Accepts connections until the socket closes.
pub async fn run(hub: Arc<Hub>, endpoint: Endpoint) {
    let permits = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    while let Some(incoming) = endpoint.accept().await {
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            incoming.refuse();
            continue;
        };
        let task = handle_connection(hub.clone(), incoming);
        hub.spawn(async move {
            if let Err(e) = task.await {
                log::debug!("an inbound connection failed: {e:#}");
            }
            drop(permit);
        });
    }
}

async fn handle_connection(hub: Arc<Hub>, incoming: Incoming) -> Result<()> {
    let link = timeout(HANDSHAKE_TIMEOUT.to_std(), incoming.accept()?)
        .await
        .context("the handshake timed out")??;
    match timeout(HANDSHAKE_TIMEOUT.to_std(), exchange_hellos(&hub, &link))
        .await
        .context("no hello")
    {
        Ok(Ok((name, _guard))) => {
            hub.traffic.track(&link);
            serve(hub, link, name.into()).await
        }
        Ok(Err(e)) | Err(e) => {
            link.close(CODE_REFUSED.into(), e.to_string().as_bytes());
            Err(e.context(format!("refused the connection from {}", link.remote_address())))
        }
    }
}

/// Exchanges hellos. Returns the name of the other host and the guard of its connection.
async fn exchange_hellos(hub: &Arc<Hub>, link: &Connection) -> Result<(String, InboundGuard)> {
    let id = peer_identity(link)?;
    if id.name == hub.settings.host {
        bail!("`{}` is the name of this host; each host needs its own", id.name);
    }
    // Tracked before `accept_hello` checks the blocked hosts: the connection of a host that is
    // blocked in between is then closed too.
    let guard = hub.track_inbound(&id.name, link);
    let (mut tx, mut rx) = link.accept_bi().await?;
    let hello = Hello::read(&rx.read_to_end(HELLO_MAX_BYTES).await?)?;
    hub.accept_hello(&id, hello, link.remote_address())?;
    tx.write_all(&message::encode(&hub.hello())).await?;
    tx.finish()?;
    Ok((id.name, guard))
}

/// Handles the streams of a connection until it closes.
async fn serve(hub: Arc<Hub>, link: Connection, name: Arc<str>) -> Result<()> {
    loop {
        tokio::select! {
            rx = link.accept_uni() => hub.spawn(receive_message(hub.clone(), name.clone(), rx?)),
            pair = link.accept_bi() => {
                let (tx, rx) = pair?;
                hub.spawn(answer_call(hub.clone(), name.clone(), tx, rx));
            }
        }
    }
}

async fn receive_message(hub: Arc<Hub>, name: Arc<str>, rx: RecvStream) {
    match read_envelope(&hub, &name, rx).await {
        Ok(e) => match hub.handler(e.topic) {
            Some(handler) => handler.receive(&name, &e.body),
            None => log::debug!(
                "dropped a message from host `{name}`: no handler of topic {:?}",
                e.topic
            ),
        },
        Err(e) => log::warn!("dropped a message from host `{name}`: {e:#}"),
    }
}

async fn answer_call(hub: Arc<Hub>, name: Arc<str>, mut tx: SendStream, rx: RecvStream) {
    let answer = match handle_call(&hub, &name, rx).await {
        Ok(body) if body.len() <= ENVELOPE_MAX_BYTES => Answer::Done(body),
        Ok(_) => Answer::Refused(format!("the answer exceeds {ENVELOPE_MAX_BYTES} bytes")),
        Err(e) => Answer::Refused(format!("{e:#}")),
    };
    if tx.write_all(&answer.write()).await.is_err() || tx.finish().is_err() {
        log::debug!("could not send an answer to host `{name}`");
    }
}

async fn handle_call(hub: &Hub, name: &str, rx: RecvStream) -> Result<Vec<u8>> {
    let e = read_envelope(hub, name, rx).await?;
    let handler = hub.handler(e.topic).context("this host does not serve the topic yet")?;
    let body = handler.answer(name, &e.body).await?;
    hub.traffic.count_sent(e.topic, body.len());
    Ok(body)
}

/// Reads an envelope and checks that its sender is the host that the certificate names.
async fn read_envelope(hub: &Hub, name: &str, mut rx: RecvStream) -> Result<Envelope> {
    let bytes = timeout(RECEIVE_TIMEOUT.to_std(), rx.read_to_end(ENVELOPE_MAX_BYTES))
        .await
        .context("the message took too long")?
        .context("the message is cut off or too long")?;
    let e = Envelope::read(&bytes)?;
    hub.traffic.count_received(e.topic, bytes.len());
    if e.from != name {
        bail!("the message is signed by `{}`, the certificate by `{name}`", e.from);
    }
    Ok(e)
}
