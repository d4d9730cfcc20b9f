//! One query over all shards of one snapshot, from plan to answer.
//!
//! [`Gather`] sends one attempt to each shard, hedges those that stay open long,
//! and sends another to a different replica when an attempt fails. It finishes when
//! every shard has answered or nothing more can come before the deadline. When a
//! shard can no longer be had, it starts again whole on another snapshot: the hits
//! of two snapshots never meet. Coverage counts from the number of shards in the
//! snapshot, never from the endpoints that are known.

use super::endpoint::EndpointKey;
use super::hits::Hits;
use super::quarantine::{DEATHS_MAX, Trial};
use super::routes::{Snapshot, Target};
use super::time::{Span, Time};
use super::verdict::{Reason, Refusal, Verdict};
use std::sync::Arc;

/// First wait before a shard without a free replica is tried again; it doubles each time.
const BUSY_WAIT: Span = Span::millis(2);
/// Most doublings of [`BUSY_WAIT`].
const DOUBLINGS_MAX: u32 = 5;
/// Wait before a hedge without a free replica or budget is tried again.
const HEDGE_WAIT: Span = Span::millis(5);
/// Wait before another snapshot is asked for again.
const PLAN_WAIT: Span = Span::millis(20);
/// Most attempts for one shard on one snapshot, those refused as busy not counted.
const ATTEMPTS_MAX: u32 = 4;
/// Most snapshots that one query starts on.
const PLANS_MAX: usize = 3;

/// Wait before a query goes to another endpoint after one died with it in flight, in which
/// the other hosts tell of deaths that they saw.
const DEATH_WAIT: Span = Span::millis(20);

/// Number of an attempt within its query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u32);

/// What a query asks of the rest of its host.
pub trait Fleet {
    /// The right to have one request in flight at an endpoint; dropping it gives it back.
    type Permit;

    /// Chooses one of `replicas` that is not in `tried` and has room.
    fn acquire(
        &mut self,
        now: Time,
        replicas: &[Target],
        tried: &[EndpointKey],
    ) -> Option<(Target, Self::Permit)>;

    /// Takes one extra attempt at one of `replicas` from the budget.
    fn extra(&mut self, replicas: &[Target]) -> bool;

    /// Time after which an attempt at one of `replicas` is hedged.
    fn hedge_delay(&self, replicas: &[Target]) -> Option<Span>;

    /// The best snapshot of the collection now, without those named in `lost`.
    fn plan(&self, lost: &[Arc<str>]) -> Option<Arc<Snapshot>>;

    /// Whether this query may run again on a shard where an endpoint died with it in flight; no
    /// shard means that it ran nowhere else.
    fn try_again(&mut self, now: Time, shard: Option<u32>) -> Trial;
}

/// What happens to a query.
#[derive(Debug)]
pub enum Event {
    /// It begins.
    Start,
    /// An attempt ended.
    Done(AttemptId, Result<Hits, Refusal>),
    /// The time asked for by [`Action::Wake`] has come, or an endpoint has room again.
    Wake,
}

/// What the driver is to do.
#[derive(Debug)]
pub enum Action<P> {
    /// Send an attempt; its end is fed back as [`Event::Done`].
    Send {
        /// The attempt.
        attempt: AttemptId,
        /// Snapshot to run on.
        snapshot: Arc<str>,
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
    /// The query is finished; see [`Gather::finish`].
    Finish,
}

/// What a query waits for at one shard besides its open attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wait {
    Nothing,
    /// Room at a replica.
    Room {
        until: Time,
    },
    /// The time at which an endpoint that was busy is tried again.
    Later {
        until: Time,
    },
    /// The end of the lead of another shard.
    Held,
    /// The time at which the budget is asked again.
    Extra {
        until: Time,
    },
    /// The time of its hedge.
    Hedge {
        until: Time,
    },
}

#[derive(Debug)]
struct Shard {
    hits: Option<Hits>,
    tried: Vec<EndpointKey>,
    sent: u32,
    busy: u32,
    open: Vec<AttemptId>,
    wait: Wait,
    /// Whether an endpoint said that it no longer holds the snapshot.
    moved: bool,
    /// Endpoints that died with an attempt in flight.
    deaths: usize,
}

