//! Another writer sends heartbeats that name a service which no desired state names, at the addresses of real
//! endpoints.

use crate::Outcome;
use crate::caller::{self, Answered, HOST};
use crate::http;
use crate::leaf::{Events, Leaf, Setup};
use crate::record::Record;
use crate::tier::{FIRST_PLAN_PATIENCE, Tier, ZONES};
use crate::wire::{fill, wire};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime};

/// Services and the routes that lead to them; the heartbeats are for the addresses of the first.
const SERVICES: [&str; 2] = ["orderdesk", "tagprint"];
const PREFIXES: [&str; 2] = ["/orders/", "/tags/"];
/// Time for which callers send, and time in it from which the other writer does.
const LENGTH: Duration = Duration::from_secs(44);
const STRAY_FROM: Duration = Duration::from_secs(2);
const BEAT_EVERY: Duration = Duration::from_millis(1_200);
const REQUEST_EVERY: Duration = Duration::from_millis(100);

fn start_leaf(n: usize, tier: &Tier, events: &Events, record: &Record) -> Leaf {
    let setup = Setup {
        id: format!("i-{}-{}", SERVICES[n / 2], n % 2),
        service: SERVICES[n / 2].to_owned(),
        zone: ZONES[n % 2].to_owned(),
        ip: format!("127.0.0.{}", 31 + n),
        slots: 2,
        queue: 4,
        work: Box::new(|_| Some(Duration::from_millis(20))),
        spoils: Box::new(|_| false),
        crashes: Box::new(|_| false),
    };
    Leaf::start(setup, &tier.control, events, record)
}

/// Sends heartbeats for the addresses until `stop`.
fn write_stray_beats(
    addresses: &[SocketAddr],
    control: &[SocketAddr],
    stop: &AtomicBool,
    record: &Record,
) {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).expect("a clock");
    let born = since.as_millis().to_string();
    for seq in 1_u64.. {
        for (n, address) in addresses.iter().enumerate() {
            let body = fill(
                "beat",
                &[
                    ("service", "named-nowhere"),
                    ("address", &address.to_string()),
                    ("zone", ZONES[n]),
                    ("slots", "2"),
                    ("state", "ready"),
                    ("born", &born),
                    ("seq", &seq.to_string()),
                ],
            );
            let start = format!("POST {}x-stray-{n} HTTP/1.1", wire("beat-path"));
            let headers = [("Host", "control"), ("Content-Type", "application/json")];
            let request = http::format(&start, &headers, body.as_bytes());
            let answer = http::call(control[seq as usize % control.len()], &request, BEAT_EVERY);
            let answer = answer.map_or_else(|e| e.to_string(), |answer| answer.start);
            record.note("another writer", &format!("sends {body}, gets {answer}"));
        }
        if stop.load(Ordering::Relaxed) {
            return;
        }
        std::thread::sleep(BEAT_EVERY);
    }
}

/// Runs the case.
pub fn run(trouble: bool, record: &Record) -> Result<Outcome, String> {
    let tier = Tier::start(3, 2)?;
    let events = Events::default();
    let leafs: Vec<_> = (0..4).map(|n| start_leaf(n, &tier, &events, record)).collect();
    let route = |i: usize| {
        fill(
            "route",
            &[
                ("name", &format!("r-{i}")),
                ("host", HOST),
                ("prefix", PREFIXES[i]),
                ("type", "idempotent"),
                ("timeout", "1500"),
                ("aim", "250"),
                ("service", SERVICES[i]),
                ("attempts", "2"),
            ],
        )
    };
    tier.put_plan(1, &[route(0), route(1)], &SERVICES.map(str::to_owned), FIRST_PLAN_PATIENCE)?;
    tier.await_ready()?;
    std::thread::sleep(Duration::from_secs(6));
    let started = Instant::now();
    let stop = Arc::new(AtomicBool::new(false));
    let mut stray = None;
    let mut requests: [Vec<_>; 2] = Default::default();
    for n in 0.. {
        let at = started + REQUEST_EVERY * n;
        if at >= started + LENGTH {
            break;
        }
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
        if trouble && stray.is_none() && started.elapsed() >= STRAY_FROM {
            let addresses: Vec<_> = leafs[..2].iter().map(Leaf::address).collect();
            let (control, stop, record) = (tier.control.clone(), Arc::clone(&stop), record.clone());
            stray = Some(std::thread::spawn(move || {
                write_stray_beats(&addresses, &control, &stop, &record);
            }));
        }
        for (i, list) in requests.iter_mut().enumerate() {
            let (id, to) = (format!("{}-{n}", SERVICES[i]), tier.fronts[n as usize % 2]);
            let (path, wait) = (format!("{}a", PREFIXES[i]), Duration::from_millis(1_500));
            list.push(caller::spawn(to, "GET", &path, &id, wait, record));
        }
    }
    let answers = requests.map(|l| l.into_iter().filter_map(|r| r.join().ok()).collect::<Vec<_>>());
    stop.store(true, Ordering::Relaxed);
    stray.into_iter().for_each(|s| drop(s.join()));
    leafs.iter().for_each(Leaf::crash);
    judge(&answers, record)
}

fn judge(answers: &[Vec<Answered>; 2], record: &Record) -> Result<Outcome, String> {
    let served = |l: &[Answered]| l.iter().filter(|a| a.status == Some(200)).count();
    let share = |l: &[Answered]| served(l) as f64 / l.len().max(1) as f64;
    let all = answers.concat();
    for (service, list) in SERVICES.iter().zip(answers) {
        let text = format!("{service}: {} of {} served", served(list), list.len());
        record.note("case", &text);
    }
    if share(&answers[1]) < 0.9 {
        return Err("the other service was not served".to_owned());
    }
    let starved = share(&answers[0]) * 4.0 < share(&all);
    let text =
        format!("{:.3} of the first kind served, {:.3} of all", share(&answers[0]), share(&all));
    record.note("case", &format!("{}{text}", if starved { "Starved: " } else { "" }));
    Ok(if starved { Outcome::Broken } else { Outcome::Held })
}
