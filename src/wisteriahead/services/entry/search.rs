//! Drives one search: feeds the state machine with answers and timers.

use super::Entry;
use super::request::{Asked, SearchBody};
use crate::core::hits::{self, Hit, Hits};
use crate::core::query::{Action, AttemptId, Coverage, Event, Fleet, Gather};
use crate::core::routes::Target;
use crate::prelude::*;
use crate::services::{Allowance, Attempt, Permit};
use futures::future::BoxFuture;
use futures::stream::{FuturesUnordered, StreamExt as _};
use serde::Serialize;

/// The answer to a search.
#[derive(Debug, Serialize)]
pub struct Answer {
    verdict: Verdict,
    snapshot: Arc<str>,
    coverage: Coverage,
    hits: Vec<Hit>,
}

/// Chooses the replica with the fewest requests in flight from this host.
struct Nearest<'a> {
    allowance: &'a dyn Allowance,
}

impl Fleet for Nearest<'_> {
    type Permit = Permit;

    fn acquire(
        &mut self,
        _now: Time,
        replicas: &[Target],
        tried: &[EndpointKey],
    ) -> Option<(Target, Permit)> {
        let mut free: Vec<&Target> = replicas.iter().filter(|t| !tried.contains(&t.key)).collect();
        free.sort_by_key(|t| self.allowance.in_flight(t.key));
        free.into_iter().find_map(|t| Some((t.clone(), self.allowance.acquire(t)?)))
    }
}

type Ended = (AttemptId, Result<Hits, Refusal>);

struct Drive<'a> {
    entry: &'a Entry,
    body: &'a SearchBody,
    snapshot: Arc<str>,
    deadline: Time,
    sent: IndexMap<AttemptId, (Target, Arc<str>)>,
    open: FuturesUnordered<BoxFuture<'a, Ended>>,
    wake: Time,
}

/// Runs one search to its answer.
///
/// # Errors
///
/// Refuses when nothing can be planned or the coverage is less than the caller asked for.
pub async fn run(
    entry: &Entry,
    begun: Time,
    asked: &Asked,
    body: SearchBody,
) -> Result<Answer, Refusal> {
    let routes = entry.endpoints.routes();
    let Some(collection) = routes.collections.get(&*body.collection) else {
        let detail = format!("no endpoint holds collection `{}`", body.collection);
        return Err(Refusal::not_run(Reason::UnknownCollection, detail));
    };
    let Some(snapshot) = collection.best() else {
        return Err(Refusal::not_run(Reason::NoSnapshot, "no snapshot is held"));
    };
    let deadline = begun + asked.timeout;
    let gather = Gather::new(Arc::clone(&snapshot), deadline);
    let drive = Drive {
        entry,
        body: &body,
        snapshot: Arc::clone(&snapshot.name),
        deadline,
        sent: IndexMap::new(),
        open: FuturesUnordered::new(),
        wake: deadline,
    };
    let gather = drive.run(gather).await;
    label(gather, snapshot.name.clone(), &body)
}

fn label(gather: Gather, snapshot: Arc<str>, body: &SearchBody) -> Result<Answer, Refusal> {
    let coverage = gather.coverage();
    if coverage.answered == 0 || !coverage.reaches(body.least) {
        let detail = format!(
            "{} of {} shards answered; missing {:?}",
            coverage.answered, coverage.shards, coverage.missing
        );
        let verdict = if gather.sent() { Verdict::MayHaveRun } else { Verdict::NotRun };
        return Err(Refusal { verdict, reason: Reason::Coverage, detail });
    }
    let hits = hits::merge(gather.finish(), body.limit);
    Ok(Answer { verdict: Verdict::Ran, snapshot, coverage, hits })
}

impl Drive<'_> {
    async fn run(mut self, mut gather: Gather) -> Gather {
        let mut event = Event::Start;
        loop {
            let mut fleet = Nearest { allowance: &*self.entry.allowance };
            let actions = gather.step(self.entry.ctx.now(), event, &mut fleet);
            if self.carry_out(actions) {
                return gather;
            }
            event = self.next().await;
        }
    }

    /// Carries out the actions; says whether the query is finished.
    fn carry_out(&mut self, actions: Vec<Action<Permit>>) -> bool {
        let mut finished = false;
        for action in actions {
            match action {
                Action::Send { attempt, shard, target, permit } => {
                    self.send(attempt, shard, target, permit);
                }
                Action::Cancel(id) => self.cancel(id),
                Action::Wake(at) => self.wake = self.wake.min(at),
                Action::Finish => finished = true,
            }
        }
        finished
    }

    fn send(&mut self, id: AttemptId, shard: u32, target: Target, permit: Permit) {
        let entry = self.entry;
        let attempt = Attempt {
            id: entry.attempt_id(),
            idempotent: true,
            collection: Arc::clone(&self.body.collection),
            snapshot: Arc::clone(&self.snapshot),
            shard,
            timeout: self.deadline.since(entry.ctx.now()),
            body: self.body.query.clone(),
        };
        self.sent.insert(id, (target.clone(), Arc::clone(&attempt.id)));
        self.open.push(Box::pin(async move {
            let result = entry.transport.run(&target, attempt, permit).await;
            (id, result.and_then(|bytes| read(&bytes)))
        }));
    }

    fn cancel(&mut self, id: AttemptId) {
        if let Some((target, name)) = self.sent.swap_remove(&id) {
            self.entry.transport.cancel(&target, name);
        }
    }

    async fn next(&mut self) -> Event {
        let now = self.entry.ctx.now();
        let wait = self.wake.since(now).to_std();
        tokio::select! {
            Some((id, result)) = self.open.next() => {
                self.sent.swap_remove(&id);
                Event::Done(id, result)
            }
            () = tokio::time::sleep(wait) => {
                self.wake = self.deadline;
                Event::Wake
            }
        }
    }
}

fn read(bytes: &[u8]) -> Result<Hits, Refusal> {
    serde_json::from_slice(bytes).map_err(|e| {
        Refusal::may_have_run(Reason::Mismatch, format!("the response is not a list of hits: {e}"))
    })
}