impl Default for Shard {
    fn default() -> Self {
        Self {
            hits: None,
            tried: Vec::new(),
            sent: 0,
            busy: 0,
            open: Vec::new(),
            wait: Wait::Nothing,
            moved: false,
            deaths: 0,
        }
    }
}

impl Shard {
    /// Whether nothing more can come from the shard.
    fn exhausted(&self) -> bool {
        self.hits.is_none() && self.open.is_empty() && self.wait == Wait::Nothing
    }

    /// Whether a replica is left that may be sent another attempt.
    fn may_send(&self, replicas: &[Target]) -> bool {
        self.sent < ATTEMPTS_MAX && replicas.iter().any(|r| !self.tried.contains(&r.key))
    }

    fn retry_wait(&mut self) -> Span {
        let wait = Span(BUSY_WAIT.0 << self.busy.min(DOUBLINGS_MAX));
        self.busy += 1;
        wait
    }
}

/// Shards that an answer covers.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Coverage {
    /// Shards in the snapshot.
    pub shards: u32,
    /// Shards that answered.
    pub answered: u32,
    /// Shards that did not.
    pub missing: Vec<u32>,
}

impl Coverage {
    /// Whether the share answered reaches `least`, 0 to 1.
    pub fn reaches(&self, least: f64) -> bool {
        f64::from(self.answered) >= f64::from(self.shards) * least
    }
}

/// A shard that is sent to before all others.
#[derive(Clone, Copy, Debug)]
struct Lead {
    shard: u32,
    span: Span,
    /// When the others follow, unless an endpoint died with the lead in flight.
    until: Option<Time>,
}

#[derive(Clone, Copy, Debug)]
struct Open {
    shard: u32,
    key: EndpointKey,
}

/// A query in progress.
#[derive(Debug)]
pub struct Gather {
    snapshot: Arc<Snapshot>,
    lost: Vec<Arc<str>>,
    deadline: Time,
    least: f64,
    shards: Vec<Shard>,
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
    banned: bool,
    finished: bool,
}

impl Gather {
    /// A query over `snapshot` that must answer by `deadline`; below the share `least` of the
    /// shards its answer is of no use.
    pub fn new(snapshot: Arc<Snapshot>, deadline: Time, least: f64) -> Self {
        let shards: Vec<_> = snapshot.shards.iter().map(|_| Shard::default()).collect();
        Self {
            snapshot,
            lost: Vec::new(),
            deadline,
            least,
            missing: shards.len(),
            shards,
            attempts: Vec::new(),
            exhausted: 0,
            crowded: None,
            proven: 0,
            replan: None,
            lead: None,
            banned: false,
            finished: false,
        }
    }

    /// Has the query go to one shard first; the others follow when that has answered, or after
    /// `span` without the death of an endpoint.
    pub fn with_lead(mut self, shard: u32, span: Span) -> Self {
        self.lead = Some(Lead { shard, span, until: None });
        self
    }

    /// Takes one event and says what to do.
    pub fn step<F: Fleet>(
        &mut self,
        now: Time,
        event: Event,
        fleet: &mut F,
    ) -> Vec<Action<F::Permit>> {
        let mut out = Vec::new();
        if self.finished {
            return out;
        }
        match event {
            Event::Start => self.start(now, fleet, &mut out),
            Event::Done(id, result) => self.done(now, id, result, fleet, &mut out),
            Event::Wake => self.wake(now, fleet, &mut out),
        }
        self.follow(now, fleet, &mut out);
        self.close_if_over(now, fleet, &mut out);
        out
    }

    fn start<F: Fleet>(&mut self, now: Time, fleet: &mut F, out: &mut Vec<Action<F::Permit>>) {
        let lead = self.lead.take().filter(|l| (l.shard as usize) < self.shards.len());
        if let Some(lead) = lead {
            self.lead = Some(Lead { until: Some(now + lead.span), ..lead });
            self.shards.iter_mut().for_each(|s| s.wait = Wait::Held);
            self.send(now, lead.shard as usize, fleet, out);
        } else {
            for shard in 0..self.shards.len() {
                self.send(now, shard, fleet, out);
            }
        }
        self.count_exhausted();
        out.push(Action::Wake(self.next_wake()));
    }

