//! Requests that crash endpoints behind relays: few copies reach endpoints, and no other request is
//! refused, whatever ends the endpoints.

use crate::relay_tier::*;
use crate::support::HANG_TIMEOUT;
use hyper::StatusCode;
use indexmap::IndexSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::{sleep, timeout};
use wisteria_testkit::wait::wait_until;
use wisteriahead::core::quarantine::{Admission, request_digest};
use wisteriahead::services::quarantine::RequestQuarantine;
use yare::parameterized;

const HOSTS: [(&str, &str); 2] = [("a", "south"), ("b", "south")];
/// Status of a request that is quarantined.
const QUARANTINED: StatusCode = StatusCode::UNPROCESSABLE_ENTITY;
/// Copies of a request that may reach endpoints.
const COPIES_MAX: usize = 3;
/// Time after which an endpoint that has crashed is back.
const BACK_AFTER: Duration = Duration::from_millis(20);

async fn start(hosts: &[(&'static str, &'static str)]) -> Tier {
    let tier = Tier::start_with(hosts, SHARDS).await;
    for &entry in &tier.entries {
        wait_until("the plan is followed", async || {
            get_path(entry, "s0", "/q", "r").await.unwrap().status() == StatusCode::OK
        })
        .await;
    }
    tier
}

/// Starts all endpoints again that have crashed.
async fn revive(state: &LeafState) {
    let processes: Vec<_> = state.processes.lock().values().cloned().collect();
    for process in processes {
        process.revive().await;
    }
}

async fn status(tier: &Tier, host: usize, route: &str, path: &str, id: &str) -> StatusCode {
    let answer = get_path(tier.entries[host], route, path, id);
    timeout(HANG_TIMEOUT, answer).await.expect("the caller is answered").unwrap().status()
}

/// Sends the request `path` again and again until the test ends; true if a copy was refused without a
/// run.
fn keep_in_flight(tier: &Tier, host: usize, path: &'static str) -> Arc<AtomicBool> {
    let (entry, refused) = (tier.entries[host], Arc::new(AtomicBool::new(false)));
    let seen = refused.clone();
    tokio::spawn(async move {
        while let Ok(answer) = get_path(entry, "s0", path, "popular").await {
            let refused = answer.status() == QUARANTINED && answer.headers().contains_key(RETRY);
            seen.fetch_or(refused, Ordering::Relaxed);
        }
    });
    refused
}

/// Guards against a request that crashes each endpoint that runs it and is sent on without end
/// (review/5), for each kind of route.
#[parameterized(
    one_endpoint = { "s0", &HOSTS },
    once_only = { "once", &HOSTS },
    gather = { "tier", &HOSTS },
    gather_through_another_host = { "tier", &[("north", "north"), ("south", "south")] },
    gather_in_a_large_zone = { "tier", &LARGE_ZONE },
)]
#[test_macro(tokio::test)]
async fn crashing_request_reaches_endpoints_few_times(
    route: &'static str,
    hosts: &'static [(&'static str, &'static str)],
) {
    let tier = start(hosts).await;
    let mut last = StatusCode::OK;
    for copy in 0..12 {
        let host = copy % tier.entries.len();
        last = status(&tier, host, route, "/poison", &format!("copy-{copy}")).await;
        sleep(BACK_AFTER).await;
        revive(&tier.leaf_state).await;
    }
    let crashes = tier.leaf_state.crashes.lock().clone();
    let copies: IndexSet<_> = crashes.iter().collect();
    assert!((1..=COPIES_MAX).contains(&copies.len()), "{crashes:?}");
    assert_eq!(last, QUARANTINED);
    // Others are served, also by the same route.
    assert_eq!(status(&tier, 0, route, "/q", "other").await, StatusCode::OK);
}

/// Guards against the loss of a second endpoint of each shard to a gather that has crashed the first.
#[tokio::test]
async fn crashing_gather_is_sent_again_to_one_shard_only() {
    let tier = start(&HOSTS).await;
    status(&tier, 0, "tier", "/poison", "copy").await;
    let crashes = tier.leaf_state.crashes.lock().len();
    assert!(crashes <= SHARDS + 1, "{crashes} endpoints crashed");
}

