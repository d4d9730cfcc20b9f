//! The gathering of one answer under any order of events.

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
const LEAD: Span = Span::millis(1);
const DELAY: Span = Span::millis(5);

/// Endpoints whose room, budget and snapshots the test sets.
pub struct World {
    pub full: BTreeSet<EndpointKey>,
    pub extras: usize,
    spent: usize,
    snapshots: Vec<Arc<Snapshot>>,
    trial: SuspectRun,
    /// Times that room was asked for.
    tries: usize,
}

impl World {
    pub fn new(snapshots: Vec<Arc<Snapshot>>) -> Self {
        let full = BTreeSet::new();
        Self { full, extras: 0, spent: 0, snapshots, trial: SuspectRun::Allowed, tries: 0 }
    }
}

impl Environment for World {
    type Permit = ();

    fn acquire(
        &mut self,
        _: Time,
        replicas: &[Target],
        tried: &[EndpointKey],
    ) -> Option<(Target, ())> {
        self.tries += 1;
        let free = |t: &&Target| !tried.contains(&t.key) && !self.full.contains(&t.key);
        replicas.iter().find(free).map(|t| (t.clone(), ()))
    }

    fn has_free_slot(&self, _: Time, replicas: &[Target]) -> bool {
        replicas.iter().any(|t| !self.full.contains(&t.key))
    }

    fn take_extra(&mut self, _: &[Target]) -> bool {
        let granted = self.spent < self.extras;
        self.spent += usize::from(granted);
        granted
    }

    fn hedge_delay(&self, _: &[Target]) -> Option<Span> {
        Some(DELAY)
    }

    fn next_snapshot(&self, lost: &[Arc<Snapshot>]) -> Option<Arc<Snapshot>> {
        self.snapshots.iter().find(|s| !lost.iter().any(|l| l.same_partitioning(s))).cloned()
    }

    fn try_suspect(&mut self, _: Time, _: Option<u32>) -> SuspectRun {
        self.trial
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
    /// Whether it was sent before all other shards.
    alone: bool,
}

/// Runs a query and checks each of its actions.
pub struct Run {
    pub gather: Gather,
    pub world: World,
    pub now: Time,
    pub attempts: Vec<Attempt>,
    pub finished: bool,
    /// Hits that count: the first answer of an attempt that was still open.
    accepted: BTreeMap<(Arc<str>, u32), String>,
    firsts: usize,
    free: usize,
}

impl Run {
    fn new(world: World, least: f64) -> Self {
        Self::with(world, least, None)
    }

    /// A query that goes to the shard `lead` first, if there is one.
    pub fn with(world: World, least: f64, lead: Option<u32>) -> Self {
        let mut gather = Gather::new(Arc::clone(&world.snapshots[0]), DEADLINE, least);
        if let Some(shard) = lead {
            gather = gather.with_canary(shard, LEAD);
        }
        let mut run = Self {
            gather,
            world,
            now: Time(0),
            attempts: Vec::new(),
            finished: false,
            accepted: BTreeMap::new(),
            firsts: 0,
            free: 0,
        };
        run.step(Event::Start);
        run
    }

    pub fn step(&mut self, event: Event) {
        for action in self.gather.step(self.now, event, &mut self.world) {
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
            self.firsts += 1;
        }
        let before = self.attempts.iter().filter(|a| a.snapshot == snapshot && a.shard == shard);
        let deaths = before.clone().filter(|a| a.dead).count();
        assert!(deaths < DEATHS_MAX, "sent again after {deaths} deaths");
        let beside = self.attempts.iter().any(|a| a.open);
        let killer = self.attempts.iter().any(|a| a.dead && a.alone);
        let cleared = !self.accepted.is_empty();
        assert!(!killer || cleared || !beside, "a suspect does not run alone");
        self.free += deaths;
        let (key, open, not_run, dead) = (target.key, true, false, false);
        let alone = self.gather.is_canary_only();
        self.attempts.push(Attempt { snapshot, shard, key, open, not_run, dead, alone });
    }

