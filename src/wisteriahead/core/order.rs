//! State machine of one order: a non-idempotent request, from the claim on its key to its recorded
//! outcome.
//!
//! [`Order`] first claims the idempotency key. It is sent only if the claim is granted, to one
//! endpoint at a time, and to another only after the previous one is proven not to have run it.
//! The outcome is recorded before the caller is answered.

use super::endpoint::EndpointKey;
use super::routes::{Snapshot, Target};
use super::time::{Span, Time};
use super::verdict::{Reason, Refusal, Verdict};
use bytes::Bytes;
use sha2::{Digest as _, Sha256};
use std::sync::Arc;

/// Wait before endpoints that were at their limit are tried again.
const BUSY_RETRY_DELAY: Span = Span::millis(5);
/// Maximum endpoints that an order is sent to; all but the last are proven not to have run it.
const ATTEMPTS_MAX: usize = 4;

/// Answer to a claim on an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStatus {
    /// Granted: this request, and no other with the key, may be sent.
    Granted,
    /// An earlier request with the key ran, with this answer.
    Ran(Bytes),
    /// An earlier request with the key did not run.
    NotRun,
    /// An earlier request with the key may have run.
    MayHaveRun,
    /// An earlier request with the key may still be running.
    Running,
}

/// Outcome of an order whose claim was granted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It ran, with this answer.
    Ran(Bytes),
    /// It did not run.
    NotRun,
    /// It may have run.
    MayHaveRun,
}

/// Parts of the host that an order depends on.
pub trait Environment {
    /// Permission to have one request in flight at an endpoint.
    type Permit;

    /// Snapshot of the collection that orders currently run on.
    fn snapshot(&self) -> Option<Arc<Snapshot>>;

    /// Acquires a permit for an endpoint that is below its limit.
    fn acquire(&mut self, to: &Target) -> Option<Self::Permit>;
}

/// Input of the state machine.
#[derive(Debug)]
pub enum Event {
    /// The order begins.
    Start,
    /// The claim was answered.
    Claimed(Result<ClaimStatus, Refusal>),
    /// The attempt ended.
    Done(Result<Bytes, Refusal>),
    /// The time requested by [`Action::Wake`] has come.
    Wake,
    /// The outcome was recorded, or recording failed.
    Recorded,
}

/// Output of the state machine, for the driver to carry out.
#[derive(Debug)]
pub enum Action<P> {
    /// Claim the key, then feed the answer back as [`Event::Claimed`].
    Claim,
    /// Send one attempt, then feed its result back as [`Event::Done`].
    Send {
        /// Snapshot to run on.
        snapshot: Arc<Snapshot>,
        /// Shard to run on.
        shard: u32,
        /// Endpoint to send to.
        target: Target,
        /// Permit to hold until the attempt ends.
        permit: P,
    },
    /// Feed [`Event::Wake`] at this time.
    Wake(Time),
    /// Record the outcome, then feed [`Event::Recorded`].
    Record(Outcome),
    /// Answer the caller; the order is finished.
    Answer(Result<Bytes, Refusal>),
}

#[derive(Debug)]
enum State {
    New,
    Claiming,
    Selecting,
    Sending(EndpointKey),
    Recording(Result<Bytes, Refusal>),
    Finished,
}

/// An order in progress.
#[derive(Debug)]
pub struct Order {
    route: String,
    deadline: Time,
    state: State,
    tried: Vec<EndpointKey>,
}

impl Order {
    /// Creates an order for a route, to be answered by `deadline`.
    pub fn new(route: String, deadline: Time) -> Self {
        Self { route, deadline, state: State::New, tried: Vec::new() }
    }

    /// Time by which the caller must be answered.
    pub fn deadline(&self) -> Time {
        self.deadline
    }

    /// Processes an event; events that do not apply to the current state are ignored.
    pub fn step<P: Environment>(
        &mut self,
        now: Time,
        event: Event,
        env: &mut P,
    ) -> Option<Action<P::Permit>> {
        match (std::mem::replace(&mut self.state, State::Finished), event) {
            (State::New, Event::Start) => {
                self.state = State::Claiming;
                Some(Action::Claim)
            }
            (State::Claiming, Event::Claimed(status)) => self.claimed(now, status, env),
            (State::Selecting, Event::Wake) => Some(self.select(now, env)),
            (State::Sending(key), Event::Done(result)) => Some(self.done(now, key, result, env)),
            (State::Recording(result), Event::Recorded) => Some(Action::Answer(result)),
            (state, _) => {
                self.state = state;
                None
            }
        }
    }

