//! Drives one request: feeds the state machine with answers and timers, and draws up the answer.

use super::Relay;
use super::forward::{BUNDLE_MIN, Bundle, Came, Ticket};
use super::learned::Flight;
use super::links::Times;
use super::protocol::{Call, EndpointResponse, Outcome};
use super::story::Story;
use super::table::{Entry, Table};
use crate::core::plan::{Destination, Idempotency, Route};
use crate::core::quarantine::SuspectRun;
use crate::core::query::{Action, AttemptId, Environment, Event, Gather, Policy, meets_coverage};
use crate::core::records;
use crate::core::routes::{Snapshot, Target};
use crate::prelude::*;
use futures::future::BoxFuture;
use futures::stream::{FuturesUnordered, StreamExt as _};
use std::time::Instant;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinHandle};

/// Time that a request and its answer are under way between caller and host, and some work: callers
/// count from their own sending (3 ms each way on the users' sheets).
const WAY: Span = Span::millis(10);
/// Most of a time that is kept for the way, as a part.
const WAY_PART: u64 = 3;
/// Part of the objective for which a request waits for room.
const PATIENCE_PART: u64 = 4;
/// Part of the objective in which a connection must be set up.
const CONNECT_PART: u64 = 2;
/// Shortest and longest time in which a connection must be set up.
const CONNECT_MIN: Span = Span::millis(40);
const CONNECT_MAX: Span = Span::millis(250);
/// When a caller may come back after a refusal for lack of room.
const AFTER: Span = Span::millis(30);
/// When a caller may come back while too few endpoints are known: they announce themselves about
/// once a second, each at its own time.
const UNKNOWN_AFTER: Span = Span::millis(300);
/// Part of the wait for a hedge after which a host that is sent through answers with what it has: the
/// rest must come before the hedges of what it lacks.
const FLUSH_PART: (u64, u64) = (3, 5);

/// The time at which an answer must be under way to arrive in `span`.
fn ahead(span: Span) -> Span {
    Span(span.0.saturating_sub(WAY.0.min(span.0 / WAY_PART)))
}

/// The endpoints of one route, as a query sees them.
struct Replicas<'a> {
    relay: &'a Relay,
    table: &'a Table,
    now: Time,
    /// Time after which an attempt is hedged.
    usual: Span,
}

impl Environment for Replicas<'_> {
    type Permit = Flight;

    fn acquire(
        &mut self,
        now: Time,
        replicas: &[Target],
        tried: &[EndpointKey],
    ) -> Option<(Target, Flight)> {
        self.relay.learned.acquire(now, replicas, tried, self.usual, &self.table.plan)
    }

    fn has_free_slot(&self, now: Time, replicas: &[Target]) -> bool {
        self.relay.learned.has_room(now, replicas, &self.table.plan)
    }

    fn take_extra(&mut self, replicas: &[Target]) -> bool {
        let service = replicas.first().map(|t| &t.service);
        service.is_some_and(|service| self.relay.learned.extra(self.now, service))
    }

    fn hedge_delay(&self, _replicas: &[Target]) -> Option<Span> {
        Some(self.usual)
    }

    fn next_snapshot(&self, _lost: &[Arc<Snapshot>]) -> Option<Arc<Snapshot>> {
        None
    }

    fn try_suspect(&mut self, _now: Time, _shard: Option<u32>) -> SuspectRun {
        SuspectRun::Allowed
    }
}

struct Ended {
    id: AttemptId,
    to: Target,
    result: Result<EndpointResponse, Refusal>,
    /// Whether its records may be merged with those of other shards.
    merged: bool,
}

/// An attempt that is to be sent.
struct Attempt {
    id: AttemptId,
    shard: u32,
    to: Target,
    flight: Flight,
}

/// What comes next to a request.
struct Next {
    event: Event<EndpointResponse>,
    /// Parts of shards that have answered already, whose records are merged with those of others:
    /// they take the place of the answers.
    again: Vec<(u32, EndpointResponse)>,
}

impl From<Event<EndpointResponse>> for Next {
    fn from(event: Event<EndpointResponse>) -> Self {
        Self { event, again: Vec::new() }
    }
}

/// A request on its way.
struct Drive<'a> {
    relay: &'a Arc<Relay>,
    table: &'a Table,
    route: &'a Route,
    call: Arc<Call>,
    until: Instant,
    /// What has ended next, and the bundle that it came from as long as more comes.
    open: FuturesUnordered<BoxFuture<'a, (Vec<Ended>, Option<Bundled>)>>,
    /// Tasks of the attempts that are waited for.
    sent: IndexMap<AttemptId, AbortHandle>,
    /// Shards of all attempts sent.
    shards: IndexMap<AttemptId, u32>,
    wake: Option<Time>,
    /// The last failure that an endpoint answered with.
    failure: Option<EndpointResponse>,
    begun: Time,
    story: Story,
}

