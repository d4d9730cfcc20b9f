//! Connects to other hosts on demand: exchanges hellos, writes what waits and reads answers. A
//! connection without use closes after a while.

use super::hub::{Hub, OpenConnection, Peer};
use super::lane::OutboundLane;
use super::socket::{Socket, prepare};
use super::wire::{Frame, FrameDecoder, Hello, send};
use super::{CLOSE_TIMEOUT, HANDSHAKE_TIMEOUT, IDLE_TIMEOUT};
use crate::core::message;
use crate::core::peers::Lane;
use crate::core::peers::clock::Reading;
use crate::core::peers::reconnect::Reconnect;
use crate::core::peers::silence::{Check, Silence};
use crate::prelude::*;
use crate::util::tls::{Identity, Kind, SERVER_NAME};
use anyhow::{anyhow, bail};
use bytes::BytesMut;
use futures::StreamExt as _;
use parking_lot::Mutex;
use rustls_pki_types::ServerName;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use tokio::io::{AsyncWriteExt as _, ReadHalf, WriteHalf};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tokio_rustls::client::TlsStream;
use tokio_util::codec::FramedRead;

/// Capacity that a write buffer keeps.
const BUFFER_KEPT_BYTES: usize = 64 << 10;

type Reader = FramedRead<ReadHalf<TlsStream<Socket>>, FrameDecoder>;
type Writer = WriteHalf<TlsStream<Socket>>;

/// An open connection to a host, after the hellos.
struct Link {
    reader: Reader,
    writer: Writer,
    guard: OpenConnection,
    /// First question of the host for this one's clock; older releases ask none.
    question: Option<Reading>,
}

/// Connects to an address whenever something waits for its host, until the host moves to another
/// address. A seed has no name yet: it is dialed at once and until it answers.
pub async fn run(hub: Arc<Hub>, name: Option<String>, address: SocketAddr, lane: Lane) {
    let mut reconnect = Reconnect::default();
    let mut peer = name.as_deref().and_then(|n| hub.peer(n));
    loop {
        if let Some(peer) = &peer {
            wait_until_needed(&hub, peer.lane(lane)).await;
            if peer.has_moved(address) {
                // The host's new address has a task of its own, which may have missed the wake-up.
                peer.lane(lane).notify();
                return hub.remove_dialer(address, lane);
            }
        }
        let delay = match connect(&hub, address, peer.as_deref()).await {
            Ok(Some((found, link))) => {
                let opened = hub.now();
                let cause = serve(&hub, &found, lane, address, link).await;
                log::debug!("connection to {address} closed: {cause:#}");
                peer = Some(found);
                reconnect.after_end(opened, hub.now(), rand::random())
            }
            Ok(None) => return,
            Err(e) => {
                log::debug!("could not connect to {address}: {e:#}");
                let delay = reconnect.after_failure(rand::random());
                if is_refused(&e) && reconnect.is_to_be_reported() {
                    log::warn!(
                        "no host listens on TCP at {address}; if one runs there with an older release, \
                         which uses UDP, stop all hosts and start them with this one"
                    );
                }
                delay
            }
        };
        wait_to_retry(&mut reconnect, delay, peer.as_deref()).await;
    }
}

/// Waits before the next attempt, but not once the host has connected to this one.
async fn wait_to_retry(reconnect: &mut Reconnect, delay: Span, peer: Option<&Peer>) {
    tokio::select! {
        () = sleep(delay.to_std()) => {}
        () = host_connected(peer) => reconnect.record_seen(),
    }
}

/// Completes when a known host connects to this one.
async fn host_connected(peer: Option<&Peer>) {
    match peer {
        Some(peer) => peer.connected().await,
        None => std::future::pending().await,
    }
}

fn is_refused(e: &anyhow::Error) -> bool {
    let refused = std::io::ErrorKind::ConnectionRefused;
    e.downcast_ref::<std::io::Error>().is_some_and(|e| e.kind() == refused)
}

async fn wait_until_needed(hub: &Hub, lane: &OutboundLane) {
    while !lane.has_waiting(hub.now()) && !lane.take_wanted() {
        lane.changed().await;
    }
}

/// Connects and exchanges hellos; `None` if the address is this host's own.
async fn connect(
    hub: &Arc<Hub>,
    address: SocketAddr,
    peer: Option<&Peer>,
) -> Result<Option<(Arc<Peer>, Link)>> {
    let handshake = timeout(HANDSHAKE_TIMEOUT.to_std(), handshake(hub, address, peer));
    handshake.await.context("the handshake timed out")?
}

/// Opens a TCP connection; starts over when the host connects to this one, since it may have dropped the
/// first packet while it was down, and the next one would follow a second later.
async fn open_stream(address: SocketAddr, peer: Option<&Peer>) -> std::io::Result<TcpStream> {
    loop {
        tokio::select! {
            stream = TcpStream::connect(address) => return stream,
            () = host_connected(peer) => {}
        }
    }
}

