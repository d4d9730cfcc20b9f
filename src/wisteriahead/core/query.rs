//! One query over all shards of one snapshot, from plan to answer.
//!
//! [`Gather`] sends one attempt to each shard, sends another to a different
//! replica when an attempt fails, and finishes when every shard has answered or
//! nothing more can come before the deadline. It counts coverage from the number
//! of shards in the snapshot, never from the endpoints that are known.

use super::endpoint::EndpointKey;
use super::hits::Hits;
use super::routes::{Snapshot, Target};
use super::time::{Span, Time};
use super::verdict::{Reason, Refusal};
use std::sync::Arc;

/// Wait before a shard without a free replica is tried again.
const BUSY_WAIT: Span = Span::millis(2);
/// Most attempts for one shard of one query.
const ATTEMPTS_MAX: usize = 4;

/// Number of an attempt within its query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u32);

/// Chooses replicas and grants the right to send to them.
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
}

/// What happens to a query.
#[derive(Debug)]
pub enum Event {
    /// It begins.
    Start,
    /// An attempt ended.
    Done(AttemptId, Result<Hits, Refusal>),
    /// The time asked for by [`Action::Wake`] has come.
    Wake,
}

/// What the driver is to do.
#[derive(Debug)]
pub enum Action<P> {
    /// Send an attempt; its end is fed back as [`Event::Done`].
    Send {
        /// The attempt.
        attempt: AttemptId,
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

#[derive(Debug, Default)]
struct Shard {
    hits: Option<Hits>,
    tried: Vec<EndpointKey>,
    open: u32,
    waiting: bool,
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

/// A query in progress.
#[derive(Debug)]
pub struct Gather {
    snapshot: Arc<Snapshot>,
    deadline: Time,
    shards: Vec<Shard>,
    attempts: Vec<Option<(u32, EndpointKey)>>,
    finished: bool,
}

impl Gather {
    /// A query over `snapshot` that must answer by `deadline`.
    pub fn new(snapshot: Arc<Snapshot>, deadline: Time) -> Self {
        let shards = snapshot.shards.iter().map(|_| Shard::default()).collect();
        Self { snapshot, deadline, shards, attempts: Vec::new(), finished: false }
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
            Event::Start => {
                for shard in 0..self.shards.len() {
                    self.send(now, shard, fleet, &mut out);
                }
                out.push(Action::Wake(self.deadline));
            }
            Event::Done(id, result) => self.done(now, id, result, fleet, &mut out),
            Event::Wake => self.wake(now, fleet, &mut out),
        }
        self.close_if_over(now, &mut out);
        out
    }

    fn send<F: Fleet>(
        &mut self,
        now: Time,
        shard: usize,
        fleet: &mut F,
        out: &mut Vec<Action<F::Permit>>,
    ) {
        let s = &mut self.shards[shard];
        let replicas = &self.snapshot.shards[shard];
        s.waiting = false;
        if s.tried.len() >= ATTEMPTS_MAX || replicas.iter().all(|r| s.tried.contains(&r.key)) {
            return;
        }
        let Some((target, permit)) = fleet.acquire(now, replicas, &s.tried) else {
            s.waiting = true;
            out.push(Action::Wake(now + BUSY_WAIT));
            return;
        };
        let attempt = AttemptId(self.attempts.len() as u32);
        s.tried.push(target.key);
        s.open += 1;
        self.attempts.push(Some((shard as u32, target.key)));
        out.push(Action::Send { attempt, shard: shard as u32, target, permit });
    }

    fn done<F: Fleet>(
        &mut self,
        now: Time,
        id: AttemptId,
        result: Result<Hits, Refusal>,
        fleet: &mut F,
        out: &mut Vec<Action<F::Permit>>,
    ) {
        let Some((shard, key)) = self.attempts.get_mut(id.0 as usize).and_then(Option::take) else {
            return;
        };
        let s = &mut self.shards[shard as usize];
        s.open -= 1;
        match result {
            Ok(hits) if s.hits.is_none() => s.hits = Some(hits),
            Ok(_) => {}
            Err(refusal) if s.hits.is_none() => {
                // A busy endpoint may have room later; any other fault rules it out.
                if refusal.reason == Reason::Busy {
                    s.tried.retain(|k| *k != key);
                    s.waiting = true;
                    out.push(Action::Wake(now + BUSY_WAIT));
                } else if s.open == 0 {
                    self.send(now, shard as usize, fleet, out);
                }
            }
            Err(_) => {}
        }
    }

    fn wake<F: Fleet>(&mut self, now: Time, fleet: &mut F, out: &mut Vec<Action<F::Permit>>) {
        for shard in 0..self.shards.len() {
            if now < self.deadline && self.shards[shard].waiting {
                self.send(now, shard, fleet, out);
            }
        }
    }

    fn close_if_over<P>(&mut self, now: Time, out: &mut Vec<Action<P>>) {
        let idle = |s: &Shard| s.hits.is_some() || (s.open == 0 && !s.waiting);
        if now < self.deadline && !self.shards.iter().all(idle) {
            return;
        }
        self.finished = true;
        let open = self.attempts.iter().enumerate().filter(|(_, a)| a.is_some());
        out.extend(open.map(|(i, _)| Action::Cancel(AttemptId(i as u32))));
        out.push(Action::Finish);
    }

    /// The coverage so far.
    pub fn coverage(&self) -> Coverage {
        let missing: Vec<u32> =
            (0u32..).zip(&self.shards).filter(|(_, s)| s.hits.is_none()).map(|(i, _)| i).collect();
        let shards = self.shards.len() as u32;
        Coverage { shards, answered: shards - missing.len() as u32, missing }
    }

    /// Whether any attempt was ever sent.
    pub fn sent(&self) -> bool {
        !self.attempts.is_empty()
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
