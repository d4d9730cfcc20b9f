//! Admission control: which queries start, wait or are refused, and goodput under overload.

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
/// Queries per second that all slots together can answer: 2 replicas of 2 slots each, and a mean
/// execution time of 5 ms, except that 1% of the requests take ten times as long.
const CAPACITY: f64 = 4.0 / 0.00545;

fn run_load(seed: u64, load: f64, admit: bool) -> crate::fleet::LoadStats {
    let gap = Span((1e6 / (CAPACITY * load)) as u64);
    let queries = (CAPACITY * load * 3.0) as usize;
    Sim::new(seed, Policy::Adaptive, SHARDS).with_slots(SLOTS).offer(gap, queries, TIMEOUT, admit)
}

#[test]
fn goodput_holds_at_twice_the_capacity() {
    for seed in [1, 2, 3] {
        let loads = [0.7, 0.8, 0.9, 1.0, 2.0, 3.0];
        let results: Vec<_> = loads.iter().map(|l| run_load(seed, *l, true)).collect();
        let peak = results.iter().map(|o| o.goodput()).fold(0.0, f64::max);
        for (load, o) in loads.iter().zip(&results) {
            let share = o.goodput() / peak;
            println!(
                "seed {seed}: load {load}: goodput {:.0}/s, {share:.2} of its peak; {} refused, \
                 {} started and not answered",
                o.goodput(),
                o.refused,
                o.wasted
            );
            assert!(*load < 2.0 || share >= 0.9, "goodput fell to {share:.2} at load {load}");
            let total = o.good + o.refused + o.wasted;
            assert!(o.wasted * 50 <= total, "{} of {total} started but not answered", o.wasted);
        }
        let unlimited = run_load(seed, 2.0, false);
        let share = unlimited.goodput() / peak;
        println!("seed {seed}: load 2 without admission: {share:.2}; {} started", unlimited.wasted);
        assert!(share < 0.9, "goodput should fall without admission control");
    }
}

#[derive(Clone, Debug)]
enum Op {
    Arrive { priority: u8, class: u8, caller: u8, timeout: u64 },
    Finish { index: usize, slot_wait: u64 },
    Abandon(usize),
    Wait(u64),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        5 => (0u8..3, 0u8..3, 0u8..3, 1u64..50_000).prop_map(|(priority, class, caller, timeout)| {
            Op::Arrive { priority, class, caller, timeout }
        }),
        3 => (any::<usize>(), 0u64..60_000).prop_map(|(index, slot_wait)| Op::Finish { index, slot_wait }),
        1 => any::<usize>().prop_map(Op::Abandon),
        2 => (0u64..10_000).prop_map(Op::Wait),
    ]
}

