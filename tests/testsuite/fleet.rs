//! Simulation of a fleet in virtual time: queries over shards whose replicas have random execution
//! times.
//!
//! An execution time depends only on the seed, the query, the shard and the replica, so that all
//! policies, and the lower bound of a perfect choice of replicas, are compared on the same times.

use crate::props::Endpoints;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::sync::Arc;
use wisteriahead::core::admission::{
    Action as AdmissionAction, Admission, AdmissionRequest, Event as Arrival,
};
use wisteriahead::core::choice::{ChoiceContext, Latencies};
use wisteriahead::core::hedge::{self, AttemptBudget};
use wisteriahead::core::hits::Hits;
use wisteriahead::core::latency::Histogram;
use wisteriahead::core::quarantine::SuspectRun;
use wisteriahead::core::query::{Action, AttemptId, Environment, Event, Gather};
use wisteriahead::core::routes::{Snapshot, Target};
use wisteriahead::core::wait_queue::{Urgency, WaitQueues};
use wisteriahead::prelude::*;

/// Mean execution time of a replica that is not a straggler.
pub const MEAN: Span = Span::millis(5);
/// Share of executions that are stragglers.
const STRAGGLER_RATIO: f64 = 0.01;
/// How many times longer a straggler takes.
const STRAGGLER_FACTOR: f64 = 10.0;
const TIMEOUT: Span = Span::secs(1);
const QUERY_INTERVAL: Span = Span::millis(20);

/// How replicas are chosen and attempts are hedged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// A random replica, without hedging.
    Random,
    /// A random replica, hedged after a fixed delay without a budget.
    Fixed(Span),
    /// The policy of the daemon: replicas and hedge delays are chosen by observed latencies.
    Adaptive,
}

/// Latencies and executions of a run.
#[derive(Debug, Default)]
pub struct RunStats {
    /// Latency of each query in microseconds.
    pub latencies_us: Vec<u64>,
    pub executions: usize,
    /// Shards that answered, over all queries.
    pub answered: usize,
    /// Shards that were queried, over all queries.
    pub requested: usize,
}

impl RunStats {
    /// Ratio of executions to the fewest that can answer.
    pub fn load(&self) -> f64 {
        self.executions as f64 / self.requested as f64
    }

    pub fn coverage(&self) -> f64 {
        self.answered as f64 / self.requested as f64
    }

    pub fn p99(&self) -> f64 {
        let mut sorted = self.latencies_us.clone();
        sorted.sort_unstable();
        sorted[sorted.len() * 99 / 100] as f64
    }
}

pub struct Sim {
    seed: u64,
    policy: Policy,
    snapshot: Arc<Snapshot>,
    /// Endpoints that never respond.
    pub frozen: HashSet<EndpointKey>,
    latencies: Latencies,
    times: Histogram,
    extra_budget: AttemptBudget,
    serial: u64,
    in_flight: slotmap::SecondaryMap<EndpointKey, u32>,
    /// Requests that an endpoint runs concurrently.
    slots: u32,
    slot_waiters: WaitQueues,
    events: EventQueue,
    /// Whether each query runs on one shard first, as a canary.
    pub canary: bool,
}

impl Environment for Sim {
    type Permit = ();

    fn acquire(
        &mut self,
        now: Time,
        replicas: &[Target],
        tried: &[EndpointKey],
    ) -> Option<(Target, ())> {
        self.serial += 1;
        if self.policy != Policy::Adaptive {
            let free: Vec<_> = replicas.iter().filter(|t| !tried.contains(&t.key)).collect();
            let pick = hash(self.seed ^ 0xfeed, self.serial) as usize;
            return free.get(pick % free.len().max(1)).map(|t| ((*t).clone(), ()));
        }
        let in_flight = |key| self.in_flight.get(key).copied().unwrap_or(0);
        let context = ChoiceContext {
            zone: "north",
            in_flight: &in_flight,
            seed: self.serial,
            usual: Span::ZERO,
            zone_cost: &|_| (0, 1),
        };
        let order = self.latencies.order(now, replicas, tried, &context);
        match order.into_iter().find(|t| in_flight(t.key) < self.slots) {
            Some(target) => {
                if tried.is_empty() {
                    self.extra_budget.earn(1);
                }
                Some((target.clone(), ()))
            }
            None => {
                self.extra_budget.record_refusal();
                None
            }
        }
    }

