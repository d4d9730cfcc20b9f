//! Lets other hosts in and hands their messages and calls to the handlers.

use super::hub::{Guest, Hub};
use super::wire::{Answer, HELLO_MAX_BYTES, Hello};
use super::{HANDSHAKE_TIMEOUT, holder};
use crate::core::message::{self, ENVELOPE_MAX_BYTES, Envelope};
use crate::prelude::*;
use anyhow::bail;
use quinn::{Connection, Endpoint, Incoming, RecvStream, SendStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;

/// Most connections let in at once.
const CONNECTIONS_MAX: usize = 2048;
/// Most bytes in an answer: an envelope's worth and the outcome.
pub const ANSWER_MAX_BYTES: usize = ENVELOPE_MAX_BYTES + 1;
/// Time allowed to receive one message.
const RECEIVE_TIMEOUT: Span = Span::secs(5);
/// Code of a connection closed because its holder may not come in.
pub const CODE_REFUSED: u32 = 1;

/// Takes connections until the socket closes.
pub async fn listen(hub: Arc<Hub>, endpoint: Endpoint) {
    let room = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    while let Some(incoming) = endpoint.accept().await {
        let Ok(permit) = room.clone().try_acquire_owned() else {
            incoming.refuse();
            continue;
        };
        let task = welcome(hub.clone(), incoming);
        hub.spawn(async move {
            if let Err(e) = task.await {
                log::debug!("connection refused or lost: {e:#}");
            }
            drop(permit);
        });
    }
}

async fn welcome(hub: Arc<Hub>, incoming: Incoming) -> Result<()> {
    let link = timeout(HANDSHAKE_TIMEOUT.to_std(), incoming.accept()?)
        .await
        .context("the handshake took too long")??;
    match timeout(HANDSHAKE_TIMEOUT.to_std(), greet(&hub, &link)).await.context("no hello") {
        Ok(Ok((name, _guest))) => {
            hub.traffic.follow(&link);
            serve(hub, link, name.into()).await
        }
        Ok(Err(e)) | Err(e) => {
            link.close(CODE_REFUSED.into(), e.to_string().as_bytes());
            Err(e.context(format!("{} is not let in", link.remote_address())))
        }
    }
}

/// Exchanges hellos and returns the name of the other host.
async fn greet(hub: &Arc<Hub>, link: &Connection) -> Result<(String, Guest)> {
    let id = holder(link)?;
    if id.name == hub.settings.host {
        bail!("`{}` is the name of this host; each host needs its own", id.name);
    }
    // Noted before the check in `meet`, so that a host retired meanwhile is not missed.
    let guest = hub.admit(&id.name, link);
    let (mut tx, mut rx) = link.accept_bi().await?;
    let hello = Hello::read(&rx.read_to_end(HELLO_MAX_BYTES).await?)?;
    hub.meet(&id, hello, link.remote_address())?;
    tx.write_all(&message::encode(&hub.hello())).await?;
    tx.finish()?;
    Ok((id.name, guest))
}

async fn serve(hub: Arc<Hub>, link: Connection, name: Arc<str>) -> Result<()> {
    loop {
        tokio::select! {
            rx = link.accept_uni() => hub.spawn(note(hub.clone(), name.clone(), rx?)),
            pair = link.accept_bi() => {
                let (tx, rx) = pair?;
                hub.spawn(reply(hub.clone(), name.clone(), tx, rx));
            }
        }
    }
}

async fn note(hub: Arc<Hub>, name: Arc<str>, rx: RecvStream) {
    match open(&hub, &name, rx).await {
        Ok(e) => match hub.handler(e.topic) {
            Some(handler) => handler.receive(&name, &e.body),
            None => log::debug!("message of `{name}` on {:?} lost: no handler", e.topic),
        },
        Err(e) => log::warn!("message of host `{name}` dropped: {e:#}"),
    }
}

async fn reply(hub: Arc<Hub>, name: Arc<str>, mut tx: SendStream, rx: RecvStream) {
    let answer = match answer(&hub, &name, rx).await {
        Ok(body) if body.len() <= ENVELOPE_MAX_BYTES => Answer::Done(body),
        Ok(_) => Answer::Refused(format!("the answer exceeds {ENVELOPE_MAX_BYTES} bytes")),
        Err(e) => Answer::Refused(format!("{e:#}")),
    };
    if tx.write_all(&answer.write()).await.is_err() || tx.finish().is_err() {
        log::debug!("answer to host `{name}` lost");
    }
}

async fn answer(hub: &Hub, name: &str, rx: RecvStream) -> Result<Vec<u8>> {
    let e = open(hub, name, rx).await?;
    let handler = hub.handler(e.topic).context("this host does not serve the topic yet")?;
    let body = handler.answer(name, &e.body).await?;
    hub.traffic.sent(e.topic, body.len());
    Ok(body)
}

/// Reads an envelope and checks that its sender is the holder of the certificate.
async fn open(hub: &Hub, name: &str, mut rx: RecvStream) -> Result<Envelope> {
    let bytes = timeout(RECEIVE_TIMEOUT.to_std(), rx.read_to_end(ENVELOPE_MAX_BYTES))
        .await
        .context("the message took too long")?
        .context("the message is cut off or too long")?;
    let e = Envelope::read(&bytes)?;
    hub.traffic.received(e.topic, bytes.len());
    if e.from != name {
        bail!("the message is signed by `{}`, the certificate by `{name}`", e.from);
    }
    Ok(e)
}
