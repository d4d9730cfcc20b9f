//! Connections between hosts at their limits: the decisions on a simulated clock, and the service against
//! peers that are silent, frozen, slow or not who they should be.

use crate::support::{ANY, Authority, HANG_TIMEOUT, ZONE, until};
use anyhow::Result;
use futures::future::BoxFuture;
use parking_lot::Mutex;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};
use tokio_rustls::TlsAcceptor;
use tokio_rustls::server::TlsStream;
use wisteriahead::core::message::{Envelope, Topic, VERSION, encode};
use wisteriahead::core::peers::admission::{Admission, HANDSHAKES_MAX, LOG_PAUSE, REFUSED_PAUSE};
use wisteriahead::core::peers::clock::Reading;
use wisteriahead::core::peers::outbox::{BYTES_MAX, Kind, MESSAGE_MAX_AGE, MESSAGES_MAX, Outbox};
use wisteriahead::core::peers::reconnect::Reconnect;
use wisteriahead::core::peers::silence::{Check, Silence};
use wisteriahead::core::peers::{BULK_MIN_BYTES, Lane, Role, TimedMessage};
use wisteriahead::core::time::{Span, Time};
use wisteriahead::kernel::Kernel;
use wisteriahead::services::peers::wire::{Frame, Hello, send};
use wisteriahead::services::peers::{PeerSettings, PeersService};
use wisteriahead::services::{Handler, Peers};
use wisteriahead::util::tls::{ALPN_HOST, Credentials, HostKeys, Kind as Holder, TlsPaths};

const FROM: IpAddr = ANY.ip();

fn at(millis: u64) -> Time {
    Time(0) + Span::millis(millis)
}

fn push(outbox: &mut Outbox, now: Time, kind: Kind, bytes: usize) {
    outbox.push(now, MESSAGE_MAX_AGE, kind, vec![0; bytes]);
}

#[test]
fn message_too_old_to_be_useful_is_never_sent() {
    let mut outbox = Outbox::default();
    push(&mut outbox, at(0), Kind::Message, 10);
    push(&mut outbox, at(1_500), Kind::Message, 20);
    let taken = outbox.take(at(2_100), usize::MAX);
    assert_eq!(taken.iter().map(|m| m.envelope.len()).collect::<Vec<_>>(), [20]);
    assert_eq!((outbox.dropped(), outbox.bytes()), (1, 0));
}

/// A call that nobody waits for is never sent: its caller may have given the order to another host.
#[test]
fn cancelled_call_is_not_sent() {
    let mut outbox = Outbox::default();
    push(&mut outbox, at(0), Kind::Call(1), 10);
    push(&mut outbox, at(0), Kind::Call(2), 20);
    outbox.cancel_call(1);
    let taken = outbox.take(at(0), usize::MAX);
    assert_eq!(taken.iter().map(|m| m.kind).collect::<Vec<_>>(), [Kind::Call(2)]);
    assert_eq!((outbox.dropped(), outbox.bytes()), (0, 0));
}

/// Load pattern: a host that reads nothing while gossip, votes and results go on.
#[test]
fn outbox_of_a_host_that_reads_nothing_stays_bounded() {
    let mut outbox = Outbox::default();
    for n in 0..20_000u64 {
        let bytes = if n % 100 == 0 { 1 << 20 } else { 200 };
        push(&mut outbox, at(n), Kind::Message, bytes);
        assert!(outbox.bytes() <= BYTES_MAX);
        if n % 500 == 0 {
            outbox.drop_expired(at(n));
        }
    }
    assert!(outbox.take(at(20_000), usize::MAX).len() <= MESSAGES_MAX);
    assert!(outbox.dropped() > 15_000, "{}", outbox.dropped());
}

#[test]
fn messages_that_wait_together_are_taken_together_up_to_a_limit() {
    let mut outbox = Outbox::default();
    for _ in 0..10 {
        push(&mut outbox, at(0), Kind::Message, 100);
    }
    assert_eq!(outbox.take(at(0), 350).len(), 3);
    assert_eq!(outbox.take(at(0), 1).len(), 1);
    assert_eq!(outbox.take(at(0), usize::MAX).len(), 6);
    assert!(outbox.is_empty());
}

#[test]
fn large_message_takes_another_connection_than_small_ones() {
    assert_eq!(Lane::of_size(BULK_MIN_BYTES - 1), Lane::Small);
    assert_eq!(Lane::of_size(BULK_MIN_BYTES), Lane::Bulk);
}

