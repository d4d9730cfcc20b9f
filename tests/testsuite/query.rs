//! Gathering one answer from many shards, under any order of events.

use crate::props::{Endpoints, config};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use wisteriahead::core::hits::{Hit, Hits};
use wisteriahead::core::quarantine::{DEATHS_MAX, SuspectRun};
use wisteriahead::core::query::{Action, AttemptId, Environment, Event, Gather};
use wisteriahead::core::routes::{Snapshot, Target};
use wisteriahead::prelude::*;

pub const DEADLINE: Time = Time(100_000);
const CANARY_DELAY: Span = Span::millis(1);
const HEDGE_DELAY: Span = Span::millis(5);

/// Endpoints whose free slots, retry budget and snapshots the test sets.
pub struct FakeEnvironment {
    pub full: BTreeSet<EndpointKey>,
    /// Number of calls of `take_extra` that are granted.
    pub budget: usize,
    spent: usize,
    snapshots: Vec<Arc<Snapshot>>,
    suspect_run: SuspectRun,
    /// Calls of `acquire`.
    acquires: usize,
}

impl FakeEnvironment {
    pub fn new(snapshots: Vec<Arc<Snapshot>>) -> Self {
        let full = BTreeSet::new();
        Self { full, budget: 0, spent: 0, snapshots, suspect_run: SuspectRun::Allowed, acquires: 0 }
    }
}

impl Environment for FakeEnvironment {
    type Permit = ();

    fn acquire(
        &mut self,
        _: Time,
        replicas: &[Target],
        tried: &[EndpointKey],
    ) -> Option<(Target, ())> {
        self.acquires += 1;
        let free = |t: &&Target| !tried.contains(&t.key) && !self.full.contains(&t.key);
        replicas.iter().find(free).map(|t| (t.clone(), ()))
    }

    fn has_free_slot(&self, _: Time, replicas: &[Target]) -> bool {
        replicas.iter().any(|t| !self.full.contains(&t.key))
    }

    fn take_extra(&mut self, _: &[Target]) -> bool {
        let granted = self.spent < self.budget;
        self.spent += usize::from(granted);
        granted
    }

    fn hedge_delay(&self, _: &[Target]) -> Option<Span> {
        Some(HEDGE_DELAY)
    }

    fn next_snapshot(&self, lost: &[Arc<Snapshot>]) -> Option<Arc<Snapshot>> {
        self.snapshots.iter().find(|s| !lost.iter().any(|l| l.same_partitioning(s))).cloned()
    }

    fn try_suspect(&mut self, _: Time, _: Option<u32>) -> SuspectRun {
        self.suspect_run
    }
}

#[derive(Clone, Debug)]
pub struct Attempt {
    snapshot: Arc<str>,
    shard: u32,
    key: EndpointKey,
    pub open: bool,
    not_run: bool,
    dead: bool,
    /// Whether it was sent before any other shard than the canary's.
    canary_only: bool,
}

/// Runs a query and checks each of its actions.
pub struct QueryRun {
    pub gather: Gather,
    pub env: FakeEnvironment,
    pub now: Time,
    pub attempts: Vec<Attempt>,
    pub finished: bool,
    /// Hits that count: the first answer to each attempt that was still open.
    accepted: BTreeMap<(Arc<str>, u32), String>,
    /// First attempts at each shard of each snapshot.
    first_attempts: usize,
    /// Further attempts that need no budget, since an earlier one did not run or its endpoint died.
    unbudgeted: usize,
}

impl QueryRun {
    fn new(env: FakeEnvironment, min_coverage: f64) -> Self {
        Self::with(env, min_coverage, None)
    }

    /// A query that is sent to the shard `canary` first, if there is one.
    pub fn with(env: FakeEnvironment, min_coverage: f64, canary: Option<u32>) -> Self {
        let mut gather = Gather::new(Arc::clone(&env.snapshots[0]), DEADLINE, min_coverage);
        if let Some(shard) = canary {
            gather = gather.with_canary(shard, CANARY_DELAY);
        }
        let mut run = Self {
            gather,
            env,
            now: Time(0),
            attempts: Vec::new(),
            finished: false,
            accepted: BTreeMap::new(),
            first_attempts: 0,
            unbudgeted: 0,
        };
        run.step(Event::Start);
        run
    }

