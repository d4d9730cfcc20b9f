//! An endpoint that is in use becomes cold again, as it may at any moment, and says so in its health responses at
//! once and in its next heartbeat.

use crate::Outcome;
use crate::caller::{self, Answered, HOST};
use crate::leaf::{Events, Happened, Leaf, Setup};
use crate::record::Record;
use crate::tier::{COLD_MARK, FIRST_PLAN_PATIENCE, Tier, ZONES};
use crate::wire::fill;
use std::collections::HashMap;
use std::time::{Duration, Instant};

const SERVICE: &str = "orderdesk";
/// Time between two orders; each of the two endpoints gets about half of them.
const ORDER_EVERY: Duration = Duration::from_millis(18);
const ORDER_WORK: Duration = Duration::from_millis(30);
/// Times at which the endpoint in use becomes cold, and for how long.
const COLD_EVERY: Duration = Duration::from_millis(9_700);
const COLD_TIMES: u32 = 5;
const COLD_FOR: Duration = Duration::from_secs(3);
/// Requests that begin in a second at which a cold endpoint crashes: five times what it tolerates, 4 a second.
const CRASH_AT: usize = 20;
/// Time after which a crashed endpoint is back, in a new lifetime.
const BACK_AFTER: Duration = Duration::from_secs(2);
/// Bound on the requests in a second at a cold endpoint: 4 x 1.5 + 5.
const BOUND: usize = 11;

fn start_leaf(n: usize, life: usize, tier: &Tier, events: &Events, record: &Record) -> Leaf {
    let setup = Setup {
        id: format!("i-{n}-{life}"),
        service: SERVICE.to_owned(),
        zone: ZONES[n].to_owned(),
        ip: format!("127.0.0.{}", 31 + n),
        slots: 2,
        queue: 12,
        work: Box::new(|_| Some(ORDER_WORK)),
        spoils: Box::new(|_| false),
        crashes: Box::new(|_| false),
        cold_limit: CRASH_AT,
    };
    Leaf::start(setup, &tier.control, events, record)
}

/// Runs the case.
pub fn run(trouble: bool, record: &Record) -> Result<Outcome, String> {
    let tier = Tier::start(3, 2)?;
    let events = Events::default();
    let mut leafs = [0, 1].map(|n| (start_leaf(n, 0, &tier, &events, record), 0, None));
    let route = fill(
        "route",
        &[
            ("name", "r-orders"),
            ("host", HOST),
            ("prefix", "/orders/"),
            ("type", "non_idempotent"),
            ("timeout", "1500"),
            ("aim", "250"),
            ("service", SERVICE),
            ("attempts", "2"),
        ],
    );
    tier.put_plan(1, &[route], &[format!("{COLD_MARK}{SERVICE}")], FIRST_PLAN_PATIENCE)?;
    tier.await_ready()?;
    // All hosts are in touch after this.
    std::thread::sleep(Duration::from_secs(6));
    let started = Instant::now();
    let (mut orders, mut sent, mut colds) = (Vec::new(), HashMap::new(), 0);
    for n in 0.. {
        let at = started + ORDER_EVERY * n;
        if at >= started + COLD_EVERY * (COLD_TIMES + 1) {
            break;
        }
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
        if trouble && colds < COLD_TIMES && at >= started + COLD_EVERY * (colds + 1) {
            leafs[colds as usize % 2].0.become_cold(COLD_FOR);
            colds += 1;
        }
        for (n, (leaf, life, back_at)) in leafs.iter_mut().enumerate() {
            if leaf.has_ended() && back_at.is_none() {
                *back_at = Some(Instant::now() + BACK_AFTER);
            }
            if back_at.is_some_and(|at| at <= Instant::now()) {
                (*life, *back_at) = (*life + 1, None);
                *leaf = start_leaf(n, *life, &tier, &events, record);
                leaf.become_cold(COLD_FOR);
            }
        }
        let (id, to) = (format!("order-{n}"), tier.fronts[n as usize % 2]);
        sent.insert(id.clone(), record.ms());
        let wait = Duration::from_millis(1_500);
        orders.push(caller::spawn(to, "POST", "/orders/new", &id, wait, record));
    }
    let orders: Vec<_> = orders.into_iter().filter_map(|o| o.join().ok()).collect();
    leafs.iter().for_each(|(leaf, ..)| leaf.crash());
    judge(&orders, &sent, &events, record)
}

fn judge(
    orders: &[Answered],
    sent: &HashMap<String, u64>,
    events: &Events,
    record: &Record,
) -> Result<Outcome, String> {
    let events = events.lock().unwrap();
    let cold: Vec<_> = events.iter().filter(|e| e.what == Happened::RanCold).collect();
    // Requests that were sent and began within the second before each of them.
    let in_second = |last: &crate::leaf::Event| {
        let from = last.ms.saturating_sub(1_000);
        let same = cold.iter().filter(|e| e.leaf == last.leaf && e.ms > from && e.ms <= last.ms);
        same.filter(|e| sent.get(&e.request).is_some_and(|ms| *ms > from)).count()
    };
    let most = cold.iter().map(|e| in_second(e)).max().unwrap_or(0);
    let ran = |id: &str| {
        events
            .iter()
            .any(|e| e.request == *id && matches!(e.what, Happened::Ran | Happened::RanCold))
    };
    let served = orders.iter().filter(|o| o.status == Some(200)).count();
    let lost = orders.iter().filter(|o| o.status != Some(200) && ran(&o.id)).count();
    let text =
        format!("{served} of {} orders served, {lost} had begun and got no success", orders.len());
    record.note("case", &text);
    if served * 2 < orders.len() {
        return Err("less than half of the orders were served".to_owned());
    }
    let broken = most > BOUND;
    let rule = if broken { "FAILBACK: " } else { "" };
    let text =
        format!("{rule}a cold endpoint got {most} requests in a second, {BOUND} are allowed");
    record.note("case", &text);
    Ok(if broken { Outcome::Broken } else { Outcome::Held })
}
