//! Drives one search: feeds the state machine with answers, timers and room.

use super::Entry;
use super::request::SearchBody;
use super::room::Waiter;
use super::turns::Turn;
use crate::core::hits::{self, Hit, Hits};
use crate::core::quarantine::{Death, Digest, Fingerprint, SuspectRun};
use crate::core::query::{Action, AttemptId, Coverage, Environment, Event, Gather};
use crate::core::routes::{Snapshot, Target};
use crate::core::wait_queue::Urgency;
use crate::prelude::*;
use crate::services::{Attempt, Permit};
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

/// The endpoints of one collection, as a query sees them.
struct Replicas<'a> {
    entry: &'a Entry,
    collection: &'a str,
    digest: Digest,
    trials: &'a mut IndexSet<Fingerprint>,
    wanted: &'a mut Wanted,
}

/// Room that a query asks for.
#[derive(Default)]
struct Wanted {
    now: Vec<Target>,
    before: IndexSet<EndpointKey>,
}

impl Wanted {
    /// Asks for room at one of the replicas, each in its turn: a slot at a second one would be taken
    /// from a host that may need it.
    fn one_of(&mut self, replicas: Vec<Target>) {
        if replicas.iter().all(|t| self.before.contains(&t.key)) {
            self.before.retain(|key| replicas.iter().all(|t| t.key != *key));
        }
        if let Some(next) = replicas.into_iter().find(|t| !self.before.contains(&t.key)) {
            self.before.insert(next.key);
            self.now.push(next);
        }
    }
}

impl Environment for Replicas<'_> {
    type Permit = Permit;

    fn acquire(
        &mut self,
        now: Time,
        replicas: &[Target],
        tried: &[EndpointKey],
    ) -> Option<(Target, Permit)> {
        let found = self.entry.learned.acquire(now, replicas, tried, &*self.entry.allowance);
        found.map_err(|full| self.wanted.one_of(full)).ok()
    }

    fn take_extra(&mut self, replicas: &[Target]) -> bool {
        self.entry.learned.extra(replicas)
    }

    fn hedge_delay(&self, replicas: &[Target]) -> Option<Span> {
        self.entry.learned.hedge_delay(replicas)
    }

    fn next_snapshot(&self, lost: &[Arc<Snapshot>]) -> Option<Arc<Snapshot>> {
        self.entry.endpoints.routes().collections.get(self.collection)?.best_without(lost)
    }

    fn try_suspect(&mut self, _now: Time, shard: Option<u32>) -> SuspectRun {
        let request = Fingerprint { digest: self.digest, shard };
        let trial = self.entry.suspicion.begin_run(&request);
        if trial == SuspectRun::Allowed {
            self.trials.insert(request);
        }
        trial
    }
}

struct Ended {
    id: AttemptId,
    result: Result<Hits, Refusal>,
}

struct Sent {
    shard: u32,
    target: Target,
    name: Arc<str>,
    at: Time,
}

struct Drive<'a> {
    entry: &'a Entry,
    body: &'a SearchBody,
    deadline: Time,
    sent: IndexMap<AttemptId, Sent>,
    open: FuturesUnordered<BoxFuture<'a, Ended>>,
    wake: Time,
    urgency: Urgency,
    waiter: Arc<Waiter>,
    waits: IndexSet<EndpointKey>,
    /// Endpoints where room was passed to this query, which it has not used yet.
    freed: Vec<EndpointKey>,
    /// Endpoints where more room is to be asked for.
    wanted: Wanted,
    digest: Digest,
    trials: IndexSet<Fingerprint>,
    /// The last attempt with which an endpoint died, until it is reported.
    dead: Option<Sent>,
    deaths: u32,
}

/// Runs one search to its answer.
///
/// # Errors
///
/// Refuses when nothing can be planned or the coverage is less than the caller asked for.
pub async fn run(entry: &Entry, turn: &mut Turn, body: SearchBody) -> Result<Answer, Refusal> {
    let routes = entry.endpoints.routes();
    let Some(collection) = routes.collections.get(&*body.collection) else {
        let detail = format!("no endpoint holds collection `{}`", body.collection);
        return Err(Refusal::not_run(Reason::UnknownCollection, detail));
    };
    let Some(snapshot) = collection.best() else {
        return Err(Refusal::not_run(Reason::NoSnapshot, "no snapshot is held"));
    };
    let deadline = turn.query().deadline;
    let digest = body.digest();
    if entry.suspicion.is_banned(&digest) {
        return Err(quarantined());
    }
    let gather = gather(entry, snapshot, deadline, &body, &digest);
    let drive = Drive {
        entry,
        body: &body,
        deadline,
        sent: IndexMap::new(),
        open: FuturesUnordered::new(),
        wake: deadline,
        urgency: turn.query(),
        waiter: Arc::default(),
        waits: IndexSet::new(),
        freed: Vec::new(),
        wanted: Wanted::default(),
        digest,
        trials: IndexSet::new(),
        dead: None,
        deaths: 0,
    };
    let gather = drive.run(gather).await;
    turn.crowded(gather.last_slot_wait());
    label(gather, &body)
}

