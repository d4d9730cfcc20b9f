//! Batches of calls that reach another host late, or after their cancellation.

use crate::relay_tier::*;
use crate::support::HANG_TIMEOUT;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HOST;
use hyper_util::rt::TokioIo;
use rand::RngExt as _;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use wisteriahead::core::message::Topic;
use wisteriahead::core::peers::BULK_MIN_BYTES;
use wisteriahead::prelude::*;
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
    let mut list = vec![0; bytes];
    rand::rng().fill(&mut list[..]);
    list
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

/// Stalls the connection that takes messages of `bytes`, and once more for what is sent 30 ms later: what arrives in
/// order does not arrive together, as after lost packets.
async fn stall_twice(tier: &Tier, bytes: usize) {
    let peers = peers(tier, 0);
    peers.send("south", Topic::Member, noise(bytes));
    sleep(Duration::from_millis(30)).await;
    peers.send("south", Topic::Member, noise(bytes));
}

/// Guards against GONE: a message that was 630 ms on its way gave the other host 400 ms to start 112 calls
/// whose deadline had passed.
#[tokio::test(flavor = "multi_thread")]
async fn batch_that_is_read_after_its_deadline_reaches_no_endpoint() {
    let tier = start(Span::millis(400)).await;
    tier.leaf_state.hang.store(true, Ordering::Relaxed);
    let (answer, ()) = tokio::join!(timeout(HANG_TIMEOUT, tier.get()), stall_twice(&tier, 1));
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
    let leaves = leave_after(&tier, noise(bytes), Duration::from_millis(60));
    tokio::join!(leaves, stall_twice(&tier, bytes));
    let before = requests(&tier);
    sleep(STALL * 2 + GONE_AFTER).await;
    assert_eq!(requests(&tier), before, "calls were sent after the caller had left");
    assert_eq!(tier.leaf_state.hanging.load(Ordering::Relaxed), 0, "endpoints work on it");
}
