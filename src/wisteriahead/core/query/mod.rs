//! State machine of one query, which scatters to all shards of a snapshot and gathers the answers.
//!
//! [`Gather`] sends one attempt to each shard, hedges attempts that take long, and retries failed
//! ones at a different replica. It finishes when every shard has answered or no further answer can
//! arrive before the deadline. When a shard is no longer available, the whole query restarts on
//! another snapshot: hits of two snapshots are never combined. Coverage is relative to the number
//! of shards in the snapshot, not to the endpoints that are known.

mod answer;
mod canary;
mod coverage;
mod environment;
mod gang;
mod policy;
mod restart;
mod send;
mod shard;

pub use self::coverage::{Coverage, meets_coverage, shards_for_coverage};
pub use self::environment::Environment;
pub use self::policy::Policy;

use self::canary::Canary;
pub use self::shard::Shortage;
use self::shard::{OpenAttempt, ShardState, Wait};
use super::endpoint::EndpointKey;
use super::hits::Hits;
use super::quarantine::DEATHS_MAX;
use super::routes::{Snapshot, Target};
use super::time::{Span, Time};
use super::verdict::{Reason, Refusal, Verdict};
use std::sync::Arc;

/// Delay before a query is sent to another endpoint after one died while running it. Meanwhile
/// the other hosts report the deaths that they observed.
const DEATH_WAIT: Span = Span::millis(20);

/// Index of an attempt within its query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u32);

/// Input of the state machine.
#[derive(Debug)]
pub enum Event<T = Hits> {
    /// The query starts.
    Start,
    /// An attempt ended with an answer or a failure.
    Done(AttemptId, Result<T, Refusal>),
    /// Attempts ended together; all are applied before the query can finish, so that either all of
    /// their answers count or none.
    DoneBatch(Vec<(AttemptId, Result<T, Refusal>)>),
    /// The time requested by [`Action::Wake`] has come.
    Wake,
    /// Endpoints of [`Gather::awaiting_slot`] have a free slot.
    SlotsFree(Vec<EndpointKey>),
}

/// Output of the state machine, carried out by its driver.
#[derive(Debug)]
pub enum Action<P> {
    /// Send an attempt; its end is fed back as [`Event::Done`] or [`Event::DoneBatch`].
    Send {
        /// Index of the attempt.
        attempt: AttemptId,
        /// Snapshot to query.
        snapshot: Arc<Snapshot>,
        /// Shard to query.
        shard: u32,
        /// Endpoint to send to.
        target: Target,
        /// Permit, held until the attempt ends.
        permit: P,
    },
    /// Cancel an attempt whose answer is no longer needed.
    Cancel(AttemptId),
    /// Feed [`Event::Wake`] at this time.
    Wake(Time),
    /// The query is finished; see [`Gather::into_hits`].
    Finish,
}

/// A query in progress; `T` is the answer of one shard.
#[derive(Debug)]
pub struct Gather<T = Hits> {
    snapshot: Arc<Snapshot>,
    /// Snapshots that the query ran on before.
    discarded: Vec<Arc<Snapshot>>,
    deadline: Time,
    min_coverage: f64,
    policy: Policy,
    shards: Vec<ShardState<T>>,
    attempts: Vec<Option<OpenAttempt>>,
    /// Number of shards without an answer.
    missing: usize,
    /// Number of shards from which no answer can come any more.
    exhausted: usize,
    /// When a shard last waited for a free slot.
    last_slot_wait: Option<Time>,
    /// Number of attempts known not to have run.
    not_run: usize,
    /// When another snapshot is looked for again.
    snapshot_retry: Option<Time>,
    canary: Option<Canary>,
    /// When free slots are checked again, while a gang start waits for them.
    gang_retry: Option<Time>,
    quarantined: bool,
    /// Whether endpoints died running the same query before and none has answered it since.
    suspect: bool,
    finished: bool,
}

/// Context of one call of [`Gather::step`]: its time, environment and actions so far.
struct Step<'a, E: Environment> {
    now: Time,
    env: &'a mut E,
    actions: Vec<Action<E::Permit>>,
}

impl<T> Gather<T> {
    /// A query over `snapshot` that ends by `deadline`; an answer from less than the fraction
    /// `min_coverage` of the shards, 0 to 1, is of no use.
    pub fn new(snapshot: Arc<Snapshot>, deadline: Time, min_coverage: f64) -> Self {
        let shards: Vec<_> = snapshot.shards.iter().map(|_| ShardState::default()).collect();
        Self {
            snapshot,
            discarded: Vec::new(),
            deadline,
            min_coverage,
            policy: Policy::default(),
            missing: shards.len(),
            shards,
            attempts: Vec::new(),
            exhausted: 0,
            last_slot_wait: None,
            not_run: 0,
            snapshot_retry: None,
            canary: None,
            gang_retry: None,
            quarantined: false,
            suspect: false,
            finished: false,
        }
    }

