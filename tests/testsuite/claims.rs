//! Claims on idempotency keys: the request of a key runs at most once.

use crate::support::config;
use proptest::prelude::*;
use serde_json::{Value, json};
use wisteria_testkit::client::{self, Answer};
use wisteria_testkit::matrix::Matrix;
use wisteria_testkit::process::program_folder;
use wisteria_testkit::tier::Tier;
use wisteria_testkit::wait::wait_for;
use wisteriahead::core::control::claims::{
    Claim, OUTCOME_TTL_MILLIS, Outcome, RUNNING_MAX_MILLIS, Ticket,
};
use wisteriahead::core::control::{Command, Reply, StampedCommand, State};
use wisteriahead::core::message::encode;
use wisteriahead::core::verdict::{Reason, Refusal, Verdict};

const NOW: u64 = 1_700_000_000_000;

fn ticket(nonce: u128, time_ms: u64) -> String {
    Ticket { home: Ticket::TIER.into(), epoch: 1, time_ms, nonce }.to_string()
}

/// A home: the replicated state, to which commands may be applied again later.
#[derive(Default)]
struct Home {
    state: State,
    /// Commands applied so far, any of which may be applied again.
    commands: Vec<StampedCommand>,
}

impl Home {
    fn apply(&mut self, time_ms: u64, command: Command) -> Reply {
        self.commands.push(StampedCommand { time_ms, command: command.clone() });
        self.state.apply(&encode(&StampedCommand { time_ms, command })).unwrap()
    }

    fn apply_again(&mut self, n: usize) {
        if !self.commands.is_empty() {
            let stamped = self.commands[n % self.commands.len()].clone();
            self.state.apply(&encode(&stamped)).unwrap();
        }
    }

    fn claim(&mut self, time_ms: u64, key: &str, digest: u8, nonce: u64) -> Result<Claim, Refusal> {
        let command = Command::Claim { key: key.to_owned(), digest: [digest; 32], nonce };
        let Reply::Claim(result) = self.apply(time_ms, command) else { panic!() };
        result
    }

    fn record(&mut self, time_ms: u64, key: &str, nonce: u64, outcome: Outcome) {
        self.apply(time_ms, Command::Record { key: key.to_owned(), nonce, outcome });
    }

    /// All replicas restart from a snapshot.
    fn restart(&mut self) {
        self.state = State::read(&self.state.write()).unwrap();
    }
}

#[derive(Clone, Debug)]
enum Step {
    /// A claimant claims a key. If the answer is lost, it withdraws the claim.
    Claim {
        key: usize,
        digest: u8,
        lost: bool,
    },
    /// The oldest claimant with a grant runs the request and records its outcome.
    Run {
        recorded: bool,
    },
    /// The oldest claimant with a grant gives up before it sends the request.
    NotRun,
    /// A command is applied again.
    ApplyAgain(usize),
    /// Time passes, in milliseconds.
    Advance(u64),
    /// A command is stamped by a clock that is behind.
    ClockBehind(u64),
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    let span = prop_oneof![0..2_000u64, Just(RUNNING_MAX_MILLIS + 1), Just(OUTCOME_TTL_MILLIS / 2)];
    prop_oneof![
        8 => (0..4usize, 0..5u8, any::<bool>())
            .prop_map(|(key, d, lost)| Step::Claim { key, digest: d / 4, lost }),
        4 => any::<bool>().prop_map(|recorded| Step::Run { recorded }),
        2 => Just(Step::NotRun),
        6 => any::<usize>().prop_map(Step::ApplyAgain),
        2 => span.clone().prop_map(Step::Advance),
        1 => span.prop_map(Step::ClockBehind),
        1 => Just(Step::Restart),
    ]
}

/// Applies the steps; returns the number of executions of each key.
fn executions(steps: &[Step], keys: &[String]) -> Vec<u32> {
    let mut home = Home::default();
    let mut ran = vec![0; keys.len()];
    let (mut now, mut nonce, mut grants) = (NOW, 0, Vec::new());
    for step in steps {
        match step {
            Step::Claim { key, digest, lost } => {
                nonce += 1;
                let result = home.claim(now, &keys[*key], *digest, nonce);
                match result {
                    Ok(Claim::Granted) if !lost => grants.push((*key, nonce)),
                    Ok(Claim::Known(Outcome::Ran(_))) => assert_eq!(ran[*key], 1),
                    _ => {}
                }
                if *lost {
                    home.record(now, &keys[*key], nonce, Outcome::NotRun);
                }
            }
            Step::Run { recorded } if !grants.is_empty() => {
                let (key, nonce) = grants.remove(0);
                ran[key] += 1;
                if *recorded {
                    home.record(now, &keys[key], nonce, Outcome::Ran(b"done".to_vec()));
                }
            }
            Step::NotRun if !grants.is_empty() => {
                let (key, nonce) = grants.remove(0);
                home.record(now, &keys[key], nonce, Outcome::NotRun);
            }
            Step::Run { .. } | Step::NotRun => {}
            Step::ApplyAgain(n) => home.apply_again(*n),
            Step::Advance(ms) => now += ms,
            Step::ClockBehind(ms) => {
                nonce += 1;
                let _ = home.claim(now.saturating_sub(*ms), "clock", 0, nonce);
            }
            Step::Restart => home.restart(),
        }
    }
    ran
}

