//! Requests that are sent long after they arrived: they go by what the host knows then.

use crate::relay_tier::*;
use crate::support::HANG_TIMEOUT;
use hyper::StatusCode;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use wisteria_testkit::wait::wait_until;
use wisteriahead::core::routes::Routes;
use yare::parameterized;

/// Requests that fill both endpoints of a shard.
const FILLING: usize = 16;
const ORDERS: usize = 8;

async fn tier() -> Tier {
    let tier = Tier::start_with(&[("a", "south")], 2).await;
    let served = async || get_path(tier.entry, "s0", "/q", "first").await.unwrap().status();
    wait_until("the plan is followed", async || served().await == StatusCode::OK).await;
    tier
}

/// Takes the first endpoint of the first shard out, and waits until the host follows that.
async fn drain_first(tier: &Tier) {
    let services = &tier.entry_services;
    let mut next: Routes = (**services.routes.lock()).clone();
    let replicas = next.services.get_mut("s0").unwrap();
    *replicas = Arc::new(replicas.iter().filter(|t| *t.name != *"s0-0").cloned().collect());
    // The other shard goes, so that it shows when the host follows the change.
    next.services.swap_remove("s1");
    *services.routes.lock() = Arc::new(next);
    services.changes.send_modify(|n| *n += 1);
    let refused = async || get_path(tier.entry, "s1", "/q", "r").await.unwrap().status();
    wait_until("the endpoints are followed", async || refused().await != StatusCode::OK).await;
}

/// Sends the head and half of the body of an order; returns once the host has taken it.
async fn begin(tier: &Tier, n: usize) -> TcpStream {
    let mut stream = TcpStream::connect(tier.entry).await.unwrap();
    let head = format!(
        "POST /q HTTP/1.1\r\nhost: once\r\n{ID}: late-{n}\r\nexpect: 100-continue\r\n\
         content-length: 4\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    // The host asks for the body once it has found the route.
    let mut interim = [0; 25];
    timeout(HANG_TIMEOUT, stream.read_exact(&mut interim)).await.unwrap().unwrap();
    assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
    stream.write_all(b"ab").await.unwrap();
    stream
}

/// Guards against requests that reach an endpoint long after it began to drain (review/8): an order whose
/// body comes late, and one that waits for a slot besides, go by the endpoints known when they are sent.
#[parameterized(
    endpoints_are_free = { 0 },
    endpoints_are_full = { FILLING },
)]
#[test_macro(tokio::test)]
async fn order_is_not_sent_to_an_endpoint_that_drains_since_it_arrived(filling: usize) {
    let tier = tier().await;
    tier.leaf_state.hang.store(true, Ordering::Relaxed);
    let entry = tier.entry;
    let filling: Vec<_> = (0..filling)
        .map(|i| {
            tokio::spawn(async move { get_path(entry, "once", "/q", &format!("f-{i}")).await })
        })
        .collect();
    let hanging = || tier.leaf_state.hanging.load(Ordering::Relaxed);
    wait_until("the endpoints are full", async || hanging() == filling.len()).await;
    let mut orders = Vec::new();
    for n in 0..ORDERS {
        orders.push(begin(&tier, n).await);
    }
    drain_first(&tier).await;
    let before = tier.leaf_state.requests_at("s0-0");
    tier.leaf_state.hang.store(false, Ordering::Relaxed);
    for order in &mut orders {
        order.write_all(b"cd").await.unwrap();
    }
    filling.iter().for_each(JoinHandle::abort);
    for order in &mut orders {
        let mut answer = [0; 15];
        timeout(HANG_TIMEOUT, order.read_exact(&mut answer)).await.unwrap().unwrap();
        assert_eq!(&answer, b"HTTP/1.1 200 OK");
    }
    assert_eq!(tier.leaf_state.requests_at("s0-0"), before, "the draining endpoint got an order");
}
