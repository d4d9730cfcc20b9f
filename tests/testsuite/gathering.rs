//! Fault matrix of the gathering of a query: every fault at every step.
//!
//! All faults but the disconnecting caller are injected into the state machine. That one runs
//! against an entry host with fake endpoints, slots and transport, since the driver of the state
//! machine does the cancelling.

use crate::props::Endpoints as Targets;
use crate::query::{AttemptResult, DEADLINE, FakeEnvironment, QueryRun, death, refused};
use crate::support::{ANY, until};
use bytes::Bytes;
use futures::future::BoxFuture;
use hyper::Method;
use parking_lot::Mutex;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use wisteria_testkit::client;
use wisteria_testkit::matrix::Matrix;
use wisteriahead::core::routes::{Collection, Routes, Snapshot, Target};
use wisteriahead::kernel::{Kernel, Service};
use wisteriahead::prelude::*;
use wisteriahead::services::entry::EntryService;
use wisteriahead::services::{
    Allowance, Attempt, Endpoints, Observation, Permit, SlotListener, Transport,
};
use wisteriahead::util::metrics::Metrics;

const CALLER_GONE: &str = "caller gone";
const FAULTS: [&str; 9] = [
    "refusal",
    "answer lost",
    "answer late",
    "answer crossed",
    "snapshot gone",
    "endpoint lost",
    "deadline",
    CALLER_GONE,
    "slot not granted",
];
const STEPS: [&str; 6] =
    ["planned", "waiting for a slot", "sent", "hedged", "partly answered", "restarted"];

/// Searches after which a host has enough latencies to hedge.
const WARMUP_SEARCHES: usize = 60;

#[tokio::test]
async fn every_fault_at_every_step() {
    let invariant = "the answer is drawn from one snapshot, holds the hits of its own attempts \
                     alone and states truly which shards it covers; a `not-run` is true; no \
                     attempt stays open and no permit is kept";
    let mut matrix = Matrix::new("gathering", invariant, &FAULTS, &STEPS);
    for step in STEPS {
        for fault in FAULTS {
            if fault == CALLER_GONE {
                disconnect_caller(step).await;
            } else {
                for min_coverage in [0.0, 1.0] {
                    inject_fault(fault, step, min_coverage);
                }
            }
            matrix.record_held(fault, step);
        }
    }
    matrix.finish();
}

fn snapshots() -> Vec<Arc<Snapshot>> {
    let mut targets = Targets::default();
    vec![targets.snapshot("s2", &[2, 2, 2]), targets.snapshot("s1", &[2, 2, 2])]
}

/// Runs a query up to a step.
fn run_to_step(step: &str, min_coverage: f64) -> QueryRun {
    let snapshots = snapshots();
    let second = snapshots[0].shards[1].iter().map(|t| t.key).collect();
    let mut world = FakeEnvironment::new(snapshots);
    world.budget = 2;
    if step == "waiting for a slot" {
        world.full = second;
    }
    let canary = (step == "planned").then_some(1);
    let mut run = QueryRun::with(world, min_coverage, canary);
    match step {
        "planned" => assert_eq!(run.attempts.len(), 1),
        "waiting for a slot" => assert_eq!(run.attempts.len(), 2),
        "hedged" => {
            run.wake(Span::millis(6));
            assert_eq!(run.attempts.len(), 5);
        }
        "partly answered" => run.done(0, AttemptResult::Hits),
        "restarted" => {
            run.done(1, refused(Reason::WrongSnapshot));
            run.done(3, refused(Reason::WrongSnapshot));
            assert_eq!(&*run.gather.snapshot().name, "s1");
        }
        _ => {}
    }
    run
}

/// Indices of the open attempts.
fn open_ids(run: &QueryRun) -> Vec<usize> {
    (0..run.attempts.len()).filter(|i| run.attempts[*i].open).collect()
}

