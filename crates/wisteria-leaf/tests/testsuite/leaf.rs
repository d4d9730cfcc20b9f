//! Behaviour of a stand-in endpoint as seen by entry hosts and through the control port.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use serde_json::json;
use tokio::net::{TcpSocket, TcpStream};
use wisteria_leaf::{Fault, Group, Kind, Outcome, Profile, State, shard_hits};

use crate::support::*;

#[tokio::test]
async fn search_answers_with_the_hits_of_its_shard() {
    let group = start_group(profile(Duration::ZERO)).await;
    let reply = send(group.leaves()[0].address(), search_request("a1")).await.unwrap();
    assert_eq!(reply.status, StatusCode::OK);
    assert_eq!(reply.header("wisteria-attempt"), "a1");
    assert_eq!(reply.header("wisteria-snapshot"), "s1");
    assert_eq!(reply.header("wisteria-shard"), "3");
    assert_eq!(reply.header("wisteria-incarnation"), "1");
    assert_eq!(reply.header("wisteria-verdict"), "ran");
    assert_eq!(reply.body, json!({"hits": shard_hits("kits", "s1", 3)}));
}

#[tokio::test]
async fn order_runs_once_and_is_logged_with_its_key() {
    let group = start_group(profile(Duration::ZERO)).await;
    let mut request = run_request("a1", "order", &json!({"id": "o-9"}));
    request.headers_mut().insert("idempotency-key", "k-1".parse().unwrap());
    let reply = send(group.leaves()[0].address(), request).await.unwrap();
    assert_eq!(reply.body, json!({"order": "o-9", "leaf": "leaf-0"}));
    let log = group.executions();
    assert_eq!(log.executions.len(), 1);
    assert_eq!(log.executions[0].key.as_deref(), Some("k-1"));
    assert_eq!(log.executions[0].id.as_deref(), Some("o-9"));
    assert_eq!(log.executions[0].outcome, Outcome::Ran);
}

