//! Accepts connections from other hosts and passes their messages and calls to the handlers.

use super::hub::{Hub, OpenConnection};
use super::socket::{Socket, prepare};
use super::traffic::DELAYED_FROM;
use super::wire::{Answer, Frame, FrameDecoder, Hello, send};
use super::{CLOSE_TIMEOUT, HANDSHAKE_TIMEOUT, INBOUND_IDLE_TIMEOUT};
use crate::core::message::{self, ENVELOPE_MAX_BYTES, EnvelopeView};
use crate::core::peers::clock::{Age, ClockOffset, Reading};
use crate::prelude::*;
use crate::util::tls::{Identity, Kind};
use anyhow::{anyhow, bail};
use bytes::{Bytes, BytesMut};
use futures::StreamExt as _;
use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncWriteExt as _, ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::{sleep, timeout};
use tokio_rustls::server::TlsStream;
use tokio_util::codec::FramedRead;

/// Maximum number of inbound connections open at once.
const CONNECTIONS_MAX: usize = 2048;
/// Maximum number of handshakes in progress; further connections wait in the system's queue.
const HANDSHAKES_MAX: usize = 64;
/// Pause after the system refused to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Maximum number of calls of a connection in progress, and answers waiting to be written to it.
const CALLS_MAX: usize = 4_096;
/// Maximum size of the calls of a connection in progress. Each counts as [`CALL_MIN_BYTES`] at least.
const CALLS_MAX_BYTES: usize = 16 << 20;
/// Size that bounds the number of small calls to [`CALLS_MAX`].
const CALL_MIN_BYTES: usize = CALLS_MAX_BYTES / CALLS_MAX;

type Reader = FramedRead<ReadHalf<TlsStream<Socket>>, FrameDecoder>;
type Writer = WriteHalf<TlsStream<Socket>>;

/// A connection from another host, after the hellos.
struct Inbound {
    name: Arc<str>,
    reader: Reader,
    writer: Writer,
    guard: OpenConnection,
    clock: ClockOffset,
}

/// Accepts connections until the service stops.
pub async fn run(hub: Arc<Hub>, listener: TcpListener) {
    let handshakes = Arc::new(Semaphore::new(HANDSHAKES_MAX));
    let open = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    loop {
        // Neither semaphore is ever closed.
        let Ok(handshake) = handshakes.clone().acquire_owned().await else { return };
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                log::warn!("could not accept a connection from a host, trying again: {e}");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(permit) = open.clone().try_acquire_owned() else { continue };
        if !hub.admission.lock().try_begin(hub.now(), from.ip()) {
            continue;
        }
        let task_hub = hub.clone();
        hub.spawn(async move {
            let accepted = begin(&task_hub, stream, from).await;
            record_handshake(&task_hub, from.ip(), accepted.as_ref().err());
            drop(handshake);
            if let Ok(inbound) = accepted {
                let cause = serve(task_hub, inbound).await;
                log::debug!("the connection from {from} closed: {cause:#}");
            }
            drop(permit);
        });
    }
}

fn record_handshake(hub: &Hub, from: IpAddr, failed: Option<&anyhow::Error>) {
    let log = hub.admission.lock().record_end(hub.now(), from, failed.is_none());
    match failed {
        Some(e) if log => log::warn!(
            "refused a connection from {from}; further ones are logged once a minute: {e:#}"
        ),
        Some(e) => log::debug!("refused a connection from {from}: {e:#}"),
        None => {}
    }
}

/// Completes the handshake and the exchange of hellos.
async fn begin(hub: &Arc<Hub>, stream: TcpStream, from: SocketAddr) -> Result<Inbound> {
    let tls = hub.tls.get().context("the service is not started")?;
    let socket = prepare(stream, hub.traffic.clone())?;
    let handshake = timeout(HANDSHAKE_TIMEOUT.to_std(), tls.acceptor.accept(socket));
    let stream = handshake.await.context("the handshake timed out")??;
    let id = Identity::expect(stream.get_ref().1.peer_certificates(), Kind::Host);
    let (rx, mut writer) = tokio::io::split(stream);
    let mut reader = FramedRead::new(rx, FrameDecoder::default());
    let hellos = exchange_hellos(hub, id, &mut reader, &mut writer, from);
    match timeout(HANDSHAKE_TIMEOUT.to_std(), hellos).await.context("no hello in time") {
        Ok(Ok((guard, clock))) => {
            reader.decoder_mut().accept_envelopes();
            Ok(Inbound { name: guard.host().clone(), reader, writer, guard, clock })
        }
        Ok(Err(e)) | Err(e) => {
            refuse(&mut writer, &format!("{e:#}")).await;
            Err(e)
        }
    }
}

