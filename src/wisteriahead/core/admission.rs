//! Admission control for the queries of one host.
//!
//! At most a window of queries runs at once. The window grows while queries get slots at the
//! endpoints without a long wait and shrinks when they wait for slots for a large part of their
//! timeout, so that the host does not start work that it cannot finish. Other queries wait in a
//! queue, ordered by the priority of their class and then by deadline, for at most half of their
//! timeout. A query that is refused here has not run.

use super::time::{Span, Time};
use super::verdict::{Reason, Refusal};
use super::wait_queue::Urgency;
use indexmap::IndexMap;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Initial window, in queries.
const WINDOW_INITIAL: f64 = 32.0;
/// Smallest window, in queries.
const WINDOW_MIN: f64 = 2.0;
/// Largest window, in queries.
const WINDOW_MAX: f64 = 4_096.0;
/// Largest factor by which the window shrinks.
const SHRINK_FACTOR_MAX: f64 = 0.9;
/// Smallest factor by which the window shrinks.
const SHRINK_FACTOR_MIN: f64 = 0.5;
/// Maximum length of the queue.
pub const QUEUE_MAX: usize = 1_024;
/// Default for the maximum number of queries that run or wait for one caller.
pub const CALLER_MAX: usize = 128;
/// A query waits in the queue for at most its timeout divided by this.
const QUEUE_WAIT_DIVISOR: u64 = 2;
/// The window shrinks when a query waited for slots at endpoints for longer than its timeout
/// divided by this.
const SLOT_WAIT_DIVISOR: u64 = 4;
/// Weight of the newest query in the moving average of query times.
const MEAN_WEIGHT: f64 = 0.05;

/// A query that asks to run.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Priority, deadline and serial number, which identify the query.
    pub urgency: Urgency,
    /// Time allowed for the whole answer, from arrival.
    pub timeout: Span,
    /// Name of the caller's class.
    pub class: Arc<str>,
    /// Maximum number of queries of the class that run at once; `None` for no limit.
    pub limit: Option<u32>,
    /// Name of the caller, if the request gave one.
    pub caller: Option<Arc<str>>,
}

/// Input of [`Admission::step`].
#[derive(Debug)]
pub enum Event {
    /// A query arrived.
    Arrive(AdmissionRequest),
    /// A running query ended.
    Finish {
        /// The query.
        query: Urgency,
        /// Time from its start until it last waited for a slot at an endpoint.
        slot_wait: Span,
    },
    /// The caller of a waiting query disconnected.
    Abandon(Urgency),
    /// The time given by [`Action::Wake`] was reached.
    Wake,
}

/// Why a query is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The caller already has the maximum number of queries running or waiting.
    CallerLimit,
    /// The queue is full.
    QueueFull,
    /// The query cannot start early enough to finish in time.
    TooLate,
}

impl Rejection {
    /// The refusal sent to the caller; it says that the query has not run.
    pub fn refusal(self) -> Refusal {
        let detail = match self {
            Self::CallerLimit => {
                "this caller has too many requests in flight; wait for their answers"
            }
            Self::QueueFull => "too many requests wait at this host; send again later",
            Self::TooLate => "the request could not be started in time; send again later",
        };
        Refusal::not_run(Reason::Busy, detail)
    }
}

/// Output of [`Admission::step`], carried out by the driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start the query.
    Start(Urgency),
    /// Refuse the query.
    Refuse(Urgency, Rejection),
    /// Feed [`Event::Wake`] at this time if the query that arrived is still waiting.
    Wake(Time),
}

#[derive(Debug)]
struct Running {
    class: Arc<str>,
    caller: Option<Arc<str>>,
    timeout: Span,
    started: Time,
}

#[derive(Debug)]
struct Waiting {
    request: AdmissionRequest,
    start_by: Time,
}

/// Admission control state of one host.
#[derive(Debug)]
pub struct Admission {
    running: IndexMap<Urgency, Running>,
    waiting: BTreeMap<Urgency, Waiting>,
    /// Running and waiting queries by caller.
    caller_counts: IndexMap<Arc<str>, usize>,
    caller_max: usize,
    /// Running queries by class.
    class_counts: IndexMap<Arc<str>, u32>,
    window: f64,
    last_shrink: Time,
    /// Moving average of the running time of a query, in microseconds.
    mean_us: f64,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            running: IndexMap::new(),
            waiting: BTreeMap::new(),
            caller_counts: IndexMap::new(),
            caller_max: CALLER_MAX,
            class_counts: IndexMap::new(),
            window: WINDOW_INITIAL,
            last_shrink: Time::default(),
            mean_us: 0.0,
        }
    }
}

impl Admission {
    /// Creates an instance that lets at most `caller_max` queries of one caller run or wait.
    pub fn with_caller_max(caller_max: usize) -> Self {
        Self { caller_max, ..Self::default() }
    }