#[tokio::test]
async fn request_without_a_free_slot_is_refused_and_cancellation_stops_executions() {
    let group = start_group(profile(FOREVER)).await;
    let address = group.leaves()[0].address();
    let first = tokio::spawn(send(address, search_request("a1")));
    let second = tokio::spawn(send(address, search_request("a2")));
    wait_for_executions(&group, 2).await;

    let third = send(address, search_request("a3")).await.unwrap();
    assert_eq!(third.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(third.header("wisteria-verdict"), "not-run");
    assert_eq!(third.header("wisteria-reason"), "busy");
    assert_eq!(group.executions().total, 2);

    for (attempt, running) in [("a1", first), ("a2", second)] {
        assert_eq!(
            send(address, cancel_request(attempt)).await.unwrap().status,
            StatusCode::NO_CONTENT
        );
        let stopped = running.await.unwrap().unwrap();
        assert_eq!(stopped.status.as_u16(), 499);
        assert_eq!(stopped.header("wisteria-verdict"), "may-have-run");
        assert_eq!(stopped.header("wisteria-reason"), "cancelled");
    }
    let log = group.executions();
    assert!(log.executions.iter().all(|e| e.outcome == Outcome::Cancelled));
    assert_eq!(log.leaves["leaf-0"].max_concurrent, 2);
}

#[tokio::test]
async fn request_cancelled_before_it_arrives_is_not_executed() {
    let group = start_group(profile(Duration::ZERO)).await;
    let address = group.leaves()[0].address();
    assert_eq!(send(address, cancel_request("a1")).await.unwrap().status, StatusCode::NO_CONTENT);
    let reply = send(address, search_request("a1")).await.unwrap();
    assert_eq!(reply.status.as_u16(), 499);
    assert_eq!(reply.header("wisteria-verdict"), "not-run");
    assert_eq!(group.executions().total, 0);
}

#[tokio::test]
async fn deadline_stops_an_execution() {
    let group = start_group(profile(FOREVER)).await;
    let mut request = search_request("a1");
    request.headers_mut().insert("wisteria-timeout-ms", "5".parse().unwrap());
    let reply = send(group.leaves()[0].address(), request).await.unwrap();
    assert_eq!(reply.status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(reply.header("wisteria-verdict"), "may-have-run");
    assert_eq!(group.executions().executions[0].outcome, Outcome::Deadline);
}

#[tokio::test]
async fn cold_leaf_collapses_above_its_bearable_load() {
    let group = start_group(Profile { cold: FOREVER, ..profile(FOREVER) }).await;
    let address = group.leaves()[0].address();
    let first = tokio::spawn(send(address, search_request("a1")));
    wait_for_executions(&group, 1).await;
    assert_eq!(group.executions().leaves["leaf-0"].collapsed, 0);
    let second = tokio::spawn(send(address, search_request("a2")));
    wait_for_executions(&group, 2).await;
    let counters = group.executions().leaves["leaf-0"];
    assert_eq!((counters.collapsed, counters.max_cold), (1, 2));
    first.abort();
    second.abort();
}

#[tokio::test]
async fn poison_request_kills_the_leaf_until_it_is_revived() {
    let group = start_group(profile(Duration::ZERO)).await;
    let address = group.leaves()[0].address();
    assert!(send(address, run_request("a1", "search", &json!({"poison": true}))).await.is_err());
    assert_eq!(group.executions().total, 1);
    assert!(group.inject(&Fault::new(Kind::Revive)));
    let revived = loop {
        if TcpStream::connect(address).await.is_ok()
            && let Ok(reply) = send(address, search_request("a2")).await
        {
            break reply;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    };
    assert_eq!(revived.header("wisteria-incarnation"), "2");
}

#[tokio::test]
async fn control_port_injects_faults_and_returns_the_execution_log() {
    let group = start_group(profile(Duration::ZERO)).await;
    let address = group.leaves()[0].address();
    let fault = json!({"leaf": "leaf-0", "kind": "reset-after", "count": 1});
    let request = Request::post("/fault")
        .header("host", "control")
        .body(Full::new(Bytes::from(fault.to_string())))
        .unwrap();
    let answer = send(group.control(), request).await.unwrap();
    assert_eq!(answer.status, StatusCode::NO_CONTENT);
    assert!(send(address, search_request("a1")).await.is_err());
    assert_eq!(send(address, search_request("a2")).await.unwrap().status, StatusCode::OK);
    let request =
        Request::get("/executions").header("host", "control").body(Full::default()).unwrap();
    let log = send(group.control(), request).await.unwrap().body;
    assert_eq!(log["total"], 2);
    assert_eq!(log["executions"][0]["attempt"], "a1");
    assert_eq!(log["executions"][0]["outcome"], "ran");
}

#[tokio::test]
async fn reset_before_executes_nothing_and_crossed_returns_another_attempt() {
    let group = start_group(profile(Duration::ZERO)).await;
    let address = group.leaves()[0].address();
    for kind in [Kind::ResetBefore, Kind::Crossed, Kind::Truncate] {
        assert!(group.inject(&Fault { count: Some(1), ..Fault::new(kind) }));
    }
    assert!(send(address, search_request("a1")).await.is_err());
    assert_eq!(group.executions().total, 0);
    let crossed = send(address, search_request("a2")).await.unwrap();
    assert_ne!(crossed.header("wisteria-attempt"), "a2");
    assert!(send(address, search_request("a3")).await.is_err());
    assert_eq!(send(address, search_request("a4")).await.unwrap().header("wisteria-attempt"), "a4");
    assert_eq!(group.executions().total, 3);
}

#[tokio::test]
async fn draining_leaf_refuses_requests_and_continues_executions() {
    let group = start_group(profile(FOREVER)).await;
    let address = group.leaves()[0].address();
    let first = tokio::spawn(send(address, search_request("a1")));
    wait_for_executions(&group, 1).await;
    assert!(group.inject(&Fault::new(Kind::Drain)));
    let refused = send(address, search_request("a2")).await.unwrap();
    assert_eq!(refused.header("wisteria-reason"), "draining");
    assert_eq!(group.executions().executions[0].outcome, Outcome::Running);
    first.abort();
}

#[tokio::test]
async fn frozen_leaf_neither_responds_nor_executes() {
    let group = start_group(profile(Duration::ZERO)).await;
    let address = group.leaves()[0].address();
    assert!(group.inject(&Fault::new(Kind::Freeze)));
    let waiting = tokio::spawn(send(address, search_request("a1")));
    while group.executions().leaves.get("leaf-0").is_none_or(|c| c.max_connections == 0) {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert!(!waiting.is_finished());
    assert_eq!(group.executions().total, 0);
    waiting.abort();
}

#[tokio::test]
async fn leaf_announces_to_the_next_entry_host_if_one_fails() {
    let closed = TcpSocket::new_v4().unwrap();
    closed.bind(loopback_any_port()).unwrap();
    let (entry, mut announcements) = start_entry_host().await;
    let entries = [closed.local_addr().unwrap(), entry];
    let profile = Profile { cold: FOREVER, ..profile(Duration::ZERO) };
    let group = Group::start(vec![(loopback_any_port(), profile)], loopback_any_port(), &entries)
        .await
        .unwrap();
    let first = announcements.recv().await.unwrap();
    assert_eq!(first.address, group.leaves()[0].address());
    assert_eq!((first.state, first.bearable), (State::Starting, 1));
    assert!(group.inject(&Fault::new(Kind::Lie)));
    let lie = loop {
        let next = announcements.recv().await.unwrap();
        assert!(next.sequence > first.sequence);
        if next.state == State::Warm {
            break next;
        }
    };
    assert_eq!((lie.incarnation, lie.bearable), (1, 2));
}