    pub fn step(&mut self, event: Event) {
        for action in self.gather.step(self.now, event, &mut self.env) {
            assert!(!self.finished, "{action:?} after the finish");
            match action {
                Action::Send { attempt, snapshot, shard, target, .. } => {
                    self.sent(attempt, Arc::clone(&snapshot.name), shard, &target);
                }
                Action::Cancel(id) => {
                    let a = &mut self.attempts[id.0 as usize];
                    assert!(a.open, "{id:?} cancelled, but it is not open");
                    a.open = false;
                }
                Action::Wake(at) => assert!(at <= DEADLINE),
                Action::Finish => self.finished = true,
            }
        }
    }

    fn sent(&mut self, id: AttemptId, snapshot: Arc<str>, shard: u32, target: &Target) {
        assert_eq!(id.0 as usize, self.attempts.len());
        assert!(self.now < DEADLINE, "sent after the deadline");
        let twice = |a: &Attempt| a.open && a.key == target.key && a.snapshot == snapshot;
        assert!(!self.attempts.iter().any(twice), "two attempts at one replica at a time");
        let same = |a: &&Attempt| a.snapshot == snapshot && a.shard == shard;
        if !self.attempts.iter().any(|a| same(&a)) {
            self.first_attempts += 1;
        }
        let before = self.attempts.iter().filter(|a| a.snapshot == snapshot && a.shard == shard);
        let deaths = before.clone().filter(|a| a.dead).count();
        assert!(deaths < DEATHS_MAX, "sent again after {deaths} deaths");
        let others_open = self.attempts.iter().any(|a| a.open);
        let suspect = self.attempts.iter().any(|a| a.dead && a.canary_only);
        let cleared = !self.accepted.is_empty();
        assert!(!suspect || cleared || !others_open, "a suspect does not run alone");
        self.unbudgeted += deaths;
        let (key, open, not_run, dead) = (target.key, true, false, false);
        let canary_only = self.gather.is_canary_only();
        self.attempts.push(Attempt { snapshot, shard, key, open, not_run, dead, canary_only });
    }

    /// Delivers a result for any attempt ID, also one that ended, was cancelled or was never sent.
    pub fn done(&mut self, id: usize, result: AttemptResult) {
        let result = match (result, self.attempts.get_mut(id)) {
            (AttemptResult::Hits, Some(a)) => {
                let text = format!("{}/{}/{id}", a.snapshot, a.shard);
                if std::mem::take(&mut a.open) {
                    self.accepted.insert((Arc::clone(&a.snapshot), a.shard), text.clone());
                }
                Ok(Hits(vec![Hit { id: text, score: 1.0, shard: 99 }]))
            }
            (AttemptResult::Hits, None) => {
                Ok(Hits(vec![Hit { id: "none".into(), score: 1.0, shard: 99 }]))
            }
            (AttemptResult::Refused(refusal), a) => {
                if let Some(a) = a
                    && std::mem::take(&mut a.open)
                {
                    a.not_run = refusal.verdict == Verdict::NotRun;
                    a.dead = refusal.suggests_death();
                    a.canary_only &= a.dead && self.gather.is_canary_only();
                    self.unbudgeted += usize::from(a.not_run);
                }
                Err(refusal)
            }
        };
        self.step(Event::Done(AttemptId(id as u32), result));
    }

    pub fn wake(&mut self, after: Span) {
        self.now += after;
        self.step(Event::Wake);
    }

    /// Frees the slots of an endpoint and tells the query.
    fn free_slot(&mut self, at: EndpointKey) {
        self.env.full.remove(&at);
        self.step(Event::SlotsFree(vec![at]));
    }