/// Runs one request to its answer.
pub async fn run(
    relay: &Arc<Relay>,
    table: &Table,
    entry: &Entry,
    call: Call,
    begun: Time,
) -> Outcome {
    let route = &entry.route;
    let part = match &route.destination {
        Destination::Split(list) => relay.learned.split(&route.name, list),
        Destination::Gather { .. } => Some(0),
    };
    let Some(snapshot) = part.and_then(|part| table.snapshot(entry, part)) else {
        return refuse(Refusal::not_run(Reason::Internal, "the route leads nowhere"));
    };
    let least = route.destination.min_coverage();
    let (known, shards) = (snapshot.shards_held(), snapshot.shards.len());
    if !meets_coverage(known, shards, least) {
        let detail = format!("endpoints of {known} of {shards} shards are known here");
        let refusal = Refusal::not_run(Reason::NoSnapshot, detail);
        return Outcome::Refused { refusal, retry_after: Some(UNKNOWN_AFTER) };
    }
    let silent = relay.silent(begun, table);
    if !silent.is_empty() && !meets_coverage(snapshot.shards_held_outside(&silent), shards, least) {
        let detail = format!("no endpoint of {} answers this host", silent.join(", "));
        return refuse(Refusal::not_run(Reason::Unavailable, detail));
    }
    services(route, part.unwrap_or(0)).for_each(|s| relay.learned.request(begun, s));
    let patience = call.meta.timeout.unwrap_or(route.timeout).min(route.timeout);
    let deadline = begun + ahead(patience);
    let waited = relay.ctx.now().since(begun);
    let id = call.meta.id.clone();
    let drive = Drive {
        relay,
        table,
        route,
        call: Arc::new(call),
        until: Instant::now() + Span(patience.0.saturating_sub(waited.0)).to_std(),
        open: FuturesUnordered::new(),
        shards: IndexMap::new(),
        sent: IndexMap::new(),
        wake: None,
        failure: None,
        begun,
        story: Story::default(),
    };
    let shards = snapshot.shard_count();
    let gather = Gather::new(snapshot.clone(), deadline, least).with_policy(policy(route, begun));
    let (gather, failure, mut story) = drive.run(gather).await;
    story.lacking(&gather);
    let outcome = label(route, gather, shards, failure);
    let id = id.to_str().unwrap_or_default();
    relay.teller.ended(relay.ctx.now(), id, route, &snapshot, &story, &outcome);
    outcome
}

fn services(route: &Route, part: usize) -> impl Iterator<Item = &Arc<str>> {
    let one = matches!(route.destination, Destination::Split(_));
    route.destination.services().skip(part).take(if one { 1 } else { usize::MAX })
}

fn policy(route: &Route, begun: Time) -> Policy {
    Policy {
        max_attempts: route.attempts,
        idempotent: route.repeat == Idempotency::Idempotent,
        strict_budget: true,
        replans: false,
        gang_start: matches!(route.destination, Destination::Gather { .. }),
        detect_deaths: false,
        partial_after: Some(begun + ahead(route.objective)),
        slot_deadline: Some(begun + Span(route.objective.0 / PATIENCE_PART)),
    }
}

fn refuse(refusal: Refusal) -> Outcome {
    let retry_after = (refusal.verdict == Verdict::NotRun).then_some(AFTER);
    Outcome::Refused { refusal, retry_after }
}

fn label(
    route: &Route,
    gather: Gather<EndpointResponse>,
    shards: u32,
    failure: Option<EndpointResponse>,
) -> Outcome {
    let coverage = gather.coverage();
    let verdict = gather.verdict();
    let lacking = |reason| {
        let detail = format!("{} of {shards} shards answered", coverage.answered);
        refuse(Refusal { verdict, reason, detail })
    };
    match &route.destination {
        Destination::Split(_) => match (gather.into_parts().next(), failure) {
            (Some((_, part)), _) | (None, Some(part)) => Outcome::Forwarded(part),
            (None, None) => lacking(Reason::Unavailable),
        },
        Destination::Gather { top, .. } => {
            if coverage.answered == 0 || !coverage.meets(route.destination.min_coverage()) {
                return lacking(Reason::Coverage);
            }
            let parts: Vec<EndpointResponse> = gather.into_parts().map(|(_, part)| part).collect();
            let body = records::merge(parts.iter().map(|p| &p.body[..]), *top as usize);
            let signatures = parts.into_iter().filter_map(|p| p.signature).collect();
            Outcome::Merged { body, signatures, missing: shards - coverage.answered }
        }
    }
}

