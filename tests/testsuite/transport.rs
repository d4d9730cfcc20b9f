//! Attempts over real connections: an answer is delivered only to its own request.

use crate::props::Endpoints;
use crate::support::{ANY, HANG_TIMEOUT, until};
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

/// Records the observations of attempts.
#[derive(Default)]
struct Observations(Mutex<Vec<Observation>>);

impl Allowance for Observations {
    fn acquire(&self, _: &Target) -> Option<Permit> {
        None
    }

    fn observe(&self, _: &Target, observation: Observation) {
        self.0.lock().push(observation);
    }

    fn in_flight(&self, _: EndpointKey) -> u32 {
        0
    }
}

struct Fixture {
    observations: Arc<Observations>,
    transport: Connections,
    target: Target,
    next_id: AtomicU32,
}

impl Fixture {
    fn new(address: SocketAddr) -> Self {
        let observations = Arc::new(Observations::default());
        let transport = Connections::new(Some(observations.clone()));
        let target = Target { address, ..Endpoints::default().target("north") };
        Self { observations, transport, target, next_id: AtomicU32::new(0) }
    }

    fn attempt(&self, shard: u32, timeout: Span) -> Attempt {
        let n = self.next_id.fetch_add(1, Ordering::Relaxed);
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
        timeout(HANG_TIMEOUT, run).await.unwrap()
    }

    /// Sends a request without a fault and checks that the answer is its own.
    async fn check_answer(&self, shard: u32) {
        let body = self.run(self.attempt(shard, Span::secs(30))).await.unwrap();
        let text = String::from_utf8(body.to_vec()).unwrap();
        assert!(text.contains(&format!("kits-s1-{shard}-")), "not shard {shard}: {text}");
    }
}

/// One endpoint that holds shards 0 to 3.
async fn leaf(mean: Duration) -> (Group, Fixture) {
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
    let fixture = Fixture::new(group.leaves()[0].address());
    (group, fixture)
}

const QUICK: Duration = Duration::from_millis(1);
/// Timeout of an attempt whose answer is late; long enough that the request always runs within it.
const LATE_TIMEOUT: Span = Span::secs(4);
/// Delay of the late answer, which arrives while the next requests are in flight.
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
async fn faulty_answer_is_not_delivered(kind: Kind, reason: Reason) {
    let (group, fixture) = leaf(QUICK).await;
    fixture.check_answer(0).await;
    group.inject(&fault(kind, 1));
    let refusal = fixture.run(fixture.attempt(1, Span::secs(30))).await.unwrap_err();
    assert_eq!((refusal.verdict, refusal.reason), (Verdict::MayHaveRun, reason), "{refusal}");
    for shard in [2, 3, 0] {
        fixture.check_answer(shard).await;
    }
    assert!(matches!(fixture.observations.0.lock()[1], Observation::Failed));
}

/// Guards against answers from other data: shard 1 of eight is another part of the snapshot than
/// shard 1 of four.
#[tokio::test]
async fn request_for_another_partitioning_is_not_run() {
    let (group, fixture) = leaf(QUICK).await;
    let other = Attempt { shards: 8, ..fixture.attempt(1, Span::secs(30)) };
    let refusal = fixture.run(other).await.unwrap_err();
    assert_eq!((refusal.verdict, refusal.reason), (Verdict::NotRun, Reason::WrongSnapshot));
    fixture.check_answer(1).await;
    assert_eq!(group.executions().total, 1);
}

/// Guards against answers from other data: an endpoint that ignores the number of shards answers
/// from another part of the snapshot.
#[tokio::test]
async fn answer_of_another_partitioning_is_not_delivered() {
    let listener = TcpListener::bind(ANY).await.unwrap();
    let fixture = Fixture::new(listener.local_addr().unwrap());
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = vec![0; 4096];
        let n = stream.read(&mut head).await.unwrap();
        let answer = echo(&String::from_utf8_lossy(&head[..n]));
        stream.write_all(answer.as_bytes()).await.unwrap();
    });
    let other = Attempt { shards: 8, ..fixture.attempt(1, Span::secs(30)) };
    let refusal = fixture.run(other).await.unwrap_err();
    assert_eq!((refusal.verdict, refusal.reason), (Verdict::MayHaveRun, Reason::Mismatch));
}