proptest! {
    #![proptest_config(config(4096))]

    #[test]
    fn request_of_a_key_runs_at_most_once(steps in prop::collection::vec(step(), 0..80)) {
        let keys = [ticket(1, NOW), ticket(2, NOW), "plain".to_owned(), "other".to_owned()];
        for (key, ran) in keys.iter().zip(executions(&steps, &keys)) {
            prop_assert!(ran <= 1, "{key} ran {ran} times");
        }
    }
}

#[test]
fn ticket_is_parsed_only_in_its_canonical_form() {
    let text = ticket(7, NOW);
    assert_eq!(Ticket::parse(&text).unwrap().to_string(), text);
    for other in [text.to_uppercase(), format!("{text}."), text.replace(".1.", ".01.")] {
        assert_eq!(Ticket::parse(&other), None, "{other}");
    }
}

const FAULTS: [&str; 9] = [
    "claim handed in again",
    "answer lost, claim taken back",
    "claimant gone",
    "outcome recorded twice",
    "late record of an earlier claim",
    "replicas restart",
    "clock behind",
    "kept time over",
    "another request under the key",
];
const STEPS: [&str; 4] = ["before the claim", "granted", "ran, not recorded", "ran and recorded"];

/// Injects one fault at one step, resends, and returns the number of executions.
fn executions_with(fault: usize, step: usize, key: &str) -> u32 {
    let mut home = Home::default();
    let (mut now, mut ran) = (NOW, 0);
    let inject = |home: &mut Home, now: &mut u64| match fault {
        0 => home.apply_again(0),
        1 => home.record(*now, key, 1, Outcome::NotRun),
        3 => (0..2).for_each(|_| home.record(*now, key, 1, Outcome::Ran(b"x".to_vec()))),
        4 => home.record(*now, key, 99, Outcome::NotRun),
        5 => home.restart(),
        6 => drop(home.claim(*now - OUTCOME_TTL_MILLIS, "clock", 0, 50)),
        7 => *now += 2 * OUTCOME_TTL_MILLIS,
        8 => drop(home.claim(*now, key, 9, 60)),
        _ => {}
    };
    // Claimant 1 sends the request only if it is alive and has not withdrawn its claim.
    let gone = fault == 2 || (fault == 1 && step <= 1);
    if step == 0 {
        inject(&mut home, &mut now);
    }
    let granted = home.claim(now, key, 0, 1) == Ok(Claim::Granted);
    if step == 1 {
        inject(&mut home, &mut now);
    }
    if granted && !(gone && step <= 1) {
        ran += 1;
        if step == 2 {
            inject(&mut home, &mut now);
        } else if !gone {
            home.record(now, key, 1, Outcome::Ran(b"done".to_vec()));
        }
    }
    if step == 3 {
        inject(&mut home, &mut now);
    }
    for nonce in 2..5 {
        now += RUNNING_MAX_MILLIS;
        home.restart();
        if home.claim(now, key, 0, nonce) == Ok(Claim::Granted) {
            ran += 1;
        }
    }
    ran
}

#[test]
fn every_fault_at_every_step_of_an_order() {
    let invariant = "the request of the key runs at most once, over three resends.";
    let mut matrix = Matrix::new("claims", invariant, &FAULTS, &STEPS);
    for (f, fault) in FAULTS.iter().enumerate() {
        for (s, step) in STEPS.iter().enumerate() {
            if f == 1 && s >= 2 {
                let why = "a claimant whose request ran never takes its claim back";
                matrix.mark_impossible(fault, step, why);
                continue;
            }
            if f == 3 && s < 2 {
                matrix.mark_impossible(fault, step, "nothing ran, so nothing is recorded");
                continue;
            }
            for key in [ticket(1, NOW), "plain".to_owned()] {
                assert!(executions_with(f, s, &key) <= 1, "{fault}, {step}, {key}");
                matrix.record_held(fault, step);
            }
        }
    }
    matrix.finish();
}

