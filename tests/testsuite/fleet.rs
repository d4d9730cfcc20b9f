//! A fleet in virtual time: queries over shards whose replicas take drawn times.
//!
//! The draws depend on the seed, the query, the shard and the replica alone, so that
//! all policies and the bound of a perfect choice meet the same ones.

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

/// Mean time of an execution that does not straggle.
pub const MEAN: Span = Span::millis(5);
const STRAGGLERS: f64 = 0.01;
const FACTOR: f64 = 10.0;
const TIMEOUT: Span = Span::secs(1);
/// Time between two queries.
const GAP: Span = Span::millis(20);

/// How replicas are chosen and attempts hedged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// One replica by lot, no hedge.
    Random,
    /// One replica by lot, hedged after a fixed time without a budget.
    Fixed(Span),
    /// What the daemon does.
    Learnt,
}

/// What a run showed.
#[derive(Debug, Default)]
pub struct Figures {
    pub times: Vec<u64>,
    pub executions: usize,
    pub answered: usize,
    pub wanted: usize,
}

impl Figures {
    /// Executions over the least that could answer.
    pub fn load(&self) -> f64 {
        self.executions as f64 / self.wanted as f64
    }

    pub fn coverage(&self) -> f64 {
        self.answered as f64 / self.wanted as f64
    }

    pub fn p99(&self) -> f64 {
        let mut times = self.times.clone();
        times.sort_unstable();
        times[times.len() * 99 / 100] as f64
    }
}

