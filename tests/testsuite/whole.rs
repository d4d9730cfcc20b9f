//! End-to-end tests with real processes: daemons, test endpoints and `wisteriactl`.

use serde_json::json;
use wisteria_testkit::client;
use wisteria_testkit::process::program_folder;
use wisteria_testkit::tier::Tier;
use wisteria_testkit::wait::wait_until;

pub const ADMIT_ANY: &str =
    "[[zone]]\nname = \"north\"\n\n[[zone]]\nname = \"south\"\n\n[rules]\nadmit = \"any\"\n";

/// Three daemons in two zones; each zone holds all `shards` shards of snapshot `s1`.
pub async fn tier(shards: usize) -> Tier {
    let mut tier = Tier::new(&program_folder().unwrap()).unwrap();
    for (host, zone) in [("entry-1", "north"), ("entry-2", "north"), ("entry-3", "south")] {
        tier.start_daemon(host, zone, &["--log-level", "warn"]).await.unwrap();
    }
    let n = shards.to_string();
    for (zone, to) in [("north", 0), ("south", 2)] {
        let name = format!("{zone}-{{i}}");
        let args = ["--zone", zone, "--name", &name, "--shards", &n, "--snapshot", "s1"];
        tier.start_leaves(shards, &[to], &args).await.unwrap();
    }
    tier.apply_inventory(0, ADMIT_ANY).await.unwrap();
    tier
}

#[tokio::test]
async fn search_at_any_host_covers_all_shards() {
    let tier = tier(4).await;
    let mut answers = Vec::new();
    for daemon in 0..3 {
        let answer = tier.wait_for_shards(daemon, "kits", 4).await.unwrap();
        assert_eq!(answer["verdict"], "ran");
        assert_eq!(answer["snapshot"], "s1");
        assert_eq!(answer["coverage"]["missing"], json!([]));
        assert_eq!(answer["hits"].as_array().unwrap().len(), 10);
        answers.push(answer["hits"].clone());
    }
    assert_eq!(answers[0], answers[1]);
    assert_eq!(answers[0], answers[2]);
}

#[tokio::test]
async fn every_host_knows_every_endpoint() {
    let tier = tier(2).await;
    for daemon in 0..3 {
        tier.wait_for_endpoints(daemon, 4).await.unwrap();
    }
}

#[tokio::test]
async fn lost_shard_is_reported_as_missing() {
    let tier = tier(4).await;
    tier.wait_for_shards(1, "kits", 4).await.unwrap();
    for leaves in &tier.leaves {
        let fault = json!({"leaf": 2, "kind": "die"});
        let answer = client::post(leaves.control, "/fault", &fault).await.unwrap();
        assert!(answer.status.is_success(), "{answer:?}");
    }
    let answer = tier.wait_for_shards(1, "kits", 3).await.unwrap();
    assert_eq!(answer["coverage"], json!({"shards": 4, "answered": 3, "missing": [2]}));
    let body = json!({"collection": "kits", "query": {}, "min_coverage": 1.0});
    let refused = client::post(tier.daemons[1].callers, "/v1/search", &body).await.unwrap();
    assert_eq!(refused.status, 503);
    assert_eq!(refused.body["reason"], "coverage");
}

#[tokio::test]
async fn bad_request_error_names_the_field() {
    let tier = tier(1).await;
    let callers = tier.daemons[0].callers;
    let cases = [
        (json!({"collection": "kits"}), 400, "query"),
        (json!({"collection": "k/ts", "query": {}}), 400, "collection"),
        (json!({"collection": "kits", "query": {}, "limit": 100_000}), 400, "limit"),
        (json!({"collection": "kits", "query": {}, "min_coverage": 2}), 400, "min_coverage"),
        (json!({"collection": "cord", "query": {}}), 404, "cord"),
    ];
    for (body, status, named) in cases {
        let answer = client::post(callers, "/v1/search", &body).await.unwrap();
        assert_eq!(answer.status, status, "{body}");
        assert_eq!(answer.body["verdict"], "not-run", "{body}");
        let detail = answer.body["detail"].as_str().unwrap().to_owned();
        assert!(detail.contains(named), "`{detail}` does not name `{named}`");
    }
}

#[tokio::test]
async fn sigterm_finishes_a_search_in_flight() {
    let mut tier = Tier::new(&program_folder().unwrap()).unwrap();
    tier.start_daemon("entry-1", "north", &["--log-level", "warn"]).await.unwrap();
    let slow = ["--shards", "2", "--snapshot", "s1", "--mean-us", "700000"];
    tier.start_leaves(2, &[0], &slow).await.unwrap();
    tier.apply_inventory(0, ADMIT_ANY).await.unwrap();
    tier.wait_for_shards(0, "kits", 2).await.unwrap();
    let callers = tier.daemons[0].callers;
    let headers = [("wisteria-timeout-ms", "60000")];
    let body = json!({"collection": "kits", "query": {}}).to_string();
    let search = tokio::spawn(async move {
        client::send(callers, hyper::Method::POST, "/v1/search", &headers, body).await
    });
    let control = tier.leaves[0].control;
    wait_for_execution(control).await;
    tier.daemons[0].process.terminate().await.unwrap();
    let answer = search.await.unwrap().unwrap();
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.body["coverage"]["answered"], 2);
    assert!(tier.daemons[0].process.wait().await.unwrap());
}

/// Waits until a test endpoint is running a request.
async fn wait_for_execution(control: std::net::SocketAddr) {
    wait_until("an execution", async || {
        let seen = client::get(control, "/executions").await.unwrap();
        let all = seen.body["executions"].as_array().unwrap();
        all.iter().any(|e| e["outcome"] == "running")
    })
    .await;
}