#[test]
fn resend_gets_the_outcome_of_the_request() {
    let mut home = Home::default();
    let key = ticket(1, NOW);
    assert_eq!(home.claim(NOW, &key, 0, 1), Ok(Claim::Granted));
    assert_eq!(home.claim(NOW, &key, 0, 2), Ok(Claim::Running));
    let reused = home.claim(NOW, &key, 1, 3).unwrap_err();
    assert_eq!((reused.verdict, reused.reason), (Verdict::NotRun, Reason::KeyReused));
    let later = NOW + RUNNING_MAX_MILLIS + 1;
    assert_eq!(home.claim(later, &key, 0, 4), Ok(Claim::Known(Outcome::MayHaveRun)));
    home.record(later, &key, 1, Outcome::Ran(b"done".to_vec()));
    let ran = Ok(Claim::Known(Outcome::Ran(b"done".to_vec())));
    assert_eq!(home.claim(later, &key, 0, 5), ran);
    let other = ticket(2, NOW);
    assert_eq!(home.claim(later, &other, 0, 11), Ok(Claim::Granted));
    home.record(later, &other, 11, Outcome::NotRun);
    let withdrawn = Ok(Claim::Known(Outcome::NotRun));
    assert_eq!(
        home.claim(later, &other, 0, 11),
        withdrawn,
        "a late copy of a withdrawn claim was granted"
    );
    assert_eq!(home.claim(later, &other, 0, 12), Ok(Claim::Granted));
    for key in [key, "plain".to_owned()] {
        let mut home = Home::default();
        assert_eq!(home.claim(later, &key, 0, 6), Ok(Claim::Granted));
        let old = later + 2 * OUTCOME_TTL_MILLIS;
        let expired = home.claim(old, &key, 0, 7).unwrap_err();
        assert_eq!((expired.verdict, expired.reason), (Verdict::MayHaveRun, Reason::ExpiredKey));
    }
    let future = home.claim(NOW, &ticket(9, NOW * 2), 0, 8).unwrap_err();
    assert_eq!(future.reason, Reason::BadRequest);
}

async fn order(tier: &Tier, i: usize, key: &str) -> Answer {
    let body = json!({"collection": "kits", "route": "kit 7", "order": {"kit": 7}});
    let headers = [("idempotency-key", key), ("wisteria-timeout-ms", "8000")];
    let callers = tier.daemons[i].callers;
    client::send(callers, hyper::Method::POST, "/v1/orders", &headers, body.to_string())
        .await
        .unwrap()
}

/// Sends an order to a host, again with the same key, until it is accepted; returns the body.
pub async fn ordered(tier: &Tier, i: usize, key: &str) -> Value {
    let mut last = None;
    let accepted = wait_for(async || {
        last = Some(order(tier, i, key).await);
        last.take_if(|answer| answer.status == 200)
    });
    accepted.await.unwrap_or_else(|| panic!("the order was never accepted: {last:?}")).body
}

#[tokio::test]
async fn resent_order_is_answered_from_its_record_after_kills() {
    let mut tier = Tier::new(&program_folder().unwrap()).unwrap();
    tier.voters = ["v1", "v2", "v3"].map(str::to_owned).into();
    for (host, zone) in [("v1", "north"), ("v2", "north"), ("v3", "south"), ("h4", "north")] {
        tier.start_daemon(host, zone, &["--log-level", "info"]).await.unwrap();
    }
    let leaves = ["--zone", "north", "--shards", "2", "--snapshot", "s1"];
    tier.start_leaves(2, &[0, 1, 2, 3], &leaves).await.unwrap();
    let inventory = "[[zone]]\nname = \"north\"\n[rules]\nadmit = \"any\"\n";
    tier.apply_inventory(3, inventory).await.unwrap();
    tier.wait_for_shards(3, "kits", 2).await.unwrap();
    let made = client::post(tier.daemons[3].callers, "/v1/tickets", &json!({})).await.unwrap();
    let ticket = made.body["ticket"].as_str().unwrap().to_owned();
    let keys = [ticket, "plain-key".to_owned()];
    let mut first = Vec::new();
    for key in &keys {
        first.push(ordered(&tier, 3, key).await);
    }
    // Kills the host that accepted the orders and one of the three that store their records.
    for i in [3, 0] {
        tier.daemons[i].process.kill().await.unwrap();
        tier.daemons.remove(i);
    }
    for (key, first) in keys.iter().zip(&first) {
        assert_eq!(ordered(&tier, 1, key).await["result"], first["result"], "{key}");
    }
    let control = tier.leaves[0].control;
    let seen = client::get(control, "/executions").await.unwrap();
    let all = seen.body["executions"].as_array().unwrap();
    let orders = all.iter().filter(|e| e["kind"] == "order").count();
    assert_eq!(orders, 2, "{}", seen.body);
    // One of the three alone has no quorum and accepts no orders.
    tier.daemons[0].process.kill().await.unwrap();
    let refused = order(&tier, 1, "another").await;
    assert_eq!(refused.body["verdict"], "not-run", "{refused:?}");
}