    /// Runs to the deadline and checks the answer.
    pub fn finish(mut self) {
        self.now = self.now.max(DEADLINE);
        self.step(Event::Wake);
        assert!(self.finished, "the deadline passed without a finish");
        assert!(self.attempts.iter().all(|a| !a.open), "an attempt was left open");
        let extra = self.attempts.len() - self.first_attempts;
        assert!(extra <= self.env.spent + self.unbudgeted, "{extra} attempts beyond the budget");
        let proven = self.attempts.iter().all(|a| a.not_run);
        assert!(self.gather.verdict() != Verdict::NotRun || proven, "`not run` without proof");
        let (snapshot, coverage) = (Arc::clone(self.gather.snapshot()), self.gather.coverage());
        let hits = self.gather.into_hits();
        assert_eq!(coverage.shards as usize, snapshot.shards.len());
        assert_eq!(coverage.answered as usize, hits.len());
        assert_eq!(coverage.missing.len() + hits.len(), snapshot.shards.len());
        for list in &hits {
            let hit = &list.0[0];
            let wanted = self.accepted.get(&(Arc::clone(&snapshot.name), hit.shard));
            assert_eq!(Some(&hit.id), wanted, "not the answer of snapshot {}", snapshot.name);
            assert!(!coverage.missing.contains(&hit.shard));
        }
    }
}

#[derive(Clone, Debug)]
pub enum AttemptResult {
    Hits,
    Refused(Refusal),
}

#[derive(Clone, Debug)]
enum Op {
    Done(usize, AttemptResult),
    Wake(u64),
    Full(usize, bool),
    FreeSlot(usize),
    AddBudget(usize),
    SetSuspectRun(SuspectRun),
}

fn attempt_result() -> impl Strategy<Value = AttemptResult> {
    let not_run = |r| AttemptResult::Refused(Refusal::not_run(r, ""));
    let may = |r| AttemptResult::Refused(Refusal::may_have_run(r, ""));
    prop_oneof![
        4 => Just(AttemptResult::Hits),
        1 => Just(not_run(Reason::Busy)),
        2 => Just(not_run(Reason::WrongSnapshot)),
        1 => Just(not_run(Reason::Connection)),
        1 => Just(not_run(Reason::Draining)),
        1 => Just(may(Reason::Connection)),
        1 => Just(may(Reason::Mismatch)),
        1 => Just(may(Reason::Busy)),
    ]
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        6 => (0usize..12, attempt_result()).prop_map(|(i, r)| Op::Done(i, r)),
        3 => (0u64..12_000).prop_map(Op::Wake),
        1 => (0usize..16, any::<bool>()).prop_map(|(i, full)| Op::Full(i, full)),
        1 => (0usize..16).prop_map(Op::FreeSlot),
        1 => (0usize..4).prop_map(Op::AddBudget),
        1 => prop::sample::select(vec![SuspectRun::Allowed, SuspectRun::Allowed, SuspectRun::Wait, SuspectRun::Quarantined])
            .prop_map(Op::SetSuspectRun),
    ]
}

fn env() -> (FakeEnvironment, Vec<EndpointKey>) {
    let mut endpoints = Endpoints::default();
    let snapshots = vec![
        endpoints.snapshot("s3", &[2, 1, 0, 3]),
        endpoints.snapshot("s2", &[2, 2]),
        endpoints.snapshot("s1", &[1, 2, 2, 2, 1]),
    ];
    let keys = snapshots.iter().flat_map(|s| s.replicas().map(|t| t.key)).collect();
    (FakeEnvironment::new(snapshots), keys)
}

proptest! {
    #![proptest_config(config(2_000))]

    /// Every answer comes from one snapshot and states correctly which shards it covers, although
    /// results arrive late, twice or for another attempt.
    #[test]
    fn answer_uses_one_snapshot_and_reports_its_coverage(
        min_coverage in prop::sample::select(vec![0.0, 0.5, 1.0]),
        canary in prop::option::of(0u32..5),
        ops in prop::collection::vec(op(), 0..60),
    ) {
        let (env, keys) = env();
        let mut run = QueryRun::with(env, min_coverage, canary);
        for op in ops {
            match op {
                Op::Done(id, result) => run.done(id, result),
                Op::Wake(after) => run.wake(Span(after)),
                Op::Full(i, true) => drop(run.env.full.insert(keys[i % keys.len()])),
                Op::Full(i, false) => drop(run.env.full.remove(&keys[i % keys.len()])),
                Op::FreeSlot(i) => run.free_slot(keys[i % keys.len()]),
                Op::AddBudget(n) => run.env.budget += n,
                Op::SetSuspectRun(suspect_run) => run.env.suspect_run = suspect_run,
            }
        }
        run.finish();
    }
}

