//! The replicated log of changes, with daemons in processes of their own.

use anyhow::bail;
use futures::future::BoxFuture;
use parking_lot::Mutex;
use serde_json::{Value, json};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use wisteria_testkit::process::program_folder;
use wisteria_testkit::tier::Tier;
use wisteriahead::core::message::{Topic, encode};
use wisteriahead::core::verdict::{Reason, Verdict};
use wisteriahead::kernel::Kernel;
use wisteriahead::ops::client::{Client, Server};
use wisteriahead::ops::failure::Failure;
use wisteriahead::prelude::*;
use wisteriahead::services::control::{ControlService, ControlSettings};
use wisteriahead::services::{Handler, Peers};

const ZONES: &str = "[[zone]]\nname = \"north\"\n\n[[zone]]\nname = \"south\"\n";
/// Maximum number of attempts before a condition counts as never met.
const ATTEMPTS_MAX: u32 = 15_000;

/// Three voters, one in the north and two in the south, and a host without a disk in each zone.
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

fn index(tier: &Tier, host: &str) -> usize {
    tier.daemons.iter().position(|d| d.host == host).unwrap()
}

async fn kill(tier: &mut Tier, host: &str) {
    let i = index(tier, host);
    tier.daemons[i].process.kill().await.unwrap();
    tier.daemons.remove(i);
}

fn client(tier: &Tier, host: &str) -> Client {
    let address = tier.daemons[index(tier, host)].operators;
    Client::new(&Server { address, tls: tier.operator() }).unwrap()
}

async fn edit(tier: &Tier, host: &str, id: &str, base: u64, text: &str) -> Result<u64, Failure> {
    let body = json!({"id": id, "base": base, "text": text});
    let answer = client(tier, host).put("/v1/inventory", &body).await?;
    Ok(answer["revision"].as_u64().unwrap())
}

/// Makes an edit, resent with the same identifier while no quorum answers in time.
async fn edit_until_accepted(tier: &Tier, host: &str, id: &str, base: u64, text: &str) -> u64 {
    for _ in 0..ATTEMPTS_MAX {
        match edit(tier, host, id, base, text).await {
            Ok(revision) => return revision,
            Err(Failure::Refused(r)) if r.reason == Reason::NoQuorum => {}
            // The answer was lost, so the change is resent with its identifier.
            Err(Failure::Unknown(_)) => {}
            Err(e) => panic!("{e:?}"),
        }
    }
    panic!("{id} was never accepted");
}

