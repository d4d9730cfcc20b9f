//! Batches of calls that reach another host late, or after their cancellation.

use crate::relay_tier::*;
use crate::support::{HANG_TIMEOUT, config};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HOST;
use hyper_util::rt::TokioIo;
use proptest::prelude::*;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use wisteriahead::core::message::Topic;
use wisteriahead::core::peers::clock::{Age, ClockOffset, Reading};
use wisteriahead::core::peers::outbox::{CANCELLATIONS_MAX, Kind, MESSAGES_MAX, Outbox};
use wisteriahead::core::peers::{BULK_MIN_BYTES, Role};
use wisteriahead::core::relay::remote::{
    BatchKey, BatchTimes, CANCELLED_MAX, NotStarted, RemoteBatches, START_WITHIN,
};
use wisteriahead::core::time::{Span, Time};
use wisteriahead::services::{Handler, Peers};
use yare::parameterized;

const HOSTS: [(&str, &str); 2] = [("north", "north"), ("south", "south")];
/// Time after which work for a caller that has left breaks the users' rule.
const GONE_AFTER: Duration = Duration::from_millis(500);
/// Time that the other host's reader stands still; a message written right before it waits for longer than
/// [`GONE_AFTER`].
const STALL: Duration = Duration::from_millis(900);

/// Blocks the reader of a connection for [`STALL`] with each message.
struct Stall;

impl Handler for Stall {
    fn receive(&self, _: &str, _: &[u8]) {
        // Other tasks go on.
        tokio::task::block_in_place(|| std::thread::sleep(STALL));
    }
}

/// Hosts whose messages go over TCP. A message with the topic [`Topic::Member`] stalls the connection at the
/// second one.
async fn start(timeout: Span) -> Tier {
    let tier = Tier::start_over(&HOSTS, SHARDS, CONNECTIONS, None, Links::Tcp).await;
    tier.gather().await;
    let mut next = plan(SHARDS, CONNECTIONS);
    next.number += 1;
    next.routes.iter_mut().for_each(|route| route.timeout = timeout);
    tier.entry_services.accepted.send_modify(|a| a.plan = Some(Arc::new(next)));
    peers(&tier, 1).set_handler(Topic::Member, Arc::new(Stall));
    // Opens both connections.
    for bytes in [1, BULK_MIN_BYTES] {
        peers(&tier, 0).send("south", Topic::Registry, noise(bytes));
    }
    sleep(PLAN_APPLY.to_std() * 2).await;
    tier.gather().await;
    tier
}

fn peers(tier: &Tier, host: usize) -> Arc<dyn Peers> {
    tier.kernels[host].context().find(<dyn Peers>::NAME).unwrap()
}

/// Bytes that cannot be compressed.
fn noise(bytes: usize) -> Vec<u8> {
    (0..bytes).map(|_| rand::random()).collect()
}

/// Sends a gather and closes its connection after `stays`.
async fn leave_after(tier: &Tier, body: Vec<u8>, stays: Duration) {
    let stream = TcpStream::connect(tier.entry).await.unwrap();
    let (mut tx, link) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.unwrap();
    let link = tokio::spawn(link);
    let request = Request::post("/q").header(HOST, "tier").header(ID, "left");
    let answer = tx.send_request(request.body(Full::<Bytes>::from(body)).unwrap());
    assert!(timeout(stays, answer).await.is_err(), "it was answered");
    link.abort();
}

fn requests(tier: &Tier) -> usize {
    tier.leaf_state.requests.load(Ordering::Relaxed)
}

/// Stalls the connection that takes messages of `bytes`, and once more for what is sent 30 ms after `request` begins:
/// what arrives in order does not arrive together, as after lost packets.
async fn stall_twice<T>(tier: &Tier, bytes: usize, request: impl Future<Output = T>) -> T {
    let peers = peers(tier, 0);
    let second = noise(bytes);
    peers.send("south", Topic::Member, noise(bytes));
    let stall_again = async {
        sleep(Duration::from_millis(30)).await;
        peers.send("south", Topic::Member, second);
    };
    tokio::join!(request, stall_again).0
}

