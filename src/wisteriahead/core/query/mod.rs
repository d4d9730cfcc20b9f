//! One query over all shards of one snapshot, from plan to answer.
//!
//! [`Gather`] sends one attempt to each shard, hedges those that stay open long,
//! and sends another to a different replica when an attempt fails. It finishes when
//! every shard has answered or nothing more can come before the deadline. When a
//! shard can no longer be had, it starts again whole on another snapshot: the hits
//! of two snapshots never meet. Coverage counts from the number of shards in the
//! snapshot, never from the endpoints that are known.

mod answer;
mod canary;
mod coverage;
mod environment;
mod gang;
mod policy;
mod restart;
mod send;
mod shard;

pub use self::coverage::{Coverage, meets_coverage};
pub use self::environment::Environment;
pub use self::policy::Policy;

use self::canary::Lead;
pub use self::shard::Shortage;
use self::shard::{Open, Shard, Wait};
use super::endpoint::EndpointKey;
use super::hits::Hits;
use super::quarantine::DEATHS_MAX;
use super::routes::{Snapshot, Target};
use super::time::{Span, Time};
use super::verdict::{Reason, Refusal, Verdict};
use std::sync::Arc;

/// Wait before a query goes to another endpoint after one died with it in flight, in which
/// the other hosts tell of deaths that they saw.
const DEATH_WAIT: Span = Span::millis(20);

/// Number of an attempt within its query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u32);

/// What happens to a query.
#[derive(Debug)]
pub enum Event<T = Hits> {
    /// It begins.
    Start,
    /// An attempt ended.
    Done(AttemptId, Result<T, Refusal>),
    /// Attempts ended together: all of their answers count, or none.
    DoneBatch(Vec<(AttemptId, Result<T, Refusal>)>),
    /// The time asked for by [`Action::Wake`] has come.
    Wake,
    /// Endpoints of [`Gather::awaiting_slot`] have room.
    SlotsFree(Vec<EndpointKey>),
}

/// What the driver is to do.
#[derive(Debug)]
pub enum Action<P> {
    /// Send an attempt; its end is fed back as [`Event::Done`].
    Send {
        /// The attempt.
        attempt: AttemptId,
        /// Snapshot to run on.
        snapshot: Arc<Snapshot>,
        /// Shard to run on.
        shard: u32,
        /// Endpoint to send to.
        target: Target,
        /// Right to send, held until the attempt ends.
        permit: P,
    },
    /// Cancel an attempt whose answer is no longer wanted.
    Cancel(AttemptId),
    /// Feed [`Event::Wake`] at this time.
    Wake(Time),
    /// The query is finished; see [`Gather::into_hits`].
    Finish,
}

/// A query in progress; `T` is what a shard answers.
#[derive(Debug)]
pub struct Gather<T = Hits> {
    snapshot: Arc<Snapshot>,
    lost: Vec<Arc<Snapshot>>,
    deadline: Time,
    least: f64,
    policy: Policy,
    shards: Vec<Shard<T>>,
    attempts: Vec<Option<Open>>,
    /// Shards without hits.
    missing: usize,
    /// Shards from which nothing more can come.
    exhausted: usize,
    /// When a shard last waited for room.
    crowded: Option<Time>,
    /// Attempts that ended with the proof that they did not run.
    proven: usize,
    replan: Option<Time>,
    lead: Option<Lead>,
    /// When room is looked for again, as long as nothing is sent for lack of it.
    enters: Option<Time>,
    banned: bool,
    finished: bool,
}

/// One step of a query: its time, the rest of the host, and the actions so far.
struct Step<'a, F: Environment> {
    now: Time,
    fleet: &'a mut F,
    out: Vec<Action<F::Permit>>,
}

