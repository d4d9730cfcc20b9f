//! Changes and the revision in force: outcomes, resends, the audit trail and durability.

use crate::support::config;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;
use wisteria_testkit::blocking_disk::BlockingDisk;
use wisteria_testkit::disk::FakeDisk;
use wisteriahead::core::control::changes::{
    ActiveRevision, Change, ChangeOutcome, Changes, IDS_MAX,
};
use wisteriahead::core::control::lockout::lockout;
use wisteriahead::core::control::settled::{SETTLE_TIME, SettledRevision};
use wisteriahead::core::control::{Command, Reply, StampedCommand, State};
use wisteriahead::core::document::ZoneState;
use wisteriahead::core::message::encode;
use wisteriahead::core::time::{Span, Time};
use wisteriahead::core::verdict::{Reason, Verdict};
use wisteriahead::services::control::{RevisionStore, ZoneOverride};
use wisteriahead::util::disk::Disk;

#[derive(Clone, Debug)]
enum Step {
    /// An edit with one of a few identifiers, whose base is `back` revisions old.
    Edit {
        id: u8,
        back: u64,
        faulty: bool,
    },
    Zone {
        id: u8,
        out: bool,
    },
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..40u8, prop_oneof![4 => Just(0), 1 => 0..3u64], prop::bool::weighted(0.1))
            .prop_map(|(id, back, faulty)| Step::Edit { id, back, faulty }),
        2 => (0..40u8, any::<bool>()).prop_map(|(id, out)| Step::Zone { id, out }),
        1 => Just(Step::Restart),
    ]
}

fn apply(state: &mut State, step: &Step) -> Option<(u8, ChangeOutcome)> {
    let base = state.changes.revision;
    let (id, command) = match step {
        Step::Edit { id, back, faulty } => {
            let base = base.saturating_sub(*back);
            let change =
                Change { id: id.to_string(), operator: "ann".into(), base, text: String::new() };
            let fault = faulty.then(|| "line 1".to_owned());
            (*id, Command::Edit { change, fault, zones: Vec::new() })
        }
        Step::Zone { id, out } => {
            let zone = if *out { ZoneState::Out } else { ZoneState::In };
            let (id, operator) = (*id, "ann".into());
            let command = Command::Zone {
                id: id.to_string(),
                operator,
                zone: "z".into(),
                state: zone,
                base,
                seen: None,
            };
            (id, command)
        }
        Step::Restart => {
            *state = State::read(&state.write()).unwrap();
            return None;
        }
    };
    let reply = state.apply(&encode(&StampedCommand { time_ms: 1, command })).unwrap();
    let Reply::Change(result) = reply else { panic!() };
    Some((id, result.map_or_else(ChangeOutcome::Refused, ChangeOutcome::Accepted)))
}

proptest! {
    #![proptest_config(config(512))]

    /// A resend gets the outcome of the first request, each revision belongs to one change, and
    /// the audit trail has one entry for each change.
    #[test]
    fn change_has_one_outcome(steps in prop::collection::vec(step(), 0..80)) {
        let mut state = State::default();
        let mut first: BTreeMap<u8, ChangeOutcome> = BTreeMap::new();
        for step in &steps {
            let before = state.changes.revision;
            let Some((id, outcome)) = apply(&mut state, step) else { continue };
            let resent = first.contains_key(&id);
            let new = u64::from(!resent && matches!(outcome, ChangeOutcome::Accepted(_)));
            prop_assert_eq!(state.changes.revision, before + new);
            if new == 1 {
                prop_assert_eq!(&outcome, &ChangeOutcome::Accepted(before + 1));
            }
            prop_assert_eq!(first.entry(id).or_insert_with(|| outcome.clone()), &outcome);
        }
        prop_assert_eq!(state.audit.after(0, usize::MAX).len(), first.len());
        state.audit.verify().unwrap();
    }

    /// In whatever order revisions arrive, and across power failures, the revision in force never
    /// decreases, and a mark is kept until a revision that carries it is in force.
    #[test]
    fn revision_in_force_never_decreases(
        steps in prop::collection::vec((0..30u64, any::<bool>(), any::<u64>()), 1..60),
    ) {
        let fake = Arc::new(FakeDisk::default());
        let disk: Arc<dyn Disk> = fake.clone();
        let mut keeper = RevisionStore::open(Some(&disk)).unwrap();
        let mark = |n: u64| ZoneOverride {
            id: format!("m{n}"), operator: "ann".into(), zone: "z".into(), base: 0,
        };
        prop_assert!(keeper.add_override(&mark(0)));
        let (mut highest, mut carried) = (0, false);
        for (revision, crash, seed) in steps {
            let ids = if revision >= 20 { vec!["m0".to_owned()] } else { Vec::new() };
            carried |= revision > highest && revision >= 20;
            keeper.adopt(ActiveRevision { revision, carried: ids, ..ActiveRevision::default() });
            highest = highest.max(revision);
            if crash {
                fake.crash(seed);
                keeper = RevisionStore::open(Some(&disk)).unwrap();
            }
            prop_assert_eq!(keeper.watch().borrow().revision, highest);
            prop_assert_eq!(keeper.overrides().is_empty(), carried);
        }
    }
}

