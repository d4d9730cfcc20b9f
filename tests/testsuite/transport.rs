//! Attempts over real connections: an answer reaches only the request that asked for it.

use crate::props::Endpoints;
use crate::support::{ANY, PATIENCE, until};
use bytes::Bytes;
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::timeout;
use wisteria_leaf::{Fault, Group, Holding, Kind, Latency, Outcome, Profile};
use wisteriahead::core::budget::ATTEMPT_MAX;
use wisteriahead::core::endpoint::host_share;
use wisteriahead::core::routes::Target;
use wisteriahead::prelude::*;
use wisteriahead::services::transport::Connections;
use wisteriahead::services::{Allowance, Attempt, Observation, Permit, Transport};
use yare::parameterized;

/// Remembers what attempts showed.
#[derive(Default)]
struct Seen(Mutex<Vec<Observation>>);

impl Allowance for Seen {
    fn acquire(&self, _: &Target) -> Option<Permit> {
        None
    }

    fn observe(&self, _: &Target, seen: Observation) {
        self.0.lock().push(seen);
    }

    fn in_flight(&self, _: EndpointKey) -> u32 {
        0
    }
}

struct Bench {
    seen: Arc<Seen>,
    transport: Connections,
    target: Target,
    serial: AtomicU32,
}

impl Bench {
    fn new(address: SocketAddr) -> Self {
        let seen = Arc::new(Seen::default());
        let transport = Connections::new(Some(seen.clone()));
        let target = Target { address, ..Endpoints::default().target("north") };
        Self { seen, transport, target, serial: AtomicU32::new(0) }
    }

    fn attempt(&self, shard: u32, timeout: Span) -> Attempt {
        let n = self.serial.fetch_add(1, Ordering::Relaxed);
        Attempt {
            id: format!("a-{n}").into(),
            idempotent: true,
            key: None,
            collection: "kits".into(),
            snapshot: "s1".into(),
            shard,
            shards: 4,
            timeout,
            body: Bytes::from_static(b"{}"),
        }
    }

    async fn run(&self, attempt: Attempt) -> Result<Bytes, Refusal> {
        let run = self.transport.run(&self.target, attempt, Permit::new(|| ()));
        timeout(PATIENCE, run).await.unwrap()
    }

    /// An answer without a fault, which must be the one to this very request.
    async fn healthy(&self, shard: u32) {
        let body = self.run(self.attempt(shard, Span::secs(30))).await.unwrap();
        let text = String::from_utf8(body.to_vec()).unwrap();
        assert!(text.contains(&format!("kits-s1-{shard}-")), "not shard {shard}: {text}");
    }
}

/// One endpoint that holds shards 0 to 3.
async fn leaf(mean: Duration) -> (Group, Bench) {
    let holding =
        |shard| Holding { collection: "kits".into(), snapshot: "s1".into(), shard, shards: 4 };
    let profile = Profile {
        name: "leaf".into(),
        host: "h".into(),
        zone: "north".into(),
        service: "kits".into(),
        holdings: (0..4).map(holding).collect(),
        slots: 4,
        bearable: 4,
        connections: 25,
        setup: Duration::ZERO,
        cold: Duration::ZERO,
        delay: Duration::ZERO,
        latency: Latency { mean, stragglers: 0.0, factor: 1.0 },
        seed: 1,
    };
    let group = Group::start(vec![(ANY, profile)], ANY, &[]).await.unwrap();
    let bench = Bench::new(group.leaves()[0].address());
    (group, bench)
}

const QUICK: Duration = Duration::from_millis(1);
/// Timeout of an attempt whose answer is late; long, so that the request surely runs in it.
const LATE_TIMEOUT: Span = Span::secs(4);
/// Delay of that answer, which comes while the next requests are under way.
const LATE_MILLIS: u64 = 4_250;

fn fault(kind: Kind, count: u32) -> Fault {
    Fault { count: Some(count), ..Fault::new(kind) }
}

#[parameterized(
    reset_before = { Kind::ResetBefore, Reason::Connection },
    reset_after = { Kind::ResetAfter, Reason::Connection },
    crossed = { Kind::Crossed, Reason::Mismatch },
    truncated = { Kind::Truncate, Reason::Connection },
)]
#[test_macro(tokio::test)]
async fn faulty_answer_reaches_nobody(kind: Kind, reason: Reason) {
    let (group, bench) = leaf(QUICK).await;
    bench.healthy(0).await;
    group.inject(&fault(kind, 1));
    let refusal = bench.run(bench.attempt(1, Span::secs(30))).await.unwrap_err();
    assert_eq!((refusal.verdict, refusal.reason), (Verdict::MayHaveRun, reason), "{refusal}");
    for shard in [2, 3, 0] {
        bench.healthy(shard).await;
    }
    assert!(matches!(bench.seen.0.lock()[1], Observation::Failed));
}