pub fn refused(reason: Reason) -> AttemptResult {
    AttemptResult::Refused(Refusal::not_run(reason, ""))
}

fn run_on(shapes: &[(&str, &[usize])], min_coverage: f64) -> QueryRun {
    let mut endpoints = Endpoints::default();
    let snapshots = shapes.iter().map(|(name, n)| endpoints.snapshot(name, n)).collect();
    QueryRun::new(FakeEnvironment::new(snapshots), min_coverage)
}

#[test]
fn vanished_snapshot_restarts_the_query_on_another() {
    let mut run = run_on(&[("s2", &[1, 1]), ("s1", &[1, 1, 1])], 0.0);
    run.done(0, AttemptResult::Hits);
    run.done(1, refused(Reason::WrongSnapshot));
    assert_eq!(&*run.gather.snapshot().name, "s1");
    for id in 2..5 {
        run.done(id, AttemptResult::Hits);
    }
    assert!(run.finished);
    assert_eq!(run.gather.coverage().answered, 3);
    run.finish();
}

/// Guards against mixed partitionings: the name stays, but the answered shard of two covers other
/// data than any shard of three.
#[test]
fn repartitioned_snapshot_restarts_the_query() {
    let mut run = run_on(&[("s1", &[1, 1]), ("s1", &[1, 1, 1])], 0.0);
    run.done(0, AttemptResult::Hits);
    run.done(1, refused(Reason::WrongSnapshot));
    assert_eq!(run.gather.snapshot().shard_count(), 3);
    for id in 2..5 {
        run.done(id, AttemptResult::Hits);
    }
    assert!(run.finished);
    assert_eq!((run.gather.coverage().answered, run.gather.coverage().shards), (3, 3));
}

#[test]
fn unanswered_shards_are_missing_without_another_snapshot() {
    let mut run = run_on(&[("s2", &[1, 1])], 0.0);
    run.done(0, AttemptResult::Hits);
    run.done(1, refused(Reason::WrongSnapshot));
    assert!(run.finished);
    assert_eq!(run.gather.coverage().missing, [1]);
    run.finish();
}

#[test]
fn full_coverage_waits_for_another_snapshot() {
    let mut run = run_on(&[("s1", &[1, 1])], 1.0);
    run.done(0, AttemptResult::Hits);
    run.done(1, refused(Reason::WrongSnapshot));
    assert!(!run.finished);
    let next = Endpoints::default().snapshot("s2", &[1, 1]);
    run.env.snapshots.push(next);
    run.wake(Span::millis(30));
    assert_eq!(&*run.gather.snapshot().name, "s2");
    run.done(2, AttemptResult::Hits);
    run.done(3, AttemptResult::Hits);
    assert_eq!(run.gather.coverage().missing, [0u32; 0]);
    run.finish();
}

#[test]
fn shard_without_replica_is_missing() {
    let mut run = run_on(&[("s1", &[1, 0])], 0.0);
    run.done(0, AttemptResult::Hits);
    assert!(run.finished);
    assert_eq!(run.gather.coverage().missing, [1]);
    run.finish();
}

#[test]
fn slow_attempt_is_hedged_once_and_the_loser_cancelled() {
    let mut run = run_on(&[("s1", &[2])], 0.0);
    run.env.budget = 5;
    run.wake(Span::millis(4));
    assert_eq!(run.attempts.len(), 1);
    run.wake(Span::millis(2));
    assert_eq!(run.attempts.len(), 2);
    run.wake(Span::millis(50));
    assert_eq!(run.attempts.len(), 2);
    run.done(1, AttemptResult::Hits);
    assert!(run.finished && !run.attempts[0].open);
    run.finish();
}