async fn handshake(
    hub: &Arc<Hub>,
    address: SocketAddr,
    peer: Option<&Peer>,
) -> Result<Option<(Arc<Peer>, Link)>> {
    let tls = hub.tls.get().context("the service is not started")?;
    let socket = prepare(open_stream(address, peer).await?, hub.traffic.clone())?;
    let name = ServerName::try_from(SERVER_NAME)?;
    let stream = tls.connector.connect(name, socket).await?;
    let id = Identity::expect(stream.get_ref().1.peer_certificates(), Kind::Host)?;
    if id.name == hub.settings.host {
        return Ok(None);
    }
    let guard = hub.track(&id.name);
    let (rx, mut writer) = tokio::io::split(stream);
    let mut reader = FramedRead::new(rx, FrameDecoder::default());
    send(&mut writer, &Frame::Hello(message::encode(&hub.hello()).into())).await?;
    let hello = match reader.next().await.context("the host sent no hello")?? {
        Frame::Hello(bytes) => Hello::read(&bytes)?,
        Frame::Refused(cause) => bail!("host `{}` refused the connection: {cause}", id.name),
        _ => bail!("host `{}` sent no hello", id.name),
    };
    let question = hello.clock;
    let peer = hub.accept_hello(&id, hello, address)?;
    reader.decoder_mut().accept_envelopes();
    Ok(Some((peer, Link { reader, writer, guard, question })))
}

/// Writes what waits for a host and reads its answers until the connection ends; returns why it did.
async fn serve(
    hub: &Hub,
    peer: &Peer,
    lane: Lane,
    address: SocketAddr,
    link: Link,
) -> anyhow::Error {
    let Link { mut reader, mut writer, guard, question } = link;
    let lane = peer.lane(lane);
    let silence = Mutex::new(Silence::default());
    let mut lost = 0;
    lane.open(question);
    let (id, timed) = (guard.id(), question.is_some());
    let write = WriteLoop { hub, peer, lane, address, id, timed, silence: &silence };
    let cause = tokio::select! {
        Err(cause) = read_answers(hub, lane, &mut reader, &silence) => cause,
        Err(cause) = write.run(&mut writer, &mut lost) => cause,
        () = guard.closed() => anyhow!("the host is retired"),
        else => anyhow!("it ended"),
    };
    lane.close(hub.now());
    lane.fail_calls(guard.id(), &cause, lost);
    // The host may be gone; the socket is closed either way.
    let _ = timeout(CLOSE_TIMEOUT.to_std(), writer.shutdown()).await;
    cause
}

async fn read_answers(
    hub: &Hub,
    lane: &OutboundLane,
    reader: &mut Reader,
    silence: &Mutex<Silence>,
) -> Result<Infallible> {
    while let Some(frame) = reader.next().await {
        silence.lock().record_heard(hub.now());
        match frame? {
            Frame::Answer(number, answer) => lane.answer(number, answer),
            Frame::Alive => {}
            Frame::ClockQuestion(question) => lane.ask_clock(question),
            Frame::Refused(cause) => bail!("refused: {cause}"),
            _ => bail!("the host sent a frame that is no answer"),
        }
    }
    bail!("the host closed it")
}

/// Writes to one connection.
struct WriteLoop<'a> {
    hub: &'a Hub,
    peer: &'a Peer,
    lane: &'a OutboundLane,
    address: SocketAddr,
    id: u64,
    /// Whether the host reads timed messages.
    timed: bool,
    silence: &'a Mutex<Silence>,
}

impl WriteLoop<'_> {
    /// Writes what waits until nothing was written for the idle time, the host moves to another address
    /// or says nothing while calls wait. `lost` is the number of messages in an unfinished write.
    async fn run(&self, writer: &mut Writer, lost: &mut usize) -> Result<Infallible> {
        let mut out = BytesMut::new();
        let mut used = Instant::now();
        let mut timer = pin!(sleep_until(used + IDLE_TIMEOUT.to_std()));
        loop {
            if self.peer.has_moved(self.address) {
                self.lane.notify();
                bail!("the host has moved");
            }
            let now = self.hub.now();
            let due = self.check_silence(now, &mut out)?;
            // The clock is read after the question came.
            if let Some(question) = self.lane.take_question() {
                Frame::ClockAnswer(question, self.hub.now().into()).write(&mut out);
            }
            *lost = self.lane.write_next(now, self.id, self.timed, &mut out);
            if !out.is_empty() {
                writer.write_all(&out).await?;
                writer.flush().await?;
                (used, *lost) = (Instant::now(), 0);
                out.clear();
                if out.capacity() > BUFFER_KEPT_BYTES {
                    out = BytesMut::new();
                }
                continue;
            }
            let idle_at = used + IDLE_TIMEOUT.to_std();
            let wake_at = due.map_or(idle_at, |at| Instant::now() + at.since(now).to_std());
            // The timer is left alone as long as it is early enough.
            if timer.is_elapsed() || wake_at < timer.deadline() {
                timer.as_mut().reset(wake_at);
            }
            tokio::select! {
                () = self.lane.changed() => {}
                () = &mut timer => {
                    if self.lane.take_wanted() {
                        used = Instant::now();
                    } else if due.is_none() && Instant::now() >= idle_at {
                        bail!("it was not used");
                    }
                }
            }
        }
    }

    /// Asks a silent host for a word if calls wait for it. Returns when to check again.
    fn check_silence(&self, now: Time, out: &mut BytesMut) -> Result<Option<Time>> {
        let calls_wait = self.lane.awaits_answer(self.id);
        Ok(match self.silence.lock().check(now, calls_wait) {
            Check::Rest => None,
            Check::Wait(at) => Some(at),
            Check::Probe(at) => {
                Frame::Probe.write(out);
                Some(at)
            }
            Check::Close => bail!("the host no longer answers"),
        })
    }
}