/// Shard 1 of eight is another part of the snapshot than shard 1 of four.
#[tokio::test]
async fn endpoint_of_another_partitioning_is_asked_for_nothing() {
    let (group, bench) = leaf(QUICK).await;
    let other = Attempt { shards: 8, ..bench.attempt(1, Span::secs(30)) };
    let refusal = bench.run(other).await.unwrap_err();
    assert_eq!((refusal.verdict, refusal.reason), (Verdict::NotRun, Reason::WrongSnapshot));
    bench.healthy(1).await;
    assert_eq!(group.executions().total, 1);
}

/// An endpoint that passes over the number of shards answers from another part.
#[tokio::test]
async fn answer_of_another_partitioning_reaches_nobody() {
    let listener = TcpListener::bind(ANY).await.unwrap();
    let bench = Bench::new(listener.local_addr().unwrap());
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = vec![0; 4096];
        let n = stream.read(&mut head).await.unwrap();
        let answer = echo(&String::from_utf8_lossy(&head[..n]));
        stream.write_all(answer.as_bytes()).await.unwrap();
    });
    let other = Attempt { shards: 8, ..bench.attempt(1, Span::secs(30)) };
    let refusal = bench.run(other).await.unwrap_err();
    assert_eq!((refusal.verdict, refusal.reason), (Verdict::MayHaveRun, Reason::Mismatch));
}

#[tokio::test]
async fn late_answer_reaches_nobody() {
    let (group, bench) = leaf(QUICK).await;
    let late = Fault { for_ms: Some(LATE_MILLIS), ..fault(Kind::Late, 1) };
    group.inject(&late);
    let refusal = bench.run(bench.attempt(1, LATE_TIMEOUT)).await.unwrap_err();
    assert_eq!((refusal.verdict, refusal.reason), (Verdict::MayHaveRun, Reason::Deadline));
    for shard in [2, 3, 0, 2] {
        bench.healthy(shard).await;
    }
    let counters = group.executions();
    assert_eq!(counters.total, 5, "each request ran once");
}

#[tokio::test]
async fn refused_attempt_is_proven_not_run() {
    let (group, bench) = leaf(QUICK).await;
    group.inject(&Fault::new(Kind::LoseSnapshot));
    let refusal = bench.run(bench.attempt(1, Span::secs(30))).await.unwrap_err();
    assert_eq!((refusal.verdict, refusal.reason), (Verdict::NotRun, Reason::WrongSnapshot));
    assert_eq!(group.executions().total, 0);
    assert_eq!(*bench.seen.0.lock(), [Observation::Refused(Reason::WrongSnapshot)]);
}

#[tokio::test]
async fn unreachable_endpoint_is_proven_not_run() {
    // Bound but not listening, so that no other program gets the port.
    let closed = TcpSocket::new_v4().unwrap();
    closed.bind(ANY).unwrap();
    let bench = Bench::new(closed.local_addr().unwrap());
    let refusal = bench.run(bench.attempt(1, Span::secs(30))).await.unwrap_err();
    assert_eq!((refusal.verdict, refusal.reason), (Verdict::NotRun, Reason::Connection));
    assert_eq!(*bench.seen.0.lock(), [Observation::Failed]);
}

#[tokio::test]
async fn restart_of_an_endpoint_is_observed() {
    let (_group, mut bench) = leaf(QUICK).await;
    bench.target.incarnation = 7;
    bench.healthy(0).await;
    assert_eq!(bench.seen.0.lock()[0], Observation::Restarted(1));
}

/// The right to send comes back only when the endpoint has ended the attempt, also when nobody
/// waits for its answer any more.
#[tokio::test]
async fn permit_is_held_until_the_endpoint_has_ended() {
    let (group, bench) = leaf(Duration::from_millis(400)).await;
    let (group, bench) = (Arc::new(group), Arc::new(bench));
    let outcome = Arc::new(Mutex::new(None));
    let (note, watched) = (Arc::clone(&outcome), Arc::clone(&group));
    let permit = Permit::new(move || {
        *note.lock() = Some(watched.executions().executions[0].outcome);
    });
    let attempt = bench.attempt(1, Span::secs(30));
    let (id, sender) = (Arc::clone(&attempt.id), Arc::clone(&bench));
    let caller = tokio::spawn(async move {
        sender.transport.run(&sender.target, attempt, permit).await.map(drop)
    });
    until("the attempt runs", || group.executions().total == 1).await;
    caller.abort();
    assert!(caller.await.unwrap_err().is_cancelled());
    bench.transport.cancel(&bench.target, id);
    until("the permit is back", || outcome.lock().is_some()).await;
    assert_ne!(*outcome.lock(), Some(Outcome::Running));
    bench.healthy(2).await;
}