#[test]
fn resend_whose_outcome_was_dropped_is_not_refused_as_not_run() {
    let mut changes = Changes::default();
    let edit = |base: u64| Change {
        id: format!("c{base}"),
        operator: "ann".into(),
        base,
        text: String::new(),
    };
    let all = IDS_MAX as u64 + 2;
    for base in 0..all {
        assert_eq!(changes.edit(edit(base), None, &[]), ChangeOutcome::Accepted(base + 1));
    }
    for base in 0..all {
        match changes.edit(edit(base), None, &[]) {
            ChangeOutcome::Accepted(revision) => {
                assert_eq!((revision, base >= 2), (base + 1, true))
            }
            ChangeOutcome::Refused(r) => {
                assert_eq!((r.verdict, r.reason), (Verdict::MayHaveRun, Reason::Conflict));
                assert!(base < 2);
            }
        }
    }
    assert_eq!(changes.revision, all);
}

#[test]
fn readers_do_not_wait_for_the_disk() {
    let gate = Arc::new(BlockingDisk::default());
    let disk: Arc<dyn Disk> = gate.clone();
    let keeper = RevisionStore::open(Some(&disk)).unwrap();
    gate.block_syncs();
    std::thread::scope(|scope| {
        scope.spawn(|| keeper.adopt(ActiveRevision { revision: 1, ..ActiveRevision::default() }));
        while !gate.has_blocked_sync() {
            std::thread::yield_now();
        }
        // Hangs here if a read waits for the sync.
        assert_eq!(keeper.revision(), 0, "in force before it is durable");
        assert_eq!(keeper.watch().borrow().revision, 0);
        gate.unblock_syncs();
    });
    assert_eq!(keeper.revision(), 1);
}

#[test]
fn hosts_are_not_retired_when_too_few_would_be_left() {
    let names = |list: &[&str]| list.iter().map(|&n| n.to_owned()).collect::<Vec<_>>();
    let lockout_of = |retired: &[&str], voters: &[&str], hosts: &[&str]| {
        lockout(&names(retired).into_iter().collect(), &names(voters), &names(hosts))
    };
    let hosts = ["a", "b", "c", "d"];
    assert_eq!(lockout_of(&["d"], &["a", "b", "c"], &hosts), None);
    assert_eq!(lockout_of(&["c", "leaf"], &["a", "b", "c"], &hosts), None);
    let why = lockout_of(&["b", "c"], &["a", "b", "c"], &hosts).unwrap();
    assert!(why.contains("`b`, `c` may not be retired: of the 3 voters 1 would be left"), "{why}");
    assert!(lockout_of(&["b"], &["a", "b"], &hosts).is_some(), "one voter of two is no quorum");
    assert!(lockout_of(&["a", "b"], &[], &["a", "b"]).unwrap().contains("no host"));
    assert_eq!(lockout_of(&["leaf"], &["a"], &["a"]), None);
}

fn apply_command(state: &mut State, command: Command) -> Reply {
    state.apply(&encode(&StampedCommand { time_ms: 1, command })).unwrap()
}

