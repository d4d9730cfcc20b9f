//! The replicated log with real processes.

use serde_json::{Value, json};
use std::time::Duration;
use wisteria_testkit::process::program_folder;
use wisteria_testkit::tier::Tier;
use wisteriahead::core::verdict::{Reason, Verdict};
use wisteriahead::ops::client::{Client, Server};
use wisteriahead::ops::failure::Failure;

const NORTH: &str = "[[zone]]\nname = \"north\"\n\n[[zone]]\nname = \"south\"\n";
/// Looks at a condition before it counts as never met.
const LOOKS_MAX: u32 = 15_000;

/// Three voters, one of them in the south, and a host without a disk in each zone.
async fn tier() -> Tier {
    let mut tier = Tier::new(&program_folder().unwrap()).unwrap();
    tier.voters = ["v1", "v2", "v3"].map(str::to_owned).into();
    for (host, zone) in
        [("v1", "north"), ("v2", "south"), ("v3", "south"), ("h4", "north"), ("h5", "south")]
    {
        start(&mut tier, host, zone).await;
    }
    tier
}

async fn start(tier: &mut Tier, host: &str, zone: &str) {
    tier.daemons.retain(|d| d.host != host);
    tier.start_daemon(host, zone, &["--log-level", "info"]).await.unwrap();
}

fn at(tier: &Tier, host: &str) -> usize {
    tier.daemons.iter().position(|d| d.host == host).unwrap()
}

async fn kill(tier: &mut Tier, host: &str) {
    let i = at(tier, host);
    tier.daemons[i].process.kill().await.unwrap();
    tier.daemons.remove(i);
}

fn client(tier: &Tier, host: &str) -> Client {
    let address = tier.daemons[at(tier, host)].operators;
    Client::new(&Server { address, tls: tier.operator() }).unwrap()
}

async fn edit(tier: &Tier, host: &str, id: &str, base: u64, text: &str) -> Result<u64, Failure> {
    let body = json!({"id": id, "base": base, "text": text});
    let answer = client(tier, host).put("/v1/inventory", &body).await?;
    Ok(answer["revision"].as_u64().unwrap())
}

/// Makes an edit, sent again with the same identifier while no quorum answers in time.
async fn edited(tier: &Tier, host: &str, id: &str, base: u64, text: &str) -> u64 {
    for _ in 0..LOOKS_MAX {
        match edit(tier, host, id, base, text).await {
            Ok(revision) => return revision,
            Err(Failure::Refused(r)) if r.reason == Reason::NoQuorum => {}
            // The answer was lost, so the change is sent again under its identifier.
            Err(Failure::Unknown(_)) => {}
            Err(e) => panic!("{e:?}"),
        }
    }
    panic!("{id} was never accepted");
}

