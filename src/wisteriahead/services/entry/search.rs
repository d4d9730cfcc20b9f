//! Drives the [`Gather`] state machine of one search: feeds it answers, timers and free slots, and
//! carries out its actions.

use super::Entry;
use super::admission::AdmissionGuard;
use super::request::SearchBody;
use super::slot_queue::Waiter;
use crate::core::hits::{self, Hit, Hits};
use crate::core::quarantine::{Admission, Death, Digest, Fingerprint, Record, SuspectRun};
use crate::core::query::{Action, AttemptId, Coverage, Environment, Event, Gather};
use crate::core::routes::{Snapshot, Target};
use crate::core::wait_queue::Urgency;
use crate::prelude::*;
use crate::services::{Attempt, Permit};
use futures::future::BoxFuture;
use futures::stream::{FuturesUnordered, StreamExt as _};
use serde::Serialize;

/// The answer to a search, sent to the caller as JSON.
#[derive(Debug, Serialize)]
pub struct Answer {
    verdict: Verdict,
    snapshot: Arc<str>,
    coverage: Coverage,
    hits: Vec<Hit>,
}

/// Environment of a search: this host's statistics, permits, routes and quarantine.
struct SearchEnvironment<'a> {
    entry: &'a Entry,
    collection: &'a str,
    digest: Digest,
    suspect_runs: &'a mut IndexSet<Fingerprint>,
    slot_requests: &'a mut SlotRequests,
}

/// Endpoints at which a search requests one more slot each.
#[derive(Default)]
struct SlotRequests {
    /// Requests not sent yet.
    pending: Vec<Target>,
    /// Endpoints that had a request already, so that each replica gets one in turn.
    requested: IndexSet<EndpointKey>,
}

impl SlotRequests {
    /// Requests a slot at one of the replicas, each in turn. A slot at a second replica is not
    /// requested, as it could be taken from a host that needs it.
    fn add_one_of(&mut self, replicas: Vec<Target>) {
        if replicas.iter().all(|t| self.requested.contains(&t.key)) {
            self.requested.retain(|key| replicas.iter().all(|t| t.key != *key));
        }
        if let Some(next) = replicas.into_iter().find(|t| !self.requested.contains(&t.key)) {
            self.requested.insert(next.key);
            self.pending.push(next);
        }
    }
}

impl Environment for SearchEnvironment<'_> {
    type Permit = Permit;

    fn acquire(
        &mut self,
        now: Time,
        replicas: &[Target],
        tried: &[EndpointKey],
    ) -> Option<(Target, Permit)> {
        let found = self.entry.stats.acquire(now, replicas, tried, &*self.entry.allowance);
        found.map_err(|full| self.slot_requests.add_one_of(full)).ok()
    }

    fn take_extra(&mut self, replicas: &[Target]) -> bool {
        self.entry.stats.take_extra(replicas)
    }

    fn hedge_delay(&self, replicas: &[Target]) -> Option<Span> {
        self.entry.stats.hedge_delay(replicas)
    }

    fn next_snapshot(&self, discarded: &[Arc<Snapshot>]) -> Option<Arc<Snapshot>> {
        self.entry.endpoints.routes().collections.get(self.collection)?.best_without(discarded)
    }

    fn try_suspect(&mut self, _now: Time, shard: Option<u32>) -> SuspectRun {
        let request = Fingerprint { digest: self.digest, shard };
        let run = self.entry.quarantine.begin_run(&request);
        if run == SuspectRun::Allowed {
            self.suspect_runs.insert(request);
        }
        run
    }
}

/// The end of an attempt, cancelled or not.
struct EndedAttempt {
    id: AttemptId,
    result: Result<Hits, Refusal>,
}

/// An attempt that was sent and has neither ended nor been cancelled.
struct SentAttempt {
    shard: u32,
    target: Target,
    /// Identifier of the attempt at its endpoint.
    wire_id: Arc<str>,
    at: Time,
    /// Fingerprint of the query at this time, and what was known about it.
    request: Fingerprint,
    known: Record,
}

