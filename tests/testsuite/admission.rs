//! Admission: who runs, who waits, who is refused; and goodput under overload.

use crate::fleet::{Policy, Sim};
use crate::props::config;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use wisteriahead::core::admission::{
    Action, Admission, AdmissionRequest, CALLER_MAX, Event, QUEUE_MAX, Rejection,
};
use wisteriahead::core::time::{Span, Time};
use wisteriahead::core::verdict::Verdict;
use wisteriahead::core::wait_queue::Urgency;

const SHARDS: usize = 20;
const SLOTS: u32 = 2;
const TIMEOUT: Span = Span::millis(250);
/// Queries a second that all slots together could answer: 2 replicas of 2 slots, and 5 ms mean
/// execution time of which 1% takes ten times as long.
const CAPACITY: f64 = 4.0 / 0.00545;

fn offer(seed: u64, load: f64, admit: bool) -> crate::fleet::LoadStats {
    let gap = Span((1e6 / (CAPACITY * load)) as u64);
    let queries = (CAPACITY * load * 3.0) as usize;
    Sim::new(seed, Policy::Adaptive, SHARDS).with_slots(SLOTS).offer(gap, queries, TIMEOUT, admit)
}

#[test]
fn goodput_holds_at_twice_the_capacity() {
    for seed in [1, 2, 3] {
        let loads = [0.7, 0.8, 0.9, 1.0, 2.0, 3.0];
        let all: Vec<_> = loads.iter().map(|l| offer(seed, *l, true)).collect();
        let peak = all.iter().map(|o| o.goodput()).fold(0.0, f64::max);
        for (load, o) in loads.iter().zip(&all) {
            let share = o.goodput() / peak;
            println!(
                "seed {seed}: load {load}: goodput {:.0}/s, {share:.2} of its peak; {} refused, \
                 {} begun and not answered",
                o.goodput(),
                o.refused,
                o.wasted
            );
            assert!(*load < 2.0 || share >= 0.9, "goodput fell to {share:.2} at load {load}");
            let all = o.good + o.refused + o.wasted;
            assert!(o.wasted * 50 <= all, "{} of {all} were begun for nothing", o.wasted);
        }
        let bare = offer(seed, 2.0, false);
        let share = bare.goodput() / peak;
        println!("seed {seed}: load 2 without admission: {share:.2}; {} begun", bare.wasted);
        assert!(share < 0.9, "the check cannot fail");
    }
}

#[derive(Clone, Debug)]
enum Op {
    Arrive { priority: u8, class: u8, caller: u8, timeout: u64 },
    Leave { index: usize, crowded: u64 },
    Abandon(usize),
    Wait(u64),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        5 => (0u8..3, 0u8..3, 0u8..3, 1u64..50_000).prop_map(|(priority, class, caller, timeout)| {
            Op::Arrive { priority, class, caller, timeout }
        }),
        3 => (any::<usize>(), 0u64..60_000).prop_map(|(index, crowded)| Op::Leave { index, crowded }),
        1 => any::<usize>().prop_map(Op::Abandon),
        2 => (0u64..10_000).prop_map(Op::Wait),
    ]
}

/// Requests at once of class `n`.
fn limit(class: u8) -> Option<u32> {
    [None, Some(1), Some(3)][class as usize]
}

#[derive(Default)]
struct Model {
    admission: Admission,
    now: Time,
    waiting: BTreeMap<Urgency, (AdmissionRequest, Time)>,
    running: BTreeMap<Urgency, AdmissionRequest>,
    refused: BTreeSet<Urgency>,
}

impl Model {
    fn feed(&mut self, event: Event) {
        for action in self.admission.step(self.now, event) {
            match action {
                Action::Start(query) => {
                    let (ask, latest) = self.waiting.remove(&query).expect("not waiting");
                    assert!(self.now < latest, "entered too late to finish");
                    let ahead = self.waiting.range(..query).filter(|(_, (a, l))| {
                        *l > self.now && a.limit.is_none_or(|n| self.of_class(&a.class) < n)
                    });
                    assert_eq!(ahead.count(), 0, "overtook a more urgent query");
                    self.running.insert(query, ask);
                }
                Action::Refuse(query, _) => {
                    assert!(self.waiting.remove(&query).is_some(), "refused what is not waiting");
                    self.refused.insert(query);
                }
                Action::Wake(_) => {}
            }
        }
        assert!(self.running.len() <= 4_096);
        assert_eq!(self.admission.running(), self.running.len());
        for ask in self.running.values() {
            let n = self.of_class(&ask.class);
            assert!(ask.limit.is_none_or(|limit| n <= limit), "class over its limit");
            let caller = |a: &&AdmissionRequest| a.caller == ask.caller;
            assert!(self.running.values().filter(caller).count() <= CALLER_MAX);
        }
        assert!(self.waiting.len() <= QUEUE_MAX);
        let free = |a: &AdmissionRequest| a.limit.is_none_or(|n| self.of_class(&a.class) < n);
        let idle = self.running.len() < self.admission.window();
        assert!(!idle || !self.waiting.values().any(|(a, _)| free(a)), "room was left unused");
    }