/// A query; one that was not answered lately goes to one shard before it goes to the others.
fn gather(
    entry: &Entry,
    snapshot: Arc<Snapshot>,
    deadline: Time,
    body: &SearchBody,
    digest: &Digest,
) -> Gather {
    let held: Vec<u32> =
        (0u32..).zip(&snapshot.shards).filter(|(_, r)| !r.is_empty()).map(|(i, _)| i).collect();
    let lead = held.get(usize::from(digest[0]) % held.len().max(1)).copied();
    let lead = lead.filter(|_| snapshot.shards.len() > 1 && !entry.suspicion.is_cleared(digest));
    let Some(shard) = lead else { return Gather::new(snapshot, deadline, body.least) };
    let span = entry.learned.lead(&snapshot.shards[shard as usize]);
    Gather::new(snapshot, deadline, body.least).with_canary(shard, span)
}

fn quarantined() -> Refusal {
    Refusal::not_run(Reason::Quarantined, "endpoints died while they ran this request")
}

fn label(gather: Gather, body: &SearchBody) -> Result<Answer, Refusal> {
    if gather.is_quarantined() {
        return Err(Refusal { verdict: gather.verdict(), ..quarantined() });
    }
    let coverage = gather.coverage();
    let snapshot = Arc::clone(&gather.snapshot().name);
    if coverage.answered == 0 || !coverage.meets(body.least) {
        let detail = format!(
            "{} of {} shards of `{snapshot}` answered; missing {:?}",
            coverage.answered, coverage.shards, coverage.missing
        );
        return Err(Refusal { verdict: gather.verdict(), reason: Reason::Coverage, detail });
    }
    let hits = hits::merge(gather.into_hits(), body.limit);
    Ok(Answer { verdict: Verdict::Ran, snapshot, coverage, hits })
}