    fn claimed<P: Environment>(
        &mut self,
        now: Time,
        status: Result<ClaimStatus, Refusal>,
        env: &mut P,
    ) -> Option<Action<P::Permit>> {
        let may_have_run = |reason, detail| Err(Refusal::may_have_run(reason, detail));
        let answer = match status {
            Ok(ClaimStatus::Granted) => return Some(self.select(now, env)),
            Ok(ClaimStatus::Ran(body)) => Ok(body),
            Ok(ClaimStatus::NotRun) => Err(Refusal::not_run(
                Reason::Unavailable,
                "an earlier request with this key did not run; send it with a new key",
            )),
            Ok(ClaimStatus::MayHaveRun) => {
                may_have_run(Reason::Connection, "an earlier request with this key may have run")
            }
            Ok(ClaimStatus::Running) => {
                may_have_run(Reason::InProgress, "an earlier request with this key may be running")
            }
            Err(refusal) => Err(refusal),
        };
        Some(Action::Answer(answer))
    }

    /// Sends to the first replica below its limit, in the route's rendezvous order.
    fn select<P: Environment>(&mut self, now: Time, env: &mut P) -> Action<P::Permit> {
        if now >= self.deadline {
            return self.give_up(Reason::Deadline, "no endpoint had room in time");
        }
        if self.tried.len() >= ATTEMPTS_MAX {
            return self.give_up(Reason::Unavailable, "all endpoints that were asked refused");
        }
        let usable = env.snapshot().filter(|s| !s.shards.is_empty());
        let Some(snapshot) = usable else {
            return self.give_up(Reason::NoSnapshot, "no snapshot of the collection is held");
        };
        let shard = (weight(&self.route, "") % snapshot.shards.len() as u64) as u32;
        let mut replicas: Vec<&Target> = snapshot.shards[shard as usize]
            .iter()
            .filter(|t| !self.tried.contains(&t.key))
            .collect();
        replicas.sort_by_cached_key(|t| weight(&self.route, &t.name));
        if replicas.is_empty() {
            return self.give_up(Reason::Unavailable, "no endpoint is left that may take it");
        }
        for target in replicas {
            if let Some(permit) = env.acquire(target) {
                self.state = State::Sending(target.key);
                let snapshot = Arc::clone(&snapshot);
                return Action::Send { snapshot, shard, target: target.clone(), permit };
            }
        }
        self.retry_later(now)
    }

    fn retry_later<P>(&mut self, now: Time) -> Action<P> {
        self.state = State::Selecting;
        Action::Wake((now + BUSY_RETRY_DELAY).min(self.deadline))
    }

    fn done<P: Environment>(
        &mut self,
        now: Time,
        key: EndpointKey,
        result: Result<Bytes, Refusal>,
        env: &mut P,
    ) -> Action<P::Permit> {
        match result {
            Ok(body) => self.record(Outcome::Ran(body.clone()), Ok(body)),
            Err(refusal) if refusal.verdict == Verdict::NotRun => {
                if refusal.reason == Reason::Busy {
                    return self.retry_later(now);
                }
                // Another endpoint is safe only because this one is proven not to have run it.
                self.tried.push(key);
                self.select(now, env)
            }
            Err(refusal) => {
                let refusal = Refusal { verdict: Verdict::MayHaveRun, ..refusal };
                self.record(Outcome::MayHaveRun, Err(refusal))
            }
        }
    }

    fn give_up<P>(&mut self, reason: Reason, detail: &str) -> Action<P> {
        self.record(Outcome::NotRun, Err(Refusal::not_run(reason, detail)))
    }

    fn record<P>(&mut self, outcome: Outcome, answer: Result<Bytes, Refusal>) -> Action<P> {
        self.state = State::Recording(answer);
        Action::Record(outcome)
    }
}

/// Digest of a request's content, to detect a key that is reused for another request.
pub fn digest(collection: &str, route: &str, order: &[u8]) -> [u8; 32] {
    let mut sha = Sha256::new();
    for part in [collection.as_bytes(), route.as_bytes(), order] {
        sha.update((part.len() as u64).to_be_bytes());
        sha.update(part);
    }
    sha.finalize().into()
}

/// Rendezvous hash of an endpoint for a route, the same on every host.
fn weight(route: &str, name: &str) -> u64 {
    let hash = digest(route, name, &[]);
    hash.iter().take(8).fold(0, |n, b| n << 8 | u64::from(*b))
}