    /// Sends to one shard first, and to the others when it has answered or failed for good, or
    /// after `hold` unless an endpoint died.
    pub fn with_canary(mut self, shard: u32, hold: Span) -> Self {
        self.canary = Some(Canary::new(shard, hold));
        self
    }

    /// Sets whether endpoints died running the same query before, so that the quarantine decides on
    /// each attempt until one is answered.
    pub fn with_suspicion(self, suspect: bool) -> Self {
        Self { suspect, ..self }
    }

    /// The same query under another policy.
    pub fn with_policy(self, policy: Policy) -> Self {
        Self { policy, ..self }
    }

    /// Moves the deadline forward to `at`, if it is later; takes effect with the next event.
    pub fn end_by(&mut self, at: Time) {
        self.deadline = self.deadline.min(at);
    }

    /// Handles one event and returns the actions for the driver.
    pub fn step<E: Environment>(
        &mut self,
        now: Time,
        event: Event<T>,
        env: &mut E,
    ) -> Vec<Action<E::Permit>> {
        let mut step = Step { now, env, actions: Vec::new() };
        if self.finished {
            return step.actions;
        }
        match event {
            Event::Start => self.start(&mut step),
            Event::Done(id, result) => self.on_done(id, result, &mut step),
            Event::DoneBatch(list) => {
                list.into_iter().for_each(|(id, result)| self.on_done(id, result, &mut step));
            }
            Event::Wake => self.on_wake(&mut step),
            Event::SlotsFree(at) => self.on_slots_free(&at, &mut step),
        }
        self.release_held(&mut step);
        self.finish_if_done(&mut step);
        step.actions
    }

    fn start<E: Environment>(&mut self, step: &mut Step<'_, E>) {
        let canary = self.canary.take().filter(|c| c.shard() < self.shards.len());
        if let Some(canary) = canary {
            self.canary = Some(canary.started(step.now));
            self.shards.iter_mut().for_each(|s| s.wait = Wait::Held);
            self.send(canary.shard(), step);
        } else if self.policy.gang_start {
            self.start_gang(step);
        } else {
            for shard in 0..self.shards.len() {
                self.send(shard, step);
            }
        }
        self.reschedule(step);
    }

    /// Recounts the exhausted shards and requests the next wake-up.
    ///
    /// Not needed after an answer, which never exhausts a shard.
    fn reschedule<E: Environment>(&mut self, step: &mut Step<'_, E>) {
        self.count_exhausted();
        step.actions.push(Action::Wake(self.next_wake(step.now)));
    }

    fn count_exhausted(&mut self) {
        self.exhausted = self.shards.iter().filter(|s| s.is_exhausted()).count();
    }

    fn on_done<E: Environment>(
        &mut self,
        id: AttemptId,
        result: Result<T, Refusal>,
        step: &mut Step<'_, E>,
    ) {
        let Some(open) = self.attempts.get_mut(id.0 as usize).and_then(Option::take) else {
            return;
        };
        let shard = open.shard as usize;
        self.shards[shard].open.retain(|a| *a != id);
        match result {
            Ok(hits) => self.on_answer(shard, hits, step),
            Err(refusal) => {
                self.on_failure(open, &refusal, step);
                self.count_exhausted();
            }
        }
    }

    fn on_answer<E: Environment>(&mut self, shard: usize, hits: T, step: &mut Step<'_, E>) {
        self.suspect = false;
        let s = &mut self.shards[shard];
        s.hits = Some(hits);
        s.wait = Wait::Nothing;
        self.missing -= 1;
        for loser in s.open.drain(..) {
            self.attempts[loser.0 as usize] = None;
            step.actions.push(Action::Cancel(loser));
        }
    }