impl Drive<'_> {
    async fn run(mut self, mut gather: Gather) -> Gather {
        let mut event = Event::Start;
        loop {
            self.report_death(&gather);
            let (entry, collection) = (self.entry, &*self.body.collection);
            let (digest, trials) = (self.digest, &mut self.trials);
            let wanted = &mut self.wanted;
            let mut fleet = Replicas { entry, collection, digest, trials, wanted };
            let actions = gather.step(entry.ctx.now(), event, &mut fleet);
            if self.carry_out(actions) {
                self.report_end(&gather);
                return gather;
            }
            self.wait_for_room(&gather);
            self.ask_for_room();
            event = self.next().await;
        }
    }

    /// Carries out the actions; says whether the query is finished.
    fn carry_out(&mut self, actions: Vec<Action<Permit>>) -> bool {
        let mut finished = false;
        for action in actions {
            match action {
                Action::Send { attempt, snapshot, shard, target, permit } => {
                    self.use_room(&target);
                    self.send(attempt, snapshot, shard, target, permit);
                }
                Action::Cancel(id) => self.cancel(id),
                Action::Wake(at) => self.wake = self.wake.min(at),
                Action::Finish => finished = true,
            }
        }
        finished
    }

    fn send(
        &mut self,
        id: AttemptId,
        snapshot: Arc<Snapshot>,
        shard: u32,
        target: Target,
        permit: Permit,
    ) {
        let (entry, now) = (self.entry, self.entry.ctx.now());
        let attempt = Attempt {
            id: entry.attempt_id(),
            idempotent: true,
            key: None,
            collection: Arc::clone(&self.body.collection),
            snapshot: Arc::clone(&snapshot.name),
            shard,
            shards: snapshot.shard_count(),
            timeout: self.deadline.since(now),
            body: self.body.query.clone(),
        };
        let name = Arc::clone(&attempt.id);
        self.sent.insert(id, Sent { shard, target: target.clone(), name, at: now });
        self.open.push(Box::pin(async move {
            let result = entry.transport.run(&target, attempt, permit).await;
            Ended { id, result: result.and_then(|bytes| read(&bytes)) }
        }));
    }

    fn cancel(&mut self, id: AttemptId) {
        if let Some(sent) = self.sent.swap_remove(&id) {
            let now = self.entry.ctx.now();
            self.entry.learned.cancelled(now, &sent.target, now.since(sent.at));
            self.entry.transport.cancel(&sent.target, sent.name);
        }
    }

    /// Learns from the end of an attempt that was not cancelled.
    fn learn(&mut self, ended: &Ended) {
        let Some(sent) = self.sent.swap_remove(&ended.id) else { return };
        let now = self.entry.ctx.now();
        match &ended.result {
            Ok(_) => self.entry.learned.answered(now, &sent.target, now.since(sent.at)),
            Err(refusal) => self.entry.learned.failed(now, &sent.target, refusal),
        }
        match &ended.result {
            Ok(_) => self.clear(sent.shard),
            Err(refusal) if refusal.suggests_death() => self.dead = Some(sent),
            Err(_) => {}
        }
    }

    /// Clears the suspicion on a shard that answered.
    fn clear(&mut self, shard: u32) {
        for shard in [Some(shard), None] {
            let request = Fingerprint { digest: self.digest, shard };
            if self.trials.swap_remove(&request) {
                self.entry.suspicion.clear_suspect(&request);
            }
        }
    }

    fn report_death(&mut self, gather: &Gather) {
        let Some(sent) = self.dead.take() else { return };
        let shard = (!gather.is_canary_only()).then_some(sent.shard);
        let request = Fingerprint { digest: self.digest, shard };
        self.deaths += 1;
        self.entry.suspicion.record_death(Death { request, endpoint: sent.target.instance_name() });
    }

    fn report_end(&self, gather: &Gather) {
        if self.deaths == 0 && gather.coverage().answered > 0 {
            self.entry.suspicion.record_success(self.digest);
        }
    }

    /// Notes that room at an endpoint is used; more is asked for when other queries wait there.
    fn use_room(&mut self, at: &Target) {
        self.waits.swap_remove(&at.key);
        if let Some(i) = self.freed.iter().position(|k| *k == at.key) {
            self.freed.swap_remove(i);
        }
        if self.entry.room.is_waited_for(at.key) {
            self.wanted.now.push(at.clone());
        }
    }

    /// Asks for the room that was not found, after this query has its place in the queues.
    fn ask_for_room(&mut self) {
        if !self.wanted.now.is_empty() {
            self.entry.allowance.request_slots(&self.wanted.now);
            self.wanted.now.clear();
        }
    }

    /// Waits at all replicas of the shards without room, and passes on room not used.
    fn wait_for_room(&mut self, gather: &Gather) {
        let freed = std::mem::take(&mut self.freed);
        let now: IndexSet<EndpointKey> = gather.awaiting_slot().map(|t| t.key).collect();
        for &key in now.difference(&self.waits) {
            self.entry.room.wait(key, self.urgency, &self.waiter);
        }
        for &key in self.waits.difference(&now) {
            self.entry.room.forget(key, self.urgency);
        }
        for key in freed {
            if now.contains(&key) {
                self.entry.room.wait(key, self.urgency, &self.waiter);
            } else {
                self.entry.room.freed(key);
            }
        }
        self.waits = now;
    }

    async fn next(&mut self) -> Event {
        let now = self.entry.ctx.now();
        let wait = self.wake.since(now).to_std();
        let waiter = Arc::clone(&self.waiter);
        tokio::select! {
            Some(ended) = self.open.next() => {
                self.learn(&ended);
                Event::Done(ended.id, ended.result)
            }
            () = waiter.woken() => {
                self.freed = waiter.freed();
                Event::SlotsFree(self.freed.clone())
            }
            () = tokio::time::sleep(wait) => {
                self.wake = self.deadline;
                Event::Wake
            }
        }
    }
}

impl Drop for Drive<'_> {
    fn drop(&mut self) {
        for &key in &self.waits {
            self.entry.room.forget(key, self.urgency);
        }
        self.entry.room.leave(self.urgency);
        for request in &self.trials {
            self.entry.suspicion.end_run(request);
        }
        for key in self.freed.drain(..).chain(self.waiter.freed()) {
            self.entry.room.freed(key);
        }
        // A caller that went away leaves attempts behind: they are cancelled.
        while let Some((_, sent)) = self.sent.pop() {
            self.entry.transport.cancel(&sent.target, sent.name);
        }
    }
}

fn read(bytes: &[u8]) -> Result<Hits, Refusal> {
    serde_json::from_slice(bytes).map_err(|e| {
        Refusal::may_have_run(Reason::Mismatch, format!("the response is not a list of hits: {e}"))
    })
}
