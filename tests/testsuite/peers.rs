use crate::support::{ANY, Authority, HANG_TIMEOUT, Host, ZONE, until};
use anyhow::{Result, bail};
use futures::future::BoxFuture;
use parking_lot::Mutex;
use rustls_pki_types::ServerName;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use tokio::io::AsyncReadExt as _;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_rustls::TlsConnector;
use tokio_rustls::client::TlsStream;
use wisteriahead::core::control::changes::Change;
use wisteriahead::core::message::{ENVELOPE_MAX_BYTES, Envelope, Topic, VERSION, encode};
use wisteriahead::core::peers::outbox::{self, Kind as Sent, Outbox};
use wisteriahead::core::time::{Span, Time};
use wisteriahead::core::verdict::{Reason, Refusal, Verdict};
use wisteriahead::kernel::Kernel;
use wisteriahead::services::Handler;
use wisteriahead::services::peers::wire::{Answer, CONTACTS_MAX, Contact, Frame, Hello, send};
use wisteriahead::services::peers::{PeerSettings, PeersService};
use wisteriahead::util::tls::{ALPN_HOST, Credentials, HostKeys, Kind, SERVER_NAME, TlsPaths};

/// Records messages and answers calls with the caller's name and body.
#[derive(Default)]
struct Echo {
    received: Mutex<Vec<(String, Vec<u8>)>>,
}

impl Handler for Echo {
    fn receive(&self, from: &str, body: &[u8]) {
        self.received.lock().push((from.to_owned(), body.to_vec()));
    }

    fn answer<'a>(&'a self, from: &'a str, body: &'a [u8]) -> BoxFuture<'a, Result<Vec<u8>>> {
        Box::pin(async move { Ok([from.as_bytes(), b":", body].concat()) })
    }
}

async fn start(ca: &Authority, name: &str, seeds: &[SocketAddr]) -> (Host, Arc<Echo>) {
    let host = Host::start(name, ca.issue(Kind::Host, name), seeds).await;
    let echo = Arc::new(Echo::default());
    host.peers.set_handler(Topic::Member, echo.clone());
    (host, echo)
}

/// A connection to a host's peer port without a `PeersService`.
struct Link(TlsStream<TcpStream>);

/// Opens a connection to a host's peer port without a `PeersService`.
async fn connect(tls: &TlsPaths, to: SocketAddr) -> Result<Link> {
    let config = Credentials::load(tls)?.client(ALPN_HOST)?;
    let connector = TlsConnector::from(Arc::new(config));
    let stream = TcpStream::connect(to).await?;
    let name = ServerName::try_from(SERVER_NAME)?;
    Ok(Link(timeout(HANG_TIMEOUT, connector.connect(name, stream)).await??))
}

impl Link {
    async fn write(&mut self, frame: &Frame) -> Result<()> {
        Ok(send(&mut self.0, frame).await?)
    }

    /// Reads the next frame.
    async fn read(&mut self) -> Result<Frame> {
        let read = async {
            let mut bytes = vec![0; self.0.read_u32().await? as usize];
            self.0.read_exact(&mut bytes).await?;
            Ok(Frame::read(bytes.into())?)
        };
        timeout(HANG_TIMEOUT, read).await?
    }

    /// Sends a hello and returns the host's.
    async fn exchange_hello(&mut self, hello: Vec<u8>) -> Result<Hello> {
        self.write(&Frame::Hello(hello.into())).await?;
        match self.read().await? {
            Frame::Hello(bytes) => Ok(Hello::read(&bytes)?),
            other => bail!("{other:?}"),
        }
    }

    /// Calls with an envelope and returns the answer.
    async fn call(&mut self, number: u64, envelope: Vec<u8>) -> Result<Answer> {
        self.write(&Frame::Call(number, envelope.into())).await?;
        match self.read().await? {
            Frame::Answer(n, answer) if n == number => Ok(answer),
            other => bail!("{other:?}"),
        }
    }

    /// Waits until the host closes the connection; returns the cause that it gives.
    async fn closed(&mut self) -> String {
        match self.read().await {
            Ok(Frame::Refused(cause)) => cause,
            other => panic!("{other:?}"),
        }
    }
}

fn hello(name: &str) -> Vec<u8> {
    encode(&Hello {
        version: VERSION,
        name: name.to_owned(),
        zone: ZONE.to_owned(),
        listen: SocketAddr::new(ANY.ip(), 9),
        others: Vec::new(),
        unpacks: false,
        clock: None,
    })
}

fn envelope(version: u16, from: &str) -> Vec<u8> {
    let body = b"x".to_vec();
    encode(&Envelope { version, from: from.to_owned(), topic: Topic::Member, body })
}