    /// Sends to the shards that the lead held back, when it is over.
    fn follow<F: Fleet>(&mut self, now: Time, fleet: &mut F, out: &mut Vec<Action<F::Permit>>) {
        let Some(lead) = self.lead else { return };
        let s = &self.shards[lead.shard as usize];
        if s.deaths > 0 && s.hits.is_none() {
            // Without another replica to try, nothing clears it: it goes to no other shard.
            self.banned |= s.exhausted();
            return;
        }
        let over = s.hits.is_some() || s.exhausted() || lead.until.is_some_and(|at| at <= now);
        if self.banned || !over || now >= self.deadline {
            return;
        }
        self.lead = None;
        for shard in 0..self.shards.len() {
            if self.shards[shard].wait == Wait::Held {
                self.send(now, shard, fleet, out);
            }
        }
        self.count_exhausted();
        out.push(Action::Wake(self.next_wake()));
    }

    /// An answer never exhausts a shard, so that this is needed after failures only.
    fn count_exhausted(&mut self) {
        self.exhausted = self.shards.iter().filter(|s| s.exhausted()).count();
    }

    /// Sends an attempt for a shard, or has it wait for room.
    fn send<F: Fleet>(
        &mut self,
        now: Time,
        shard: usize,
        fleet: &mut F,
        out: &mut Vec<Action<F::Permit>>,
    ) {
        let s = &mut self.shards[shard];
        let replicas = &self.snapshot.shards[shard];
        if matches!(s.wait, Wait::Room { .. } | Wait::Later { .. }) {
            self.crowded = Some(now);
        }
        s.wait = Wait::Nothing;
        if !s.may_send(replicas) {
            return;
        }
        if s.deaths > 0 {
            match fleet.try_again(now, self.lead.is_none().then_some(shard as u32)) {
                Trial::Go => {}
                Trial::Wait => return self.wait_after_death(now, shard, out),
                Trial::Never => {
                    self.banned = true;
                    return;
                }
            }
        }
        match fleet.acquire(now, replicas, &s.tried) {
            Some((target, permit)) => {
                if s.deaths == 0
                    && s.tried.len() + 1 < replicas.len()
                    && let Some(delay) = fleet.hedge_delay(replicas)
                {
                    s.wait = Wait::Hedge { until: now + delay };
                }
                self.begin(shard, target, permit, out);
            }
            None => {
                let until = now + s.retry_wait();
                s.wait = Wait::Room { until };
                out.push(Action::Wake(until.min(self.deadline)));
            }
        }
    }

    fn wait_after_death<P>(&mut self, now: Time, shard: usize, out: &mut Vec<Action<P>>) {
        let until = now + DEATH_WAIT;
        self.shards[shard].wait = Wait::Later { until };
        out.push(Action::Wake(until.min(self.deadline)));
    }

    /// Notes an attempt as open and has it sent.
    fn begin<P>(&mut self, shard: usize, target: Target, permit: P, out: &mut Vec<Action<P>>) {
        let attempt = AttemptId(self.attempts.len() as u32);
        let s = &mut self.shards[shard];
        s.tried.push(target.key);
        s.sent += 1;
        s.open.push(attempt);
        self.attempts.push(Some(Open { shard: shard as u32, key: target.key }));
        let snapshot = Arc::clone(&self.snapshot.name);
        out.push(Action::Send { attempt, snapshot, shard: shard as u32, target, permit });
    }

    fn done<F: Fleet>(
        &mut self,
        now: Time,
        id: AttemptId,
        result: Result<Hits, Refusal>,
        fleet: &mut F,
        out: &mut Vec<Action<F::Permit>>,
    ) {
        let Some(open) = self.attempts.get_mut(id.0 as usize).and_then(Option::take) else {
            return;
        };
        let shard = open.shard as usize;
        self.shards[shard].open.retain(|a| *a != id);
        match result {
            Ok(hits) => self.answered(shard, hits, out),
            Err(refusal) => {
                self.failed(now, open, &refusal, fleet, out);
                self.count_exhausted();
            }
        }
    }

