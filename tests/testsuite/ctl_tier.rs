//! Output and exit statuses of `wisteriactl` against daemons in processes of their own.

use crate::whole::ADMIT_ANY;
use serde_json::{Value, json};
use wisteria_testkit::process::program_folder;
use wisteria_testkit::tier::Tier;
use wisteria_testkit::wait::wait_until;

const DONE: i32 = 0;
const FAILED: i32 = 1;
const USAGE: i32 = 2;
const REFUSED: i32 = 3;
const WAIT_TIMEOUT: i32 = 4;
const UNKNOWN: i32 = 5;

/// Three voters, one in the north and two in the south, and two endpoints in the north.
async fn tier() -> Tier {
    let mut tier = Tier::new(&program_folder().unwrap()).unwrap();
    tier.voters = ["v1", "v2", "v3"].map(str::to_owned).into();
    for (host, zone) in [("v1", "north"), ("v2", "south"), ("v3", "south")] {
        tier.start_daemon(host, zone, &["--log-level", "info"]).await.unwrap();
    }
    let leaves = ["--zone", "north", "--name", "leaf-{i}", "--shards", "2", "--snapshot", "s1"];
    tier.start_leaves(2, &[0], &leaves).await.unwrap();
    tier.apply_inventory(0, ADMIT_ANY).await.unwrap();
    tier
}

/// Runs the tool, checks its exit status and returns its output.
async fn ctl(tier: &Tier, daemon: usize, args: &[&str], status: i32) -> String {
    let (code, output) = tier.ctl(daemon, args).await.unwrap();
    assert_eq!(code, Some(status), "{args:?}: {output}");
    output
}

async fn json(tier: &Tier, daemon: usize, command: &[&str]) -> Value {
    let args = [command, &["--json"]].concat();
    serde_json::from_str(&ctl(tier, daemon, &args, DONE).await).unwrap()
}

/// Runs a change command until a quorum accepts the change.
async fn change(tier: &Tier, daemon: usize, args: &[&str]) -> String {
    let mut last = String::new();
    wait_until("an accepted change", async || {
        let (code, output) = tier.ctl(daemon, args).await.unwrap();
        assert!([DONE, REFUSED, UNKNOWN].map(Some).contains(&code), "{args:?}: {output}");
        last = output;
        code == Some(DONE)
    })
    .await;
    last
}

#[tokio::test]
async fn changes_are_waited_for_and_recorded_in_the_audit_trail() {
    let tier = tier().await;
    let wait = ["--wait", "--timeout", "10m"];
    let out = [&["zone", "out", "north", "--id", "z1"][..], &wait].concat();
    let output = change(&tier, 2, &out).await;
    assert!(output.contains("Accepted availability zone north out by revision 2"), "{output}");
    assert!(output.contains("In force revision 2 at 3 hosts"), "{output}");
    for daemon in 0..3 {
        let zones = json(&tier, daemon, &["zones"]).await;
        assert_eq!(zones[0]["state"], "out", "{zones}");
        assert_eq!(json(&tier, daemon, &["status"]).await["revision"], 2);
    }
    let back = [&["zone", "in", "north", "--id", "z2"][..], &wait].concat();
    change(&tier, 1, &back).await;
    // A resend of the first change returns its revision, although another change came between.
    assert!(change(&tier, 0, &out).await.contains("revision 2"));
    assert_eq!(json(&tier, 0, &["zones"]).await[0]["state"], "in");

    let mut hosts = json(&tier, 0, &["revisions"]).await;
    hosts.as_array_mut().unwrap().sort_by_key(|h| h["host"].to_string());
    for (host, (name, zone)) in
        hosts.as_array().unwrap().iter().zip([("v1", "north"), ("v2", "south"), ("v3", "south")])
    {
        assert_eq!((&host["host"], &host["zone"]), (&json!(name), &json!(zone)));
        assert_eq!(host["revision"], 3, "{hosts}");
    }
    let output = ctl(&tier, 0, &["revision", "wait", "9", "--timeout", "1ms"], WAIT_TIMEOUT).await;
    assert!(output.contains("revision 9 is not in force after 1ms at"), "{output}");
    ctl(&tier, 0, &["revision", "wait", "3", "--timeout", "10m"], DONE).await;

    let trail = ctl(&tier, 1, &["audit", "--json"], DONE).await;
    let trail: Vec<Value> = trail.lines().map(|l| serde_json::from_str(l).unwrap()).collect();
    let entry_of = |id: &str| trail.iter().find(|e| e["id"] == id).unwrap();
    for (id, revision) in [("z1", 2), ("z2", 3)] {
        let entry = entry_of(id);
        assert_eq!(
            (&entry["operator"], &entry["result"]),
            (&json!("operator"), &json!("accepted"))
        );
        assert_eq!(entry["revision"], revision, "{entry}");
        for field in ["seq", "time_ms", "what", "hash"] {
            assert!(!entry[field].is_null(), "no {field} in {entry}");
        }
    }
    let later =
        ctl(&tier, 1, &["audit", "--after", &entry_of("z1")["seq"].to_string()], DONE).await;
    assert!(later.contains("zone north in") && !later.contains("zone north out"), "{later}");
}

