//! Injected faults, connection limits and the distribution of execution times.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use wisteria_leaf::{Fault, Group, Kind, Latency, Outcome, Profile, State};

use crate::support::*;

fn snapshot_fault(kind: Kind, snapshot: &str) -> Fault {
    Fault { snapshot: Some(snapshot.to_owned()), ..Fault::new(kind) }
}

fn search_on_snapshot(attempt: &str, snapshot: &str) -> Request<Full<Bytes>> {
    let mut request = search_request(attempt);
    request
        .headers_mut()
        .insert("wisteria-snapshot", snapshot.parse().expect("a valid header value"));
    request
}

#[tokio::test]
async fn late_fault_delays_the_response_after_the_execution() {
    let group = start_group(profile(Duration::ZERO)).await;
    let address = group.leaves()[0].address();
    let forever = Some(FOREVER.as_millis() as u64);
    let fault = Fault { count: Some(1), for_ms: forever, ..Fault::new(Kind::Late) };
    assert!(group.inject(&fault));
    let late = tokio::spawn(send(address, search_request("a1")));
    wait_for_executions(&group, 1).await;
    assert_eq!(send(address, search_request("a2")).await.unwrap().status, StatusCode::OK);
    assert!(group.executions().executions.iter().all(|e| e.outcome == Outcome::Ran));
    assert!(!late.is_finished());
    late.abort();
}

#[tokio::test]
async fn injected_cold_start_is_announced_and_overload_collapses_the_leaf() {
    let (entry, mut announcements) = start_entry_host().await;
    let leaves = vec![(loopback_any_port(), profile(FOREVER))];
    let group = Group::start(leaves, loopback_any_port(), &[entry]).await.unwrap();
    assert_eq!(announcements.recv().await.unwrap().state, State::Warm);
    let forever = Some(FOREVER.as_millis() as u64);
    assert!(group.inject(&Fault { for_ms: forever, ..Fault::new(Kind::Cold) }));
    while announcements.recv().await.unwrap().state != State::Starting {}

    let address = group.leaves()[0].address();
    let running: Vec<_> =
        ["a1", "a2"].into_iter().map(|a| tokio::spawn(send(address, search_request(a)))).collect();
    wait_for_executions(&group, 2).await;
    let counters = group.executions().leaves["leaf-0"];
    assert_eq!((counters.max_cold, counters.collapsed), (2, 1));
    running.iter().for_each(tokio::task::JoinHandle::abort);
}

#[tokio::test]
async fn request_on_a_lost_snapshot_is_refused_as_not_run() {
    let group = start_group(profile(Duration::ZERO)).await;
    let address = group.leaves()[0].address();
    assert!(group.inject(&snapshot_fault(Kind::LoseSnapshot, "other")));
    assert_eq!(send(address, search_request("a1")).await.unwrap().status, StatusCode::OK);
    assert!(group.inject(&snapshot_fault(Kind::LoseSnapshot, "s1")));
    let refused = send(address, search_request("a2")).await.unwrap();
    assert_eq!(refused.status, StatusCode::CONFLICT);
    assert_eq!(refused.header("wisteria-verdict"), "not-run");
    assert_eq!(refused.header("wisteria-reason"), "wrong-snapshot");
    assert_eq!(group.executions().total, 1);
}

#[tokio::test]
async fn added_snapshot_is_announced_and_served_along_with_the_old_one() {
    let (entry, mut announcements) = start_entry_host().await;
    let leaves = vec![(loopback_any_port(), profile(Duration::ZERO))];
    let group = Group::start(leaves, loopback_any_port(), &[entry]).await.unwrap();
    let address = group.leaves()[0].address();
    let early = send(address, search_on_snapshot("a1", "s2")).await.unwrap();
    assert_eq!(early.header("wisteria-reason"), "wrong-snapshot");
    assert!(group.inject(&snapshot_fault(Kind::AddSnapshot, "s2")));
    for (attempt, snapshot) in [("a2", "s1"), ("a3", "s2")] {
        let reply = send(address, search_on_snapshot(attempt, snapshot)).await.unwrap();
        assert_eq!(reply.header("wisteria-snapshot"), snapshot);
        assert_eq!(reply.header("wisteria-verdict"), "ran");
    }
    let held = loop {
        let next = announcements.recv().await.unwrap();
        if next.holdings.len() == 2 {
            break next.holdings;
        }
    };
    assert_eq!((held[1].snapshot.as_str(), held[1].shard), ("s2", held[0].shard));
}