#[tokio::test]
async fn three_hosts_discover_each_other_from_one_seed() {
    let ca = Authority::new();
    let a = start(&ca, "a", &[]).await;
    let seeds = [a.0.address];
    let hosts = [start(&ca, "b", &seeds).await, start(&ca, "c", &seeds).await, a];
    for (host, _) in &hosts {
        until("two others", || host.peers.others().len() == 2).await;
        for to in host.peers.others() {
            let answer = host.peers.call(&to, Topic::Member, b"hi".to_vec()).await.unwrap();
            assert_eq!(answer, format!("{}:hi", host.peers.host()).into_bytes());
            host.peers.send(&to, Topic::Member, b"one-way".to_vec());
        }
    }
    for (host, echo) in &hosts {
        until("both messages", || echo.received.lock().len() == 2).await;
        let mut received = echo.received.lock().clone();
        received.sort();
        let mut from = host.peers.others();
        from.sort();
        let want: Vec<_> = from.into_iter().map(|n| (n, b"one-way".to_vec())).collect();
        assert_eq!(received, want);
    }
    for (host, _) in hosts {
        host.stop().await;
    }
}

/// Guards against a full mesh of connections, in which each host of a large tier dials all others
/// at its start.
#[tokio::test]
async fn contacts_of_a_hello_are_dialled_only_to_send() {
    let ca = Authority::new();
    let (a, _) = start(&ca, "a", &[]).await;
    let contact_socket = tokio::net::TcpListener::bind(ANY).await.unwrap();
    let contact = |i| {
        let listen = if i == 0 {
            contact_socket.local_addr().unwrap()
        } else {
            SocketAddr::new(ANY.ip(), 9)
        };
        Contact { name: format!("z{i}"), listen }
    };
    let others = (0..5 * CONTACTS_MAX).map(contact).collect();
    let listen = SocketAddr::new(ANY.ip(), 9);
    let (name, zone) = ("b".to_owned(), ZONE.to_owned());
    let hello = Hello { version: VERSION, name, zone, listen, others, unpacks: false, clock: None };
    let mut link = connect(&ca.issue(Kind::Host, "b"), a.address).await.unwrap();
    link.exchange_hello(encode(&hello)).await.unwrap();
    until("a contact", || a.peers.others().contains(&"z0".to_owned())).await;
    assert!(a.peers.others().len() <= CONTACTS_MAX, "{} are known", a.peers.others().len());
    let mut dialled = pin!(contact_socket.accept());
    let early = futures::poll!(&mut dialled);
    assert!(early.is_pending(), "dialled with nothing to send: {early:?}");
    a.peers.send("z0", Topic::Member, Vec::new());
    let dialled = timeout(HANG_TIMEOUT, dialled).await;
    assert!(matches!(dialled, Ok(Ok(_))), "it was not dialled: {dialled:?}");
}

#[tokio::test]
async fn host_restarted_at_a_new_address_is_rediscovered() {
    let ca = Authority::new();
    let (a, _) = start(&ca, "a", &[]).await;
    let (b, _) = start(&ca, "b", &[a.address]).await;
    until("b", || a.peers.others() == ["b"]).await;
    b.stop().await;
    let b = Host::start("b", ca.paths("b"), &[a.address]).await;
    b.peers.set_handler(Topic::Member, Arc::new(Echo::default()));
    let called = async { while a.peers.call("b", Topic::Member, Vec::new()).await.is_err() {} };
    timeout(HANG_TIMEOUT, called).await.unwrap();
}

#[tokio::test]
async fn failed_call_names_unknown_host_missing_handler_or_size_limit() {
    let ca = Authority::new();
    let (a, _) = start(&ca, "a", &[]).await;
    let (b, _) = start(&ca, "b", &[a.address]).await;
    until("a", || b.peers.others() == ["a"]).await;
    let e = b.peers.call("z", Topic::Member, Vec::new()).await.unwrap_err();
    assert!(format!("{e:#}").contains("`z` is not known"), "{e:#}");
    let e = b.peers.call("a", Topic::Orders, Vec::new()).await.unwrap_err();
    assert!(format!("{e:#}").contains("does not serve"), "{e:#}");
    let e = b.peers.call("a", Topic::Member, vec![0; ENVELOPE_MAX_BYTES]).await.unwrap_err();
    assert!(format!("{e:#}").contains("at most"), "{e:#}");
}

#[tokio::test]
async fn certificate_of_another_authority_is_rejected() {
    let (ca, other) = (Authority::new(), Authority::new());
    let (a, echo) = start(&ca, "a", &[]).await;
    let mut tls = other.issue(Kind::Host, "b");
    // The client trusts the host's authority, so only the host's check can reject the connection.
    tls.ca = ca.paths("a").ca;
    let done = async { connect(&tls, a.address).await?.exchange_hello(hello("b")).await };
    assert!(done.await.is_err());
    assert!(a.peers.others().is_empty());
    assert!(echo.received.lock().is_empty());
}