/// Driver of one search.
struct SearchDriver<'a> {
    entry: &'a Entry,
    body: &'a SearchBody,
    deadline: Time,
    sent: IndexMap<AttemptId, SentAttempt>,
    /// Running attempts, cancelled ones included.
    in_flight: FuturesUnordered<BoxFuture<'a, EndedAttempt>>,
    /// When the next [`Event::Wake`] is due.
    wake: Time,
    urgency: Urgency,
    waiter: Arc<Waiter>,
    /// Endpoints in whose queues this search waits for a slot.
    awaited: IndexSet<EndpointKey>,
    /// Endpoints at which this search was given a free slot that it has not used yet.
    freed: Vec<EndpointKey>,
    slot_requests: SlotRequests,
    digest: Digest,
    /// Suspected requests that this search was allowed to run and has not ended.
    suspect_runs: IndexSet<Fingerprint>,
    /// The last attempt whose endpoint seems to have died, until it is reported.
    unreported_death: Option<SentAttempt>,
    deaths: u32,
}

/// Runs one search and returns its answer.
///
/// # Errors
///
/// Refuses when no snapshot is available, when the query is quarantined, and when fewer shards
/// answered than the caller requires.
pub async fn run(
    entry: &Entry,
    guard: &mut AdmissionGuard,
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
    let deadline = guard.urgency().deadline;
    let digest = body.digest();
    let admission = entry.quarantine.admit(&digest, &|_| true);
    if matches!(admission, Admission::Refused(_)) {
        return Err(quarantined());
    }
    let gather = new_gather(entry, snapshot, deadline, &body, &digest);
    let gather = gather.with_suspicion(matches!(admission, Admission::Suspect(_)));
    let driver = SearchDriver {
        entry,
        body: &body,
        deadline,
        sent: IndexMap::new(),
        in_flight: FuturesUnordered::new(),
        wake: deadline,
        urgency: guard.urgency(),
        waiter: Arc::default(),
        awaited: IndexSet::new(),
        freed: Vec::new(),
        slot_requests: SlotRequests::default(),
        digest,
        suspect_runs: IndexSet::new(),
        unreported_death: None,
        deaths: 0,
    };
    let gather = driver.run(gather).await;
    guard.set_last_slot_wait(gather.last_slot_wait());
    into_answer(gather, &body)
}

/// Creates the state machine. A query that was not answered lately goes to a canary shard before
/// it goes to the others.
fn new_gather(
    entry: &Entry,
    snapshot: Arc<Snapshot>,
    deadline: Time,
    body: &SearchBody,
    digest: &Digest,
) -> Gather {
    let available: Vec<u32> =
        (0u32..).zip(&snapshot.shards).filter(|(_, r)| !r.is_empty()).map(|(i, _)| i).collect();
    let canary = available.get(usize::from(digest[0]) % available.len().max(1)).copied();
    let canary =
        canary.filter(|_| snapshot.shards.len() > 1 && !entry.quarantine.is_cleared(digest));
    let Some(shard) = canary else { return Gather::new(snapshot, deadline, body.min_coverage) };
    let wait = entry.stats.canary_wait(&snapshot.shards[shard as usize]);
    Gather::new(snapshot, deadline, body.min_coverage).with_canary(shard, wait)
}

fn quarantined() -> Refusal {
    Refusal::not_run(Reason::Quarantined, "endpoints died while they ran this request")
}

/// The answer of a finished query, or the refusal if it was quarantined or covers too few shards.
fn into_answer(gather: Gather, body: &SearchBody) -> Result<Answer, Refusal> {
    if gather.is_quarantined() {
        return Err(Refusal { verdict: gather.verdict(), ..quarantined() });
    }
    let coverage = gather.coverage();
    let snapshot = Arc::clone(&gather.snapshot().name);
    if coverage.answered == 0 || !coverage.meets(body.min_coverage) {
        let detail = format!(
            "{} of {} shards of `{snapshot}` answered; missing {:?}",
            coverage.answered, coverage.shards, coverage.missing
        );
        return Err(Refusal { verdict: gather.verdict(), reason: Reason::Coverage, detail });
    }
    let hits = hits::merge(gather.into_hits(), body.limit);
    Ok(Answer { verdict: Verdict::Ran, snapshot, coverage, hits })
}