#[tokio::test]
async fn late_answer_is_not_delivered() {
    let (group, fixture) = leaf(QUICK).await;
    let late = Fault { for_ms: Some(LATE_MILLIS), ..fault(Kind::Late, 1) };
    group.inject(&late);
    let refusal = fixture.run(fixture.attempt(1, LATE_TIMEOUT)).await.unwrap_err();
    assert_eq!((refusal.verdict, refusal.reason), (Verdict::MayHaveRun, Reason::Deadline));
    for shard in [2, 3, 0, 2] {
        fixture.check_answer(shard).await;
    }
    let counters = group.executions();
    assert_eq!(counters.total, 5, "each request ran once");
}

#[tokio::test]
async fn refused_attempt_has_verdict_not_run() {
    let (group, fixture) = leaf(QUICK).await;
    group.inject(&Fault::new(Kind::LoseSnapshot));
    let refusal = fixture.run(fixture.attempt(1, Span::secs(30))).await.unwrap_err();
    assert_eq!((refusal.verdict, refusal.reason), (Verdict::NotRun, Reason::WrongSnapshot));
    assert_eq!(group.executions().total, 0);
    assert_eq!(*fixture.observations.0.lock(), [Observation::Refused(Reason::WrongSnapshot)]);
}

#[tokio::test]
async fn unreachable_endpoint_has_verdict_not_run() {
    // Bound without listening, so that no other program gets the port.
    let closed = TcpSocket::new_v4().unwrap();
    closed.bind(ANY).unwrap();
    let fixture = Fixture::new(closed.local_addr().unwrap());
    let refusal = fixture.run(fixture.attempt(1, Span::secs(30))).await.unwrap_err();
    assert_eq!((refusal.verdict, refusal.reason), (Verdict::NotRun, Reason::Connection));
    assert_eq!(*fixture.observations.0.lock(), [Observation::Failed]);
}

#[tokio::test]
async fn restart_of_an_endpoint_is_observed() {
    let (_group, mut fixture) = leaf(QUICK).await;
    fixture.target.incarnation = 7;
    fixture.check_answer(0).await;
    assert_eq!(fixture.observations.0.lock()[0], Observation::Restarted(1));
}

/// Guards against an overloaded endpoint: a permit is released only when the endpoint has ended the
/// attempt, even if the caller no longer waits for the answer.
#[tokio::test]
async fn permit_is_held_until_the_endpoint_ends_the_attempt() {
    let (group, fixture) = leaf(Duration::from_millis(400)).await;
    let (group, fixture) = (Arc::new(group), Arc::new(fixture));
    let outcome = Arc::new(Mutex::new(None));
    let (note, watched) = (Arc::clone(&outcome), Arc::clone(&group));
    let permit = Permit::new(move || {
        *note.lock() = Some(watched.executions().executions[0].outcome);
    });
    let attempt = fixture.attempt(1, Span::secs(30));
    let (id, sender) = (Arc::clone(&attempt.id), Arc::clone(&fixture));
    let caller = tokio::spawn(async move {
        sender.transport.run(&sender.target, attempt, permit).await.map(drop)
    });
    until("the attempt runs", || group.executions().total == 1).await;
    caller.abort();
    assert!(caller.await.unwrap_err().is_cancelled());
    fixture.transport.cancel(&fixture.target, id);
    until("the permit is released", || outcome.lock().is_some()).await;
    assert_ne!(*outcome.lock(), Some(Outcome::Running));
    fixture.check_answer(2).await;
}