impl Drive<'_> {
    async fn run(
        mut self,
        mut gather: Gather<EndpointResponse>,
    ) -> (Gather<EndpointResponse>, Option<EndpointResponse>, Story) {
        let mut next = Next::from(Event::Start);
        loop {
            let Next { event, again } = next;
            again.into_iter().for_each(|(shard, part)| gather.replace(shard, part));
            let now = self.relay.ctx.now();
            let (relay, table) = (self.relay, self.table);
            let mut fleet = Replicas { relay, table, now, usual: self.usual() };
            let actions = gather.step(now, event, &mut fleet);
            if self.carry_out(actions) {
                return (gather, self.failure.take(), std::mem::take(&mut self.story));
            }
            next = self.next().await;
        }
    }

    /// Carries out the actions; says whether the query is finished.
    fn carry_out(&mut self, actions: Vec<Action<Flight>>) -> bool {
        let mut finished = false;
        let mut sends = Vec::new();
        for action in actions {
            match action {
                Action::Send { attempt, shard, target, permit, .. } => {
                    sends.push(Attempt { id: attempt, shard, to: target, flight: permit });
                }
                // It runs to its end unheard, so that its connection can be used again.
                Action::Cancel(id) => drop(self.sent.swap_remove(&id)),
                Action::Wake(at) => self.wake = Some(self.wake.map_or(at, |w| w.min(at))),
                Action::Finish => finished = true,
            }
        }
        self.send_all(sends);
        finished
    }

    /// Sends attempts: many to one other zone through a host there, the others one by one.
    fn send_all(&mut self, attempts: Vec<Attempt>) {
        let mut zones: IndexMap<Arc<str>, Vec<Attempt>> = IndexMap::new();
        for attempt in attempts {
            self.story.sent();
            // A shard is in the merged records of one bundle at most.
            let first = !self.shards.values().any(|shard| *shard == attempt.shard);
            self.shards.insert(attempt.id, attempt.shard);
            if !first || *attempt.to.zone == *self.relay.learned.zone() {
                self.send(attempt);
                continue;
            }
            zones.entry(attempt.to.zone.clone()).or_default().push(attempt);
        }
        let now = self.relay.ctx.now();
        for (zone, attempts) in zones {
            let bundled = attempts.len() >= BUNDLE_MIN;
            match self.relay.forward.choose(now, &zone).filter(|_| bundled) {
                Some(host) => self.bundle(host, attempts),
                None => attempts.into_iter().for_each(|attempt| self.send(attempt)),
            }
        }
    }

    /// Time after which an attempt is hedged.
    fn usual(&self) -> Span {
        self.relay.learned.hedge_delay(&self.route.name, self.route.objective)
    }

    fn times(&self) -> Times {
        let connect = Span(self.route.objective.0 / CONNECT_PART).clamp(CONNECT_MIN, CONNECT_MAX);
        Times { connect, until: self.until }
    }

    fn send(&mut self, attempt: Attempt) {
        let Attempt { id, to, flight, .. } = attempt;
        let (relay, call) = (Arc::clone(self.relay), Arc::clone(&self.call));
        let endpoint = to.clone();
        let at = relay.ctx.now();
        let times = self.times();
        let route = self.route.name.clone();
        let task: JoinHandle<Result<EndpointResponse, Refusal>> = tokio::spawn(async move {
            let connections = relay.learned.connections(&to);
            let sent = relay.links.run(&*relay.protocol, &call, &to, connections, times);
            let result = sent.await;
            let now = relay.ctx.now();
            relay.learned.ended(now, &route, &to, result.as_ref().err(), now.since(at));
            drop(flight);
            result
        });
        self.sent.insert(id, task.abort_handle());
        self.open.push(Box::pin(async move {
            let stopped = |_| Err(Refusal::may_have_run(Reason::Internal, "the call was stopped"));
            let result = task.await.unwrap_or_else(stopped);
            (vec![Ended { id, to: endpoint, result, merged: false }], None)
        }));
    }

    /// Sends attempts through another host.
    fn bundle(&mut self, host: Arc<str>, attempts: Vec<Attempt>) {
        let relay = Arc::clone(self.relay);
        let top = match &self.route.destination {
            Destination::Gather { top, .. } => *top,
            Destination::Split(_) => 0,
        };
        let usual = self.usual();
        let (parts, of) = FLUSH_PART;
        let flush = Span(usual.0 / of * parts);
        let bundle = Bundle {
            call: &self.call,
            to: attempts.iter().map(|a| &a.to).collect(),
            top,
            times: self.times(),
            flush,
        };
        let ticket = relay.forward.send(host, &bundle);
        let (tx, rx) = mpsc::unbounded_channel();
        let ids: Vec<AttemptId> = attempts.iter().map(|a| a.id).collect();
        let route = self.route.name.clone();
        let until = tokio::time::Instant::from_std(self.until);
        let overdue = Span(flush.0 + usual.0);
        let task = tokio::spawn(async move {
            let heard = hear(&relay, ticket, attempts, &route, overdue, &tx);
            // Past that time no caller waits.
            let _ = tokio::time::timeout_at(until, heard).await;
        });
        ids.into_iter().for_each(|id| drop(self.sent.insert(id, task.abort_handle())));
        self.open.push(Bundled(rx).next());
    }

    async fn next(&mut self) -> Next {
        let now = self.relay.ctx.now();
        let wait = self.wake.map_or(Span::ZERO, |at| at.since(now));
        let mut timer = std::pin::pin!(tokio::time::sleep(wait.to_std()));
        loop {
            tokio::select! {
                biased;
                Some((ended, rest)) = self.open.next() => {
                    if let Some(bundle) = rest {
                        self.open.push(bundle.next());
                    }
                    if !ended.is_empty() {
                        return self.take(ended);
                    }
                }
                () = &mut timer => {
                    self.wake = None;
                    return Event::Wake.into();
                }
            }
        }
    }

    fn take(&mut self, list: Vec<Ended>) -> Next {
        let mut again = Vec::new();
        let mut done = Vec::new();
        for ended in list {
            let wanted = self.sent.swap_remove(&ended.id).is_some();
            match (self.shards.get(&ended.id), ended) {
                (Some(shard), Ended { result: Ok(part), merged: true, .. }) if !wanted => {
                    again.push((*shard, part));
                }
                (_, ended) => done.push(self.ended(ended)),
            }
        }
        Next { event: Event::DoneBatch(done), again }
    }

    fn ended(&mut self, ended: Ended) -> (AttemptId, Result<EndpointResponse, Refusal>) {
        let Ended { id, to, result, .. } = ended;
        let result = match result {
            Ok(part) if !part.status.is_success() => {
                let detail = format!("the endpoint answered {}", part.status);
                self.failure = Some(part);
                Err(Refusal::may_have_run(Reason::Internal, detail))
            }
            other => other,
        };
        if let Err(refusal) = &result {
            self.story.failed(&to, refusal, self.relay.ctx.now().since(self.begun));
        }
        (id, result)
    }
}