async fn exchange_hellos(
    hub: &Arc<Hub>,
    id: Result<Identity>,
    reader: &mut Reader,
    writer: &mut Writer,
    from: SocketAddr,
) -> Result<(OpenConnection, ClockOffset)> {
    let id = id?;
    if id.name == hub.settings.host {
        bail!("`{}` is the name of this host; each host needs its own", id.name);
    }
    // Tracked before `accept_hello` checks the blocked hosts: the connection of a host that is
    // blocked in between is then closed too.
    let guard = hub.track(&id.name);
    let hello = match reader.next().await.context("the connection ended before the hello")?? {
        Frame::Hello(bytes) => Hello::read(&bytes)?,
        _ => bail!("the first frame is no hello"),
    };
    let mut clock = ClockOffset::default();
    if let Some(reading) = hello.clock {
        clock.record_arrival(hub.now(), reading);
    }
    hub.accept_hello(&id, hello, from)?;
    send(writer, &Frame::Hello(message::encode(&hub.hello()).into())).await?;
    Ok((guard, clock))
}

/// Tells the other host why its connection ends. It may be gone already.
async fn refuse(writer: &mut Writer, cause: &str) {
    let said = async {
        send(writer, &Frame::Refused(cause.to_owned())).await?;
        writer.shutdown().await
    };
    let _ = timeout(CLOSE_TIMEOUT.to_std(), said).await;
}

/// Handles the frames of a connection until it ends; returns why it did.
async fn serve(hub: Arc<Hub>, inbound: Inbound) -> anyhow::Error {
    let Inbound { name, mut reader, mut writer, guard, clock } = inbound;
    let (answers, waiting) = mpsc::channel(CALLS_MAX);
    let memory = Arc::new(Semaphore::new(CALLS_MAX_BYTES));
    let calls = Calls { hub, name, answers, memory };
    let cause = tokio::select! {
        Err(cause) = calls.read(&mut reader, clock) => cause,
        Err(cause) = write_answers(waiting, &mut writer) => cause,
        () = guard.closed() => anyhow!("the host is retired"),
        else => anyhow!("it ended"),
    };
    refuse(&mut writer, &format!("{cause:#}")).await;
    cause
}

async fn write_answers(
    mut answers: mpsc::Receiver<Frame>,
    writer: &mut Writer,
) -> Result<Infallible> {
    let mut out = BytesMut::new();
    while let Some(frame) = answers.recv().await {
        frame.write(&mut out);
        while let Ok(next) = answers.try_recv() {
            next.write(&mut out);
        }
        writer.write_all(&out).await?;
        writer.flush().await?;
        out = BytesMut::new();
    }
    bail!("no more answers")
}

/// Messages and calls that come over one connection.
#[derive(Clone)]
struct Calls {
    hub: Arc<Hub>,
    name: Arc<str>,
    answers: mpsc::Sender<Frame>,
    /// Memory for calls in progress.
    memory: Arc<Semaphore>,
}

impl Calls {
    async fn read(&self, reader: &mut Reader, mut clock: ClockOffset) -> Result<Infallible> {
        loop {
            let next = timeout(INBOUND_IDLE_TIMEOUT.to_std(), reader.next()).await;
            match next.context("it was not used")?.context("the host closed it")?? {
                Frame::Message(bytes) => self.receive(&bytes, None),
                Frame::Timed(sent, useful, bytes) => {
                    self.receive_timed(&mut clock, (sent, useful), &bytes)?;
                }
                Frame::ClockAnswer(Reading(asked), reading) => {
                    clock.record_answer(self.hub.now(), Time(asked), reading);
                }
                Frame::Call(number, bytes) => self.start(number, bytes)?,
                Frame::Probe => self.answer(Frame::Alive)?,
                _ => bail!("the host sent a frame that is neither message nor call"),
            }
        }
    }