#[tokio::test]
async fn operator_certificate_is_rejected_on_peer_port() {
    let ca = Authority::new();
    let (a, _) = start(&ca, "a", &[]).await;
    let mut link = connect(&ca.issue(Kind::Operator, "ann"), a.address).await.unwrap();
    link.write(&Frame::Hello(hello("ann").into())).await.unwrap();
    let cause = link.closed().await;
    assert!(cause.contains("kind operator"), "{cause}");
    assert!(a.peers.others().is_empty());
}

#[tokio::test]
async fn host_does_not_start_with_an_operator_certificate() {
    let ca = Authority::new();
    let tls = ca.issue(Kind::Operator, "ann");
    let settings = PeerSettings {
        host: "ann".to_owned(),
        zone: ZONE.to_owned(),
        listen: ANY,
        seeds: Vec::new(),
        keys: HostKeys::Files(tls),
    };
    let started = Kernel::default().start(Arc::new(PeersService::new(settings))).await;
    assert!(format!("{:#}", started.unwrap_err()).contains("kind operator"));
}

#[tokio::test]
async fn hello_name_must_match_the_certificate() {
    let ca = Authority::new();
    let (a, _) = start(&ca, "a", &[]).await;
    let mut link = connect(&ca.issue(Kind::Host, "b"), a.address).await.unwrap();
    assert!(link.exchange_hello(hello("c")).await.is_err());
    assert!(a.peers.others().is_empty());
}

#[tokio::test]
async fn forged_and_malformed_messages_are_refused() {
    let ca = Authority::new();
    let (a, echo) = start(&ca, "a", &[]).await;
    let mut link = connect(&ca.issue(Kind::Host, "b"), a.address).await.unwrap();
    link.exchange_hello(hello("b")).await.unwrap();
    let bad = [
        (envelope(VERSION, "c"), "signed by `c`"),
        (envelope(VERSION + 1, "b"), "version"),
        (b"\xc1 rubbish".to_vec(), "malformed"),
        (Vec::new(), "malformed"),
    ];
    for (bytes, cause) in bad {
        let answer = link.call(7, bytes.clone()).await.unwrap();
        let Answer::Refused(said) = answer else { panic!("{answer:?}") };
        assert!(said.contains(cause), "{said}");
        link.write(&Frame::Message(bytes.into())).await.unwrap();
    }
    let answer = link.call(8, envelope(VERSION, "b")).await.unwrap();
    assert_eq!(answer, Answer::Done(b"b:x".to_vec()));
    assert!(echo.received.lock().is_empty());
}

#[tokio::test]
async fn malformed_hello_is_refused() {
    let ca = Authority::new();
    let (a, _) = start(&ca, "a", &[]).await;
    let tls = ca.issue(Kind::Host, "b");
    for bytes in [Vec::new(), b"\xc1".to_vec(), vec![0; 1 << 20]] {
        let mut link = connect_until_admitted(&tls, a.address).await;
        assert!(link.exchange_hello(bytes).await.is_err());
    }
    let mut link = connect_until_admitted(&tls, a.address).await;
    link.exchange_hello(hello("b")).await.unwrap();
}

/// Never answers a call.
struct Silent;

impl Handler for Silent {
    fn receive(&self, _: &str, _: &[u8]) {}

    fn answer<'a>(&'a self, _: &'a str, _: &'a [u8]) -> BoxFuture<'a, Result<Vec<u8>>> {
        Box::pin(std::future::pending())
    }
}

/// Guards against memory that calls without end fill, however small they are.
#[tokio::test]
async fn calls_in_progress_are_bounded_in_number() {
    const CALLS: u64 = 4_096;
    let ca = Authority::new();
    let (a, _) = start(&ca, "a", &[]).await;
    a.peers.set_handler(Topic::Member, Arc::new(Silent));
    let mut link = connect(&ca.issue(Kind::Host, "b"), a.address).await.unwrap();
    link.exchange_hello(hello("b")).await.unwrap();
    for number in 0..CALLS {
        let call = Frame::Call(number, envelope(VERSION, "b").into());
        link.write(&call).await.unwrap();
    }
    let answer = link.call(CALLS, envelope(VERSION, "b")).await.unwrap();
    let Answer::Refused(cause) = answer else { panic!("{answer:?}") };
    assert!(cause.contains("too many calls"), "{cause}");
}

/// Connects until the handshake succeeds: after a refusal an address is let in again after a pause.
async fn connect_until_admitted(tls: &TlsPaths, to: SocketAddr) -> Link {
    let admitted = async {
        loop {
            if let Ok(link) = connect(tls, to).await {
                return link;
            }
        }
    };
    timeout(HANG_TIMEOUT, admitted).await.unwrap()
}

