//! One non-idempotent request, from its claim to its recorded outcome.
//!
//! [`Order`] first has the key claimed. Only a granted claim is sent, to one
//! endpoint at a time, and to another only after the proof that the one before did
//! not run it. What became of it is recorded before the caller is told.

use super::endpoint::EndpointKey;
use super::routes::{Snapshot, Target};
use super::time::{Span, Time};
use super::verdict::{Reason, Refusal, Verdict};
use bytes::Bytes;
use sha2::{Digest as _, Sha256};
use std::sync::Arc;

/// Wait before an endpoint without room is tried again.
const ROOM_WAIT: Span = Span::millis(5);
/// Most endpoints asked, all but the last proven not to have run it.
const ATTEMPTS_MAX: usize = 4;

/// What is known of the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Known {
    /// The claim is granted: this request alone may be sent.
    Granted,
    /// It ran before, with this answer.
    Ran(Bytes),
    /// It was claimed before and did not run.
    NotRun,
    /// It was claimed before and may have run.
    MayHaveRun,
    /// It was claimed before and may be running.
    Running,
}

/// What became of a granted claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It ran, with this answer.
    Ran(Bytes),
    /// It did not run.
    NotRun,
    /// It may have run.
    MayHaveRun,
}

/// What an order asks of the rest of its host.
pub trait Places {
    /// The right to have one request in flight at an endpoint.
    type Permit;

    /// The snapshot of the collection that takes orders now.
    fn plan(&self) -> Option<Arc<Snapshot>>;

    /// Takes the right to send to an endpoint, if it has room.
    fn acquire(&mut self, to: &Target) -> Option<Self::Permit>;
}

/// What happens to an order.
#[derive(Debug)]
pub enum Event {
    /// It begins.
    Start,
    /// The claim was answered.
    Claimed(Result<Known, Refusal>),
    /// The attempt ended.
    Done(Result<Bytes, Refusal>),
    /// The time asked for by [`Action::Wake`] has come.
    Wake,
    /// The outcome was recorded, or could not be.
    Recorded,
}

/// What the driver is to do.
#[derive(Debug)]
pub enum Action<P> {
    /// Claim the key; the answer is fed back as [`Event::Claimed`].
    Claim,
    /// Send one attempt; its end is fed back as [`Event::Done`].
    Send {
        /// Snapshot to run on.
        snapshot: Arc<Snapshot>,
        /// Shard to run on.
        shard: u32,
        /// Endpoint to send to.
        target: Target,
        /// Right to send, held until the attempt ends.
        permit: P,
    },
    /// Feed [`Event::Wake`] at this time.
    Wake(Time),
    /// Record the outcome, then feed [`Event::Recorded`].
    Record(Outcome),
    /// Answer the caller; the order is over.
    Answer(Result<Bytes, Refusal>),
}

#[derive(Debug)]
enum State {
    New,
    Claiming,
    Choosing,
    Sending(EndpointKey),
    Recording(Result<Bytes, Refusal>),
    Over,
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
    /// An order with the given route that must be answered by `deadline`.
    pub fn new(route: String, deadline: Time) -> Self {
        Self { route, deadline, state: State::New, tried: Vec::new() }
    }

    /// Time by which it must be answered.
    pub fn deadline(&self) -> Time {
        self.deadline
    }

    /// Takes one event and says what to do; an event that does not fit the state is ignored.
    pub fn step<P: Places>(
        &mut self,
        now: Time,
        event: Event,
        places: &mut P,
    ) -> Option<Action<P::Permit>> {
        match (std::mem::replace(&mut self.state, State::Over), event) {
            (State::New, Event::Start) => {
                self.state = State::Claiming;
                Some(Action::Claim)
            }
            (State::Claiming, Event::Claimed(known)) => self.claimed(now, known, places),
            (State::Choosing, Event::Wake) => Some(self.choose(now, places)),
            (State::Sending(key), Event::Done(result)) => Some(self.done(now, key, result, places)),
            (State::Recording(result), Event::Recorded) => Some(Action::Answer(result)),
            (state, _) => {
                self.state = state;
                None
            }
        }
    }

    fn claimed<P: Places>(
        &mut self,
        now: Time,
        known: Result<Known, Refusal>,
        places: &mut P,
    ) -> Option<Action<P::Permit>> {
        let may = |reason, detail| Err(Refusal::may_have_run(reason, detail));
        let answer = match known {
            Ok(Known::Granted) => return Some(self.choose(now, places)),
            Ok(Known::Ran(body)) => Ok(body),
            Ok(Known::NotRun) => Err(Refusal::not_run(
                Reason::Unavailable,
                "an earlier request with this key did not run; send it with a new key",
            )),
            Ok(Known::MayHaveRun) => {
                may(Reason::Connection, "an earlier request with this key may have run")
            }
            Ok(Known::Running) => {
                may(Reason::InProgress, "an earlier request with this key may be running")
            }
            Err(refusal) => Err(refusal),
        };
        Some(Action::Answer(answer))
    }

    /// Sends to the first endpoint with room, in the order of the route.
    fn choose<P: Places>(&mut self, now: Time, places: &mut P) -> Action<P::Permit> {
        if now >= self.deadline {
            return self.give_up(Reason::Deadline, "no endpoint had room in time");
        }
        if self.tried.len() >= ATTEMPTS_MAX {
            return self.give_up(Reason::Unavailable, "all endpoints that were asked refused");
        }
        let planned = places.plan().filter(|s| !s.shards.is_empty());
        let Some(snapshot) = planned else {
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
            if let Some(permit) = places.acquire(target) {
                self.state = State::Sending(target.key);
                let snapshot = Arc::clone(&snapshot);
                return Action::Send { snapshot, shard, target: target.clone(), permit };
            }
        }
        self.wait(now)
    }

    fn wait<P>(&mut self, now: Time) -> Action<P> {
        self.state = State::Choosing;
        Action::Wake((now + ROOM_WAIT).min(self.deadline))
    }

    fn done<P: Places>(
        &mut self,
        now: Time,
        key: EndpointKey,
        result: Result<Bytes, Refusal>,
        places: &mut P,
    ) -> Action<P::Permit> {
        match result {
            Ok(body) => self.record(Outcome::Ran(body.clone()), Ok(body)),
            Err(refusal) if refusal.verdict == Verdict::NotRun => {
                if refusal.reason == Reason::Busy {
                    return self.wait(now);
                }
                // Only the proof that it did not run lets it go to another endpoint.
                self.tried.push(key);
                self.choose(now, places)
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

/// Digest that tells one request from another under the same key.
pub fn digest(collection: &str, route: &str, order: &[u8]) -> [u8; 32] {
    let mut sha = Sha256::new();
    for part in [collection.as_bytes(), route.as_bytes(), order] {
        sha.update((part.len() as u64).to_be_bytes());
        sha.update(part);
    }
    sha.finalize().into()
}

/// Weight of an endpoint for a route, the same at every host.
fn weight(route: &str, name: &str) -> u64 {
    let hash = digest(route, name, &[]);
    hash.iter().take(8).fold(0, |n, b| n << 8 | u64::from(*b))
}