/// Load pattern: a host with 300 peers that all lose it at the same moment.
#[test]
fn reconnects_after_a_common_loss_are_spread_out() {
    const PEERS: usize = 300;
    let mut attempts = Vec::new();
    for peer in 0..PEERS {
        let (mut reconnect, mut now) = (Reconnect::default(), 0);
        for attempt in 0..8 {
            let random = ((peer * 7_919 + attempt * 104_729) % 1_000) as f64 / 1_000.0;
            now += reconnect.after_failure(random).as_millis();
            attempts.push(now);
        }
    }
    let in_window = |from: u64| attempts.iter().filter(|t| (from..from + 50).contains(*t)).count();
    assert_eq!(in_window(0), 0);
    assert!((0..10_000).step_by(50).all(|from| in_window(from) <= PEERS + PEERS / 10));
    let last_second = attempts.iter().filter(|t| (5_000..6_000).contains(*t)).count();
    assert!(last_second <= PEERS, "{last_second} attempts in a second, long after the loss");
}

/// Load pattern: a host that accepts connections and ends them right away.
#[test]
fn connection_that_ends_at_once_counts_as_a_failure() {
    let mut reconnect = Reconnect::default();
    let mut last = Span::ZERO;
    for _ in 0..3 {
        let delay = reconnect.after_end(at(0), at(20), 1.0);
        assert!(delay > last, "{delay}");
        last = delay;
    }
    assert_eq!(reconnect.after_end(at(0), at(5_000), 1.0), Span::ZERO);
    assert!(reconnect.after_failure(1.0) < last, "a connection that lasted starts the delays anew");
}

/// Load pattern: a tier whose hosts all come back at the same moment, after delays have grown.
#[test]
fn host_that_is_seen_again_is_dialled_with_small_delays() {
    let mut reconnect = Reconnect::default();
    let first = reconnect.after_failure(1.0);
    let last = (0..10).map(|_| reconnect.after_failure(1.0)).last();
    assert!(last > Some(Span(first.0 * 10)), "{last:?}");
    reconnect.record_seen();
    assert_eq!(reconnect.after_failure(1.0), first);
}

/// An older release listens elsewhere: its address refuses connections for good.
#[test]
fn host_that_stays_unreachable_is_reported_once() {
    let mut reconnect = Reconnect::default();
    let reports = (0..100).filter(|_| {
        reconnect.after_failure(0.5);
        reconnect.is_to_be_reported()
    });
    assert_eq!(reports.count(), 1);
}

#[test]
fn silent_host_is_given_up_within_two_seconds_while_calls_wait() {
    let mut silence = Silence::default();
    assert_eq!(silence.check(at(0), false), Check::Rest);
    let Check::Wait(first) = silence.check(at(10_000), true) else { panic!() };
    let Check::Probe(second) = silence.check(first, true) else { panic!() };
    assert_eq!(silence.check(second, true), Check::Close);
    assert!(second.since(at(10_000)) < Span::secs(2));
}

#[test]
fn host_that_answers_probes_is_kept_and_one_without_calls_is_never_probed() {
    let mut silence = Silence::default();
    let mut due = at(0);
    for _ in 0..20 {
        match silence.check(due, true) {
            Check::Probe(next) => {
                silence.record_heard(due);
                assert_ne!(silence.check(due, true), Check::Close);
                due = next;
            }
            Check::Wait(next) => due = next,
            other => panic!("{other:?}"),
        }
    }
    for second in 100..200 {
        assert_eq!(silence.check(at(second * 1_000), false), Check::Rest);
    }
}

/// Load pattern: a stranger that opens connections as fast as it can, beside hosts that start.
#[test]
fn stranger_gets_few_handshakes_and_few_log_lines() {
    let stranger: IpAddr = [127, 0, 0, 2].into();
    let (mut admission, mut begun, mut logged) = (Admission::default(), 0, 0);
    for millis in 0..120_000 {
        if admission.try_begin(at(millis), stranger) {
            begun += 1;
            logged += u32::from(admission.record_end(at(millis), stranger, false));
        }
        if millis % 1_000 == 0 {
            assert!(admission.try_begin(at(millis), FROM), "a host was kept out");
            assert!(!admission.record_end(at(millis), FROM, true));
        }
    }
    let pauses = Span::secs(120).0 / REFUSED_PAUSE.0;
    assert!(begun <= pauses + 1, "{begun} handshakes");
    assert!(u64::from(logged) <= Span::secs(120).0 / LOG_PAUSE.0 + 1, "{logged} lines");
}

