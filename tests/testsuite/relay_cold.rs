//! Endpoints behind relays that start again unseen.

use crate::relay_tier::*;
use hyper::StatusCode;
use std::sync::Arc;
use std::time::Instant;
use wisteria_testkit::wait::wait_until;
use wisteriahead::core::plan::Route;
use wisteriahead::prelude::*;

/// Requests per second that an endpoint bears in cold start.
const COLD_RATE: usize = 4;
/// Time for which the host counts requests to a cold endpoint.
const WINDOW: Span = Span::millis(1_150);

/// Guards against an endpoint that ends, starts again under its name and address, and gets all requests
/// at once before it has announced that it is cold.
#[tokio::test]
async fn endpoint_that_starts_again_unseen_gets_what_it_bears_in_cold_start() {
    let tier = Tier::start_with(&[("a", "south")], SHARDS).await;
    let get = async |path: &str| get_path(tier.entry, "s0", path, "r").await.unwrap().status();
    wait_until("the plan is followed", async || get("/q").await == StatusCode::OK).await;
    let number = tier.entry_services.accepted.borrow().plan.as_ref().unwrap().number + 1;
    let mut next = plan(SHARDS, CONNECTIONS);
    next.number = number;
    for service in next.services.values_mut() {
        (service.cold_rate, service.cold_time) = (COLD_RATE as u64 * 1_000, Span::secs(600));
    }
    // A route that only this plan has shows when it is followed.
    let added = next.routes[0].clone();
    next.routes.push(Route { host: "added".into(), name: "added".into(), ..added });
    tier.entry_services.accepted.send_modify(|a| a.plan = Some(Arc::new(next)));
    wait_until("the next plan is followed", async || {
        get_path(tier.entry, "added", "/q", "r").await.unwrap().status() == StatusCode::OK
    })
    .await;
    let leaves = ["s0-0", "s0-1"].map(|name| tier.leaf_state.processes.lock()[name].clone());
    leaves.iter().for_each(|leaf| leaf.crash());
    wait_until("nothing accepts connections", async || get("/q").await != StatusCode::OK).await;
    // The host finds both addresses closed.
    for _ in 0..4 {
        get("/q").await;
    }
    for leaf in &leaves {
        leaf.revive().await;
    }
    let count = || ["s0-0", "s0-1"].map(|name| tier.leaf_state.requests_at(name));
    let (before, started) = (count(), Instant::now());
    for _ in 0..40 {
        get("/q").await;
    }
    let windows = 1 + (started.elapsed().as_micros() as u64 / WINDOW.0) as usize;
    for (before, after) in before.into_iter().zip(count()) {
        let got = after - before;
        assert!(got > 0, "a cold endpoint bears some requests");
        assert!(got <= COLD_RATE * windows, "{got} requests in {windows} windows");
    }
}