#[tokio::test]
async fn connection_over_the_limit_is_closed_until_another_ends() {
    let group = start_group(Profile { connections: 1, ..profile(FOREVER) }).await;
    let address = group.leaves()[0].address();
    let first = tokio::spawn(send(address, search_request("a1")));
    wait_for_executions(&group, 1).await;
    assert!(send(address, search_request("a2")).await.is_err());
    let counters = group.executions().leaves["leaf-0"];
    assert_eq!((counters.max_connections, counters.extra_connections), (1, 1));
    first.abort();
    let mut served = send(address, cancel_request("a3")).await;
    while served.is_err() {
        tokio::time::sleep(Duration::from_millis(1)).await;
        served = send(address, cancel_request("a3")).await;
    }
    assert_eq!(group.executions().leaves["leaf-0"].max_connections, 1);
}

#[tokio::test]
async fn no_request_is_executed_before_the_connection_is_set_up() {
    let group = start_group(Profile { setup: FOREVER, ..profile(Duration::ZERO) }).await;
    let waiting = tokio::spawn(send(group.leaves()[0].address(), search_request("a1")));
    while group.executions().leaves.get("leaf-0").is_none_or(|c| c.max_connections == 0) {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(group.executions().total, 0);
    assert!(!waiting.is_finished());
    waiting.abort();
}

#[tokio::test]
async fn frozen_leaf_serves_again_once_the_freeze_is_cleared() {
    let group = start_group(profile(FOREVER)).await;
    let address = group.leaves()[0].address();
    let before = tokio::spawn(send(address, search_request("a1")));
    wait_for_executions(&group, 1).await;
    assert!(group.inject(&Fault::new(Kind::Freeze)));
    let during = tokio::spawn(send(address, search_request("a2")));
    while group.executions().leaves["leaf-0"].max_connections < 2 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert!(!during.is_finished());
    assert!(group.inject(&Fault::new(Kind::Clear)));
    let after = send(address, cancel_request("a1")).await.unwrap();
    assert_eq!(after.status, StatusCode::NO_CONTENT);
    assert_eq!(before.await.unwrap().unwrap().header("wisteria-reason"), "cancelled");
    during.abort();
}

#[tokio::test]
async fn freeze_ends_after_its_duration() {
    let group = start_group(profile(Duration::ZERO)).await;
    let address = group.leaves()[0].address();
    assert!(group.inject(&Fault { for_ms: Some(20), ..Fault::new(Kind::Freeze) }));
    let mut reply = send(address, search_request("a1")).await;
    while reply.is_err() {
        reply = send(address, search_request("a1")).await;
    }
    assert_eq!(reply.unwrap().header("wisteria-verdict"), "ran");
    assert_eq!(group.executions().total, 1);
}

#[test]
fn execution_time_depends_only_on_seed_shard_and_body() {
    let latency = Latency { mean: Duration::from_millis(5), stragglers: 0.01, factor: 10.0 };
    let samples = |seed: u64, shard: u32| -> Vec<Duration> {
        (0..100_u8).map(|n| latency.sample(seed, shard, &[n])).collect()
    };
    assert_eq!(samples(1, 2), samples(1, 2));
    assert_ne!(samples(1, 2), samples(2, 2));
    assert_ne!(samples(1, 2), samples(1, 3));
}

#[test]
fn share_of_stragglers_matches_the_setting() {
    let latency = Latency { mean: Duration::from_millis(5), stragglers: 0.1, factor: 1_000.0 };
    let slow = (0..10_000_u32)
        .filter(|n| latency.sample(7, 0, &n.to_be_bytes()) >= Duration::from_millis(2_500))
        .count();
    assert!((900..1_100).contains(&slow), "{slow} of 10000");
}