#[test]
fn silent_connections_of_one_address_leave_room_for_others() {
    let mut admission = Admission::default();
    let begun = (0..1_000).filter(|_| admission.try_begin(at(0), [127, 0, 0, 2].into())).count();
    assert_eq!(begun, HANDSHAKES_MAX);
    assert!(admission.try_begin(at(0), FROM));
}

/// Notes messages; a call is answered with its length.
#[derive(Default)]
struct Notes(Mutex<Vec<usize>>);

impl Handler for Notes {
    fn receive(&self, _: &str, body: &[u8]) {
        self.0.lock().push(body.len());
    }

    fn answer<'a>(&'a self, _: &'a str, body: &'a [u8]) -> BoxFuture<'a, Result<Vec<u8>>> {
        Box::pin(async { Ok(body.len().to_string().into_bytes()) })
    }
}

struct Started {
    kernel: Kernel,
    service: Arc<PeersService>,
    peers: Arc<dyn Peers>,
    notes: Arc<Notes>,
}

async fn start(ca: &Authority, name: &str, seeds: &[SocketAddr]) -> Started {
    let settings = PeerSettings {
        host: name.to_owned(),
        zone: ZONE.to_owned(),
        listen: ANY,
        seeds: seeds.to_vec(),
        keys: HostKeys::Files(ca.issue(Holder::Host, name)),
    };
    let service = Arc::new(PeersService::new(settings));
    let mut kernel = Kernel::default();
    kernel.start(service.clone()).await.unwrap();
    let peers: Arc<dyn Peers> = kernel.context().find(<dyn Peers>::NAME).unwrap();
    let notes = Arc::new(Notes::default());
    peers.set_handler(Topic::Member, notes.clone());
    Started { kernel, service, peers, notes }
}

/// A host that accepts connections and does only what a test says.
struct Stub {
    listener: TcpListener,
    tls: TlsAcceptor,
    name: &'static str,
    clock: Option<Reading>,
}