fn zone_change(id: &str, state: ZoneState, base: u64) -> Command {
    let (id, operator, zone) = (id.to_owned(), "ann".to_owned(), "z".to_owned());
    Command::Zone { id, operator, zone, state, base, seen: None }
}

/// Guards against a resend of a zone change that is applied again: its outcome is no longer kept,
/// and its base, which the host fills in, is newer than that of the first request.
#[test]
fn resend_whose_outcome_was_dropped_is_not_applied_again() {
    let mut state = State::default();
    let first = apply_command(&mut state, zone_change("first", ZoneState::Out, 0));
    assert_eq!(first, Reply::Change(Ok(1)));
    for n in 1..=IDS_MAX as u64 + 1 {
        let reply = apply_command(&mut state, zone_change(&format!("c{n}"), ZoneState::In, n));
        assert_eq!(reply, Reply::Change(Ok(n + 1)));
    }
    assert!(!state.changes.has_outcome("first"));
    let revision = state.changes.revision;
    assert_eq!(apply_command(&mut state, zone_change("first", ZoneState::Out, revision)), first);
    assert_eq!(state.changes.revision, revision, "the zone was taken out twice");
    assert_eq!(state.changes.active().zones["z"], ZoneState::In);
    let trail = state.audit.after(0, usize::MAX);
    assert_eq!(trail.iter().filter(|e| e.request.id == "first").count(), 1);
}

#[test]
fn refused_change_known_only_from_the_audit_trail_is_not_applied() {
    let mut state = State::default();
    let change =
        Change { id: "first".into(), operator: "ann".into(), base: 0, text: String::new() };
    let edit = |fault: Option<&str>| Command::Edit {
        change: change.clone(),
        fault: fault.map(str::to_owned),
        zones: Vec::new(),
    };
    assert!(matches!(apply_command(&mut state, edit(Some("line 1"))), Reply::Change(Err(_))));
    for n in 0..=IDS_MAX {
        let other = Change { id: format!("c{n}"), ..change.clone() };
        let fault = Some("line 1".to_owned());
        apply_command(&mut state, Command::Edit { change: other, fault, zones: Vec::new() });
    }
    let Reply::Change(Err(refusal)) = apply_command(&mut state, edit(None)) else { panic!() };
    assert_eq!((refusal.verdict, refusal.reason), (Verdict::MayHaveRun, Reason::Conflict));
    assert!(refusal.detail.contains("entry 1 of the audit trail"), "{refusal}");
    assert_eq!(state.changes.revision, 0);
}

/// Guards against a keeper that, after a write to a full disk failed, puts no further revision in
/// force when the disk has free space again.
#[test]
fn keeper_recovers_when_a_full_disk_has_free_space_again() {
    let fake = Arc::new(FakeDisk::default());
    let disk: Arc<dyn Disk> = fake.clone();
    let keeper = RevisionStore::open(Some(&disk)).unwrap();
    let active = |revision| ActiveRevision { revision, ..ActiveRevision::default() };
    keeper.adopt(active(1));
    fake.set_free_bytes(Some(0));
    keeper.adopt(active(2));
    assert_eq!(keeper.revision(), 1, "in force although it is not durable");
    fake.set_free_bytes(None);
    keeper.adopt(active(3));
    assert_eq!(keeper.revision(), 3);
    drop(keeper);
    assert_eq!(RevisionStore::open(Some(&disk)).unwrap().revision(), 3);
}

/// A change of a zone by a caller that has regard to the revision `seen`.
fn order(id: &str, state: ZoneState, seen: u64) -> Command {
    let (id, operator, zone) = (id.to_owned(), "ann".to_owned(), "z".to_owned());
    Command::Zone { id, operator, zone, state, base: seen, seen: Some(seen) }
}

