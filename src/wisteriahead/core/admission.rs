//! Which queries run now, which wait, and which are refused before they run.
//!
//! At most a window of queries runs at once. The window grows while queries find
//! room at the endpoints and shrinks when they wait there for a large part of their
//! time, so that work is not begun that cannot be finished. The rest wait here, by
//! priority of their class and then by deadline, for at most half of their time.
//! Whatever is refused here has not run.

use super::time::{Span, Time};
use super::verdict::{Reason, Refusal};
use super::wait_queue::Urgency;
use indexmap::IndexMap;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Queries that run at once before anything is learnt.
const WINDOW_START: f64 = 32.0;
/// Least queries that run at once.
const WINDOW_MIN: f64 = 2.0;
/// Most queries that run at once.
const WINDOW_MAX: f64 = 4_096.0;
/// What the window is multiplied with at most when it shrinks.
const SHRINK_MAX: f64 = 0.9;
/// What it is multiplied with at least.
const SHRINK_MIN: f64 = 0.5;
/// Most queries that wait.
pub const QUEUE_MAX: usize = 1_024;
/// Most queries of one caller that run or wait, when the settings give no other number.
pub const CALLER_MAX: usize = 128;
/// Part of a query's time in which it may wait here.
const WAIT_DIVISOR: u64 = 2;
/// Part of a query's time that it may wait for room at endpoints before the window shrinks.
const CROWDED_DIVISOR: u64 = 4;
/// Weight of the newest time in the mean.
const NEWEST: f64 = 0.05;

/// What a query asks of admission.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Its priority, deadline and number.
    pub urgency: Urgency,
    /// Time allowed for the whole answer.
    pub timeout: Span,
    /// Class of its caller.
    pub class: Arc<str>,
    /// Queries of the class that may run at once.
    pub limit: Option<u32>,
    /// Name of its caller.
    pub caller: Option<Arc<str>>,
}

/// What happens.
#[derive(Debug)]
pub enum Event {
    /// A query arrives.
    Arrive(Ask),
    /// A query that ran is over.
    Leave {
        /// The query.
        query: Urgency,
        /// Time until all of its shards had found room.
        crowded: Span,
    },
    /// The caller of a waiting query went away.
    Abandon(Urgency),
    /// The time asked for by [`Action::Wake`] has come.
    Wake,
}

/// Why a query is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// Its caller has too many queries already.
    Caller,
    /// Too many queries wait.
    Full,
    /// It would start too late to finish.
    Late,
}

impl Denial {
    /// The refusal that the caller gets; nothing has run.
    pub fn refusal(self) -> Refusal {
        let detail = match self {
            Self::Caller => "this caller has too many requests in flight; wait for their answers",
            Self::Full => "too many requests wait at this host; send again later",
            Self::Late => "the request could not be started in time; send again later",
        };
        Refusal::not_run(Reason::Busy, detail)
    }
}

/// What the driver is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Run the query.
    Enter(Urgency),
    /// Refuse the query.
    Refuse(Urgency, Denial),
    /// Feed [`Event::Wake`] at this time, if the query that arrived still waits.
    Wake(Time),
}

#[derive(Debug)]
struct Running {
    class: Arc<str>,
    caller: Option<Arc<str>>,
    timeout: Span,
    begun: Time,
}

#[derive(Debug)]
struct Waiting {
    ask: Ask,
    latest: Time,
}

/// The queries of one host.
#[derive(Debug)]
pub struct Admission {
    running: IndexMap<Urgency, Running>,
    waiting: BTreeMap<Urgency, Waiting>,
    callers: IndexMap<Arc<str>, usize>,
    caller_max: usize,
    classes: IndexMap<Arc<str>, u32>,
    window: f64,
    shrunk: Time,
    /// Mean time of a query, in microseconds.
    mean: f64,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            running: IndexMap::new(),
            waiting: BTreeMap::new(),
            callers: IndexMap::new(),
            caller_max: CALLER_MAX,
            classes: IndexMap::new(),
            window: WINDOW_START,
            shrunk: Time::default(),
            mean: 0.0,
        }
    }
}

impl Admission {
    /// Admission that lets so many queries of one caller run or wait.
    pub fn with_caller_max(caller_max: usize) -> Self {
        Self { caller_max, ..Self::default() }
    }