/// Guards against needless calls of `acquire`: each that fails asks for a slot again, which
/// invalidates the grants in flight.
#[test]
fn free_slot_is_tried_only_by_the_endpoints_shard() {
    let mut endpoints = Endpoints::default();
    let snapshot = endpoints.snapshot("s1", &[1, 2, 1]);
    let mut env = FakeEnvironment::new(vec![Arc::clone(&snapshot)]);
    env.full = snapshot.replicas().map(|t| t.key).collect();
    let mut run = QueryRun::new(env, 0.0);
    assert_eq!((run.env.acquires, run.attempts.len()), (3, 0));
    run.wake(Span::millis(10));
    assert_eq!(run.env.acquires, 3, "tried again with no free slot reported");
    run.free_slot(snapshot.shards[1][1].key);
    assert_eq!((run.env.acquires, run.attempts.len()), (4, 1));
    assert_eq!(run.attempts[0].key, snapshot.shards[1][1].key);
    run.env.full.clear();
    run.wake(Span::millis(45));
    assert_eq!(run.attempts.len(), 3, "a lost report of a free slot must not block a shard");
    run.finish();
}

#[test]
fn hedge_without_budget_is_not_sent() {
    let mut run = run_on(&[("s1", &[2])], 0.0);
    run.wake(Span::millis(50));
    assert_eq!(run.attempts.len(), 1);
    run.finish();
}

#[test]
fn verdict_is_not_run_only_when_proven() {
    let mut run = run_on(&[("s1", &[1, 1])], 0.0);
    run.done(0, refused(Reason::Draining));
    run.done(1, refused(Reason::Draining));
    assert_eq!(run.gather.verdict(), Verdict::NotRun);
    run.finish();
    let mut run = run_on(&[("s1", &[1, 1])], 0.0);
    run.done(0, refused(Reason::Draining));
    run.now = DEADLINE;
    run.step(Event::Wake);
    assert_eq!(run.gather.verdict(), Verdict::MayHaveRun);
    run.finish();
}

pub fn death() -> AttemptResult {
    AttemptResult::Refused(Refusal::may_have_run(Reason::Connection, ""))
}

#[test]
fn poison_query_crashes_at_most_two_endpoints() {
    let mut endpoints = Endpoints::default();
    let snapshots = vec![endpoints.snapshot("s1", &[3, 3, 3])];
    let mut run = QueryRun::with(FakeEnvironment::new(snapshots), 0.0, Some(1));
    assert_eq!(run.attempts.len(), 1, "other shards were sent before the canary delay");
    run.done(0, death());
    run.wake(Span::millis(50));
    assert_eq!(run.attempts.len(), 2);
    run.wake(Span::millis(10));
    assert_eq!(run.attempts.len(), 2, "a suspect was sent to other shards");
    run.done(1, death());
    assert!(run.finished && run.gather.is_quarantined());
    assert_eq!(run.gather.verdict(), Verdict::MayHaveRun);
    run.finish();
}

#[test]
fn answered_suspect_is_sent_to_all_shards() {
    let mut endpoints = Endpoints::default();
    let snapshots = vec![endpoints.snapshot("s1", &[2, 2, 2])];
    let mut run = QueryRun::with(FakeEnvironment::new(snapshots), 0.0, Some(0));
    run.done(0, death());
    run.wake(Span::millis(50));
    run.done(1, AttemptResult::Hits);
    assert_eq!(run.attempts.len(), 4);
    run.done(2, AttemptResult::Hits);
    run.done(3, AttemptResult::Hits);
    assert!(run.finished && !run.gather.is_quarantined());
    run.finish();
}

#[test]
fn other_shards_are_sent_after_the_canary_delay() {
    let mut endpoints = Endpoints::default();
    let snapshots = vec![endpoints.snapshot("s1", &[1, 1, 1])];
    let mut run = QueryRun::with(FakeEnvironment::new(snapshots), 0.0, Some(2));
    run.wake(CANARY_DELAY);
    assert_eq!(run.attempts.len(), 3);
    run.finish();
}