/// Guards against harmless requests that are refused since they were in flight at the endpoints that
/// another request crashed.
#[tokio::test]
async fn request_in_flight_beside_a_crashing_one_is_served() {
    let tier = start(&HOSTS).await;
    let refused: Vec<_> = (0..2).map(|host| keep_in_flight(&tier, host, "/popular")).collect();
    for copy in 0..12 {
        status(&tier, copy % 2, "s0", "/poison", &format!("copy-{copy}")).await;
        sleep(BACK_AFTER).await;
        revive(&tier.leaf_state).await;
    }
    for (host, refused) in refused.iter().enumerate() {
        assert_eq!(status(&tier, host, "s0", "/popular", "last").await, StatusCode::OK);
        assert!(!refused.load(Ordering::Relaxed), "refused at host {host}");
    }
}

/// Guards against a popular request that is refused since it is always in flight where endpoints end,
/// whatever ends them.
#[tokio::test]
async fn popular_request_is_served_though_endpoints_end_for_other_reasons() {
    let tier = start(&HOSTS).await;
    let refused: Vec<_> = (0..2).map(|host| keep_in_flight(&tier, host, "/popular")).collect();
    for end in 0..8 {
        let process = tier.leaf_state.processes.lock()[&format!("s0-{}", end % 2)].clone();
        process.crash();
        sleep(BACK_AFTER).await;
        process.revive().await;
        for host in 0..2 {
            wait_until("the request is served", async || {
                status(&tier, host, "s0", "/popular", "next").await == StatusCode::OK
            })
            .await;
        }
    }
    for (host, refused) in refused.iter().enumerate() {
        assert!(!refused.load(Ordering::Relaxed), "refused at host {host}");
    }
}

/// Guards against an availability zone that loses power and puts all out of service that was in flight
/// there.
#[parameterized(one_endpoint = { "s0" }, gather = { "tier" })]
#[test_macro(tokio::test)]
async fn requests_in_flight_in_a_zone_that_ends_are_served_again(route: &'static str) {
    let tier = start(&HOSTS).await;
    tier.leaf_state.hang.store(true, Ordering::Relaxed);
    let entries = tier.entries.clone();
    let sent: Vec<_> = (0..8)
        .map(|i| {
            let entry = entries[i % 2];
            tokio::spawn(async move { get_path(entry, route, &format!("/q{i}"), "r").await })
        })
        .collect();
    wait_until("all are in flight", async || {
        tier.leaf_state.hanging.load(Ordering::Relaxed) >= sent.len()
    })
    .await;
    tier.leaf_state.processes.lock().values().for_each(|process| process.crash());
    tier.leaf_state.hang.store(false, Ordering::Relaxed);
    for request in sent {
        timeout(HANG_TIMEOUT, request).await.unwrap().unwrap().unwrap();
    }
    revive(&tier.leaf_state).await;
    for i in 0..8 {
        for host in 0..2 {
            let answer = status(&tier, host, route, &format!("/q{i}"), "again").await;
            assert_eq!(answer, StatusCode::OK, "/q{i} at host {host}");
        }
    }
}

/// Guards against a host that was cut off from the others and lets the request crash endpoints anew.
#[tokio::test]
async fn host_learns_of_a_quarantine_once_a_cut_ends() {
    /// Reports of two deaths, each sent three times.
    const REPORTS: usize = 6;
    let tier = start(&HOSTS).await;
    tier.network.cut.store(true, Ordering::Relaxed);
    let before = tier.network.sent.load(Ordering::Relaxed);
    for copy in 0..COPIES_MAX {
        status(&tier, 0, "s0", "/poison", &format!("copy-{copy}")).await;
        sleep(BACK_AFTER).await;
        revive(&tier.leaf_state).await;
    }
    let crashes = tier.leaf_state.crashes.lock().len();
    wait_until("all reports are lost", async || {
        tier.network.sent.load(Ordering::Relaxed) >= before + REPORTS
    })
    .await;
    tier.network.cut.store(false, Ordering::Relaxed);
    let other =
        tier.kernels[1].context().find::<dyn RequestQuarantine>(<dyn RequestQuarantine>::NAME);
    let (other, digest) = (other.unwrap(), request_digest("s0", "GET /poison", b""));
    wait_until("the other host has heard", async || {
        matches!(other.admit(&digest, &|_| true), Admission::Refused(_))
    })
    .await;
    assert_eq!(status(&tier, 1, "s0", "/poison", "other").await, QUARANTINED);
    assert_eq!(tier.leaf_state.crashes.lock().len(), crashes);
}