/// Posts until it is accepted: a leader may not be there yet, or not have heard of a host.
async fn posted(tier: &Tier, host: &str, path: &str, body: &Value) -> Value {
    let mut last = None;
    for _ in 0..LOOKS_MAX {
        match client(tier, host).post(path, body).await {
            Ok(answer) => return answer,
            Err(e) => last = Some(e),
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("{path} was never accepted: {last:?}");
}

async fn get(tier: &Tier, host: &str, path: &str) -> Value {
    client(tier, host).get(path).await.unwrap()
}

/// Waits until a call's answer satisfies the condition.
async fn until(tier: &Tier, host: &str, path: &str, holds: impl Fn(&Value) -> bool) -> Value {
    let mut last = Value::Null;
    for _ in 0..LOOKS_MAX {
        if let Ok(answer) = client(tier, host).get(path).await {
            if holds(&answer) {
                return answer;
            }
            last = answer;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("{path} at {host} stays {last}");
}

async fn in_force(tier: &Tier, host: &str, revision: u64) {
    until(tier, host, "/v1/status", |s| s["revision"] == revision).await;
}

/// The voters' names, once they are those wanted.
async fn voting(tier: &Tier, host: &str, want: &[&str]) {
    until(tier, host, "/v1/voters", |v| {
        let mut names: Vec<_> = v["voters"].as_array().unwrap().iter().collect();
        names.sort_by_key(|n| n.as_str().map(str::to_owned));
        v["leader"].is_string() && v["learners"] == json!([]) && names == want
    })
    .await;
}

/// Waits until a leader has given a host's new disk a vote.
async fn promoted(tier: &Tier, host: &str) {
    let said = format!("Promote(Replica {{ host: \"{host}\"");
    for _ in 0..LOOKS_MAX {
        if (0..tier.daemons.len()).any(|i| tier.log(i).unwrap().contains(&said)) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("{host} was not promoted");
}

#[tokio::test]
async fn edits_go_on_after_a_kill_and_survive_the_kill_of_all() {
    let mut tier = tier().await;
    assert_eq!(edited(&tier, "h4", "c1", 0, NORTH).await, 1);
    for host in ["v1", "v2", "v3", "h4", "h5"] {
        in_force(&tier, host, 1).await;
    }
    let leader = get(&tier, "h5", "/v1/voters").await["leader"].as_str().unwrap().to_owned();
    kill(&mut tier, &leader).await;
    let text = format!("# by ann\n{NORTH}");
    assert_eq!(edited(&tier, "h5", "c2", 1, &text).await, 2);
    for host in ["v1", "v2", "v3"].into_iter().filter(|h| *h != leader) {
        kill(&mut tier, host).await;
    }
    kill(&mut tier, "h4").await;
    kill(&mut tier, "h5").await;
    for (host, zone) in [("v1", "north"), ("v2", "south"), ("v3", "south"), ("h4", "north")] {
        start(&mut tier, host, zone).await;
    }
    for host in ["v1", "v2", "v3", "h4"] {
        in_force(&tier, host, 2).await;
        assert_eq!(get(&tier, host, "/v1/inventory").await["text"], text);
    }
    // The outcome of the first change is kept, too.
    assert_eq!(edited(&tier, "h4", "c1", 0, NORTH).await, 1);
    let Err(Failure::Refused(late)) = edit(&tier, "h4", "c3", 1, NORTH).await else { panic!() };
    assert_eq!((late.verdict, late.reason), (Verdict::NotRun, Reason::Conflict));
    let trail = get(&tier, "h4", "/v1/audit").await;
    let results: Vec<_> = trail.as_array().unwrap().iter().map(|e| &e["result"]).collect();
    assert_eq!((results[0], results[1]), (&json!("accepted"), &json!("accepted")));
    assert!(results[2].as_str().unwrap().contains("revision 2"), "{trail}");
}

#[tokio::test]
async fn without_a_quorum_changes_are_refused_and_a_zone_is_taken_out_locally() {
    let mut tier = tier().await;
    edited(&tier, "v1", "c1", 0, NORTH).await;
    in_force(&tier, "h4", 1).await;
    for host in ["v2", "v3", "h5"] {
        kill(&mut tier, host).await;
    }
    // The north is cut off with one of three voters.
    let refused = edit(&tier, "h4", "c2", 1, NORTH).await;
    let Err(Failure::Refused(refusal)) = refused else { panic!("{refused:?}") };
    assert_eq!(refusal.reason, Reason::NoQuorum);
    let out = client(&tier, "h4").post("/v1/zones/north/out", &json!({"id": "o1"})).await;
    assert_eq!(out.unwrap(), json!({"local": true}));
    for host in ["h4", "v1"] {
        until(&tier, host, "/v1/zones", |z| z[0]["state"] == "out").await;
    }
    let status = get(&tier, "v1", "/v1/status").await;
    assert_eq!(status["revision"], 1);
    assert!(status["silent_ms"].as_u64().unwrap() > 500, "{status}");
    let back = client(&tier, "h4").post("/v1/zones/north/in", &json!({"id": "i1"})).await;
    let Err(Failure::Refused(refusal)) = back else { panic!("putting back needs the quorum") };
    assert_eq!(refusal.reason, Reason::NoQuorum);
    // The mark is durable, and the log takes it up once the cut is over.
    kill(&mut tier, "v1").await;
    kill(&mut tier, "h4").await;
    start(&mut tier, "v1", "north").await;
    until(&tier, "v1", "/v1/zones", |z| z[0]["state"] == "out").await;
    start(&mut tier, "v2", "south").await;
    for host in ["v1", "v2"] {
        until(&tier, host, "/v1/status", |s| s["revision"].as_u64() >= Some(2)).await;
        until(&tier, host, "/v1/zones", |z| z[0]["state"] == "out").await;
    }
    let body = json!({"id": "i2"});
    let back = posted(&tier, "v2", "/v1/zones/north/in", &body).await;
    let revision = back["revision"].as_u64().unwrap();
    in_force(&tier, "v1", revision).await;
    until(&tier, "v1", "/v1/zones", |z| z[0]["state"] == "in").await;
}

#[tokio::test]
async fn voter_with_an_empty_disk_is_repaired_and_a_second_one_may_go_then() {
    let mut tier = tier().await;
    edited(&tier, "v1", "c1", 0, NORTH).await;
    for (i, host) in ["v2", "v3"].into_iter().enumerate() {
        kill(&mut tier, host).await;
        std::fs::remove_dir_all(tier.data_folder(host)).unwrap();
        start(&mut tier, host, "south").await;
        in_force(&tier, host, 1 + i as u64).await;
        promoted(&tier, host).await;
        voting(&tier, host, &["v1", "v2", "v3"]).await;
        let base = 1 + i as u64;
        edited(&tier, host, &format!("after-{host}"), base, NORTH).await;
    }
    kill(&mut tier, "v1").await;
    assert_eq!(edited(&tier, "h5", "c4", 3, NORTH).await, 4);
}

#[tokio::test]
async fn voter_with_an_empty_disk_founds_no_tier_of_its_own() {
    let mut tier = tier().await;
    edited(&tier, "v1", "c1", 0, NORTH).await;
    for host in ["v1", "v2", "v3", "h4", "h5"] {
        kill(&mut tier, host).await;
    }
    // Two of three lost their disks: their memory is gone, and they must not act as if not.
    for (host, zone) in [("v1", "north"), ("v2", "south")] {
        std::fs::remove_dir_all(tier.data_folder(host)).unwrap();
        start(&mut tier, host, zone).await;
    }
    let refused = edit(&tier, "v1", "c2", 0, NORTH).await;
    let Err(Failure::Refused(refusal)) = refused else { panic!("{refused:?}") };
    assert_eq!((refusal.verdict, refusal.reason), (Verdict::NotRun, Reason::NoQuorum));
    let voters = client(&tier, "v1").get("/v1/voters").await;
    assert!(matches!(voters, Err(Failure::Refused(_))), "{voters:?}");
}

#[tokio::test]
async fn voters_are_added_and_removed_by_operators() {
    let mut tier = tier().await;
    edited(&tier, "v1", "c1", 0, NORTH).await;
    tier.voters.push("v6".to_owned());
    start(&mut tier, "v6", "north").await;
    let add = json!({"id": "a1", "add": "v6"});
    posted(&tier, "v1", "/v1/voters", &add).await;
    voting(&tier, "v1", &["v1", "v2", "v3", "v6"]).await;
    let remove = json!({"id": "r1", "remove": "v2"});
    posted(&tier, "h4", "/v1/voters", &remove).await;
    voting(&tier, "v6", &["v1", "v3", "v6"]).await;
    kill(&mut tier, "v2").await;
    kill(&mut tier, "v3").await;
    assert_eq!(edited(&tier, "h4", "c2", 1, NORTH).await, 2);
}