    fn answered<P>(&mut self, shard: usize, hits: Hits, out: &mut Vec<Action<P>>) {
        let s = &mut self.shards[shard];
        s.hits = Some(hits);
        s.wait = Wait::Nothing;
        self.missing -= 1;
        for loser in s.open.drain(..) {
            self.attempts[loser.0 as usize] = None;
            out.push(Action::Cancel(loser));
        }
    }

    fn failed<F: Fleet>(
        &mut self,
        now: Time,
        open: Open,
        refusal: &Refusal,
        fleet: &mut F,
        out: &mut Vec<Action<F::Permit>>,
    ) {
        let shard = open.shard as usize;
        let not_run = refusal.verdict == Verdict::NotRun;
        self.proven += usize::from(not_run);
        let s = &mut self.shards[shard];
        s.moved |= refusal.reason == Reason::WrongSnapshot;
        if refusal.is_death() {
            s.deaths += 1;
            self.banned |= s.deaths >= DEATHS_MAX;
            if s.open.is_empty() {
                self.wait_after_death(now, shard, out);
            }
            return;
        }
        if refusal.reason == Reason::Busy && not_run {
            // A busy endpoint may have room later; any other fault rules it out.
            s.tried.retain(|k| *k != open.key);
            s.sent -= 1;
            if s.open.is_empty() {
                let until = now + s.retry_wait();
                s.wait = Wait::Later { until };
                out.push(Action::Wake(until.min(self.deadline)));
            }
        } else if s.open.is_empty() {
            self.retry(now, shard, not_run, fleet, out);
        }
    }

    /// Sends again after a failure; after one that may have run, within the budget.
    fn retry<F: Fleet>(
        &mut self,
        now: Time,
        shard: usize,
        free: bool,
        fleet: &mut F,
        out: &mut Vec<Action<F::Permit>>,
    ) {
        let s = &mut self.shards[shard];
        let replicas = &self.snapshot.shards[shard];
        s.wait = Wait::Nothing;
        if free || !s.may_send(replicas) || fleet.extra(replicas) {
            self.send(now, shard, fleet, out);
            return;
        }
        let until = now + s.retry_wait();
        s.wait = Wait::Extra { until };
        out.push(Action::Wake(until.min(self.deadline)));
    }

    fn wake<F: Fleet>(&mut self, now: Time, fleet: &mut F, out: &mut Vec<Action<F::Permit>>) {
        if now >= self.deadline {
            return;
        }
        for shard in 0..self.shards.len() {
            match self.shards[shard].wait {
                // Room may come before the wait is over.
                Wait::Room { .. } => self.send(now, shard, fleet, out),
                Wait::Later { until } if until <= now => self.send(now, shard, fleet, out),
                Wait::Extra { until } if until <= now => self.retry(now, shard, false, fleet, out),
                Wait::Hedge { until } if until <= now => self.hedge(now, shard, fleet, out),
                _ => {}
            }
        }
        self.count_exhausted();
        out.push(Action::Wake(self.next_wake()));
    }

    fn hedge<F: Fleet>(
        &mut self,
        now: Time,
        shard: usize,
        fleet: &mut F,
        out: &mut Vec<Action<F::Permit>>,
    ) {
        let s = &mut self.shards[shard];
        let replicas = &self.snapshot.shards[shard];
        s.wait = Wait::Nothing;
        if !s.may_send(replicas) {
            return;
        }
        // The right comes first: a hedge that finds no room costs no budget.
        match fleet.acquire(now, replicas, &s.tried) {
            Some((target, permit)) if fleet.extra(replicas) => {
                self.begin(shard, target, permit, out);
            }
            _ => s.wait = Wait::Hedge { until: now + HEDGE_WAIT },
        }
    }

    fn next_wake(&self) -> Time {
        let lead = self.lead.and_then(|l| l.until);
        let waits = self.shards.iter().filter_map(|s| match s.wait {
            Wait::Nothing | Wait::Held => None,
            Wait::Room { until }
            | Wait::Later { until }
            | Wait::Extra { until }
            | Wait::Hedge { until } => Some(until),
        });
        waits.chain(self.replan).chain(lead).fold(self.deadline, Time::min)
    }

