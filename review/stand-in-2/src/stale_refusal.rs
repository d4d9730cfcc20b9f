//! An order that is refused as not run is sent to the same endpoint again, over the connection on which an
//! extra copy of the refusal is still to come.

use crate::Outcome;
use crate::caller::{self, Answered, HOST};
use crate::leaf::{Events, Happened, Leaf, Setup};
use crate::record::Record;
use crate::tier::{FIRST_PLAN_PATIENCE, Tier, ZONES};
use crate::wire::fill;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const SERVICE: &str = "orderdesk";
/// Rounds, which together take less than the 5 s for which endpoints spoil answers.
const ROUNDS: u32 = 2;
/// Ordinary orders before each round, so that one spoilt answer a round is at most 3 in 100 of them.
const ORDINARY: u32 = 80;
/// Work of the order that keeps a slot of endpoint `a`, and of one of `b`.
const HELD_A: Duration = Duration::from_millis(300);
const HELD_B: Duration = Duration::from_millis(1_500);
/// Time before the first slot of `a` is free in which it spoils its refusal.
const SPOIL_BEFORE: Duration = Duration::from_millis(25);

/// Largest share of its answers that an endpoint may spoil.
const SPOILT_SHARE_MAX: f64 = 0.03;
/// Answers that endpoint `a` has spoilt.
static SPOILT: AtomicUsize = AtomicUsize::new(0);

/// When the slots of endpoint `a` are free again in this round, and whether it has spoilt a refusal.
#[derive(Default)]
struct Round {
    free_at: Option<Instant>,
    spoilt: bool,
}

fn start_leaf(
    name: &str,
    held: Duration,
    trouble: bool,
    round: &Arc<Mutex<Round>>,
    tier: &Tier,
    events: &Events,
    record: &Record,
) -> Leaf {
    let spoiling = trouble && name == "a";
    let (at_work, at_refusal) = (Arc::clone(round), Arc::clone(round));
    let is_a = name == "a";
    let work = move |path: &str| {
        if !path.contains("/held") {
            return Some(Duration::from_millis(3));
        }
        if is_a {
            at_work.lock().unwrap().free_at.get_or_insert(Instant::now() + held);
        }
        Some(held)
    };
    let spoils = move |_: &str| {
        let mut round = at_refusal.lock().unwrap();
        let near = round.free_at.is_some_and(|at| {
            at.saturating_duration_since(Instant::now()) < SPOIL_BEFORE && Instant::now() < at
        });
        let spoils = spoiling && near && !round.spoilt;
        round.spoilt |= spoils;
        SPOILT.fetch_add(usize::from(spoils), Ordering::Relaxed);
        spoils
    };
    let setup = Setup {
        id: format!("i-{name}"),
        service: SERVICE.to_owned(),
        // `a` is in the zone of the second host that serves callers.
        zone: ZONES[usize::from(is_a)].to_owned(),
        ip: format!("127.0.0.{}", if is_a { 31 } else { 32 }),
        slots: 2,
        queue: 2,
        work: Box::new(work),
        spoils: Box::new(spoils),
        crashes: Box::new(|_| false),
        cold_limit: usize::MAX,
    };
    Leaf::start(setup, &tier.control, events, record)
}

/// Runs the case.
pub fn run(trouble: bool, record: &Record) -> Result<Outcome, String> {
    let tier = Tier::start(3, 2)?;
    let (events, round) = (Events::default(), Arc::new(Mutex::new(Round::default())));
    let leafs = [("a", HELD_A), ("b", HELD_B)]
        .map(|(name, held)| start_leaf(name, held, trouble, &round, &tier, &events, record));
    let route = fill(
        "route",
        &[
            ("name", "r-orders"),
            ("host", HOST),
            ("prefix", "/orders/"),
            ("type", "non_idempotent"),
            ("timeout", "4000"),
            ("aim", "600"),
            ("service", SERVICE),
            ("attempts", "2"),
        ],
    );
    tier.put_plan(1, &[route], &[SERVICE.to_owned()], FIRST_PLAN_PATIENCE)?;
    tier.await_ready()?;
    std::thread::sleep(Duration::from_secs(6));
    let mut answers = Vec::new();
    for n in 0..ROUNDS {
        answers.extend(play_round(n, &tier, &round, record));
    }
    leafs.iter().for_each(Leaf::crash);
    judge(&answers, &events, record)
}

fn play_round(n: u32, tier: &Tier, round: &Mutex<Round>, record: &Record) -> Vec<Answered> {
    let mut answers = Vec::new();
    for i in 0..ORDINARY {
        let to = tier.fronts[i as usize % 2];
        let id = format!("ordinary-{n}-{i}");
        answers.push(caller::send(to, "POST", "/orders/new", &id, Duration::from_secs(2), record));
    }
    *round.lock().unwrap() = Round::default();
    record.note("case", &format!("round {n}: orders fill both endpoints"));
    let wait = Duration::from_secs(4);
    let held = (0..8).map(|i| {
        let id = format!("held-{n}-{i}");
        caller::spawn(tier.fronts[0], "POST", "/orders/held", &id, wait, record)
    });
    let held: Vec<_> = held.collect();
    std::thread::sleep(HELD_A.mul_f64(0.7));
    let id = format!("order-{n}");
    answers.push(caller::send(tier.fronts[1], "POST", "/orders/new", &id, wait, record));
    answers.extend(held.into_iter().filter_map(|held| held.join().ok()));
    std::thread::sleep(Duration::from_millis(300));
    answers
}

fn judge(answers: &[Answered], events: &Events, record: &Record) -> Result<Outcome, String> {
    let events = events.lock().unwrap();
    let of_a = events.iter().filter(|e| e.leaf == "i-a" && e.what == Happened::Arrived).count();
    let spoilt = SPOILT.load(Ordering::Relaxed);
    record.note("case", &format!("i-a spoilt {spoilt} of its {of_a} answers"));
    if spoilt as f64 > SPOILT_SHARE_MAX * of_a as f64 {
        return Err("the endpoint spoilt more answers than the pages name".to_owned());
    }
    let (mut twice, mut refused, mut served) = (0, 0, 0);
    for Answered { id, status } in answers {
        let runs = events.iter().filter(|e| e.request == *id && e.what == Happened::Ran).count();
        served += usize::from(*status == Some(200));
        if runs > 1 {
            twice += 1;
            record.note("case", &format!("TWICE: {id} ran {runs} times"));
        }
        if runs > 0 && matches!(status, Some(429 | 503 | 408 | 421)) {
            refused += 1;
            record.note("case", &format!("REFUSED: {id} was answered {status:?} and has run"));
        }
    }
    record.note(
        "case",
        &format!(
            "{} orders, {served} served, {twice} ran twice, {refused} refused though run",
            answers.len()
        ),
    );
    if served * 2 < answers.len() {
        return Err("less than half of the orders were served".to_owned());
    }
    Ok(if twice + refused > 0 { Outcome::Broken } else { Outcome::Held })
}