/// Guards against GONE: a message that was 630 ms on its way gave the other host 400 ms to start 112 calls
/// whose deadline had passed.
#[tokio::test(flavor = "multi_thread")]
async fn batch_that_is_read_after_its_deadline_reaches_no_endpoint() {
    let tier = start(Span::millis(400)).await;
    tier.leaf_state.hang.store(true, Ordering::Relaxed);
    let answer = stall_twice(&tier, 1, timeout(HANG_TIMEOUT, tier.get())).await;
    let status = answer.unwrap().status();
    assert!(status.is_server_error(), "{status}");
    let in_time = requests(&tier);
    sleep(STALL * 2 + GONE_AFTER).await;
    assert_eq!(requests(&tier), in_time, "calls were sent after the deadline");
}

/// Guards against GONE on routes whose deadline is far: a batch is read long before its cancellation, or, since
/// it takes another connection, long after.
#[parameterized(
    before_its_cancellation = { 1 },
    after_its_cancellation = { BULK_MIN_BYTES * 2 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn batch_that_is_read_after_its_caller_left_reaches_no_endpoint(bytes: usize) {
    let tier = start(Span::secs(3_600)).await;
    tier.leaf_state.hang.store(true, Ordering::Relaxed);
    let body = noise(bytes);
    let leaves = leave_after(&tier, body, Duration::from_millis(60));
    stall_twice(&tier, bytes, leaves).await;
    let before = requests(&tier);
    sleep(STALL * 2 + GONE_AFTER).await;
    assert_eq!(requests(&tier), before, "calls were sent after the caller had left");
    assert_eq!(tier.leaf_state.hanging.load(Ordering::Relaxed), 0, "endpoints work on it");
}

fn at(millis: u64) -> Time {
    Time(0) + Span::millis(millis)
}

fn age(least: u64, most: u64) -> Age {
    Age { least: Span::millis(least), most: Span::millis(most) }
}

/// Load pattern: a host whose clock is hours apart sends messages that wait for longer and longer.
#[test]
fn age_of_a_message_is_known_without_clocks_in_step() {
    const APART: u64 = 7_200_000;
    let reading = |millis| Reading::from(at(APART + millis));
    let mut clock = ClockOffset::default();
    clock.record_arrival(at(3), reading(0));
    assert_eq!(clock.age(at(3), reading(0)), None, "nothing bounds the offset from below yet");
    clock.record_answer(at(9), at(4), reading(6));
    for waited in [0, 5, 250, 2_000] {
        let age = clock.age(at(100 + waited), reading(100)).unwrap();
        assert!(age.least <= Span::millis(waited) && Span::millis(waited) <= age.most, "{age:?}");
        // The bounds were 5 ms apart 2.1 s ago.
        assert!(age.most.0 - age.least.0 <= Span::millis(8).0, "{age:?}");
    }
}

/// Guards against a connection that lasts for hours: clocks drift, and the other one is asked again, but not all
/// the time by a host whose answers are slow.
#[test]
fn clock_is_asked_again_while_messages_come_and_not_more_often() {
    let mut clock = ClockOffset::default();
    let (mut asked, mut now) = (0, 0);
    while now < 3_600_000 {
        clock.record_arrival(at(now + 1), at(now).into());
        if clock.take_question(at(now + 1)) {
            clock.record_answer(at(now + 30), at(now + 1), at(now + 15).into());
            asked += 1;
        }
        now += 100;
    }
    assert!((180..=720).contains(&asked), "{asked} questions in an hour");
    assert!(clock.age(at(now), at(now).into()).unwrap().most < Span::millis(30));
}

fn timed(outbox: &mut Outbox, now: Time, role: Role) {
    outbox.push(now, Span::secs(1), Kind::Timed(role), vec![0; 100]);
}

fn kinds(outbox: &mut Outbox, now: Time) -> Vec<Kind> {
    outbox.take(now, usize::MAX).iter().map(|m| m.kind).collect()
}

/// Guards against a request that is sent after its caller has left, only to be cancelled.
#[test]
fn request_that_still_waits_is_taken_back() {
    let mut outbox = Outbox::default();
    timed(&mut outbox, at(0), Role::Work(1));
    timed(&mut outbox, at(0), Role::Work(2));
    assert!(outbox.withdraw(1));
    assert!(!outbox.withdraw(1));
    assert_eq!(kinds(&mut outbox, at(1)), [Kind::Timed(Role::Work(2))]);
    assert!(!outbox.withdraw(2), "it was sent");
    assert_eq!(outbox.bytes(), 0);
}

/// Guards against a cancellation that is lost with the connection that it was written to.
#[test]
fn cancellation_is_sent_again_over_the_next_connection() {
    let mut outbox = Outbox::default();
    timed(&mut outbox, at(0), Role::Work(1));
    timed(&mut outbox, at(0), Role::Cancel(1));
    kinds(&mut outbox, at(10));
    outbox.record_connection_end(at(20));
    assert_eq!(kinds(&mut outbox, at(30)), [Kind::Timed(Role::Cancel(1))], "and no request");
    outbox.record_connection_end(at(40));
    assert_eq!(kinds(&mut outbox, at(50)), [Kind::Timed(Role::Cancel(1))]);
    outbox.record_connection_end(at(2_000));
    assert!(outbox.is_empty(), "it is of no use any more");
}

/// Load pattern: a host that reads nothing while requests are sent and cancelled.
#[test]
fn cancellations_are_the_last_to_be_dropped_and_are_bounded() {
    let mut outbox = Outbox::default();
    timed(&mut outbox, at(0), Role::Cancel(0));
    (1..=2 * MESSAGES_MAX as u64).for_each(|n| timed(&mut outbox, at(0), Role::Work(n)));
    let left = kinds(&mut outbox, at(1));
    assert_eq!((left.len(), left[0]), (MESSAGES_MAX, Kind::Timed(Role::Cancel(0))));
    (0..10 * MESSAGES_MAX as u64).for_each(|n| timed(&mut outbox, at(1), Role::Cancel(n)));
    assert_eq!(kinds(&mut outbox, at(2)).len(), MESSAGES_MAX);
    outbox.record_connection_end(at(3));
    assert_eq!(kinds(&mut outbox, at(4)).len(), CANCELLATIONS_MAX);
}

fn key(number: u64) -> BatchKey {
    ("north".into(), number)
}

#[test]
fn batch_gets_the_time_that_is_left_of_its_own() {
    let mut batches = RemoteBatches::<()>::default();
    let left = Span::millis(250);
    let times = batches.admit(at(0), &key(1), left, age(10, 50)).unwrap();
    let rest = Span::millis(200);
    assert_eq!(times, BatchTimes { left: rest, start_within: rest });
    for (left, old) in [(250, 250), (3_600_000, START_WITHIN.as_millis())] {
        let admitted = batches.admit(at(0), &key(2), Span::millis(left), age(0, old));
        assert_eq!(admitted, Err(NotStarted::Late), "{left} ms left, {old} ms old");
    }
}

#[test]
fn cancellations_before_their_batches_are_bounded_and_forgotten() {
    let mut batches = RemoteBatches::<()>::default();
    for n in 0..2 * CANCELLED_MAX as u64 {
        assert!(batches.cancel(at(0), key(n)).is_none());
    }
    assert_eq!(batches.cancelled(), CANCELLED_MAX);
    let last = key(2 * CANCELLED_MAX as u64 - 1);
    let admit = |batches: &mut RemoteBatches<()>, now| {
        batches.admit(now, &last, Span::secs(9), Age::default()).err()
    };
    assert_eq!(admit(&mut batches, at(1)), Some(NotStarted::Cancelled));
    assert_eq!(admit(&mut batches, Time(0) + START_WITHIN), None);
    assert_eq!(batches.cancelled(), 0);
}

#[test]
fn batch_that_comes_twice_runs_once() {
    let mut batches = RemoteBatches::default();
    let admit =
        |batches: &mut RemoteBatches<_>| batches.admit(at(0), &key(1), Span::secs(9), age(0, 0));
    admit(&mut batches).unwrap();
    batches.record_start(key(1), ());
    assert_eq!(admit(&mut batches), Err(NotStarted::Repeated));
    batches.record_end(&key(1));
    assert_eq!(batches.running(), 0);
}

/// A batch and its cancellation, each with delays of its copies, in ms.
#[derive(Clone, Debug)]
struct Sent {
    at: u64,
    left: u64,
    leaves_after: u64,
    batch_delays: Vec<u64>,
    cancel_delays: Vec<u64>,
    /// Time that the calls wait for connections.
    connects: u64,
}

fn sent() -> impl Strategy<Value = Sent> {
    let delays = || prop::collection::vec(prop_oneof![0..5u64, 0..1_500u64], 1..3);
    (0..3_000u64, 50..5_000u64, 0..1_000u64, delays(), delays(), 0..300u64).prop_map(
        |(at, left, leaves_after, batch_delays, cancel_delays, connects)| Sent {
            at,
            left,
            leaves_after,
            batch_delays,
            cancel_delays,
            connects,
        },
    )
}

proptest! {
    #![proptest_config(config(400))]

    /// No call starts after the deadline of its request, nor half a second after its cancellation was sent, over
    /// all delays, repeats and orders. The receiver learns the time of its peer from messages that are late too.
    #[test]
    fn no_call_starts_late(
        list in prop::collection::vec(sent(), 1..40),
        apart in 0..10_000_000u64,
        way in 1..40u64,
        question_way in 0..40u64,
    ) {
        #[derive(Debug)]
        enum Arrival { Batch, Cancel }
        let mut arrivals = Vec::new();
        for (number, s) in list.iter().enumerate() {
            let cancelled = s.at + s.leaves_after.min(s.left);
            let batches = s.batch_delays.iter().map(|d| (s.at + way + d, number, Arrival::Batch));
            arrivals.extend(batches);
            let cancels = s.cancel_delays.iter().map(|d| (cancelled + way + d, number, Arrival::Cancel));
            arrivals.extend(cancels);
        }
        arrivals.sort_by_key(|(at, ..)| *at);
        let reading = |millis: u64| Reading::from(at(apart + millis));
        let mut clock = ClockOffset::default();
        // The receiver's clock shows 1 s when the sender's shows `apart`.
        let here = |millis: u64| at(1_000 + millis);
        clock.record_answer(here(0), at(1_000 - way - question_way), reading(0));
        let mut batches = RemoteBatches::default();
        for (now, number, arrival) in arrivals {
            let s = &list[number];
            match arrival {
                Arrival::Cancel => drop(batches.cancel(here(now), key(number as u64))),
                Arrival::Batch => {
                    clock.record_arrival(here(now), reading(s.at));
                    let age = clock.age(here(now), reading(s.at)).unwrap();
                    prop_assert!(age.least <= age.most);
                    prop_assert!(age.most >= Span::millis(now - s.at), "{age:?} of {}", now - s.at);
                    let key = key(number as u64);
                    let left = Span::millis(s.left);
                    let Ok(times) = batches.admit(here(now), &key, left, age) else { continue };
                    batches.record_start(key, ());
                    // Calls that have no connection by then are not sent.
                    let start = Span::millis(s.connects).min(times.start_within).0 / 1_000 + now;
                    prop_assert!(start <= s.at + s.left, "started after the deadline: {s:?}");
                    let gone = GONE_AFTER.as_millis() as u64;
                    let cancelled = s.at + s.leaves_after.min(s.left);
                    prop_assert!(start < cancelled + gone, "started after the caller left: {s:?}");
                }
            }
        }
    }
}