/// Posts until accepted: there may be no leader yet, or it may not know the host yet.
async fn post_until_accepted(tier: &Tier, host: &str, path: &str, body: &Value) -> Value {
    let mut last = None;
    for _ in 0..ATTEMPTS_MAX {
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
async fn wait_until(tier: &Tier, host: &str, path: &str, holds: impl Fn(&Value) -> bool) -> Value {
    let mut last = Value::Null;
    for _ in 0..ATTEMPTS_MAX {
        if let Ok(answer) = client(tier, host).get(path).await {
            if holds(&answer) {
                return answer;
            }
            last = answer;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("{path} at {host} is still {last}");
}

/// Waits until the revision is in force at the host.
async fn wait_in_force(tier: &Tier, host: &str, revision: u64) {
    wait_until(tier, host, "/v1/status", |s| s["revision"] == revision).await;
}

/// Waits until a leader is known and the voters are exactly those expected.
async fn wait_for_voters(tier: &Tier, host: &str, expected: &[&str]) {
    wait_until(tier, host, "/v1/voters", |v| {
        let mut names: Vec<_> = v["voters"].as_array().unwrap().iter().collect();
        names.sort_by_key(|n| n.as_str().map(str::to_owned));
        v["leader"].is_string() && v["learners"] == json!([]) && names == expected
    })
    .await;
}

/// Waits until a leader has promoted the replica on a host's new disk to a voter.
async fn wait_for_promotion(tier: &Tier, host: &str) {
    let log_text = format!("Promote(Replica {{ host: \"{host}\"");
    for _ in 0..ATTEMPTS_MAX {
        if (0..tier.daemons.len()).any(|i| tier.log(i).unwrap().contains(&log_text)) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("{host} was not promoted");
}

#[tokio::test]
async fn edits_continue_after_the_leader_is_killed_and_survive_a_kill_of_all_hosts() {
    let mut tier = tier().await;
    assert_eq!(edit_until_accepted(&tier, "h4", "c1", 0, ZONES).await, 1);
    for host in ["v1", "v2", "v3", "h4", "h5"] {
        wait_in_force(&tier, host, 1).await;
    }
    let leader = get(&tier, "h5", "/v1/voters").await["leader"].as_str().unwrap().to_owned();
    kill(&mut tier, &leader).await;
    let text = format!("# by ann\n{ZONES}");
    assert_eq!(edit_until_accepted(&tier, "h5", "c2", 1, &text).await, 2);
    for host in ["v1", "v2", "v3"].into_iter().filter(|h| *h != leader) {
        kill(&mut tier, host).await;
    }
    kill(&mut tier, "h4").await;
    kill(&mut tier, "h5").await;
    for (host, zone) in [("v1", "north"), ("v2", "south"), ("v3", "south"), ("h4", "north")] {
        start(&mut tier, host, zone).await;
    }
    for host in ["v1", "v2", "v3", "h4"] {
        wait_in_force(&tier, host, 2).await;
        assert_eq!(get(&tier, host, "/v1/inventory").await["text"], text);
    }
    // The outcome of the first change is kept as well.
    assert_eq!(edit_until_accepted(&tier, "h4", "c1", 0, ZONES).await, 1);
    let Err(Failure::Refused(late)) = edit(&tier, "h4", "c3", 1, ZONES).await else { panic!() };
    assert_eq!((late.verdict, late.reason), (Verdict::NotRun, Reason::Conflict));
    let trail = get(&tier, "h4", "/v1/audit").await;
    let results: Vec<_> = trail.as_array().unwrap().iter().map(|e| &e["result"]).collect();
    assert_eq!((results[0], results[1]), (&json!("accepted"), &json!("accepted")));
    assert!(results[2].as_str().unwrap().contains("revision 2"), "{trail}");
}

#[tokio::test]
async fn without_a_quorum_changes_are_refused_and_a_zone_is_taken_out_locally() {
    let mut tier = tier().await;
    edit_until_accepted(&tier, "v1", "c1", 0, ZONES).await;
    wait_in_force(&tier, "h4", 1).await;
    for host in ["v2", "v3", "h5"] {
        kill(&mut tier, host).await;
    }
    // Only the north is left, with one of three voters.
    let refused = edit(&tier, "h4", "c2", 1, ZONES).await;
    let Err(Failure::Refused(refusal)) = refused else { panic!("{refused:?}") };
    assert_eq!(refusal.reason, Reason::NoQuorum);
    let out = client(&tier, "h4").post("/v1/zones/north/out", &json!({"id": "o1"})).await;
    assert_eq!(out.unwrap(), json!({"local": true}));
    for host in ["h4", "v1"] {
        wait_until(&tier, host, "/v1/zones", |z| z[0]["state"] == "out").await;
    }
    let status = get(&tier, "v1", "/v1/status").await;
    assert_eq!(status["revision"], 1);
    assert!(status["silent_ms"].as_u64().unwrap() > 500, "{status}");
    let back = client(&tier, "h4").post("/v1/zones/north/in", &json!({"id": "i1"})).await;
    let Err(Failure::Refused(refusal)) = back else {
        panic!("a zone was brought back without a quorum")
    };
    assert_eq!(refusal.reason, Reason::NoQuorum);
    // The mark is durable, and becomes a change in the log once there is a quorum.
    kill(&mut tier, "v1").await;
    kill(&mut tier, "h4").await;
    start(&mut tier, "v1", "north").await;
    wait_until(&tier, "v1", "/v1/zones", |z| z[0]["state"] == "out").await;
    start(&mut tier, "v2", "south").await;
    for host in ["v1", "v2"] {
        wait_until(&tier, host, "/v1/status", |s| s["revision"].as_u64() >= Some(2)).await;
        wait_until(&tier, host, "/v1/zones", |z| z[0]["state"] == "out").await;
    }
    let body = json!({"id": "i2"});
    let back = post_until_accepted(&tier, "v2", "/v1/zones/north/in", &body).await;
    let revision = back["revision"].as_u64().unwrap();
    wait_in_force(&tier, "v1", revision).await;
    wait_until(&tier, "v1", "/v1/zones", |z| z[0]["state"] == "in").await;
}

#[tokio::test]
async fn voter_with_an_empty_disk_regains_its_vote_before_the_next_disk_is_lost() {
    let mut tier = tier().await;
    edit_until_accepted(&tier, "v1", "c1", 0, ZONES).await;
    for (i, host) in ["v2", "v3"].into_iter().enumerate() {
        kill(&mut tier, host).await;
        std::fs::remove_dir_all(tier.data_folder(host)).unwrap();
        start(&mut tier, host, "south").await;
        wait_in_force(&tier, host, 1 + i as u64).await;
        wait_for_promotion(&tier, host).await;
        wait_for_voters(&tier, host, &["v1", "v2", "v3"]).await;
        let base = 1 + i as u64;
        edit_until_accepted(&tier, host, &format!("after-{host}"), base, ZONES).await;
    }
    kill(&mut tier, "v1").await;
    assert_eq!(edit_until_accepted(&tier, "h5", "c4", 3, ZONES).await, 4);
}

#[tokio::test]
async fn voters_with_empty_disks_do_not_form_a_new_tier() {
    let mut tier = tier().await;
    edit_until_accepted(&tier, "v1", "c1", 0, ZONES).await;
    for host in ["v1", "v2", "v3", "h4", "h5"] {
        kill(&mut tier, host).await;
    }
    // Two of three voters lost their disks and with them the log: they are no quorum for it.
    for (host, zone) in [("v1", "north"), ("v2", "south")] {
        std::fs::remove_dir_all(tier.data_folder(host)).unwrap();
        start(&mut tier, host, zone).await;
    }
    let refused = edit(&tier, "v1", "c2", 0, ZONES).await;
    let Err(Failure::Refused(refusal)) = refused else { panic!("{refused:?}") };
    assert_eq!((refusal.verdict, refusal.reason), (Verdict::NotRun, Reason::NoQuorum));
    let voters = client(&tier, "v1").get("/v1/voters").await;
    assert!(matches!(voters, Err(Failure::Refused(_))), "{voters:?}");
}

#[tokio::test]
async fn voters_are_added_and_removed_by_operators() {
    let mut tier = tier().await;
    edit_until_accepted(&tier, "v1", "c1", 0, ZONES).await;
    tier.voters.push("v6".to_owned());
    start(&mut tier, "v6", "north").await;
    let add = json!({"id": "a1", "add": "v6"});
    post_until_accepted(&tier, "v1", "/v1/voters", &add).await;
    wait_for_voters(&tier, "v1", &["v1", "v2", "v3", "v6"]).await;
    let remove = json!({"id": "r1", "remove": "v2"});
    post_until_accepted(&tier, "h4", "/v1/voters", &remove).await;
    wait_for_voters(&tier, "v6", &["v1", "v3", "v6"]).await;
    kill(&mut tier, "v2").await;
    kill(&mut tier, "v3").await;
    assert_eq!(edit_until_accepted(&tier, "h4", "c2", 1, ZONES).await, 2);
}

/// A host that knows 300 others, of which one answers.
struct LargeTier {
    /// Hosts that were asked, and how many calls are open now and were at most.
    asked: Mutex<IndexSet<String>>,
    open: AtomicUsize,
    most: AtomicUsize,
}

impl Peers for LargeTier {
    fn host(&self) -> &str {
        "new"
    }

    fn zone(&self) -> &str {
        "north"
    }

    fn others(&self) -> Vec<String> {
        (0..300).map(|i| format!("h{i}")).collect()
    }

    fn set_handler(&self, _: Topic, _: Arc<dyn Handler>) {}

    fn send(&self, _: &str, _: Topic, _: Vec<u8>) {}

    fn call<'a>(&'a self, to: &'a str, _: Topic, _: Vec<u8>) -> BoxFuture<'a, Result<Vec<u8>>> {
        self.asked.lock().insert(to.to_owned());
        let open = self.open.fetch_add(1, Ordering::Relaxed) + 1;
        self.most.fetch_max(open, Ordering::Relaxed);
        Box::pin(async move {
            tokio::task::yield_now().await;
            self.open.fetch_sub(1, Ordering::Relaxed);
            // The host has nothing newer.
            if to == "h17" { Ok(encode(&None::<u8>)) } else { bail!("unreachable") }
        })
    }
}

/// Guards against a host that starts and has each host of a large tier send it the whole plan (issue
/// 47).
#[tokio::test]
async fn host_that_starts_asks_few_others_at_a_time_until_one_answers() {
    let (asked, open, most) = (Mutex::default(), AtomicUsize::new(0), AtomicUsize::new(0));
    let tier = Arc::new(LargeTier { asked, open, most });
    let mut kernel = Kernel::default();
    kernel.context().publish::<dyn Peers>(<dyn Peers>::NAME, tier.clone());
    let settings = ControlSettings { joins: true, ..ControlSettings::default() };
    kernel.start(Arc::new(ControlService::new(settings))).await.unwrap();
    assert!(tier.asked.lock().contains("h17"), "the host that answers was never asked");
    assert!(tier.most.load(Ordering::Relaxed) <= 4, "{}", tier.most.load(Ordering::Relaxed));
    kernel.stop(Span::secs(1)).await;
}