    fn take_extra(&mut self, _: &[Target]) -> bool {
        self.policy != Policy::Adaptive || self.extra_budget.spend()
    }

    fn hedge_delay(&self, _: &[Target]) -> Option<Span> {
        match self.policy {
            Policy::Random => None,
            Policy::Fixed(delay) => Some(delay),
            Policy::Adaptive => hedge::delay(&self.times),
        }
    }

    fn next_snapshot(&self, _: &[Arc<Snapshot>]) -> Option<Arc<Snapshot>> {
        None
    }

    fn try_suspect(&mut self, _: Time, _: Option<u32>) -> SuspectRun {
        SuspectRun::Allowed
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EventKind {
    Arrive,
    AdmissionWake,
    Start,
    Done(AttemptId),
    SlotFree(EndpointKey),
    Wake,
}

type EventQueue = BinaryHeap<Reverse<(Time, u64, usize, EventKind)>>;

struct Query {
    gather: Gather,
    arrived: Time,
    started: Time,
    deadline: Time,
    sent: Vec<Option<(Target, Time)>>,
    wake: Time,
    finished: bool,
    /// Set when the query finishes, until the run has counted it.
    just_finished: bool,
}

impl Query {
    fn urgency(&self, q: usize) -> Urgency {
        Urgency { priority: 1, deadline: self.deadline, serial: q as u64 }
    }
}

/// Outcomes of the queries of a run.
#[derive(Debug, Default)]
pub struct LoadStats {
    /// Answered completely and in time.
    pub good: usize,
    /// Refused, without any execution.
    pub refused: usize,
    /// Started, but not answered completely.
    pub wasted: usize,
    span: Time,
}

impl LoadStats {
    /// Complete answers per second.
    pub fn goodput(&self) -> f64 {
        self.good as f64 * 1e6 / self.span.0 as f64
    }
}

impl Sim {
    pub fn new(seed: u64, policy: Policy, shards: usize) -> Self {
        let snapshot = Endpoints::default().snapshot("s1", &vec![2; shards]);
        Self {
            seed,
            policy,
            snapshot,
            frozen: HashSet::new(),
            latencies: Latencies::default(),
            times: Histogram::default(),
            extra_budget: AttemptBudget::default(),
            serial: 0,
            in_flight: slotmap::SecondaryMap::new(),
            slots: u32::MAX,
            slot_waiters: WaitQueues::default(),
            events: EventQueue::new(),
            canary: false,
        }
    }

    /// Limits each endpoint to `slots` concurrent requests.
    pub fn with_slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Freezes one replica of each shard.
    pub fn freeze_one_replica_per_shard(&mut self) {
        let shards = self.snapshot.shards.iter().enumerate();
        self.frozen = shards.map(|(i, r)| r[hash(self.seed, i as u64) as usize % 2].key).collect();
    }

    /// Execution time of a query on an endpoint; none if the endpoint is frozen.
    fn execution_time(&self, query: usize, shard: u32, key: EndpointKey) -> Option<Span> {
        if self.frozen.contains(&key) {
            return None;
        }
        let replica = self.snapshot.shards[shard as usize].iter().position(|t| t.key == key);
        let at = (query as u64) << 32 | u64::from(shard) << 8 | replica.unwrap() as u64;
        let uniform = |salt: u64| hash(self.seed ^ salt, at) as f64 / u64::MAX as f64;
        let tail = -(1.0 - uniform(1)).max(1e-12).ln();
        let time = MEAN.0 as f64 * 0.5 * (1.0 + tail);
        let straggles = uniform(2) < STRAGGLER_RATIO;
        Some(Span((time * if straggles { STRAGGLER_FACTOR } else { 1.0 }) as u64))
    }

    /// Latency of each query if the fastest replica were always chosen.
    pub fn lower_bound(&self, queries: usize) -> RunStats {
        let best = |q, s: usize| {
            let replicas = self.snapshot.shards[s].iter();
            replicas.filter_map(|t| self.execution_time(q, s as u32, t.key)).min().unwrap().0
        };
        let shards = self.snapshot.shards.len();
        let times = (0..queries).map(|q| (0..shards).map(|s| best(q, s)).max().unwrap()).collect();
        RunStats { latencies_us: times, ..RunStats::default() }
    }

    /// Runs queries at a fixed interval. The first tenth is a warm-up and is not counted.
    pub fn run(&mut self, queries: usize) -> RunStats {
        let mut stats = RunStats::default();
        let mut running: Vec<Query> = Vec::new();
        for q in 0..queries {
            let arrived = Time(q as u64 * QUERY_INTERVAL.0);
            running.push(self.new_query(arrived, TIMEOUT, 0.0));
            self.push(arrived, q, EventKind::Start);
        }
        let counted = |q: usize| q >= queries / 10;
        while let Some(Reverse((now, _, q, kind))) = self.events.pop() {
            let query = &mut running[q];
            let sends = self.step(now, q, query, kind);
            stats.executions += if counted(q) { sends } else { 0 };
            if std::mem::take(&mut query.just_finished) && counted(q) {
                stats.latencies_us.push(now.since(query.arrived).0);
                stats.answered += query.gather.coverage().answered as usize;
                stats.requested += self.snapshot.shards.len();
            }
        }
        stats
    }

    /// Offers queries that need all shards, one every `gap`, through admission if `admit` is set.
    pub fn offer(&mut self, gap: Span, queries: usize, timeout: Span, admit: bool) -> LoadStats {
        let mut stats = LoadStats::default();
        let mut admission = Admission::default();
        let mut running: Vec<Query> = Vec::new();
        for q in 0..queries {
            let arrived = Time(q as u64 * gap.0);
            running.push(self.new_query(arrived, timeout, 1.0));
            self.push(arrived, q, if admit { EventKind::Arrive } else { EventKind::Start });
        }
        while let Some(Reverse((now, _, q, kind))) = self.events.pop() {
            stats.span = now;
            let query = &mut running[q];
            let urgency = query.urgency(q);
            let actions = match kind {
                EventKind::Arrive => {
                    let request = AdmissionRequest {
                        urgency,
                        timeout,
                        class: "".into(),
                        limit: None,
                        caller: None,
                    };
                    admission.step(now, Arrival::Arrive(request))
                }
                EventKind::AdmissionWake => admission.step(now, Arrival::Wake),
                _ => {
                    self.step(now, q, query, kind);
                    if !std::mem::take(&mut query.just_finished) {
                        continue;
                    }
                    match (query.gather.coverage().missing.len(), query.gather.verdict()) {
                        (0, _) => stats.good += 1,
                        (_, Verdict::NotRun) => stats.refused += 1,
                        _ => stats.wasted += 1,
                    }
                    let slot_wait = query
                        .gather
                        .last_slot_wait()
                        .map_or(Span::ZERO, |t| t.since(query.started));
                    admission.step(now, Arrival::Finish { query: urgency, slot_wait })
                }
            };
            for action in actions {
                match action {
                    AdmissionAction::Start(u) => {
                        running[u.serial as usize].started = now;
                        self.push(now, u.serial as usize, EventKind::Start);
                    }
                    AdmissionAction::Refuse(..) => stats.refused += 1,
                    AdmissionAction::Wake(at) => self.push(at, q, EventKind::AdmissionWake),
                }
            }
        }
        stats
    }

    fn new_query(&self, arrived: Time, timeout: Span, min_coverage: f64) -> Query {
        let deadline = arrived + timeout;
        let gather = Gather::new(Arc::clone(&self.snapshot), deadline, min_coverage);
        Query {
            gather,
            arrived,
            started: arrived,
            deadline,
            sent: Vec::new(),
            wake: Time(u64::MAX),
            finished: false,
            just_finished: false,
        }
    }

    /// Passes one event to a query; returns the number of attempts that it sent.
    fn step(&mut self, now: Time, q: usize, query: &mut Query, kind: EventKind) -> usize {
        if query.finished || (kind == EventKind::Wake && now != query.wake) {
            return 0;
        }
        let event = match kind {
            EventKind::Done(id) => {
                let Some(sent) = query.sent[id.0 as usize].take() else { return 0 };
                self.end_attempt(now, &sent);
                Event::Done(id, Ok(Hits::default()))
            }
            EventKind::Start => {
                if let Some(wait) = hedge::canary_wait(&self.times).filter(|_| self.canary) {
                    let min_coverage = 0.0;
                    let gather =
                        Gather::new(Arc::clone(&self.snapshot), query.deadline, min_coverage);
                    query.gather = gather.with_canary(0, wait);
                }
                Event::Start
            }
            EventKind::Wake => {
                query.wake = Time(u64::MAX);
                Event::Wake
            }
            EventKind::SlotFree(at) => Event::SlotsFree(vec![at]),
            EventKind::Arrive | EventKind::AdmissionWake => Event::Wake,
        };
        let before = query.sent.len();
        for action in query.gather.step(now, event, self) {
            self.execute(now, q, query, action);
        }
        let keys: Vec<_> = query.gather.awaiting_slot().map(|t| t.key).collect();
        for key in keys {
            self.slot_waiters.push(key, query.urgency(q));
        }
        query.sent.len() - before
    }

    fn execute(&mut self, now: Time, q: usize, query: &mut Query, action: Action<()>) {
        match action {
            Action::Send { attempt, shard, target, .. } => {
                *self.in_flight.entry(target.key).unwrap().or_default() += 1;
                if let Some(time) = self.execution_time(q, shard, target.key) {
                    self.push(now + time, q, EventKind::Done(attempt));
                }
                query.sent.push(Some((target, now)));
            }
            Action::Cancel(id) => {
                if let Some(sent) = query.sent[id.0 as usize].take() {
                    self.end_attempt(now, &sent);
                }
            }
            Action::Wake(at) if at < query.wake => {
                query.wake = at;
                self.push(at, q, EventKind::Wake);
            }
            Action::Wake(_) => {}
            Action::Finish => (query.finished, query.just_finished) = (true, true),
        }
    }

    /// Records the end of an attempt and gives its slot to the next query.
    fn end_attempt(&mut self, now: Time, (target, at): &(Target, Time)) {
        self.in_flight[target.key] -= 1;
        self.times.record(now.since(*at));
        self.latencies.record_answer(now, target.key, now.since(*at));
        if let Some(next) = self.slot_waiters.pop(target.key) {
            self.push(now, next.serial as usize, EventKind::SlotFree(target.key));
        }
    }

    fn push(&mut self, at: Time, q: usize, kind: EventKind) {
        let serial = self.next_serial();
        self.events.push(Reverse((at, serial, q, kind)));
    }

    fn next_serial(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }
}

fn hash(seed: u64, at: u64) -> u64 {
    let mut x = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ at.wrapping_mul(0xd6e8_feb8_6659_fd93);
    for _ in 0..3 {
        x ^= x >> 32;
        x = x.wrapping_mul(0xd6e8_feb8_6659_fd93);
    }
    x ^ (x >> 32)
}