impl SearchDriver<'_> {
    async fn run(mut self, mut gather: Gather) -> Gather {
        let mut event = Event::Start;
        loop {
            self.report_death(&gather);
            let (entry, collection) = (self.entry, &*self.body.collection);
            let (digest, suspect_runs) = (self.digest, &mut self.suspect_runs);
            let slot_requests = &mut self.slot_requests;
            let mut env =
                SearchEnvironment { entry, collection, digest, suspect_runs, slot_requests };
            let actions = gather.step(entry.ctx.now(), event, &mut env);
            if self.execute(actions, &gather) {
                self.report_end(&gather);
                return gather;
            }
            self.update_awaited(&gather);
            self.send_slot_requests();
            event = self.next_event().await;
        }
    }

    /// Carries out the actions; returns whether the query is finished.
    fn execute(&mut self, actions: Vec<Action<Permit>>, gather: &Gather) -> bool {
        let mut finished = false;
        for action in actions {
            match action {
                Action::Send { attempt, snapshot, shard, target, permit } => {
                    self.use_slot(&target);
                    let alone = gather.is_canary_only();
                    self.send((attempt, alone), snapshot, shard, target, permit);
                }
                Action::Cancel(id) => self.cancel(id),
                Action::Wake(at) => self.wake = self.wake.min(at),
                Action::Finish => finished = true,
            }
        }
        finished
    }

    /// Sends an attempt; `alone` says whether the query has been sent to no other shard.
    fn send(
        &mut self,
        (id, alone): (AttemptId, bool),
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
        let wire_id = Arc::clone(&attempt.id);
        let request = Fingerprint { digest: self.digest, shard: (!alone).then_some(shard) };
        let known = entry.quarantine.record(&request);
        let sent = SentAttempt { shard, target: target.clone(), wire_id, at: now, request, known };
        self.sent.insert(id, sent);
        self.in_flight.push(Box::pin(async move {
            let result = entry.transport.run(&target, attempt, permit).await;
            EndedAttempt { id, result: result.and_then(|bytes| decode_hits(&bytes)) }
        }));
    }

    fn cancel(&mut self, id: AttemptId) {
        if let Some(sent) = self.sent.swap_remove(&id) {
            let now = self.entry.ctx.now();
            self.entry.stats.record_cancel(now, &sent.target, now.since(sent.at));
            self.entry.transport.cancel(&sent.target, sent.wire_id);
        }
    }

    /// Records the result of an attempt that was not cancelled.
    fn record_result(&mut self, ended: &EndedAttempt) {
        let Some(sent) = self.sent.swap_remove(&ended.id) else { return };
        let now = self.entry.ctx.now();
        match &ended.result {
            Ok(_) => self.entry.stats.record_answer(now, &sent.target, now.since(sent.at)),
            Err(refusal) => self.entry.stats.record_failure(now, &sent.target, refusal),
        }
        match &ended.result {
            Ok(_) => self.clear_suspicion(sent.shard),
            Err(refusal) if refusal.suggests_death() => self.unreported_death = Some(sent),
            Err(_) => {}
        }
    }

    /// Clears the suspicion of the query on a shard that answered.
    fn clear_suspicion(&mut self, shard: u32) {
        for shard in [Some(shard), None] {
            let request = Fingerprint { digest: self.digest, shard };
            if self.suspect_runs.swap_remove(&request) {
                self.entry.quarantine.record_answer(&request);
            }
        }
    }

    /// Reports a death to the quarantine. It counts against the whole query while only the canary
    /// shard has run, and against the query on the one shard afterwards.
    fn report_death(&mut self, gather: &Gather) {
        let Some(sent) = self.unreported_death.take() else { return };
        let shard = (!gather.is_canary_only()).then_some(sent.shard);
        let request = Fingerprint { digest: self.digest, shard };
        self.deaths += 1;
        // What was known about the query alone says nothing about it on this shard.
        let known = if request == sent.request { sent.known } else { Record::default() };
        let endpoint = sent.target.instance_name();
        self.entry.quarantine.record_death(Death { request, endpoint, known, answered: false });
    }

    /// Reports to the quarantine that the query was answered and no endpoint died running it.
    fn report_end(&self, gather: &Gather) {
        if self.deaths == 0 && gather.coverage().answered > 0 {
            self.entry.quarantine.record_success(self.digest);
        }
    }

    /// Marks a free slot as used, and requests one more if other queries wait for the endpoint.
    fn use_slot(&mut self, at: &Target) {
        self.awaited.swap_remove(&at.key);
        if let Some(i) = self.freed.iter().position(|k| *k == at.key) {
            self.freed.swap_remove(i);
        }
        if self.entry.slot_queue.has_waiters(at.key) {
            self.slot_requests.pending.push(at.clone());
        }
    }

    /// Sends the requests for slots; called once this search is in the queues of the endpoints.
    fn send_slot_requests(&mut self) {
        if !self.slot_requests.pending.is_empty() {
            self.entry.allowance.request_slots(&self.slot_requests.pending);
            self.slot_requests.pending.clear();
        }
    }

    /// Waits for all replicas of the shards that need a slot, and passes unused slots on to other
    /// queries.
    fn update_awaited(&mut self, gather: &Gather) {
        let freed = std::mem::take(&mut self.freed);
        let awaited: IndexSet<EndpointKey> = gather.awaiting_slot().map(|t| t.key).collect();
        for &key in awaited.difference(&self.awaited) {
            self.entry.slot_queue.enqueue(key, self.urgency, &self.waiter);
        }
        for &key in self.awaited.difference(&awaited) {
            self.entry.slot_queue.dequeue(key, self.urgency);
        }
        for key in freed {
            if awaited.contains(&key) {
                self.entry.slot_queue.enqueue(key, self.urgency, &self.waiter);
            } else {
                self.entry.slot_queue.slot_freed(key);
            }
        }
        self.awaited = awaited;
    }

    /// Waits for the next event.
    async fn next_event(&mut self) -> Event {
        let now = self.entry.ctx.now();
        let wait = self.wake.since(now).to_std();
        let waiter = Arc::clone(&self.waiter);
        tokio::select! {
            Some(ended) = self.in_flight.next() => {
                self.record_result(&ended);
                Event::Done(ended.id, ended.result)
            }
            () = waiter.notified() => {
                self.freed = waiter.take_freed();
                Event::SlotsFree(self.freed.clone())
            }
            () = tokio::time::sleep(wait) => {
                self.wake = self.deadline;
                Event::Wake
            }
        }
    }
}

impl Drop for SearchDriver<'_> {
    fn drop(&mut self) {
        for &key in &self.awaited {
            self.entry.slot_queue.dequeue(key, self.urgency);
        }
        self.entry.slot_queue.remove_waiter(self.urgency);
        for request in &self.suspect_runs {
            self.entry.quarantine.end_run(request);
        }
        for key in self.freed.drain(..).chain(self.waiter.take_freed()) {
            self.entry.slot_queue.slot_freed(key);
        }
        // Some attempts may still run if the caller disconnected.
        while let Some((_, sent)) = self.sent.pop() {
            self.entry.transport.cancel(&sent.target, sent.wire_id);
        }
    }
}

fn decode_hits(bytes: &[u8]) -> Result<Hits, Refusal> {
    serde_json::from_slice(bytes).map_err(|e| {
        Refusal::may_have_run(Reason::Mismatch, format!("the response is not a list of hits: {e}"))
    })
}