#[test]
fn full_outbox_drops_and_counts_the_oldest() {
    let mut outbox = Outbox::default();
    let push = |outbox: &mut Outbox, bytes| {
        outbox.push(Time(0), Span::secs(1), Sent::Message, bytes);
    };
    for i in 0..outbox::MESSAGES_MAX + 3 {
        push(&mut outbox, i.to_be_bytes().to_vec());
    }
    assert_eq!(outbox.dropped(), 3);
    assert_eq!(outbox.take(Time(0), 0)[0].envelope, 3usize.to_be_bytes());
    push(&mut outbox, vec![0; outbox::BYTES_MAX]);
    let taken = outbox.take(Time(0), 0);
    assert_eq!((taken.len(), taken[0].envelope.len()), (1, outbox::BYTES_MAX));
    assert_eq!(outbox.bytes(), 0);
}

/// Calls a host until it answers.
async fn call_until_answered(from: &Host, to: &str) {
    let called = async { while from.peers.call(to, Topic::Member, Vec::new()).await.is_err() {} };
    timeout(HANG_TIMEOUT, called).await.unwrap();
}

/// Proposes a document that lists hosts with these states.
async fn propose_hosts(host: &Host, base: u64, states: &[(&str, &str)]) -> Result<u64, Refusal> {
    let mut text = format!("[[zone]]\nname = \"{ZONE}\"\n");
    for (name, state) in states {
        text += &format!("[[host]]\nname = \"{name}\"\nzone = \"{ZONE}\"\nstate = \"{state}\"\n");
    }
    let id = format!("{base} {states:?}");
    host.control.propose(Change { id, operator: "ann".into(), base, text }).await
}

#[tokio::test]
async fn retired_host_is_disconnected_until_it_serves_again() {
    let ca = Authority::new();
    let (a, _) = start(&ca, "a", &[]).await;
    let (b, _) = start(&ca, "b", &[a.address]).await;
    let (c, echo) = start(&ca, "c", &[a.address]).await;
    for (from, to) in [(&a, "c"), (&b, "c"), (&c, "a"), (&c, "b")] {
        call_until_answered(from, to).await;
    }
    let mut connection = connect(&ca.paths("c"), a.address).await.unwrap();
    connection.exchange_hello(hello("c")).await.unwrap();
    assert_eq!(propose_hosts(&a, 0, &[("c", "retired")]).await.unwrap(), 1);
    for (host, left) in [(&a, "b"), (&b, "a")] {
        until("the retired host is gone", || host.peers.others() == [left]).await;
        assert!(host.peers.call("c", Topic::Member, Vec::new()).await.is_err());
    }
    let closed = connection.closed().await;
    assert!(closed.contains("retired"), "{closed}");
    let again =
        async { connect(&ca.paths("c"), b.address).await?.exchange_hello(hello("c")).await };
    assert!(again.await.is_err());
    assert!(c.peers.call("a", Topic::Member, Vec::new()).await.is_err());
    assert!(c.peers.call("b", Topic::Member, Vec::new()).await.is_err());
    let before = echo.received.lock().len();
    a.peers.send("c", Topic::Member, Vec::new());
    assert_eq!(propose_hosts(&a, 1, &[("c", "serving")]).await.unwrap(), 2);
    for (from, to) in [(&c, "a"), (&c, "b"), (&a, "c"), (&b, "c")] {
        call_until_answered(from, to).await;
    }
    assert_eq!(
        echo.received.lock().len(),
        before,
        "a message to a retired host was delivered later"
    );
}

#[tokio::test]
async fn change_that_retires_the_last_voter_is_refused() {
    let ca = Authority::new();
    let (a, _) = start(&ca, "a", &[]).await;
    let (b, _) = start(&ca, "b", &[a.address]).await;
    until("b", || a.peers.others() == ["b"]).await;
    let wait = async { while propose_hosts(&b, 0, &[("b", "serving")]).await.is_err() {} };
    timeout(HANG_TIMEOUT, wait).await.unwrap();
    // `a` is the only voter.
    for host in [&a, &b] {
        let refusal = propose_hosts(host, 1, &[("a", "retired")]).await.unwrap_err();
        assert_eq!((refusal.verdict, refusal.reason), (Verdict::NotRun, Reason::BadRequest));
        assert!(refusal.detail.contains("`a` may not be retired"), "{refusal}");
        assert!(refusal.detail.contains("1 voters 0 would be left"), "{refusal}");
    }
    assert_eq!(b.peers.others(), ["a"]);
    assert_eq!(propose_hosts(&b, 1, &[("b", "retired")]).await.unwrap(), 2);
}