/// The shares of all hosts, and of one that the others do not know yet, stay within the limit.
#[test]
fn connections_are_shared_within_the_limit() {
    for connections in 2..60u32 {
        for n in 1..40usize {
            let known: Vec<Arc<str>> = (0..n).map(|i| format!("h{i}").into()).collect();
            let new: Vec<Arc<str>> = known.iter().cloned().chain(["new".into()]).collect();
            let sum: u32 = known.iter().map(|h| host_share("leaf", connections, h, &known)).sum();
            let all = sum + host_share("leaf", connections, "new", &new);
            assert!(all <= connections, "{all} of {connections} for {n} hosts");
            assert!(sum > 0, "no host may open a connection of {connections}");
        }
    }
}

/// Connections above a smaller share are closed, idle ones at once.
#[tokio::test]
async fn smaller_share_closes_connections() {
    let (_group, bench) = leaf(Duration::from_millis(50)).await;
    let sent = (0..4).map(|shard| bench.healthy(shard));
    futures::future::join_all(sent).await;
    assert_eq!(bench.transport.open(), 4);
    let hosts: Vec<Arc<str>> = (0..12).map(|i| format!("h{i}").into()).collect();
    bench.transport.set_hosts(hosts[0].clone(), hosts);
    assert_eq!(bench.transport.open(), 1);
    bench.healthy(0).await;
    assert_eq!(bench.transport.open(), 1);
}

/// A request that cannot be answered in time, or whose permit is too old since its host was
/// stalled, is not sent: the endpoint's owner may have lent the slot on.
#[tokio::test]
async fn request_without_time_left_is_not_sent() {
    let (group, bench) = leaf(QUICK).await;
    bench.healthy(0).await;
    let old = Instant::now().checked_sub(ATTEMPT_MAX.to_std()).unwrap();
    for (timeout, taken) in [(Span::micros(900), Instant::now()), (Span::secs(30), old)] {
        let attempt = bench.attempt(1, timeout);
        let permit = Permit::acquired_at(taken, || ());
        let refusal = bench.transport.run(&bench.target, attempt, permit).await.unwrap_err();
        assert_eq!((refusal.verdict, refusal.reason), (Verdict::NotRun, Reason::Deadline));
    }
    bench.healthy(2).await;
    let counted = group.executions();
    assert_eq!((counted.total, counted.leaves["leaf"].refused), (2, 0));
}

/// An endpoint that answers each request twice: the second answer meets no other request.
#[tokio::test]
async fn doubled_answer_reaches_nobody() {
    let listener = TcpListener::bind(ANY).await.unwrap();
    let bench = Bench::new(listener.local_addr().unwrap());
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                let mut head = vec![0; 4096];
                while let Ok(n) = stream.read(&mut head).await
                    && n > 0
                {
                    let text = String::from_utf8_lossy(&head[..n]).into_owned();
                    let answer = echo(&text);
                    let twice = format!("{answer}{answer}");
                    let _ = stream.write_all(twice.as_bytes()).await;
                }
            });
        }
    });
    for shard in 0..20 {
        match bench.run(bench.attempt(shard, Span::secs(30))).await {
            Ok(body) => assert_eq!(body, format!("kits-s1-{shard}-")),
            Err(refusal) => assert_eq!(refusal.verdict, Verdict::MayHaveRun, "{refusal}"),
        }
    }
}

/// An answer that repeats the labels of a request.
fn echo(head: &str) -> String {
    let field = |name: &str| {
        let line = head.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(": "));
        line.unwrap_or_default().to_owned()
    };
    let (attempt, shard) = (field("wisteria-attempt"), field("wisteria-shard"));
    let body = format!("kits-s1-{shard}-");
    format!(
        "HTTP/1.1 200 OK\r\nwisteria-attempt: {attempt}\r\nwisteria-snapshot: s1\r\n\
         wisteria-shard: {shard}\r\nwisteria-shards: 4\r\nwisteria-verdict: ran\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A connection whose answers are out of step by one is never used again.
#[tokio::test]
async fn connection_out_of_step_is_closed() {
    let listener = TcpListener::bind(ANY).await.unwrap();
    let bench = Bench::new(listener.local_addr().unwrap());
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                let mut before = "wisteria-attempt: other\r\nwisteria-shard: 9\r\n".to_owned();
                let mut head = vec![0; 4096];
                while let Ok(n) = stream.read(&mut head).await
                    && n > 0
                {
                    let _ = stream.write_all(echo(&before).as_bytes()).await;
                    before = String::from_utf8_lossy(&head[..n]).into_owned();
                }
            });
        }
    });
    for shard in 0..3 {
        let refusal = bench.run(bench.attempt(shard, Span::secs(30))).await.unwrap_err();
        assert_eq!((refusal.verdict, refusal.reason), (Verdict::MayHaveRun, Reason::Mismatch));
    }
    assert_eq!(bench.transport.open(), 0, "a connection out of step stayed in the pool");
}