/// The shares of all hosts, and of a new host that the others do not know, stay within the limit.
#[test]
fn connection_shares_stay_within_the_limit() {
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

/// Connections above a reduced share are closed, idle ones immediately.
#[tokio::test]
async fn smaller_share_closes_excess_connections() {
    let (_group, fixture) = leaf(Duration::from_millis(50)).await;
    let sent = (0..4).map(|shard| fixture.check_answer(shard));
    futures::future::join_all(sent).await;
    assert_eq!(fixture.transport.open(), 4);
    let hosts: Vec<Arc<str>> = (0..12).map(|i| format!("h{i}").into()).collect();
    fixture.transport.set_hosts(hosts[0].clone(), hosts);
    assert_eq!(fixture.transport.open(), 1);
    fixture.check_answer(0).await;
    assert_eq!(fixture.transport.open(), 1);
}

/// Guards against an overloaded endpoint: when a host was stalled and its permit is too old, the
/// endpoint's owner may have lent the slot to another host. A request whose timeout is too short
/// is not sent either.
#[tokio::test]
async fn request_without_time_left_is_not_sent() {
    let (group, fixture) = leaf(QUICK).await;
    fixture.check_answer(0).await;
    let old = Instant::now().checked_sub(ATTEMPT_MAX.to_std()).unwrap();
    for (timeout, taken) in [(Span::micros(900), Instant::now()), (Span::secs(30), old)] {
        let attempt = fixture.attempt(1, timeout);
        let permit = Permit::acquired_at(taken, || ());
        let refusal = fixture.transport.run(&fixture.target, attempt, permit).await.unwrap_err();
        assert_eq!((refusal.verdict, refusal.reason), (Verdict::NotRun, Reason::Deadline));
    }
    fixture.check_answer(2).await;
    let counted = group.executions();
    assert_eq!((counted.total, counted.leaves["leaf"].refused), (2, 0));
}

/// Guards against a duplicate answer that is taken for the answer to the next request on the
/// connection.
#[tokio::test]
async fn duplicate_answer_is_not_delivered() {
    let listener = TcpListener::bind(ANY).await.unwrap();
    let fixture = Fixture::new(listener.local_addr().unwrap());
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
        match fixture.run(fixture.attempt(shard, Span::secs(30))).await {
            Ok(body) => assert_eq!(body, format!("kits-s1-{shard}-")),
            Err(refusal) => assert_eq!(refusal.verdict, Verdict::MayHaveRun, "{refusal}"),
        }
    }
}

/// A response that repeats the labels of a request.
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

/// Guards against reuse of a connection on which each answer belongs to the previous request.
#[tokio::test]
async fn connection_with_shifted_answers_is_closed() {
    let listener = TcpListener::bind(ANY).await.unwrap();
    let fixture = Fixture::new(listener.local_addr().unwrap());
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
        let refusal = fixture.run(fixture.attempt(shard, Span::secs(30))).await.unwrap_err();
        assert_eq!((refusal.verdict, refusal.reason), (Verdict::MayHaveRun, Reason::Mismatch));
    }
    assert_eq!(fixture.transport.open(), 0, "a connection with shifted answers stayed in the pool");
}

/// Guards against a refusal that is believed though its status is none: it says that the attempt has not run, but
/// nothing in it can be relied on.
#[parameterized(
    beyond_any_class = { 600 },
    no_class_at_all = { 999 },
    other_protocol = { 101 },
)]
#[test_macro(tokio::test)]
async fn response_without_a_final_status_is_no_refusal(status: u16) {
    let listener = TcpListener::bind(ANY).await.unwrap();
    let f = Fixture::new(listener.local_addr().unwrap());
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = vec![0; 4_096];
        let read = stream.read(&mut request).await.unwrap();
        let answer = echo(&String::from_utf8_lossy(&request[..read]));
        let refusal = answer.replace("200 OK", &format!("{status} Odd"));
        let response = refusal.replace("verdict: ran", "verdict: not-run");
        stream.write_all(response.as_bytes()).await.unwrap();
        std::future::pending::<()>().await;
    });
    let refusal = f.run(f.attempt(0, Span::secs(30))).await.unwrap_err();
    assert_eq!((refusal.verdict, refusal.reason), (Verdict::MayHaveRun, Reason::Mismatch));
}
