//! A request that waits at an endpoint which then crashes is retried by what was known when it arrived: at an
//! endpoint that has been draining for longer than the drain time.

use crate::Outcome;
use crate::caller::{self, HOST};
use crate::leaf::{Events, Happened, Leaf, Setup};
use crate::record::Record;
use crate::tier::{FIRST_PLAN_PATIENCE, Tier, ZONES};
use crate::wire::fill;
use std::time::{Duration, Instant};

const SERVICE: &str = "orderdesk";
/// Bound in which a draining endpoint may still get requests.
const DRAIN: Duration = Duration::from_millis(3_000);
/// Time after that for which the endpoint still serves.
const SERVES_ON: Duration = Duration::from_millis(1_500);
/// Time of a request's work.
const WORK: Duration = Duration::from_millis(600);
/// Time from the first request to the crash.
const CRASH_AT: Duration = Duration::from_millis(4_200);

fn start_leaf(name: &str, hangs: bool, tier: &Tier, events: &Events, record: &Record) -> Leaf {
    let n = usize::from(name.as_bytes()[0] - b'a');
    let work = move |path: &str| match path.contains("/warm") {
        true => Some(Duration::from_millis(20)),
        false => (!hangs).then_some(WORK),
    };
    let setup = Setup {
        id: format!("i-{name}"),
        service: SERVICE.to_owned(),
        zone: ZONES[n % 2].to_owned(),
        ip: format!("127.0.0.{}", 31 + n),
        slots: 2,
        queue: 2,
        work: Box::new(work),
        spoils: Box::new(|_| false),
        crashes: Box::new(|_| false),
        cold_limit: usize::MAX,
    };
    Leaf::start(setup, &tier.control, events, record)
}

/// Runs the case.
pub fn run(trouble: bool, record: &Record) -> Result<Outcome, String> {
    let tier = Tier::start(3, 2)?;
    let events = Events::default();
    let a = start_leaf("a", trouble, &tier, &events, record);
    let b = start_leaf("b", false, &tier, &events, record);
    let route = fill(
        "route",
        &[
            ("name", "r-lookup"),
            ("host", HOST),
            ("prefix", "/lookup/"),
            ("type", "idempotent"),
            ("timeout", "10000"),
            ("aim", "600"),
            ("service", SERVICE),
            ("attempts", "2"),
        ],
    );
    tier.put_plan(1, &[route], &[SERVICE.to_owned()], FIRST_PLAN_PATIENCE)?;
    tier.await_ready()?;
    // All hosts are in touch after this.
    std::thread::sleep(Duration::from_secs(6));
    let started = Instant::now();
    let until = |span: Duration| {
        std::thread::sleep((started + span).saturating_duration_since(Instant::now()));
    };
    record.note("case", "eight lookups arrive at once, four at each host");
    let lookups: Vec<_> = (0..8)
        .map(|i| {
            let (id, to) = (format!("lookup-{i}"), tier.fronts[i % 2]);
            caller::spawn(to, "GET", "/lookup/order", &id, Duration::from_secs(10), record)
        })
        .collect();
    until(Duration::from_millis(400));
    let c = start_leaf("c", false, &tier, &events, record);
    until(Duration::from_millis(600));
    let acknowledged = b.drain(&tier.control).ok_or("nobody acknowledged that `b` drains")?;
    let gone_at = Instant::now() + DRAIN + SERVES_ON;
    until(CRASH_AT);
    if trouble {
        a.crash();
    }
    std::thread::sleep(gone_at.saturating_duration_since(Instant::now()));
    b.leave(&tier.control);
    let answers: Vec<_> = lookups.into_iter().filter_map(|l| l.join().ok()).collect();
    // The tier serves: the endpoint that has taken the place of `b` runs a new request.
    let after = caller::send(
        tier.fronts[0],
        "GET",
        "/lookup/warm",
        "after",
        Duration::from_secs(5),
        record,
    );
    c.crash();
    a.crash();
    let served = answers.iter().filter(|a| a.status == Some(200)).count();
    let bound = acknowledged + DRAIN.as_millis() as u64;
    let events = events.lock().unwrap();
    let late =
        events.iter().filter(|e| e.leaf == "i-b" && e.what == Happened::Arrived && e.ms > bound);
    let late: Vec<_> = late.collect();
    for e in &late {
        let after = e.ms - acknowledged;
        record.note("case", &format!("DRAIN: {} reached i-b {after} ms after the ack", e.request));
    }
    record.note(
        "case",
        &format!("{served} of 8 lookups served, {} came too late at i-b", late.len()),
    );
    if after.status != Some(200) {
        return Err("the tier does not serve".to_owned());
    }
    Ok(if late.is_empty() { Outcome::Held } else { Outcome::Broken })
}