    /// Applies one event and returns the resulting actions.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Arrive(request) => self.arrive(now, request, &mut actions),
            Event::Finish { query, slot_wait } => self.finish(now, query, slot_wait),
            Event::Abandon(query) => self.remove_waiting(query),
            Event::Wake => {}
        }
        self.refuse_late(now, &mut actions);
        self.start_waiting(now, &mut actions);
        actions
    }

    /// Number of running queries.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of queries that may currently run at once.
    pub fn window(&self) -> usize {
        self.window as usize
    }

    fn arrive(&mut self, now: Time, request: AdmissionRequest, actions: &mut Vec<Action>) {
        let query = request.urgency;
        if let Some(caller) = &request.caller {
            let n = self.caller_counts.entry(Arc::clone(caller)).or_default();
            if *n >= self.caller_max {
                actions.push(Action::Refuse(query, Rejection::CallerLimit));
                return;
            }
            *n += 1;
        }
        let start_by = now + Span(request.timeout.0 / QUEUE_WAIT_DIVISOR);
        if now + self.expected_wait(query) > start_by {
            self.release_caller(&request.caller);
            actions.push(Action::Refuse(query, Rejection::TooLate));
            return;
        }
        self.waiting.insert(query, Waiting { request, start_by });
        actions.push(Action::Wake(start_by));
        if self.waiting.len() > QUEUE_MAX
            && let Some((last, w)) = self.waiting.pop_last()
        {
            self.release_caller(&w.request.caller);
            actions.push(Action::Refuse(last, Rejection::QueueFull));
        }
    }

    /// Estimated time until the queries ahead of `query` have started.
    fn expected_wait(&self, query: Urgency) -> Span {
        let free = (self.window as usize).saturating_sub(self.running.len());
        let ahead = self.waiting.range(..query).count().saturating_sub(free);
        Span((ahead as f64 * self.mean_us / self.window) as u64)
    }

    fn finish(&mut self, now: Time, query: Urgency, slot_wait: Span) {
        let Some(r) = self.running.swap_remove(&query) else { return };
        if let Some(n) = self.class_counts.get_mut(&r.class) {
            *n -= 1;
        }
        self.release_caller(&r.caller);
        self.mean_us += MEAN_WEIGHT * (now.since(r.started).0 as f64 - self.mean_us);
        let limit = r.timeout.0 / SLOT_WAIT_DIVISOR;
        if slot_wait.0 > limit {
            // A query that started before the last shrink does not show the effect of that shrink.
            if r.started >= self.last_shrink {
                let factor =
                    (limit as f64 / slot_wait.0 as f64).clamp(SHRINK_FACTOR_MIN, SHRINK_FACTOR_MAX);
                self.window = (self.window * factor).max(WINDOW_MIN);
                self.last_shrink = now;
            }
        } else if self.running.len() + 1 >= self.window as usize {
            self.window = (self.window + 1.0 / self.window).min(WINDOW_MAX);
        }
    }

    fn remove_waiting(&mut self, query: Urgency) {
        if let Some(w) = self.waiting.remove(&query) {
            self.release_caller(&w.request.caller);
        }
    }

    fn release_caller(&mut self, caller: &Option<Arc<str>>) {
        let Some(caller) = caller else { return };
        if let Some(n) = self.caller_counts.get_mut(caller) {
            *n -= 1;
            if *n == 0 {
                self.caller_counts.swap_remove(caller);
            }
        }
    }

    fn refuse_late(&mut self, now: Time, actions: &mut Vec<Action>) {
        let is_late = |w: &Waiting| w.start_by <= now;
        let late: Vec<Urgency> =
            self.waiting.iter().filter(|(_, w)| is_late(w)).map(|(q, _)| *q).collect();
        for query in late {
            self.remove_waiting(query);
            actions.push(Action::Refuse(query, Rejection::TooLate));
        }
    }

    fn start_waiting(&mut self, now: Time, actions: &mut Vec<Action>) {
        while self.running.len() < self.window as usize {
            let below_limit = |w: &Waiting| {
                let n = self.class_counts.get(&w.request.class).copied().unwrap_or(0);
                w.request.limit.is_none_or(|limit| n < limit)
            };
            let Some(query) = self.waiting.iter().find(|(_, w)| below_limit(w)).map(|(q, _)| *q)
            else {
                return;
            };
            let Some(Waiting { request, .. }) = self.waiting.remove(&query) else { return };
            *self.class_counts.entry(Arc::clone(&request.class)).or_default() += 1;
            let AdmissionRequest { class, caller, timeout, .. } = request;
            self.running.insert(query, Running { class, caller, timeout, started: now });
            actions.push(Action::Start(query));
        }
    }
}