    fn on_failure<E: Environment>(
        &mut self,
        open: OpenAttempt,
        refusal: &Refusal,
        step: &mut Step<'_, E>,
    ) {
        let shard = open.shard as usize;
        let not_run = refusal.verdict == Verdict::NotRun;
        self.not_run += usize::from(not_run);
        // Where a part of the shards may do, a query that others have answered goes on without one whose
        // endpoints die.
        let partial = !self.policy.may_restart && self.missing < self.shards.len();
        let s = &mut self.shards[shard];
        s.snapshot_gone |= refusal.reason == Reason::WrongSnapshot;
        if refusal.suggests_death() && self.policy.detect_deaths {
            s.deaths += 1;
            let given_up = s.deaths >= DEATHS_MAX;
            s.no_resend |= given_up || !self.policy.idempotent;
            self.quarantined |= given_up && !partial;
            if s.open.is_empty() && !s.no_resend {
                self.back_off(shard, DEATH_WAIT, step);
            }
            return;
        }
        if !not_run && !self.policy.idempotent {
            s.no_resend = true;
            return;
        }
        if matches!(refusal.reason, Reason::Connection | Reason::Unavailable) && not_run {
            // The attempt reached no endpoint, so the next one does not count as an extra attempt.
            s.sent -= 1;
            s.arrivals -= 1;
        }
        if refusal.reason == Reason::Busy && not_run {
            // A busy endpoint may have a free slot later; any other failure rules it out.
            s.tried.retain(|k| *k != open.key);
            s.sent -= 1;
            if s.open.is_empty() {
                let wait = s.next_backoff();
                self.back_off(shard, wait, step);
            }
        } else if s.open.is_empty() {
            self.retry(shard, not_run, step);
        }
    }

    /// Lets a shard wait before it is sent another attempt.
    fn back_off<E: Environment>(&mut self, shard: usize, wait: Span, step: &mut Step<'_, E>) {
        let until = step.now + wait;
        self.shards[shard].wait = Wait::Backoff { until };
        self.wake_at(until, step);
    }

    fn on_wake<E: Environment>(&mut self, step: &mut Step<'_, E>) {
        let now = step.now;
        if now >= self.deadline {
            return;
        }
        if self.gang_retry.is_some_and(|at| at <= now) {
            self.start_gang(step);
        }
        for shard in 0..self.shards.len() {
            match self.shards[shard].wait {
                Wait::Slot { until } | Wait::Backoff { until } if until <= now => {
                    self.send(shard, step);
                }
                Wait::Budget { until } if until <= now => self.retry(shard, false, step),
                Wait::Hedge { until } if until <= now => self.hedge(shard, until, step),
                _ => {}
            }
        }
        self.reschedule(step);
    }

    /// Sends to the shards that wait for a slot at these endpoints. The others keep waiting, since
    /// each failed try requests another slot.
    fn on_slots_free<E: Environment>(&mut self, at: &[EndpointKey], step: &mut Step<'_, E>) {
        if step.now >= self.deadline {
            return;
        }
        for shard in 0..self.shards.len() {
            let waits = matches!(self.shards[shard].wait, Wait::Slot { .. });
            if waits && self.snapshot.shards[shard].iter().any(|r| at.contains(&r.key)) {
                self.send(shard, step);
            }
        }
        self.reschedule(step);
    }

    /// Requests a wake-up at a time, at the latest at the deadline.
    fn wake_at<E: Environment>(&self, at: Time, step: &mut Step<'_, E>) {
        step.actions.push(Action::Wake(at.min(self.deadline)));
    }

    fn next_wake(&self, now: Time) -> Time {
        let canary = self.canary.and_then(|c| c.until());
        let waits = self.shards.iter().filter_map(|s| s.wait.until());
        let enough = self.policy.partial_after.filter(|at| *at > now);
        let others = [self.snapshot_retry, canary, enough, self.gang_retry].into_iter().flatten();
        waits.chain(others).fold(self.deadline, Time::min)
    }

    fn finish_if_done<E: Environment>(&mut self, step: &mut Step<'_, E>) {
        let late = step.now >= self.deadline;
        let may_restart = self.policy.may_restart && !self.quarantined && self.missing > 0 && !late;
        if may_restart && self.restart(step) {
            return;
        }
        let over = self.quarantined
            || (self.snapshot_retry.is_none() && self.missing == self.exhausted)
            || self.is_cut_short(step.now);
        if self.missing > 0 && !late && !over {
            return;
        }
        self.finished = true;
        if self.shards.iter().any(|s| matches!(s.wait, Wait::Slot { .. })) {
            self.last_slot_wait = Some(step.now);
        }
        self.cancel_all(step);
        step.actions.push(Action::Finish);
    }

    fn cancel_all<E: Environment>(&mut self, step: &mut Step<'_, E>) {
        for (i, a) in self.attempts.iter_mut().enumerate() {
            if a.take().is_some() {
                step.actions.push(Action::Cancel(AttemptId(i as u32)));
            }
        }
    }
}