/// Maximum number of queries of a class that run at once.
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
                    let (request, latest_start) =
                        self.waiting.remove(&query).expect("started a query that is not waiting");
                    assert!(self.now < latest_start, "started too late to finish");
                    let ahead = self.waiting.range(..query).filter(|(_, (a, latest))| {
                        *latest > self.now
                            && a.limit.is_none_or(|n| self.running_of_class(&a.class) < n)
                    });
                    assert_eq!(ahead.count(), 0, "started before a more urgent query");
                    self.running.insert(query, request);
                }
                Action::Refuse(query, _) => {
                    assert!(
                        self.waiting.remove(&query).is_some(),
                        "refused a query that is not waiting"
                    );
                    self.refused.insert(query);
                }
                Action::Wake(_) => {}
            }
        }
        assert!(self.running.len() <= 4_096);
        assert_eq!(self.admission.running(), self.running.len());
        for request in self.running.values() {
            let n = self.running_of_class(&request.class);
            assert!(request.limit.is_none_or(|limit| n <= limit), "class over its limit");
            let caller = |a: &&AdmissionRequest| a.caller == request.caller;
            assert!(self.running.values().filter(caller).count() <= CALLER_MAX);
        }
        assert!(self.waiting.len() <= QUEUE_MAX);
        let class_has_room =
            |a: &AdmissionRequest| a.limit.is_none_or(|n| self.running_of_class(&a.class) < n);
        let has_room = self.running.len() < self.admission.window();
        assert!(
            !has_room || !self.waiting.values().any(|(a, _)| class_has_room(a)),
            "a query waits while the window has room"
        );
    }

    fn running_of_class(&self, class: &Arc<str>) -> u32 {
        self.running.values().filter(|a| a.class == *class).count() as u32
    }

    fn arrive(&mut self, serial: u64, priority: u8, class: u8, caller: u8, timeout: u64) {
        let timeout = Span(timeout);
        let request = AdmissionRequest {
            urgency: Urgency { priority, deadline: self.now + timeout, serial },
            timeout,
            class: format!("class-{class}").into(),
            limit: limit(class),
            caller: (caller > 0).then(|| format!("caller-{caller}").into()),
        };
        let latest_start = self.now + Span(timeout.0 / 2);
        self.waiting.insert(request.urgency, (request.clone(), latest_start));
        self.feed(Event::Arrive(request));
    }

    fn finish(&mut self, index: usize, slot_wait: u64) {
        let Some(query) = self.running.keys().nth(index % self.running.len().max(1)).copied()
        else {
            return;
        };
        self.running.remove(&query);
        self.feed(Event::Finish { query, slot_wait: Span(slot_wait) });
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

    /// Unless its caller disconnects, every query either starts once, in order of urgency and
    /// within its limits, or is refused without running. None waits past its deadline, or while
    /// the window has room for it.
    #[test]
    fn each_request_runs_or_is_refused(ops in prop::collection::vec(op(), 0..250)) {
        let mut m = Model::default();
        for (serial, op) in (0u64..).zip(ops) {
            match op {
                Op::Arrive { priority, class, caller, timeout } => {
                    m.arrive(serial, priority, class, caller, timeout);
                }
                Op::Finish { index, slot_wait } => m.finish(index, slot_wait),
                Op::Abandon(index) => m.abandon(index),
                Op::Wait(time) => {
                    m.now += Span(time);
                    m.feed(Event::Wake);
                }
            }
        }
        while !m.running.is_empty() {
            m.finish(0, 0);
        }
        m.now += Span::secs(1);
        m.feed(Event::Wake);
        prop_assert!(m.waiting.is_empty(), "a query is still waiting after its deadline");
    }
}

#[test]
fn queries_of_one_caller_are_limited() {
    let mut admission = Admission::default();
    let mut refused = 0;
    for serial in 0..2 * CALLER_MAX as u64 {
        let timeout = Span::secs(10);
        let request = AdmissionRequest {
            urgency: Urgency { priority: 1, deadline: Time(timeout.0), serial },
            timeout,
            class: "".into(),
            limit: None,
            caller: Some("greedy".into()),
        };
        let actions = admission.step(Time(0), Event::Arrive(request));
        refused += actions
            .iter()
            .filter(|a| matches!(a, Action::Refuse(_, Rejection::CallerLimit)))
            .count();
    }
    assert_eq!(refused, CALLER_MAX);
    assert_eq!(Rejection::CallerLimit.refusal().verdict, Verdict::NotRun);
}

/// Starts `n` queries at time 0 and ends the first after it waited for slots for `slot_wait`;
/// returns the window before and after.
fn window_change(n: u64, slot_wait: Span) -> (usize, usize) {
    let mut admission = Admission::default();
    let urgency = |serial| Urgency { priority: 1, deadline: Time(TIMEOUT.0), serial };
    for serial in 0..n {
        let urgency = urgency(serial);
        let request = AdmissionRequest {
            urgency,
            timeout: TIMEOUT,
            class: "".into(),
            limit: None,
            caller: None,
        };
        admission.step(Time(0), Event::Arrive(request));
    }
    let before = admission.window();
    admission.step(Time(slot_wait.0), Event::Finish { query: urgency(0), slot_wait });
    (before, admission.window())
}

/// Guards against a window that shrinks by the same small factor however long queries waited for
/// slots: one far too large would then take tens of steps to come down.
#[test]
fn window_shrinks_by_how_long_queries_waited() {
    let (before, after) = window_change(100, TIMEOUT);
    assert_eq!(after, before / 2);
    let (before, after) = window_change(100, Span(TIMEOUT.0 / 4 + 1));
    assert_eq!(after, before * 9 / 10);
}