    /// Handles a message that was `sent` at a reading of the other host's clock, unless it is too old.
    fn receive_timed(
        &self,
        clock: &mut ClockOffset,
        (sent, useful): (Reading, Span),
        bytes: &[u8],
    ) -> Result<()> {
        let now = self.hub.now();
        clock.record_arrival(now, sent);
        let age = clock.age(now, sent).context("the host has not told its clock")?;
        // What may still be of use is for the handler to decide, which knows what the error costs.
        let expired = age.least >= useful;
        self.hub.traffic.count_age(age, expired);
        if age.least >= DELAYED_FROM {
            log::debug!(
                event = "message-delayed", from = *self.name, least_us = age.least.0,
                most_us = age.most.0, useful_us = useful.0, expired;
                "a message from host `{}` came {} late", self.name, age.least
            );
        }
        if clock.take_question(now) {
            self.answer(Frame::ClockQuestion(now.into()))?;
        }
        if !expired {
            self.receive(bytes, Some(age));
        }
        Ok(())
    }

    fn receive(&self, bytes: &[u8], age: Option<Age>) {
        if let Err(e) = self.pass_on(bytes, age) {
            log::warn!("dropped a message from host `{}`: {e:#}", self.name);
        }
    }

    fn pass_on(&self, bytes: &[u8], age: Option<Age>) -> Result<()> {
        let unpacked = message::unpack(bytes)?;
        let e = self.read_envelope(&unpacked, bytes.len())?;
        match self.hub.handler(e.topic) {
            Some(handler) => match age {
                Some(age) => handler.receive_timed(&self.name, age, e.body),
                None => handler.receive(&self.name, e.body),
            },
            None => log::debug!(
                "dropped a message from host `{}`: no handler of topic {:?}",
                self.name,
                e.topic
            ),
        }
        Ok(())
    }

    /// Starts a call in a task of its own; refuses it if too many are in progress.
    fn start(&self, number: u64, bytes: Bytes) -> Result<()> {
        let size = u32::try_from(bytes.len().max(CALL_MIN_BYTES))?;
        let Ok(share) = self.memory.clone().try_acquire_many_owned(size) else {
            let cause = "too many calls are in progress on the connection".to_owned();
            return self.answer(Frame::Answer(number, Answer::Refused(cause)));
        };
        let calls = self.clone();
        self.hub.spawn(async move {
            let answer = match calls.handle(&bytes).await {
                Ok(body) if body.len() <= ENVELOPE_MAX_BYTES => Answer::Done(body),
                Ok(_) => Answer::Refused(format!("the answer exceeds {ENVELOPE_MAX_BYTES} bytes")),
                Err(e) => Answer::Refused(format!("{e:#}")),
            };
            drop(share);
            // The connection has ended if nobody takes the answer.
            let _ = calls.answers.send(Frame::Answer(number, answer)).await;
        });
        Ok(())
    }

    async fn handle(&self, bytes: &[u8]) -> Result<Vec<u8>> {
        let unpacked = message::unpack(bytes)?;
        let e = self.read_envelope(&unpacked, bytes.len())?;
        let handler =
            self.hub.handler(e.topic).context("this host does not serve the topic yet")?;
        let body = handler.answer(&self.name, e.body).await?;
        self.hub.traffic.count_sent(e.topic, body.len());
        Ok(body)
    }

    fn answer(&self, frame: Frame) -> Result<()> {
        self.answers.try_send(frame).map_err(|_| anyhow!("the host does not read its answers"))
    }

    /// Decodes an envelope of `bytes` on the wire and checks that its sender is the host that the
    /// certificate names.
    fn read_envelope<'a>(&self, unpacked: &'a [u8], bytes: usize) -> Result<EnvelopeView<'a>> {
        let e = EnvelopeView::read(unpacked)?;
        self.hub.traffic.count_received(e.topic, bytes);
        if e.from != &*self.name {
            bail!("the message is signed by `{}`, the certificate by `{}`", e.from, self.name);
        }
        Ok(e)
    }
}