impl Drop for Drive<'_> {
    fn drop(&mut self) {
        // A caller that went away leaves attempts behind: closing their connections ends them.
        self.sent.values().for_each(AbortHandle::abort);
    }
}

/// A bundle whose answers still come.
struct Bundled(mpsc::UnboundedReceiver<Vec<Ended>>);

impl Bundled {
    fn next<'a>(mut self) -> BoxFuture<'a, (Vec<Ended>, Option<Self>)> {
        Box::pin(async move {
            match self.0.recv().await {
                Some(ended) => (ended, Some(self)),
                None => (Vec::new(), None),
            }
        })
    }
}

/// Takes the answers of a bundle, learns from them and passes them on.
async fn hear(
    relay: &Relay,
    mut ticket: Ticket,
    attempts: Vec<Attempt>,
    route: &Arc<str>,
    overdue: Span,
    tx: &mpsc::UnboundedSender<Vec<Ended>>,
) {
    let mut attempts: Vec<Option<Attempt>> = attempts.into_iter().map(Some).collect();
    let mut heard = false;
    while ticket.left > 0 {
        let came = match tokio::time::timeout(overdue.to_std(), ticket.next()).await {
            Ok(came) => came,
            Err(_) if heard => ticket.next().await,
            Err(_) => {
                relay.forward.avoid(relay.ctx.now(), ticket.host());
                ticket.next().await
            }
        };
        heard = true;
        let now = relay.ctx.now();
        let mut list = Vec::new();
        for Came { place, result, time } in came {
            let Some(Attempt { id, to, .. }) = attempts.get_mut(place).and_then(Option::take)
            else {
                continue;
            };
            relay.learned.ended(now, route, &to, result.as_ref().err(), time);
            list.push(Ended { id, to, result, merged: true });
        }
        // The request may have ended meanwhile.
        let _ = tx.send(list);
    }
}