    /// Takes one event and says what to do.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Arrive(ask) => self.arrive(now, ask, &mut out),
            Event::Leave { query, crowded } => self.leave(now, query, crowded),
            Event::Abandon(query) => self.abandon(query),
            Event::Wake => {}
        }
        self.refuse_late(now, &mut out);
        self.fill(now, &mut out);
        out
    }

    /// Queries that run now.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Queries that may run at once now.
    pub fn window(&self) -> usize {
        self.window as usize
    }

    fn arrive(&mut self, now: Time, ask: Ask, out: &mut Vec<Action>) {
        let query = ask.urgency;
        if let Some(caller) = &ask.caller {
            let n = self.callers.entry(Arc::clone(caller)).or_default();
            if *n >= self.caller_max {
                out.push(Action::Refuse(query, Denial::Caller));
                return;
            }
            *n += 1;
        }
        let latest = now + Span(ask.timeout.0 / WAIT_DIVISOR);
        if now + self.expected_wait(query) > latest {
            self.forget_caller(&ask.caller);
            out.push(Action::Refuse(query, Denial::Late));
            return;
        }
        self.waiting.insert(query, Waiting { ask, latest });
        out.push(Action::Wake(latest));
        if self.waiting.len() > QUEUE_MAX
            && let Some((last, w)) = self.waiting.pop_last()
        {
            self.forget_caller(&w.ask.caller);
            out.push(Action::Refuse(last, Denial::Full));
        }
    }

    /// Time until the queries ahead of `query` have been let in, at the present rate.
    fn expected_wait(&self, query: Urgency) -> Span {
        let free = (self.window as usize).saturating_sub(self.running.len());
        let ahead = self.waiting.range(..query).count().saturating_sub(free);
        Span((ahead as f64 * self.mean / self.window) as u64)
    }

    fn leave(&mut self, now: Time, query: Urgency, crowded: Span) {
        let Some(r) = self.running.swap_remove(&query) else { return };
        if let Some(n) = self.classes.get_mut(&r.class) {
            *n -= 1;
        }
        self.forget_caller(&r.caller);
        self.mean += NEWEST * (now.since(r.begun).0 as f64 - self.mean);
        let limit = r.timeout.0 / CROWDED_DIVISOR;
        if crowded.0 > limit {
            // Queries that began before the last change say nothing of its effect.
            if r.begun >= self.shrunk {
                let part = (limit as f64 / crowded.0 as f64).clamp(SHRINK_MIN, SHRINK_MAX);
                self.window = (self.window * part).max(WINDOW_MIN);
                self.shrunk = now;
            }
        } else if self.running.len() + 1 >= self.window as usize {
            self.window = (self.window + 1.0 / self.window).min(WINDOW_MAX);
        }
    }

    fn abandon(&mut self, query: Urgency) {
        if let Some(w) = self.waiting.remove(&query) {
            self.forget_caller(&w.ask.caller);
        }
    }

    fn forget_caller(&mut self, caller: &Option<Arc<str>>) {
        let Some(caller) = caller else { return };
        if let Some(n) = self.callers.get_mut(caller) {
            *n -= 1;
            if *n == 0 {
                self.callers.swap_remove(caller);
            }
        }
    }

    fn refuse_late(&mut self, now: Time, out: &mut Vec<Action>) {
        let late = |w: &Waiting| w.latest <= now;
        let all: Vec<Urgency> =
            self.waiting.iter().filter(|(_, w)| late(w)).map(|(q, _)| *q).collect();
        for query in all {
            self.abandon(query);
            out.push(Action::Refuse(query, Denial::Late));
        }
    }

    fn fill(&mut self, now: Time, out: &mut Vec<Action>) {
        while self.running.len() < self.window as usize {
            let free = |w: &Waiting| {
                let n = self.classes.get(&w.ask.class).copied().unwrap_or(0);
                w.ask.limit.is_none_or(|limit| n < limit)
            };
            let Some(query) = self.waiting.iter().find(|(_, w)| free(w)).map(|(q, _)| *q) else {
                return;
            };
            let Some(Waiting { ask, .. }) = self.waiting.remove(&query) else { return };
            *self.classes.entry(Arc::clone(&ask.class)).or_default() += 1;
            let Ask { class, caller, timeout, .. } = ask;
            self.running.insert(query, Running { class, caller, timeout, begun: now });
            out.push(Action::Enter(query));
        }
    }
}