pub struct Sim {
    seed: u64,
    policy: Policy,
    snapshot: Arc<Snapshot>,
    /// Endpoints that answer nothing.
    pub frozen: HashSet<EndpointKey>,
    latencies: Latencies,
    times: Histogram,
    extras: AttemptBudget,
    serial: u64,
    in_flight: slotmap::SecondaryMap<EndpointKey, u32>,
    /// Requests that an endpoint runs at once.
    slots: u32,
    room: WaitQueues,
    events: Queue,
    /// Whether each query goes to one shard first.
    pub lead: bool,
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
        if self.policy != Policy::Learnt {
            let free: Vec<_> = replicas.iter().filter(|t| !tried.contains(&t.key)).collect();
            let lot = mix(self.seed ^ 0xfeed, self.serial) as usize;
            return free.get(lot % free.len().max(1)).map(|t| ((*t).clone(), ()));
        }
        let in_flight = |key| self.in_flight.get(key).copied().unwrap_or(0);
        let context = ChoiceContext {
            zone: "north",
            in_flight: &in_flight,
            seed: self.serial,
            zone_penalty: 0,
        };
        let order = self.latencies.order(now, replicas, tried, &context);
        match order.into_iter().find(|t| in_flight(t.key) < self.slots) {
            Some(target) => {
                if tried.is_empty() {
                    self.extras.earn(1);
                }
                Some((target.clone(), ()))
            }
            None => {
                self.extras.record_refusal();
                None
            }
        }
    }

    fn take_extra(&mut self, _: &[Target]) -> bool {
        self.policy != Policy::Learnt || self.extras.spend()
    }

    fn hedge_delay(&self, _: &[Target]) -> Option<Span> {
        match self.policy {
            Policy::Random => None,
            Policy::Fixed(delay) => Some(delay),
            Policy::Learnt => hedge::delay(&self.times),
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
enum Kind {
    Arrive,
    Late,
    Turn,
    Done(AttemptId),
    Room(EndpointKey),
    Wake,
}

type Queue = BinaryHeap<Reverse<(Time, u64, usize, Kind)>>;

struct Query {
    gather: Gather,
    begun: Time,
    turn: Time,
    deadline: Time,
    sent: Vec<Option<(Target, Time)>>,
    wake: Time,
    over: bool,
    ended: bool,
}

impl Query {
    fn urgency(&self, q: usize) -> Urgency {
        Urgency { priority: 1, deadline: self.deadline, serial: q as u64 }
    }
}

/// What became of offered queries.
#[derive(Debug, Default)]
pub struct Offered {
    /// Answered whole and in time.
    pub good: usize,
    /// Refused with the proof that nothing ran.
    pub refused: usize,
    /// Begun and not answered.
    pub wasted: usize,
    span: Time,
}

impl Offered {
    /// Whole answers a second.
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
            extras: AttemptBudget::default(),
            serial: 0,
            in_flight: slotmap::SecondaryMap::new(),
            slots: u32::MAX,
            room: WaitQueues::default(),
            events: Queue::new(),
            lead: false,
        }
    }

    /// Limits each endpoint to `slots` requests at once.
    pub fn with_slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Freezes one replica of each shard.
    pub fn freeze_one_of_each(&mut self) {
        let lots = self.snapshot.shards.iter().enumerate();
        self.frozen = lots.map(|(i, r)| r[mix(self.seed, i as u64) as usize % 2].key).collect();
    }

    /// The time of an execution, or none when it never ends.
    fn draw(&self, query: usize, shard: u32, key: EndpointKey) -> Option<Span> {
        if self.frozen.contains(&key) {
            return None;
        }
        let replica = self.snapshot.shards[shard as usize].iter().position(|t| t.key == key);
        let at = (query as u64) << 32 | u64::from(shard) << 8 | replica.unwrap() as u64;
        let uniform = |salt: u64| mix(self.seed ^ salt, at) as f64 / u64::MAX as f64;
        let tail = -(1.0 - uniform(1)).max(1e-12).ln();
        let time = MEAN.0 as f64 * 0.5 * (1.0 + tail);
        let straggles = uniform(2) < STRAGGLERS;
        Some(Span((time * if straggles { FACTOR } else { 1.0 }) as u64))
    }

    /// The time of each query with a perfect choice of replicas.
    pub fn bound(&self, queries: usize) -> Figures {
        let best = |q, s: usize| {
            let replicas = self.snapshot.shards[s].iter();
            replicas.filter_map(|t| self.draw(q, s as u32, t.key)).min().unwrap().0
        };
        let shards = self.snapshot.shards.len();
        let times = (0..queries).map(|q| (0..shards).map(|s| best(q, s)).max().unwrap()).collect();
        Figures { times, ..Figures::default() }
    }

    /// Runs queries at fixed gaps; the first tenth only warms up.
    pub fn run(&mut self, queries: usize) -> Figures {
        let mut figures = Figures::default();
        let mut open: Vec<Query> = Vec::new();
        for q in 0..queries {
            let begun = Time(q as u64 * GAP.0);
            open.push(self.query(begun, TIMEOUT, 0.0));
            self.push(begun, q, Kind::Turn);
        }
        let counted = |q: usize| q >= queries / 10;
        while let Some(Reverse((now, _, q, kind))) = self.events.pop() {
            let query = &mut open[q];
            let sends = self.step(now, q, query, kind);
            figures.executions += if counted(q) { sends } else { 0 };
            if std::mem::take(&mut query.ended) && counted(q) {
                figures.times.push(now.since(query.begun).0);
                figures.answered += query.gather.coverage().answered as usize;
                figures.wanted += self.snapshot.shards.len();
            }
        }
        figures
    }

    /// Offers queries that need all shards at a steady rate, through admission.
    pub fn offer(&mut self, gap: Span, queries: usize, timeout: Span, admit: bool) -> Offered {
        let mut offered = Offered::default();
        let mut admission = Admission::default();
        let mut open: Vec<Query> = Vec::new();
        for q in 0..queries {
            let begun = Time(q as u64 * gap.0);
            open.push(self.query(begun, timeout, 1.0));
            self.push(begun, q, if admit { Kind::Arrive } else { Kind::Turn });
        }
        while let Some(Reverse((now, _, q, kind))) = self.events.pop() {
            offered.span = now;
            let query = &mut open[q];
            let urgency = query.urgency(q);
            let actions = match kind {
                Kind::Arrive => {
                    let ask = AdmissionRequest {
                        urgency,
                        timeout,
                        class: "".into(),
                        limit: None,
                        caller: None,
                    };
                    admission.step(now, Arrival::Arrive(ask))
                }
                Kind::Late => admission.step(now, Arrival::Wake),
                _ => {
                    self.step(now, q, query, kind);
                    if !std::mem::take(&mut query.ended) {
                        continue;
                    }
                    match (query.gather.coverage().missing.len(), query.gather.verdict()) {
                        (0, _) => offered.good += 1,
                        (_, Verdict::NotRun) => offered.refused += 1,
                        _ => offered.wasted += 1,
                    }
                    let crowded =
                        query.gather.last_slot_wait().map_or(Span::ZERO, |t| t.since(query.turn));
                    admission.step(now, Arrival::Finish { query: urgency, slot_wait: crowded })
                }
            };
            for action in actions {
                match action {
                    AdmissionAction::Start(u) => {
                        open[u.serial as usize].turn = now;
                        self.push(now, u.serial as usize, Kind::Turn);
                    }
                    AdmissionAction::Refuse(..) => offered.refused += 1,
                    AdmissionAction::Wake(at) => self.push(at, q, Kind::Late),
                }
            }
        }
        offered
    }

    fn query(&self, begun: Time, timeout: Span, least: f64) -> Query {
        let deadline = begun + timeout;
        let gather = Gather::new(Arc::clone(&self.snapshot), deadline, least);
        Query {
            gather,
            begun,
            turn: begun,
            deadline,
            sent: Vec::new(),
            wake: Time(u64::MAX),
            over: false,
            ended: false,
        }
    }

    /// Feeds one event to a query; returns the attempts that it sent.
    fn step(&mut self, now: Time, q: usize, query: &mut Query, kind: Kind) -> usize {
        if query.over || (kind == Kind::Wake && now != query.wake) {
            return 0;
        }
        let event = match kind {
            Kind::Done(id) => {
                let Some(sent) = query.sent[id.0 as usize].take() else { return 0 };
                self.ended(now, &sent);
                Event::Done(id, Ok(Hits::default()))
            }
            Kind::Turn => {
                if let Some(lead) = hedge::canary_wait(&self.times).filter(|_| self.lead) {
                    let least = 0.0;
                    let gather = Gather::new(Arc::clone(&self.snapshot), query.deadline, least);
                    query.gather = gather.with_canary(0, lead);
                }
                Event::Start
            }
            Kind::Wake => {
                query.wake = Time(u64::MAX);
                Event::Wake
            }
            Kind::Room(at) => Event::SlotsFree(vec![at]),
            Kind::Arrive | Kind::Late => Event::Wake,
        };
        let before = query.sent.len();
        for action in query.gather.step(now, event, self) {
            self.carry_out(now, q, query, action);
        }
        let keys: Vec<_> = query.gather.awaiting_slot().map(|t| t.key).collect();
        for key in keys {
            self.room.push(key, query.urgency(q));
        }
        query.sent.len() - before
    }

    fn carry_out(&mut self, now: Time, q: usize, query: &mut Query, action: Action<()>) {
        match action {
            Action::Send { attempt, shard, target, .. } => {
                *self.in_flight.entry(target.key).unwrap().or_default() += 1;
                if let Some(time) = self.draw(q, shard, target.key) {
                    self.push(now + time, q, Kind::Done(attempt));
                }
                query.sent.push(Some((target, now)));
            }
            Action::Cancel(id) => {
                if let Some(sent) = query.sent[id.0 as usize].take() {
                    self.ended(now, &sent);
                }
            }
            Action::Wake(at) if at < query.wake => {
                query.wake = at;
                self.push(at, q, Kind::Wake);
            }
            Action::Wake(_) => {}
            Action::Finish => (query.over, query.ended) = (true, true),
        }
    }

    fn ended(&mut self, now: Time, (target, at): &(Target, Time)) {
        self.in_flight[target.key] -= 1;
        self.times.record(now.since(*at));
        self.latencies.record_answer(now, target.key, now.since(*at));
        if let Some(next) = self.room.pop(target.key) {
            self.push(now, next.serial as usize, Kind::Room(target.key));
        }
    }

    fn push(&mut self, at: Time, q: usize, kind: Kind) {
        let serial = self.count();
        self.events.push(Reverse((at, serial, q, kind)));
    }

    fn count(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }
}

fn mix(seed: u64, at: u64) -> u64 {
    let mut x = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ at.wrapping_mul(0xd6e8_feb8_6659_fd93);
    for _ in 0..3 {
        x ^= x >> 32;
        x = x.wrapping_mul(0xd6e8_feb8_6659_fd93);
    }
    x ^ (x >> 32)
}