/// Injects a fault at a step, then answers all other attempts.
fn inject_fault(fault: &str, step: &str, min_coverage: f64) {
    let mut run = run_to_step(step, min_coverage);
    let victim = open_ids(&run)[0];
    let may_have_run = |reason| AttemptResult::Refused(Refusal::may_have_run(reason, ""));
    match fault {
        "refusal" => run.done(victim, refused(Reason::Draining)),
        "answer lost" => run.done(victim, may_have_run(Reason::Deadline)),
        "answer late" => {
            run.done(victim, may_have_run(Reason::Deadline));
            run.done(victim, AttemptResult::Hits);
        }
        "answer crossed" => run.done(victim, may_have_run(Reason::Mismatch)),
        "snapshot gone" => run.done(victim, refused(Reason::WrongSnapshot)),
        "endpoint lost" => run.done(victim, death()),
        "deadline" => {
            run.now = DEADLINE;
            run.step(wisteriahead::core::query::Event::Wake);
            assert!(run.finished, "{fault} at {step}: not finished");
        }
        "slot not granted" => {
            let snapshot = Arc::clone(run.gather.snapshot());
            run.env.full = snapshot.replicas().map(|t| t.key).collect();
            run.done(victim, refused(Reason::Busy));
            run.wake(Span::millis(3));
        }
        other => panic!("unknown fault {other}"),
    }
    while !run.finished && run.now < DEADLINE {
        open_ids(&run).into_iter().for_each(|id| run.done(id, AttemptResult::Hits));
        if !run.finished {
            run.wake(Span::millis(10));
        }
    }
    let complete = run.gather.coverage().missing.is_empty();
    let recoverable = !["deadline", "slot not granted"].contains(&fault);
    assert!(
        complete || !recoverable || step == "waiting for a slot",
        "{fault} at {step}: incomplete"
    );
    run.finish();
}

/// An attempt that was passed to the fake transport.
#[derive(Clone)]
struct SentAttempt {
    id: Arc<str>,
    snapshot: Arc<str>,
    shard: u32,
}

/// Endpoints, slots and transport of the host under test.
#[derive(Default)]
struct FakeServices {
    routes: Arc<Routes>,
    /// Whether attempts are answered; otherwise they stay open.
    respond: Mutex<bool>,
    /// Whether snapshot `s2` is gone.
    snapshot_gone: bool,
    /// Endpoints without a free slot.
    full: BTreeSet<EndpointKey>,
    /// Shard that is answered while the others stay open.
    responding_shard: Option<u32>,
    sent: Mutex<Vec<SentAttempt>>,
    cancelled: Mutex<BTreeSet<Arc<str>>>,
    /// Endpoints that were asked for a slot, by call of `request_slots`.
    slot_requests: Mutex<Vec<Vec<EndpointKey>>>,
    /// Permits in use.
    permits: Arc<Mutex<usize>>,
}

impl Endpoints for FakeServices {
    fn routes(&self) -> Arc<Routes> {
        self.routes.clone()
    }
}

impl Allowance for FakeServices {
    fn acquire(&self, to: &Target) -> Option<Permit> {
        if self.full.contains(&to.key) {
            return None;
        }
        let permits = self.permits.clone();
        *permits.lock() += 1;
        Some(Permit::new(move || *permits.lock() -= 1))
    }

    fn request_slots(&self, at: &[Target]) {
        self.slot_requests.lock().push(at.iter().map(|t| t.key).collect());
    }

    fn set_listener(&self, _: SlotListener) {}

    fn observe(&self, _: &Target, _: Observation) {}

    fn in_flight(&self, _: EndpointKey) -> u32 {
        0
    }
}

impl Transport for FakeServices {
    fn run<'a>(
        &'a self,
        _: &'a Target,
        attempt: Attempt,
        permit: Permit,
    ) -> BoxFuture<'a, Result<Bytes, Refusal>> {
        let Attempt { id, snapshot, shard, .. } = attempt;
        let gone = self.snapshot_gone && &*snapshot == "s2";
        let answered = *self.respond.lock() || self.responding_shard == Some(shard);
        self.sent.lock().push(SentAttempt { id, snapshot, shard });
        Box::pin(async move {
            let _permit = permit;
            if gone {
                return Err(Refusal::not_run(Reason::WrongSnapshot, ""));
            }
            if !answered {
                std::future::pending::<()>().await;
            }
            Ok(Bytes::from_static(br#"{"hits":[]}"#))
        })
    }

    fn cancel(&self, _: &Target, id: Arc<str>) {
        self.cancelled.lock().insert(id);
    }
}

impl FakeServices {
    fn new(step: &str) -> Self {
        let snapshots = match step {
            "waiting for a slot" => vec![Targets::default().snapshot("s2", &[1, 1])],
            "restarted" => {
                let mut targets = Targets::default();
                vec![targets.snapshot("s2", &[1, 1]), targets.snapshot("s1", &[1, 1])]
            }
            _ => vec![Targets::default().snapshot("s2", &[2, 2])],
        };
        let no_slot = step == "waiting for a slot";
        let full = no_slot.then(|| snapshots[0].shards[1][0].key).into_iter().collect();
        let collections = [("kits".to_owned(), Collection { snapshots })].into_iter().collect();
        let routes = Arc::new(Routes { collections, ..Routes::default() });
        let responding_shard = (step == "partly answered").then_some(0);
        Self {
            routes,
            full,
            responding_shard,
            snapshot_gone: step == "restarted",
            ..Self::default()
        }
    }