#[tokio::test]
async fn views_differences_and_refusals_are_shown() {
    let tier = tier().await;
    tier.wait_for_endpoints(1, 2).await.unwrap();
    let rows = json(&tier, 1, &["endpoints"]).await;
    let row = rows.as_array().unwrap().iter().find(|r| r["endpoint"] == "leaf-1").unwrap();
    assert_eq!((&row["zone"], &row["state"]), (&json!("north"), &json!("warm")), "{row}");
    assert_eq!(row["address"], tier.leaves[0].addresses[1].to_string());
    assert!(row["age_ms"].is_u64() && row["holdings"][0]["shards"] == 2, "{row}");
    let output = ctl(&tier, 1, &["endpoints"], DONE).await;
    assert!(output.starts_with("ENDPOINT") && output.contains("kits@s1:1/2"), "{output}");
    let status = json(&tier, 1, &["status"]).await;
    assert_eq!((&status["host"], &status["zone"]), (&json!("v2"), &json!("south")));
    let voters = json(&tier, 1, &["voters", "list"]).await;
    assert_eq!(voters["voters"].as_array().unwrap().len(), 3, "{voters}");

    let file = tier.folder().join("other.toml");
    std::fs::write(&file, ADMIT_ANY.replace("\"any\"", "\"listed\"")).unwrap();
    let file = file.to_str().unwrap();
    let output = ctl(&tier, 0, &["inventory", "diff", "--file", file], DONE).await;
    assert!(
        output.contains("-admit = \"any\"") && output.contains("+admit = \"listed\""),
        "{output}"
    );
    let late = ["inventory", "apply", "--file", file, "--base", "0"];
    let output = ctl(&tier, 0, &late, REFUSED).await;
    assert!(output.contains("revision 1") && output.contains("`operator`"), "{output}");
    let output = ctl(&tier, 0, &["zone", "out", "nowhere"], REFUSED).await;
    assert!(output.contains("nowhere"), "{output}");
    ctl(&tier, 0, &["zone", "out", "no/where"], USAGE).await;
    ctl(&tier, 0, &["zones", "--server", "127.0.0.1:9"], FAILED).await;
    assert_eq!(json(&tier, 0, &["status"]).await["revision"], 1, "a refused change was applied");
}

#[tokio::test]
async fn zone_is_marked_out_without_a_quorum() {
    let mut tier = tier().await;
    for _ in 0..2 {
        tier.daemons[1].process.kill().await.unwrap();
        tier.daemons.remove(1);
    }
    let output = ctl(&tier, 0, &["zone", "out", "north"], DONE).await;
    assert!(output.contains("Marked availability zone north out"), "{output}");
    wait_until("the mark", async || json(&tier, 0, &["zones"]).await[0]["state"] == "out").await;
    let (code, output) = tier.ctl(0, &["zone", "in", "north"]).await.unwrap();
    assert!([REFUSED, UNKNOWN].map(Some).contains(&code), "{output}");
    assert!(output.contains("quorum") || output.contains("leader"), "{output}");
    assert_eq!(json(&tier, 0, &["zones"]).await[0]["state"], "out");
}