impl<T> Gather<T> {
    /// A query over `snapshot` that must answer by `deadline`; below the share `least` of the
    /// shards its answer is of no use.
    pub fn new(snapshot: Arc<Snapshot>, deadline: Time, least: f64) -> Self {
        let shards: Vec<_> = snapshot.shards.iter().map(|_| Shard::default()).collect();
        Self {
            snapshot,
            lost: Vec::new(),
            deadline,
            least,
            policy: Policy::default(),
            missing: shards.len(),
            shards,
            attempts: Vec::new(),
            exhausted: 0,
            crowded: None,
            proven: 0,
            replan: None,
            lead: None,
            enters: None,
            banned: false,
            finished: false,
        }
    }

    /// Has the query go to one shard first; the others follow when that has answered, or after
    /// `span` without the death of an endpoint.
    pub fn with_canary(mut self, shard: u32, span: Span) -> Self {
        self.lead = Some(Lead::new(shard, span));
        self
    }

    /// The same under another policy.
    pub fn with_policy(self, policy: Policy) -> Self {
        Self { policy, ..self }
    }

    /// Takes one event and says what to do.
    pub fn step<F: Environment>(
        &mut self,
        now: Time,
        event: Event<T>,
        fleet: &mut F,
    ) -> Vec<Action<F::Permit>> {
        let mut step = Step { now, fleet, out: Vec::new() };
        if self.finished {
            return step.out;
        }
        match event {
            Event::Start => self.start(&mut step),
            Event::Done(id, result) => self.done(id, result, &mut step),
            Event::DoneBatch(list) => {
                list.into_iter().for_each(|(id, result)| self.done(id, result, &mut step));
            }
            Event::Wake => self.wake(&mut step),
            Event::SlotsFree(at) => self.room(&at, &mut step),
        }
        self.follow(&mut step);
        self.close_if_over(&mut step);
        step.out
    }

    fn start<F: Environment>(&mut self, step: &mut Step<'_, F>) {
        let lead = self.lead.take().filter(|l| l.shard() < self.shards.len());
        if let Some(lead) = lead {
            self.lead = Some(lead.begun(step.now));
            self.shards.iter_mut().for_each(|s| s.wait = Wait::Held);
            self.send(lead.shard(), step);
        } else if self.policy.gang_start {
            self.enter(step);
        } else {
            for shard in 0..self.shards.len() {
                self.send(shard, step);
            }
        }
        self.settle(step);
    }

    /// Counts the shards that nothing more can come from, and asks to be woken in time.
    ///
    /// An answer never exhausts a shard, so that this is needed after failures only.
    fn settle<F: Environment>(&mut self, step: &mut Step<'_, F>) {
        self.count_exhausted();
        step.out.push(Action::Wake(self.next_wake(step.now)));
    }

    fn count_exhausted(&mut self) {
        self.exhausted = self.shards.iter().filter(|s| s.exhausted()).count();
    }

    fn done<F: Environment>(
        &mut self,
        id: AttemptId,
        result: Result<T, Refusal>,
        step: &mut Step<'_, F>,
    ) {
        let Some(open) = self.attempts.get_mut(id.0 as usize).and_then(Option::take) else {
            return;
        };
        let shard = open.shard as usize;
        self.shards[shard].open.retain(|a| *a != id);
        match result {
            Ok(hits) => self.answered(shard, hits, step),
            Err(refusal) => {
                self.failed(open, &refusal, step);
                self.count_exhausted();
            }
        }
    }

    fn answered<F: Environment>(&mut self, shard: usize, hits: T, step: &mut Step<'_, F>) {
        let s = &mut self.shards[shard];
        s.hits = Some(hits);
        s.wait = Wait::Nothing;
        self.missing -= 1;
        for loser in s.open.drain(..) {
            self.attempts[loser.0 as usize] = None;
            step.out.push(Action::Cancel(loser));
        }
    }