    /// Whether the query of the disconnecting caller has come to the step.
    fn is_at(&self, step: &str) -> bool {
        let sent = self.sent.lock();
        let attempts = |shard| sent.iter().filter(|s| s.shard == shard).count();
        match step {
            "planned" => !sent.is_empty(),
            "waiting for a slot" => !self.slot_requests.lock().is_empty(),
            "hedged" => attempts(0) > 1 || attempts(1) > 1,
            "restarted" => sent.iter().any(|s| &*s.snapshot == "s1"),
            _ => attempts(0) > 0 && attempts(1) > 0,
        }
    }

    /// Number of attempts that were neither answered, refused nor cancelled.
    fn open_attempts(&self) -> usize {
        let ended = |s: &&SentAttempt| {
            let gone = self.snapshot_gone && &*s.snapshot == "s2";
            gone || self.responding_shard == Some(s.shard) || self.cancelled.lock().contains(&s.id)
        };
        self.sent.lock().iter().filter(|s| !ended(s)).count()
    }
}

async fn search(callers: SocketAddr, n: usize) {
    let body = format!(r#"{{"collection":"kits","query":{{"text":"cord {n}"}}}}"#);
    let headers = [("wisteria-timeout-ms", "60000")];
    let answer = client::send(callers, Method::POST, "/v1/search", &headers, body).await.unwrap();
    assert_eq!(answer.status, 200, "{}", answer.body);
}

/// Starts an entry host with the fakes; returns its kernel and its address for callers.
async fn start(fakes: &Arc<FakeServices>) -> (Kernel, SocketAddr) {
    let mut kernel = Kernel::default();
    let ctx = kernel.context();
    ctx.publish::<dyn Endpoints>(<dyn Endpoints>::NAME, fakes.clone());
    ctx.publish::<dyn Allowance>(<dyn Allowance>::NAME, fakes.clone());
    ctx.publish::<dyn Transport>(<dyn Transport>::NAME, fakes.clone());
    let metrics = Metrics::new(None).unwrap();
    let entry = Arc::new(EntryService::new(ANY, "a".into(), 1, metrics));
    kernel.start(entry.clone() as Arc<dyn Service>).await.unwrap();
    (kernel, entry.address().unwrap())
}

/// Disconnects a caller at a step; checks that all attempts are cancelled and all permits returned.
async fn disconnect_caller(step: &str) {
    let fakes = Arc::new(FakeServices::new(step));
    let (mut kernel, callers) = start(&fakes).await;
    if step == "hedged" {
        *fakes.respond.lock() = true;
        for n in 0..WARMUP_SEARCHES {
            search(callers, n).await;
        }
        *fakes.respond.lock() = false;
        fakes.sent.lock().clear();
    }
    let request = tokio::spawn(search(callers, WARMUP_SEARCHES));
    until(step, || fakes.is_at(step)).await;
    request.abort();
    until("the cancellation of all attempts", || fakes.open_attempts() == 0).await;
    until("the return of all permits", || *fakes.permits.lock() == 0).await;
    kernel.stop(Span::secs(5)).await;
}

/// A slot that is requested from a second replica meanwhile would be withheld from a host that may
/// need it.
#[tokio::test]
async fn shard_without_slots_requests_one_from_each_replica_in_turn() {
    let snapshot = Targets::default().snapshot("s1", &[2]);
    let full: BTreeSet<_> = snapshot.shards[0].iter().map(|t| t.key).collect();
    let collection = Collection { snapshots: vec![snapshot] };
    let collections = [("kits".to_owned(), collection)].into_iter().collect();
    let routes = Arc::new(Routes { collections, ..Routes::default() });
    let fakes = Arc::new(FakeServices { routes, full: full.clone(), ..FakeServices::default() });
    let (mut kernel, callers) = start(&fakes).await;
    let request = tokio::spawn(search(callers, 0));
    until("both replicas are asked", || fakes.slot_requests.lock().len() > 1).await;
    request.abort();
    let slot_requests = fakes.slot_requests.lock().clone();
    assert!(slot_requests.iter().all(|at| at.len() == 1), "{slot_requests:?}");
    assert_eq!(slot_requests[..2].concat().into_iter().collect::<BTreeSet<_>>(), full);
    kernel.stop(Span::secs(5)).await;
}