    /// Feeds the end of any attempt, also one that has ended, was cancelled or never was.
    pub fn done(&mut self, id: usize, end: End) {
        let result = match (end, self.attempts.get_mut(id)) {
            (End::Hits, Some(a)) => {
                let text = format!("{}/{}/{id}", a.snapshot, a.shard);
                if std::mem::take(&mut a.open) {
                    self.accepted.insert((Arc::clone(&a.snapshot), a.shard), text.clone());
                }
                Ok(Hits(vec![Hit { id: text, score: 1.0, shard: 99 }]))
            }
            (End::Hits, None) => Ok(Hits(vec![Hit { id: "none".into(), score: 1.0, shard: 99 }])),
            (End::Refused(refusal), a) => {
                if let Some(a) = a
                    && std::mem::take(&mut a.open)
                {
                    a.not_run = refusal.verdict == Verdict::NotRun;
                    a.dead = refusal.suggests_death();
                    a.alone &= a.dead && self.gather.is_canary_only();
                    self.free += usize::from(a.not_run);
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

    /// Gives an endpoint room and tells the query.
    fn room(&mut self, at: EndpointKey) {
        self.world.full.remove(&at);
        self.step(Event::SlotsFree(vec![at]));
    }

    /// Runs to the deadline and checks the answer.
    pub fn finish(mut self) {
        self.now = self.now.max(DEADLINE);
        self.step(Event::Wake);
        assert!(self.finished, "the deadline passed without a finish");
        assert!(self.attempts.iter().all(|a| !a.open), "an attempt was left open");
        let extra = self.attempts.len() - self.firsts;
        assert!(extra <= self.world.spent + self.free, "{extra} attempts beyond the budget");
        let proven = self.attempts.iter().all(|a| a.not_run);
        assert!(self.gather.verdict() != Verdict::NotRun || proven, "an unproven `not run`");
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
pub enum End {
    Hits,
    Refused(Refusal),
}

#[derive(Clone, Debug)]
enum Op {
    Done(usize, End),
    Wake(u64),
    Full(usize, bool),
    Room(usize),
    Extras(usize),
    Trial(SuspectRun),
}

fn end() -> impl Strategy<Value = End> {
    let not_run = |r| End::Refused(Refusal::not_run(r, ""));
    let may = |r| End::Refused(Refusal::may_have_run(r, ""));
    prop_oneof![
        4 => Just(End::Hits),
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
        6 => (0usize..12, end()).prop_map(|(i, e)| Op::Done(i, e)),
        3 => (0u64..12_000).prop_map(Op::Wake),
        1 => (0usize..16, any::<bool>()).prop_map(|(i, full)| Op::Full(i, full)),
        1 => (0usize..16).prop_map(Op::Room),
        1 => (0usize..4).prop_map(Op::Extras),
        1 => prop::sample::select(vec![SuspectRun::Allowed, SuspectRun::Allowed, SuspectRun::Wait, SuspectRun::Quarantined])
            .prop_map(Op::Trial),
    ]
}

fn world() -> (World, Vec<EndpointKey>) {
    let mut endpoints = Endpoints::default();
    let snapshots = vec![
        endpoints.snapshot("s3", &[2, 1, 0, 3]),
        endpoints.snapshot("s2", &[2, 2]),
        endpoints.snapshot("s1", &[1, 2, 2, 2, 1]),
    ];
    let keys = snapshots.iter().flat_map(|s| s.shards.iter().flatten().map(|t| t.key)).collect();
    (World::new(snapshots), keys)
}

proptest! {
    #![proptest_config(config(2_000))]

    /// Every answer is drawn from one snapshot and states truly which shards it covers, whatever
    /// arrives late, doubled or for another attempt.
    #[test]
    fn answer_is_whole_and_true(
        least in prop::sample::select(vec![0.0, 0.5, 1.0]),
        lead in prop::option::of(0u32..5),
        ops in prop::collection::vec(op(), 0..60),
    ) {
        let (world, keys) = world();
        let mut run = Run::with(world, least, lead);
        for op in ops {
            match op {
                Op::Done(id, end) => run.done(id, end),
                Op::Wake(after) => run.wake(Span(after)),
                Op::Full(i, true) => drop(run.world.full.insert(keys[i % keys.len()])),
                Op::Full(i, false) => drop(run.world.full.remove(&keys[i % keys.len()])),
                Op::Room(i) => run.room(keys[i % keys.len()]),
                Op::Extras(n) => run.world.extras += n,
                Op::Trial(trial) => run.world.trial = trial,
            }
        }
        run.finish();
    }
}

pub fn refused(reason: Reason) -> End {
    End::Refused(Refusal::not_run(reason, ""))
}

fn run_on(shapes: &[(&str, &[usize])], least: f64) -> Run {
    let mut endpoints = Endpoints::default();
    let snapshots = shapes.iter().map(|(name, n)| endpoints.snapshot(name, n)).collect();
    Run::new(World::new(snapshots), least)
}

#[test]
fn vanished_snapshot_restarts_whole() {
    let mut run = run_on(&[("s2", &[1, 1]), ("s1", &[1, 1, 1])], 0.0);
    run.done(0, End::Hits);
    run.done(1, refused(Reason::WrongSnapshot));
    assert_eq!(&*run.gather.snapshot().name, "s1");
    for id in 2..5 {
        run.done(id, End::Hits);
    }
    assert!(run.finished);
    assert_eq!(run.gather.coverage().answered, 3);
    run.finish();
}

/// The shards that were answered of two are none of the three, although the name is the same.
#[test]
fn repartitioned_snapshot_restarts_whole() {
    let mut run = run_on(&[("s1", &[1, 1]), ("s1", &[1, 1, 1])], 0.0);
    run.done(0, End::Hits);
    run.done(1, refused(Reason::WrongSnapshot));
    assert_eq!(run.gather.snapshot().shard_count(), 3);
    for id in 2..5 {
        run.done(id, End::Hits);
    }
    assert!(run.finished);
    assert_eq!((run.gather.coverage().answered, run.gather.coverage().shards), (3, 3));
}

#[test]
fn vanished_snapshot_without_another_names_its_missing_shards() {
    let mut run = run_on(&[("s2", &[1, 1])], 0.0);
    run.done(0, End::Hits);
    run.done(1, refused(Reason::WrongSnapshot));
    assert!(run.finished);
    assert_eq!(run.gather.coverage().missing, [1]);
    run.finish();
}

#[test]
fn full_coverage_waits_for_another_snapshot() {
    let mut run = run_on(&[("s1", &[1, 1])], 1.0);
    run.done(0, End::Hits);
    run.done(1, refused(Reason::WrongSnapshot));
    assert!(!run.finished);
    let next = Endpoints::default().snapshot("s2", &[1, 1]);
    run.world.snapshots.push(next);
    run.wake(Span::millis(30));
    assert_eq!(&*run.gather.snapshot().name, "s2");
    run.done(2, End::Hits);
    run.done(3, End::Hits);
    assert_eq!(run.gather.coverage().missing, [0u32; 0]);
    run.finish();
}

#[test]
fn shard_without_replica_is_missing() {
    let mut run = run_on(&[("s1", &[1, 0])], 0.0);
    run.done(0, End::Hits);
    assert!(run.finished);
    assert_eq!(run.gather.coverage().missing, [1]);
    run.finish();
}

#[test]
fn slow_attempt_is_hedged_once_and_its_loser_cancelled() {
    let mut run = run_on(&[("s1", &[2])], 0.0);
    run.world.extras = 5;
    run.wake(Span::millis(4));
    assert_eq!(run.attempts.len(), 1);
    run.wake(Span::millis(2));
    assert_eq!(run.attempts.len(), 2);
    run.wake(Span::millis(50));
    assert_eq!(run.attempts.len(), 2);
    run.done(1, End::Hits);
    assert!(run.finished && !run.attempts[0].open);
    run.finish();
}

/// Each try that fails asks for a slot anew, which voids the grants on their way.
#[test]
fn room_at_one_endpoint_is_tried_by_its_shard_alone() {
    let mut endpoints = Endpoints::default();
    let snapshot = endpoints.snapshot("s1", &[1, 2, 1]);
    let mut world = World::new(vec![Arc::clone(&snapshot)]);
    world.full = snapshot.shards.iter().flatten().map(|t| t.key).collect();
    let mut run = Run::new(world, 0.0);
    assert_eq!((run.world.tries, run.attempts.len()), (3, 0));
    run.wake(Span::millis(10));
    assert_eq!(run.world.tries, 3, "tried again without word of room");
    run.room(snapshot.shards[1][1].key);
    assert_eq!((run.world.tries, run.attempts.len()), (4, 1));
    assert_eq!(run.attempts[0].key, snapshot.shards[1][1].key);
    run.world.full.clear();
    run.wake(Span::millis(45));
    assert_eq!(run.attempts.len(), 3, "word of room that is lost must not hold a shard up");
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
fn only_proven_attempts_give_not_run() {
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

pub fn death() -> End {
    End::Refused(Refusal::may_have_run(Reason::Connection, ""))
}

#[test]
fn request_that_stops_endpoints_stops_two() {
    let mut endpoints = Endpoints::default();
    let snapshots = vec![endpoints.snapshot("s1", &[3, 3, 3])];
    let mut run = Run::with(World::new(snapshots), 0.0, Some(1));
    assert_eq!(run.attempts.len(), 1, "others went before the lead was over");
    run.done(0, death());
    run.wake(Span::millis(50));
    assert_eq!(run.attempts.len(), 2);
    run.wake(Span::millis(10));
    assert_eq!(run.attempts.len(), 2, "a suspect went to other shards");
    run.done(1, death());
    assert!(run.finished && run.gather.is_quarantined());
    assert_eq!(run.gather.verdict(), Verdict::MayHaveRun);
    run.finish();
}

#[test]
fn suspect_that_is_answered_goes_to_all_shards() {
    let mut endpoints = Endpoints::default();
    let snapshots = vec![endpoints.snapshot("s1", &[2, 2, 2])];
    let mut run = Run::with(World::new(snapshots), 0.0, Some(0));
    run.done(0, death());
    run.wake(Span::millis(50));
    run.done(1, End::Hits);
    assert_eq!(run.attempts.len(), 4);
    run.done(2, End::Hits);
    run.done(3, End::Hits);
    assert!(run.finished && !run.gather.is_quarantined());
    run.finish();
}

#[test]
fn others_follow_the_lead_in_time() {
    let mut endpoints = Endpoints::default();
    let snapshots = vec![endpoints.snapshot("s1", &[1, 1, 1])];
    let mut run = Run::with(World::new(snapshots), 0.0, Some(2));
    run.wake(LEAD);
    assert_eq!(run.attempts.len(), 3);
    run.finish();
}