    fn of_class(&self, class: &Arc<str>) -> u32 {
        self.running.values().filter(|a| a.class == *class).count() as u32
    }

    fn arrive(&mut self, serial: u64, priority: u8, class: u8, caller: u8, timeout: u64) {
        let timeout = Span(timeout);
        let ask = AdmissionRequest {
            urgency: Urgency { priority, deadline: self.now + timeout, serial },
            timeout,
            class: format!("class-{class}").into(),
            limit: limit(class),
            caller: (caller > 0).then(|| format!("caller-{caller}").into()),
        };
        let latest = self.now + Span(timeout.0 / 2);
        self.waiting.insert(ask.urgency, (ask.clone(), latest));
        self.feed(Event::Arrive(ask));
    }

    fn leave(&mut self, index: usize, crowded: u64) {
        let Some(query) = self.running.keys().nth(index % self.running.len().max(1)).copied()
        else {
            return;
        };
        self.running.remove(&query);
        self.feed(Event::Finish { query, slot_wait: Span(crowded) });
    }

    fn abandon(&mut self, index: usize) {
        let Some(query) = self.waiting.keys().nth(index % self.waiting.len().max(1)).copied()
        else {
            return;
        };
        self.waiting.remove(&query);
        self.feed(Event::Abandon(query));
    }
}

proptest! {
    #![proptest_config(config(300))]

    /// Every request is let in once, by urgency and within its limits, or refused before it runs;
    /// none waits beyond its time, and no room is left unused while one waits.
    #[test]
    fn each_request_runs_or_is_refused(ops in prop::collection::vec(op(), 0..250)) {
        let mut m = Model::default();
        for (serial, op) in (0u64..).zip(ops) {
            match op {
                Op::Arrive { priority, class, caller, timeout } => {
                    m.arrive(serial, priority, class, caller, timeout);
                }
                Op::Leave { index, crowded } => m.leave(index, crowded),
                Op::Abandon(index) => m.abandon(index),
                Op::Wait(time) => {
                    m.now += Span(time);
                    m.feed(Event::Wake);
                }
            }
        }
        while !m.running.is_empty() {
            m.leave(0, 0);
        }
        m.now += Span::secs(1);
        m.feed(Event::Wake);
        prop_assert!(m.waiting.is_empty(), "a request waits for ever");
    }
}

#[test]
fn one_caller_cannot_take_all_the_room() {
    let mut admission = Admission::default();
    let mut refused = 0;
    for serial in 0..2 * CALLER_MAX as u64 {
        let timeout = Span::secs(10);
        let ask = AdmissionRequest {
            urgency: Urgency { priority: 1, deadline: Time(timeout.0), serial },
            timeout,
            class: "".into(),
            limit: None,
            caller: Some("greedy".into()),
        };
        let actions = admission.step(Time(0), Event::Arrive(ask));
        refused += actions
            .iter()
            .filter(|a| matches!(a, Action::Refuse(_, Rejection::CallerLimit)))
            .count();
    }
    assert_eq!(refused, CALLER_MAX);
    assert_eq!(Rejection::CallerLimit.refusal().verdict, Verdict::NotRun);
}

/// Lets `n` queries in at time 0 and has the first leave after `crowded` of its time; returns the
/// window before and after.
fn windows(n: u64, crowded: Span) -> (usize, usize) {
    let mut admission = Admission::default();
    let urgency = |serial| Urgency { priority: 1, deadline: Time(TIMEOUT.0), serial };
    for serial in 0..n {
        let urgency = urgency(serial);
        let ask = AdmissionRequest {
            urgency,
            timeout: TIMEOUT,
            class: "".into(),
            limit: None,
            caller: None,
        };
        admission.step(Time(0), Event::Arrive(ask));
    }
    let before = admission.window();
    admission.step(Time(crowded.0), Event::Finish { query: urgency(0), slot_wait: crowded });
    (before, admission.window())
}

/// A window far too large must not take tens of rounds to come down.
#[test]
fn window_shrinks_by_how_long_queries_waited() {
    let (before, after) = windows(100, TIMEOUT);
    assert_eq!(after, before / 2);
    let (before, after) = windows(100, Span(TIMEOUT.0 / 4 + 1));
    assert_eq!(after, before * 9 / 10);
}