    fn close_if_over<F: Fleet>(
        &mut self,
        now: Time,
        fleet: &mut F,
        out: &mut Vec<Action<F::Permit>>,
    ) {
        if !self.banned && self.missing > 0 && now < self.deadline && self.restart(now, fleet, out)
        {
            return;
        }
        let over = self.banned || (self.replan.is_none() && self.missing == self.exhausted);
        if self.missing > 0 && now < self.deadline && !over {
            return;
        }
        self.finished = true;
        let open = self.attempts.iter().enumerate().filter(|(_, a)| a.is_some());
        out.extend(open.map(|(i, _)| Action::Cancel(AttemptId(i as u32))));
        out.push(Action::Finish);
    }

    /// Starts again on another snapshot when this one is losing shards; says whether it did.
    fn restart<F: Fleet>(
        &mut self,
        now: Time,
        fleet: &mut F,
        out: &mut Vec<Action<F::Permit>>,
    ) -> bool {
        if self.exhausted == 0 || self.replan.is_some_and(|at| now < at) {
            return false;
        }
        self.replan = None;
        let moved = self.shards.iter().any(|s| s.moved && s.exhausted());
        let reachable = self.shards.len() - self.exhausted;
        let short = (reachable as f64) < self.shards.len() as f64 * self.least;
        if !(moved || short) || self.lost.len() + 1 >= PLANS_MAX {
            return false;
        }
        let mut lost = self.lost.clone();
        lost.push(Arc::clone(&self.snapshot.name));
        let better = |s: &Snapshot| s.held() * self.shards.len() > reachable * s.shards.len();
        if let Some(next) = fleet.plan(&lost).filter(|s| better(s)) {
            self.lost = lost;
            self.begin_on(next, out);
            self.start(now, fleet, out);
            return true;
        }
        if short {
            let until = now + PLAN_WAIT;
            self.replan = Some(until);
            out.push(Action::Wake(until.min(self.deadline)));
        }
        false
    }

    fn begin_on<P>(&mut self, snapshot: Arc<Snapshot>, out: &mut Vec<Action<P>>) {
        for (i, a) in self.attempts.iter_mut().enumerate() {
            if a.take().is_some() {
                out.push(Action::Cancel(AttemptId(i as u32)));
            }
        }
        self.shards = snapshot.shards.iter().map(|_| Shard::default()).collect();
        self.missing = self.shards.len();
        self.exhausted = 0;
        self.snapshot = snapshot;
    }

    /// The snapshot that the answer is drawn from.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Replicas of the shards that wait for room.
    pub fn waiting(&self) -> impl Iterator<Item = &Target> {
        let shards = self.shards.iter().zip(&self.snapshot.shards);
        shards.filter(|(s, _)| matches!(s.wait, Wait::Room { .. })).flat_map(|(_, r)| r)
    }

    /// The coverage so far.
    pub fn coverage(&self) -> Coverage {
        let missing: Vec<u32> =
            (0u32..).zip(&self.shards).filter(|(_, s)| s.hits.is_none()).map(|(i, _)| i).collect();
        let shards = self.shards.len() as u32;
        Coverage { shards, answered: shards - missing.len() as u32, missing }
    }

    /// Whether it has been sent to its first shard alone so far.
    pub fn is_alone(&self) -> bool {
        self.lead.is_some()
    }

    /// Whether the query is quarantined: endpoints died with it in flight.
    pub fn banned(&self) -> bool {
        self.banned
    }

    /// When a shard last waited for room at an endpoint.
    pub fn crowded(&self) -> Option<Time> {
        self.crowded
    }

    /// The verdict of a refusal: "not run" when every attempt sent is proven not to have run.
    pub fn verdict(&self) -> Verdict {
        if self.proven == self.attempts.len() { Verdict::NotRun } else { Verdict::MayHaveRun }
    }

    /// Takes the hits of all shards that answered, each marked with its shard.
    pub fn finish(self) -> Vec<Hits> {
        (0u32..)
            .zip(self.shards)
            .filter_map(|(i, s)| {
                let mut hits = s.hits?;
                hits.0.iter_mut().for_each(|h| h.shard = i);
                Some(hits)
            })
            .collect()
    }
}