/// Guards against a late copy of an order that undoes a later one (review/1): a host that stood still
/// gives the log a copy of an order that another host has carried out.
#[test]
fn late_copy_of_a_zone_order_has_no_effect() {
    let mut state = State::default();
    let out = apply_command(&mut state, order("1", ZoneState::Out, 0));
    assert_eq!(out, Reply::Change(Ok(1)));
    assert_eq!(apply_command(&mut state, order("2", ZoneState::In, 1)), Reply::Change(Ok(2)));
    assert_eq!(apply_command(&mut state, order("3", ZoneState::Out, 2)), Reply::Change(Ok(3)));
    let Reply::Change(Err(late)) = apply_command(&mut state, order("4", ZoneState::In, 1)) else {
        panic!("the late copy was accepted");
    };
    assert_eq!((late.reason, late.verdict), (Reason::Conflict, Verdict::NotRun));
    // A copy that asks for what is in force is acknowledged, as the order itself was.
    assert_eq!(apply_command(&mut state, order("5", ZoneState::Out, 1)), Reply::Change(Ok(3)));
    let state = State::read(&state.write()).unwrap();
    assert_eq!(state.changes.active().zones["z"], ZoneState::Out);
}

/// Guards against a zone that an edit adds and that is taken for one that was put back, whose endpoints
/// may be cold.
#[test]
fn zone_that_an_edit_adds_is_no_changed_zone() {
    let mut state = State::default();
    let change = Change { id: "1".into(), operator: "ann".into(), base: 0, text: String::new() };
    let edit = Command::Edit { change, fault: None, zones: vec!["z".into()] };
    assert_eq!(apply_command(&mut state, edit), Reply::Change(Ok(1)));
    assert!(state.changes.active().zone_changes.is_empty());
}

/// A step of an operator who gives one order after the other and sends copies of each to hosts.
#[derive(Clone, Debug)]
enum OrderStep {
    /// A new order, at a host that has known the newest revision for long enough.
    Give(bool),
    /// A copy of an order that was given before arrives at a host that knew this many revisions less
    /// when it took the copy.
    Late { order: prop::sample::Index, behind: u64 },
}

proptest! {
    #![proptest_config(config(512))]

    /// However late copies of orders arrive, the zone is in the state that the last order asked for, as
    /// long as each was taken before a later order was acknowledged.
    #[test]
    fn zone_is_in_the_state_of_the_last_order(steps in prop::collection::vec(
        prop_oneof![
            any::<bool>().prop_map(OrderStep::Give),
            (any::<prop::sample::Index>(), 0..3u64)
                .prop_map(|(order, behind)| OrderStep::Late { order, behind }),
        ],
        1..40,
    )) {
        let mut state = State::default();
        // The orders given, each with the revision that was in force when it was.
        let mut given: Vec<(ZoneState, u64)> = Vec::new();
        for (i, step) in steps.into_iter().enumerate() {
            let id = i.to_string();
            match step {
                OrderStep::Give(out) => {
                    let zone = if out { ZoneState::Out } else { ZoneState::In };
                    let seen = state.changes.revision;
                    let reply = apply_command(&mut state, order(&id, zone, seen));
                    prop_assert!(matches!(reply, Reply::Change(Ok(_))), "{:?}", reply);
                    given.push((zone, seen));
                }
                OrderStep::Late { order: which, behind } if !given.is_empty() => {
                    let (zone, at) = given[which.index(given.len())];
                    apply_command(&mut state, order(&id, zone, at.saturating_sub(behind)));
                }
                OrderStep::Late { .. } => {}
            }
            let last = given.last().map(|(zone, _)| *zone);
            prop_assert_eq!(state.changes.active().zones.get("z").copied(), last);
        }
    }
}

/// Guards against a host that takes a late copy for a new order, since it has just learnt what came
/// after it.
#[test]
fn revision_is_settled_once_it_has_been_known_for_a_while() {
    let mut known = SettledRevision::default();
    known.record(Time(1), 3);
    assert_eq!(known.get(Time(1) + Span(SETTLE_TIME.0 - 1)), 0);
    assert_eq!(known.get(Time(1) + SETTLE_TIME), 3);
    // The host stands still, and learns of two changes when it goes on.
    let wakes = Time(1) + Span::secs(9);
    (4..=5).for_each(|revision| known.record(wakes, revision));
    assert_eq!(known.get(wakes + Span::millis(500)), 3);
    assert_eq!(known.get(wakes + SETTLE_TIME), 5);
    // Many changes in a row are not forgotten.
    (6..=2_000).for_each(|revision| known.record(wakes + Span::secs(2), revision));
    assert_eq!(known.get(wakes + Span::secs(2) + SETTLE_TIME), 2_000);
}
