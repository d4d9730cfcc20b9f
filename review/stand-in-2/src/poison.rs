//! A request that crashes each endpoint which runs it comes again and again, on a route that is split among
//! several services.

use crate::Outcome;
use crate::caller::{self, HOST};
use crate::leaf::{Events, Happened, Leaf, Setup};
use crate::record::Record;
use crate::tier::{FIRST_PLAN_PATIENCE, Tier, ZONES};
use crate::wire::fill;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const SERVICES: [&str; 6] = ["desk-1", "desk-2", "desk-3", "desk-4", "desk-5", "desk-6"];
const LEAFS_EACH: usize = 2;
/// Time for which the case plays.
const LENGTH: Duration = Duration::from_secs(66);
/// Time between two arrivals of the request; longer than the time after which calm machines are in touch.
const POISON_EVERY: Duration = Duration::from_millis(4_500);
/// Time after which a crashed endpoint is back, in a new lifetime.
const BACK_AFTER: Duration = Duration::from_secs(3);
/// Time between two ordinary orders, and their work.
const ORDER_EVERY: Duration = Duration::from_millis(100);
const ORDER_WORK: Duration = Duration::from_millis(300);
/// Time since the third crash from which retries count, and how many may come.
const CONTACT_MS: u64 = 4_000;
const RETRIES_MAX: usize = 3;

/// Keeps one endpoint running until `stop`: starts it again after each crash.
fn supervise(
    n: usize,
    tier: &Tier,
    events: &Events,
    record: &Record,
    stop: &Arc<AtomicBool>,
) -> JoinHandle<()> {
    let (control, events, record) = (tier.control.clone(), events.clone(), record.clone());
    let stop = Arc::clone(stop);
    std::thread::spawn(move || {
        for lifetime in 0.. {
            let service = SERVICES[n / LEAFS_EACH];
            let setup = Setup {
                id: format!("i-{service}-{}-{lifetime}", n % LEAFS_EACH),
                service: service.to_owned(),
                zone: ZONES[n % LEAFS_EACH].to_owned(),
                ip: format!("127.0.0.{}", 31 + n),
                slots: 2,
                queue: 4,
                work: Box::new(|_| Some(ORDER_WORK)),
                spoils: Box::new(|_| false),
                crashes: Box::new(|path| path.contains("/poison")),
                cold_limit: usize::MAX,
            };
            let leaf = Leaf::start(setup, &control, &events, &record);
            while !leaf.has_ended() && !stop.load(Ordering::Relaxed) {
                std::thread::sleep(Duration::from_millis(10));
            }
            if stop.load(Ordering::Relaxed) {
                return leaf.crash();
            }
            std::thread::sleep(BACK_AFTER);
        }
    })
}

fn route(name: &str, prefix: &str, kind: &str) -> String {
    let part = |service: &&str| fill("part", &[("service", service), ("weight", "1")]);
    let parts: Vec<_> = SERVICES.iter().map(part).collect();
    fill(
        "split-route",
        &[
            ("name", name),
            ("host", HOST),
            ("prefix", prefix),
            ("type", kind),
            ("timeout", "4000"),
            ("aim", "600"),
            ("parts", &parts.join(",")),
            ("attempts", "2"),
        ],
    )
}

/// Runs the case.
pub fn run(trouble: bool, record: &Record) -> Result<Outcome, String> {
    let tier = Tier::start(3, 2)?;
    let (events, stop) = (Events::default(), Arc::new(AtomicBool::new(false)));
    let leafs = 0..SERVICES.len() * LEAFS_EACH;
    let leafs: Vec<_> = leafs.map(|n| supervise(n, &tier, &events, record, &stop)).collect();
    let routes = [
        route("r-lookup", "/lookup/", "idempotent"),
        route("r-orders", "/orders/", "non_idempotent"),
    ];
    tier.put_plan(1, &routes, &SERVICES.map(str::to_owned), FIRST_PLAN_PATIENCE)?;
    tier.await_ready()?;
    // All hosts are in touch after this.
    std::thread::sleep(Duration::from_secs(6));
    let started = Instant::now();
    let (mut orders, mut poisons) = (Vec::new(), Vec::new());
    let mut next_poison = started + Duration::from_secs(1);
    for n in 0.. {
        let at = started + ORDER_EVERY * n;
        if at >= started + LENGTH {
            break;
        }
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
        let to = tier.fronts[n as usize % 2];
        let (id, wait) = (format!("order-{n}"), Duration::from_secs(3));
        orders.push(caller::spawn(to, "POST", "/orders/new", &id, wait, record));
        if trouble && Instant::now() >= next_poison {
            next_poison += POISON_EVERY;
            let (id, to) = (format!("poison-{}", poisons.len()), tier.fronts[poisons.len() % 2]);
            poisons.push(caller::spawn(to, "GET", "/lookup/poison", &id, wait, record));
        }
    }
    let orders: Vec<_> = orders.into_iter().filter_map(|o| o.join().ok()).collect();
    poisons.into_iter().for_each(|p| drop(p.join()));
    stop.store(true, Ordering::Relaxed);
    leafs.into_iter().for_each(|l| drop(l.join()));
    let served = orders.iter().filter(|o| o.status == Some(200)).count();
    let lost = orders.iter().filter(|o| !matches!(o.status, Some(200 | 503))).count();
    record.note("case", &format!("{served} of {} orders served, {lost} lost", orders.len()));
    if served * 10 < orders.len() * 9 {
        return Err("less than nine tenths of the orders were served".to_owned());
    }
    Ok(judge(&events, record))
}

fn judge(events: &Events, record: &Record) -> Outcome {
    let events = events.lock().unwrap();
    let crashes: Vec<u64> =
        events.iter().filter(|e| e.what == Happened::Crashed).map(|e| e.ms).collect();
    record
        .note("case", &format!("the request crashed {} endpoints, at {crashes:?}", crashes.len()));
    let Some(third) = crashes.get(2) else { return Outcome::Held };
    let late = |e: &&crate::leaf::Event| {
        e.request.starts_with("poison") && e.what == Happened::Arrived && e.ms > third + CONTACT_MS
    };
    let mut retries: Vec<_> = events.iter().filter(late).map(|e| e.request.as_str()).collect();
    retries.dedup();
    let text = format!(
        "BUDGET: it reached endpoints in {} retries later than {CONTACT_MS} ms after the third crash: {}",
        retries.len(),
        retries.join(", ")
    );
    record.note("case", &text);
    if retries.len() > RETRIES_MAX { Outcome::Broken } else { Outcome::Held }
}