    fn failed<F: Environment>(&mut self, open: Open, refusal: &Refusal, step: &mut Step<'_, F>) {
        let shard = open.shard as usize;
        let not_run = refusal.verdict == Verdict::NotRun;
        self.proven += usize::from(not_run);
        let s = &mut self.shards[shard];
        s.moved |= refusal.reason == Reason::WrongSnapshot;
        if refusal.is_death() && self.policy.detect_deaths {
            s.deaths += 1;
            self.banned |= s.deaths >= DEATHS_MAX;
            if s.open.is_empty() {
                self.wait_later(shard, DEATH_WAIT, step);
            }
            return;
        }
        if !not_run && !self.policy.idempotent {
            s.spent = true;
            return;
        }
        if refusal.reason == Reason::Connection && not_run {
            // It reached no endpoint, so the next is no extra arrival.
            s.sent -= 1;
            s.arrivals -= 1;
        }
        if refusal.reason == Reason::Busy && not_run {
            // A busy endpoint may have room later; any other fault rules it out.
            s.tried.retain(|k| *k != open.key);
            s.sent -= 1;
            if s.open.is_empty() {
                let wait = s.retry_wait();
                self.wait_later(shard, wait, step);
            }
        } else if s.open.is_empty() {
            self.retry(shard, not_run, step);
        }
    }

    /// Has a shard wait before it is sent again.
    fn wait_later<F: Environment>(&mut self, shard: usize, wait: Span, step: &mut Step<'_, F>) {
        let until = step.now + wait;
        self.shards[shard].wait = Wait::Later { until };
        self.wake_at(until, step);
    }

    fn wake<F: Environment>(&mut self, step: &mut Step<'_, F>) {
        let now = step.now;
        if now >= self.deadline {
            return;
        }
        if self.enters.is_some_and(|at| at <= now) {
            self.enter(step);
        }
        for shard in 0..self.shards.len() {
            match self.shards[shard].wait {
                Wait::Room { until } | Wait::Later { until } if until <= now => {
                    self.send(shard, step);
                }
                Wait::Extra { until } if until <= now => self.retry(shard, false, step),
                Wait::Hedge { until } if until <= now => self.hedge(shard, step),
                _ => {}
            }
        }
        self.settle(step);
    }

    /// Sends to the shards that wait for room at the endpoints; the others' waits go on, since each
    /// try that fails asks for a slot anew.
    fn room<F: Environment>(&mut self, at: &[EndpointKey], step: &mut Step<'_, F>) {
        if step.now >= self.deadline {
            return;
        }
        for shard in 0..self.shards.len() {
            let waits = matches!(self.shards[shard].wait, Wait::Room { .. });
            if waits && self.snapshot.shards[shard].iter().any(|r| at.contains(&r.key)) {
                self.send(shard, step);
            }
        }
        self.settle(step);
    }

    /// Asks to be woken at a time, at the latest at the deadline.
    fn wake_at<F: Environment>(&self, at: Time, step: &mut Step<'_, F>) {
        step.out.push(Action::Wake(at.min(self.deadline)));
    }

    fn next_wake(&self, now: Time) -> Time {
        let lead = self.lead.and_then(|l| l.until());
        let waits = self.shards.iter().filter_map(|s| s.wait.until());
        let enough = self.policy.partial_after.filter(|at| *at > now);
        let others = [self.replan, lead, enough, self.enters].into_iter().flatten();
        waits.chain(others).fold(self.deadline, Time::min)
    }

    fn close_if_over<F: Environment>(&mut self, step: &mut Step<'_, F>) {
        let late = step.now >= self.deadline;
        let replans = self.policy.replans && !self.banned && self.missing > 0 && !late;
        if replans && self.restart(step) {
            return;
        }
        let over = self.banned
            || (self.replan.is_none() && self.missing == self.exhausted)
            || self.is_cut_short(step.now);
        if self.missing > 0 && !late && !over {
            return;
        }
        self.finished = true;
        if self.shards.iter().any(|s| matches!(s.wait, Wait::Room { .. })) {
            self.crowded = Some(step.now);
        }
        self.cancel_all(step);
        step.out.push(Action::Finish);
    }

    fn cancel_all<F: Environment>(&mut self, step: &mut Step<'_, F>) {
        for (i, a) in self.attempts.iter_mut().enumerate() {
            if a.take().is_some() {
                step.out.push(Action::Cancel(AttemptId(i as u32)));
            }
        }
    }
}