impl Stub {
    async fn start(ca: &Authority, name: &'static str) -> Self {
        let credentials = Credentials::load(&ca.issue(Holder::Host, name)).unwrap();
        let tls = TlsAcceptor::from(Arc::new(credentials.server(ALPN_HOST).unwrap()));
        Self { listener: TcpListener::bind(ANY).await.unwrap(), tls, name, clock: None }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Accepts the first connection of a host and waits until this one is known there.
    async fn accept_first(&self, from: &Started) -> TlsStream<TcpStream> {
        let link = self.accept().await;
        until("the stub", || from.peers.others() == [self.name]).await;
        link
    }

    /// Accepts a connection and answers its hello.
    async fn accept(&self) -> TlsStream<TcpStream> {
        let (stream, _) = timeout(HANG_TIMEOUT, self.listener.accept()).await.unwrap().unwrap();
        let mut stream = self.tls.accept(stream).await.unwrap();
        let first = read(&mut stream).await.unwrap();
        assert!(matches!(first, Frame::Hello(_)), "{first:?}");
        let hello = Hello {
            version: VERSION,
            name: self.name.to_owned(),
            zone: ZONE.to_owned(),
            listen: self.address(),
            others: Vec::new(),
            unpacks: false,
            clock: self.clock,
        };
        write(&mut stream, &Frame::Hello(encode(&hello).into())).await;
        stream
    }
}

async fn read(stream: &mut TlsStream<TcpStream>) -> Result<Frame> {
    read_from(stream).await
}

async fn read_from(stream: &mut (impl AsyncRead + Unpin)) -> Result<Frame> {
    let read = async {
        let mut bytes = vec![0; stream.read_u32().await? as usize];
        stream.read_exact(&mut bytes).await?;
        Ok(Frame::read(bytes.into())?)
    };
    timeout(HANG_TIMEOUT, read).await?
}

async fn write(stream: &mut TlsStream<TcpStream>, frame: &Frame) {
    send(stream, frame).await.unwrap();
}

/// Guards against a caller that waits its whole time for a host that has frozen.
#[tokio::test]
async fn call_to_a_frozen_host_fails_once_it_misses_a_probe() {
    let ca = Authority::new();
    let stub = Stub::start(&ca, "b").await;
    let a = start(&ca, "a", &[stub.address()]).await;
    let mut link = stub.accept_first(&a).await;
    let call = a.peers.call("b", Topic::Member, vec![1]);
    let frozen = async {
        assert!(matches!(read(&mut link).await.unwrap(), Frame::Call(..)));
        assert_eq!(read(&mut link).await.unwrap(), Frame::Probe);
        assert!(read(&mut link).await.is_err(), "the connection was kept");
    };
    let (answer, ()) = tokio::join!(call, frozen);
    let cause = format!("{:#}", answer.unwrap_err());
    assert!(cause.contains("no longer answers"), "{cause}");
}

#[tokio::test]
async fn slow_answer_of_a_host_that_answers_probes_arrives() {
    let ca = Authority::new();
    let stub = Stub::start(&ca, "b").await;
    let a = start(&ca, "a", &[stub.address()]).await;
    let mut link = stub.accept_first(&a).await;
    let call = a.peers.call("b", Topic::Member, vec![1]);
    let slow = async {
        let Frame::Call(number, _) = read(&mut link).await.unwrap() else { panic!() };
        for _ in 0..3 {
            assert_eq!(read(&mut link).await.unwrap(), Frame::Probe);
            write(&mut link, &Frame::Alive).await;
        }
        let answer = wisteriahead::services::peers::wire::Answer::Done(vec![7]);
        write(&mut link, &Frame::Answer(number, answer)).await;
    };
    let (answer, ()) = tokio::join!(call, slow);
    assert_eq!(answer.unwrap(), [7]);
}

#[tokio::test]
async fn calls_fail_when_their_connection_ends_and_the_next_one_is_used() {
    let ca = Authority::new();
    let stub = Stub::start(&ca, "b").await;
    let a = start(&ca, "a", &[stub.address()]).await;
    let mut link = stub.accept_first(&a).await;
    let call = a.peers.call("b", Topic::Member, vec![1]);
    let ended = async {
        assert!(matches!(read(&mut link).await.unwrap(), Frame::Call(..)));
        drop(link);
    };
    let (answer, ()) = tokio::join!(call, ended);
    assert!(format!("{:#}", answer.unwrap_err()).contains("connection ended"));
    a.peers.send("b", Topic::Member, vec![2]);
    let mut link = stub.accept().await;
    assert!(matches!(read(&mut link).await.unwrap(), Frame::Message(_)));
}

/// A host that reads nothing: what waits is bounded, old messages go first, and its connection ends.
#[tokio::test]
async fn host_that_reads_nothing_is_disconnected_and_old_messages_are_dropped() {
    let ca = Authority::new();
    let stub = Stub::start(&ca, "b").await;
    let a = start(&ca, "a", &[stub.address()]).await;
    let link = stub.accept_first(&a).await;
    // The bulk connection is accepted and not read either.
    let accepted = tokio::spawn(async move {
        let bulk = stub.accept().await;
        let again = stub.accept().await;
        (bulk, again, stub)
    });
    let begun = Instant::now();
    while !accepted.is_finished() {
        assert!(begun.elapsed() < HANG_TIMEOUT, "the host was not disconnected");
        a.peers.send("b", Topic::Member, vec![0; 4 << 20]);
        a.peers.send("b", Topic::Member, vec![0; 1_000]);
        sleep(Duration::from_millis(20)).await;
    }
    assert!(a.service.dropped() > 0);
    drop((link, accepted.await.unwrap()));
}

fn timed(role: Role) -> TimedMessage {
    TimedMessage { body: vec![1], useful: Span::secs(60), role }
}

/// Guards against a cancellation that is lost with the connection that it was written to: the request was
/// read, and its work goes on.
#[tokio::test]
async fn cancellation_lost_with_its_connection_is_sent_again() {
    let ca = Authority::new();
    let stub = Stub { clock: Some(Reading(0)), ..Stub::start(&ca, "b").await };
    let a = start(&ca, "a", &[stub.address()]).await;
    let mut link = stub.accept_first(&a).await;
    assert!(matches!(read(&mut link).await.unwrap(), Frame::ClockAnswer(Reading(0), _)));
    a.peers.send_timed("b", Topic::Member, timed(Role::Work(1)));
    let Frame::Timed(_, _, request) = read(&mut link).await.unwrap() else { panic!() };
    a.peers.send_timed("b", Topic::Member, timed(Role::Cancel(1)));
    let Frame::Timed(sent, _, cancellation) = read(&mut link).await.unwrap() else { panic!() };
    assert_eq!(request, cancellation, "the bodies are the same");
    drop(link);
    let mut link = stub.accept().await;
    assert!(matches!(read(&mut link).await.unwrap(), Frame::ClockAnswer(Reading(0), _)));
    let Frame::Timed(again, ..) = read(&mut link).await.unwrap() else { panic!() };
    assert_eq!(again, sent, "it is as old as it was");
}

/// An older release tells no clock, and does not know timed messages.
#[tokio::test]
async fn host_that_tells_no_clock_gets_plain_messages() {
    let ca = Authority::new();
    let stub = Stub::start(&ca, "b").await;
    let a = start(&ca, "a", &[stub.address()]).await;
    let mut link = stub.accept_first(&a).await;
    a.peers.send_timed("b", Topic::Member, timed(Role::Reply));
    assert!(matches!(read(&mut link).await.unwrap(), Frame::Message(_)));
}

/// Guards against messages that wait in the network or a socket for longer than they are of use.
#[tokio::test]
async fn message_that_comes_too_late_is_dropped() {
    let ca = Authority::new();
    let a = start(&ca, "a", &[]).await;
    let tls = ca.issue(Holder::Host, "c");
    let (mut link, question) = connect(&tls, a.service.address().unwrap()).await;
    let now = Reading(Span::secs(1_000).0);
    let message = |age: Span, useful: Span, bytes: usize| {
        let body = vec![0; bytes];
        let envelope = Envelope { version: VERSION, from: "c".into(), topic: Topic::Member, body };
        Frame::Timed(Reading(now.0 - age.0), useful, encode(&envelope).into())
    };
    let frames = [
        Frame::ClockAnswer(question.unwrap(), now),
        message(Span::ZERO, Span::millis(400), 1),
        message(Span::millis(500), Span::millis(400), 2),
        message(Span::millis(500), Span::secs(60), 3),
    ];
    for frame in frames {
        send(&mut link, &frame).await.unwrap();
    }
    until("the last message", || a.notes.0.lock().last() == Some(&3)).await;
    assert_eq!(*a.notes.0.lock(), [1, 3]);
}

/// Guards against results that are lost though they may be in time: the clock was told late, so that a young message
/// may be taken for an old one.
#[tokio::test]
async fn message_that_may_be_in_time_is_passed_on() {
    let ca = Authority::new();
    let a = start(&ca, "a", &[]).await;
    let tls = ca.issue(Holder::Host, "c");
    let (mut link, question) = connect(&tls, a.service.address().unwrap()).await;
    sleep(Duration::from_millis(200)).await;
    let now = Reading(Span::secs(1_000).0);
    send(&mut link, &Frame::ClockAnswer(question.unwrap(), now)).await.unwrap();
    let envelope =
        Envelope { version: VERSION, from: "c".into(), topic: Topic::Member, body: vec![0; 4] };
    let message = Frame::Timed(now, Span::millis(100), encode(&envelope).into());
    send(&mut link, &message).await.unwrap();
    until("the message", || *a.notes.0.lock() == [4]).await;
}

/// Guards against messages whose age nobody can tell.
#[tokio::test]
async fn timed_message_before_the_clock_of_its_sender_ends_the_connection() {
    let ca = Authority::new();
    let a = start(&ca, "a", &[]).await;
    let tls = ca.issue(Holder::Host, "c");
    let (mut link, _) = connect(&tls, a.service.address().unwrap()).await;
    send(&mut link, &Frame::Timed(Reading(0), Span::secs(60), vec![1].into())).await.unwrap();
    let Frame::Refused(cause) = read_from(&mut link).await.unwrap() else { panic!() };
    assert!(cause.contains("clock"), "{cause}");
}

/// Guards against head-of-line blocking: a document on its way holds up no vote.
#[tokio::test]
async fn large_messages_on_their_way_do_not_hold_up_small_ones() {
    let ca = Authority::new();
    let stub = Stub::start(&ca, "b").await;
    let a = start(&ca, "a", &[stub.address()]).await;
    let mut small = stub.accept_first(&a).await;
    for _ in 0..3 {
        a.peers.send("b", Topic::Member, vec![0; 4 << 20]);
    }
    // Nothing of the large messages is read.
    let _bulk = stub.accept().await;
    a.peers.send("b", Topic::Member, vec![0; 100]);
    let Frame::Message(bytes) = read(&mut small).await.unwrap() else { panic!() };
    assert!(bytes.len() < 300, "{}", bytes.len());
}

#[tokio::test]
async fn large_messages_and_calls_arrive_whole() {
    let ca = Authority::new();
    let a = start(&ca, "a", &[]).await;
    let b = start(&ca, "b", &[a.service.address().unwrap()]).await;
    until("a", || b.peers.others() == ["a"]).await;
    for bytes in [0, 1, BULK_MIN_BYTES, 4 << 20] {
        let answer = b.peers.call("a", Topic::Member, vec![9; bytes]).await.unwrap();
        assert_eq!(answer, bytes.to_string().into_bytes());
        b.peers.send("a", Topic::Member, vec![9; bytes]);
    }
    until("all messages", || a.notes.0.lock().len() == 4).await;
}

/// What comes later was sent later, in one connection.
#[tokio::test]
async fn small_messages_arrive_in_the_order_in_which_they_were_sent() {
    let ca = Authority::new();
    let a = start(&ca, "a", &[]).await;
    let b = start(&ca, "b", &[a.service.address().unwrap()]).await;
    until("a", || b.peers.others() == ["a"]).await;
    let sizes: Vec<usize> = (0..1_000).map(|n| n * 37 % 4_001).collect();
    for part in sizes.chunks(100) {
        part.iter().for_each(|&bytes| b.peers.send("a", Topic::Member, vec![1; bytes]));
        tokio::task::yield_now().await;
    }
    until("all messages", || a.notes.0.lock().len() == sizes.len()).await;
    assert_eq!(*a.notes.0.lock(), sizes);
}

/// The last words of a host that stops, such as that it leaves, are written before its connections close.
#[tokio::test]
async fn messages_sent_right_before_a_stop_arrive() {
    let ca = Authority::new();
    let a = start(&ca, "a", &[]).await;
    let mut b = start(&ca, "b", &[a.service.address().unwrap()]).await;
    b.peers.call("a", Topic::Member, Vec::new()).await.unwrap_or_default();
    until("a", || b.peers.others() == ["a"]).await;
    b.peers.call("a", Topic::Member, Vec::new()).await.unwrap();
    for _ in 0..50 {
        b.peers.send("a", Topic::Member, vec![1; 500]);
    }
    b.kernel.stop(Span::secs(5)).await;
    until("the last messages", || a.notes.0.lock().len() == 50).await;
}

/// A frame that breaks the protocol ends its own connection and no other.
#[tokio::test]
async fn broken_frames_end_their_connection_alone() {
    let ca = Authority::new();
    let a = start(&ca, "a", &[]).await;
    let to = a.service.address().unwrap();
    let b = start(&ca, "b", &[to]).await;
    until("a", || b.peers.others() == ["a"]).await;
    b.peers.call("a", Topic::Member, Vec::new()).await.unwrap();
    let tls = ca.issue(Holder::Host, "c");
    // An unknown kind, a frame longer than any, one that is empty, a call without its number.
    for bytes in [&[0, 0, 0, 1, 99][..], &[0xff; 8], &[0; 4], &[0, 0, 0, 3, 4, 1, 2]] {
        let (mut link, _) = connect(&tls, to).await;
        link.write_all(bytes).await.unwrap();
        link.flush().await.unwrap();
        let mut rest = Vec::new();
        // A reset ends it as well.
        let _ = timeout(HANG_TIMEOUT, link.read_to_end(&mut rest)).await.unwrap();
    }
    b.peers.call("a", Topic::Member, Vec::new()).await.unwrap();
}

/// Connects as host `c` and exchanges hellos; also returns the other host's question for the clock.
async fn connect(
    tls: &TlsPaths,
    to: SocketAddr,
) -> (tokio_rustls::client::TlsStream<TcpStream>, Option<Reading>) {
    let config = Credentials::load(tls).unwrap().client(ALPN_HOST).unwrap();
    let connector = tokio_rustls::TlsConnector::from(Arc::new(config));
    let name =
        rustls_pki_types::ServerName::try_from(wisteriahead::util::tls::SERVER_NAME).unwrap();
    let stream = TcpStream::connect(to).await.unwrap();
    let mut link = connector.connect(name, stream).await.unwrap();
    let hello = Hello {
        version: VERSION,
        name: "c".to_owned(),
        zone: ZONE.to_owned(),
        listen: SocketAddr::new(ANY.ip(), 9),
        others: Vec::new(),
        unpacks: false,
        clock: Some(Reading(0)),
    };
    send(&mut link, &Frame::Hello(encode(&hello).into())).await.unwrap();
    let Frame::Hello(bytes) = read_from(&mut link).await.unwrap() else { panic!() };
    (link, Hello::read(&bytes).unwrap().clock)
}
