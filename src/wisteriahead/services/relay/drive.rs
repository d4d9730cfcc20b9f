//! Runs one request: drives the query's state machine with answers and timers, and builds the
//! outcome for the caller.

use super::Relay;
use super::failure_log::AttemptLog;
use super::forward::{BATCH_MIN_CALLS, Batch, BatchResult, PendingBatch, Records};
use super::pools::{CallTimes, PART_MAX_BYTES, RESPONSE_MAX_BYTES, end_to_end};
use super::protocol::{Call, EndpointResponse, Outcome};
use super::table::{RouteEntry, RouteTable};
use super::timeline::{GatherEnd, GatherTimeline};
use super::traffic::Permit;
use crate::core::plan::{Destination, Idempotency, Route};
use crate::core::quarantine::{
    Admission, Death, Digest, Fingerprint, Record, SuspectRun, TRIAL_DELAY, service_shard,
};
use crate::core::query::{
    Action, AttemptId, Environment, Event, Gather, meets_coverage, shards_for_coverage,
};
use crate::core::records;
use crate::core::relay::cover::ZoneCover;
use crate::core::relay::groups::Groups;
use crate::core::relay::stop;
use crate::core::relay::timing::{self, FlushTimes};
use crate::core::routes::{Replicas, Snapshot, Target};
use crate::prelude::*;
use crate::util::work::{self, Work};
use futures::future::BoxFuture;
use futures::stream::{FuturesUnordered, StreamExt as _};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinHandle};

/// Least time reserved for the network between caller and host (specified as 3 ms each way) and for
/// processing, since callers measure their timeout from when they send.
const NETWORK_MARGIN: Span = Span::millis(10);
/// Steps on the way of a gather's request and answer, besides the gather, that take about as long as a
/// merge: reading head and body, the timer, merging, building the answer, writing it.
const MERGE_STEPS: u64 = 6;
/// Inverse of the weight of the newest merge in the moving average.
const MERGE_WEIGHT_DIVISOR: u64 = 8;
/// Divisor of the latency objective that gives the timeout for connecting to an endpoint.
const CONNECT_DIVISOR: u64 = 2;
/// Minimum timeout for connecting to an endpoint.
const CONNECT_TIMEOUT_MIN: Span = Span::millis(40);
/// Maximum timeout for connecting to an endpoint.
const CONNECT_TIMEOUT_MAX: Span = Span::millis(250);
/// Retry delay for a caller whose request was refused without having run.
const RETRY_AFTER: Span = Span::millis(30);
/// Retry delay for a caller while too few endpoints are known. Endpoints announce themselves about
/// once per second, at different times.
const UNKNOWN_RETRY_AFTER: Span = Span::millis(300);
/// Least time after which a host that has returned nothing is taken to be unresponsive.
const RESPONSE_WAIT_MIN: Span = Span::millis(250);
/// Maximum size of the body of a request that is remembered as answered; hashing a longer one takes too
/// much of a slow host's time.
const TRACKED_BODY_MAX_BYTES: usize = 16 << 10;
/// Interval at which a request that waits checks whether the host is about to stop.
const STOP_CHECK_INTERVAL: Span = Span::millis(500);

/// Moving average of the time that a host takes to merge the shards of an answer.
#[derive(Default)]
pub struct MergeTime(AtomicU64);

impl MergeTime {
    fn record(&self, span: Span) {
        let old = self.0.load(Ordering::Relaxed);
        let mean = old - old / MERGE_WEIGHT_DIVISOR + span.0 / MERGE_WEIGHT_DIVISOR;
        self.0.store(mean, Ordering::Relaxed);
    }

    /// Time to reserve for the way to the caller and for what this host does besides waiting.
    fn margin(&self) -> Span {
        Span(NETWORK_MARGIN.0 + MERGE_STEPS * self.0.load(Ordering::Relaxed))
    }
}

/// Environment of a query: the traffic state and the plan of its route.
struct RelayEnvironment<'a> {
    relay: &'a Relay,
    table: &'a RouteTable,
    now: Time,
    /// Delay after which an attempt is hedged.
    hedge_delay: Span,
    /// Whether attempts may go through other hosts.
    gathers: bool,
    cover: &'a ZoneCover,
    identity: &'a mut Identity,
    /// Services of the shards.
    services: &'a [Arc<str>],
}

impl RelayEnvironment<'_> {
    /// Replicas of a shard by the host's present table, if that is not the one of the request: since the
    /// request arrived, endpoints may have begun to drain, or their zone may have been taken out.
    fn newer_replicas(&self, replicas: &[Target]) -> Option<Replicas> {
        let newer = self.relay.table.load();
        let newer = newer.as_ref().filter(|newer| !std::ptr::eq(&***newer, self.table))?;
        Some(self.table.newer_replicas(newer, &replicas.first()?.service))
    }
}

impl Environment for RelayEnvironment<'_> {
    type Permit = Permit;

    fn acquire(
        &mut self,
        now: Time,
        replicas: &[Target],
        tried: &[EndpointKey],
    ) -> Option<(Target, Permit)> {
        let (expected, plan) = (self.hedge_delay, &self.table.plan);
        let traffic = &self.relay.traffic;
        let newer = self.newer_replicas(replicas);
        let replicas = newer.as_ref().map_or(replicas, |newer| &newer[..]);
        traffic.acquire(now, replicas, tried, expected, self.gathers, plan, self.cover)
    }

    fn has_free_slot(&self, now: Time, replicas: &[Target]) -> bool {
        let newer = self.newer_replicas(replicas);
        let replicas = newer.as_ref().map_or(replicas, |newer| &newer[..]);
        self.relay.traffic.has_room(now, replicas, &self.table.plan)
    }

    fn take_extra(&mut self, replicas: &[Target]) -> bool {
        let service = replicas.first().map(|t| &t.service);
        service.is_some_and(|service| self.relay.traffic.try_spend_extra(self.now, service))
    }

    fn hedge_delay(&self, _replicas: &[Target]) -> Option<Span> {
        Some(self.hedge_delay)
    }

    fn next_snapshot(&self, _discarded: &[Arc<Snapshot>]) -> Option<Arc<Snapshot>> {
        None
    }

    fn try_suspect(&mut self, _now: Time, shard: Option<u32>) -> SuspectRun {
        let shard = shard.map_or(self.identity.canary, |shard| shard as usize);
        let Some(service) = self.services.get(shard) else { return SuspectRun::Allowed };
        let request = Fingerprint::at_service(self.identity.digest(), service);
        let run = self.relay.quarantine.begin_run(&request);
        if run == SuspectRun::Allowed {
            self.identity.suspect_runs.insert(request);
        }
        run
    }
}

/// What the quarantine knows a request by.
struct Identity {
    call: Arc<Call>,
    /// Computed when it is needed.
    digest: Option<Digest>,
    /// Shard that the request is sent to first if it is a suspect.
    canary: usize,
    /// Runs as a suspect that have not ended.
    suspect_runs: IndexSet<Fingerprint>,
}

impl Identity {
    fn new(call: Arc<Call>) -> Self {
        Self { call, digest: None, canary: 0, suspect_runs: IndexSet::new() }
    }

    fn digest(&mut self) -> Digest {
        *self.digest.get_or_insert_with(|| self.call.digest())
    }
}

impl Relay {
    /// Whether a call failed since its endpoint ended while it ran it.
    pub async fn has_died(
        &self,
        endpoint: &Target,
        result: &Result<EndpointResponse, Refusal>,
    ) -> bool {
        let failed = result.as_ref().is_err_and(Refusal::suggests_death);
        let died = failed && self.death_checks.is_gone(endpoint.address).await;
        if died {
            self.traffic.record_endpoint_end(self.ctx.now(), endpoint);
        }
        died
    }

    /// Tells the quarantine how an attempt ended, for which `known` was known about the request.
    fn record_run(&self, call: &Call, to: &Target, known: Option<Known>, end: RunEnd) {
        if end == RunEnd::Unknown || (end == RunEnd::Answered && self.quarantine.is_empty()) {
            return;
        }
        let (request, known) = known.unwrap_or_else(|| {
            (Fingerprint::at_service(call.digest(), &to.service), Record::default())
        });
        if end == RunEnd::Answered {
            self.quarantine.record_answer(&request);
        } else {
            let endpoint = to.instance_name();
            self.quarantine.record_death(Death { request, endpoint, known, answered: false });
        }
    }
}

/// A request at a service, and what is known about it.
type Known = (Fingerprint, Record);

/// What the end of an attempt says about its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunEnd {
    /// An endpoint has run it.
    Answered,
    /// The endpoint ended.
    Died,
    /// Nothing.
    Unknown,
}

impl RunEnd {
    const fn new(result: &Result<EndpointResponse, Refusal>, died: bool) -> Self {
        match result {
            Ok(_) => Self::Answered,
            Err(_) if died => Self::Died,
            Err(_) => Self::Unknown,
        }
    }
}

/// The end of an attempt, with its result.
struct EndedAttempt {
    id: AttemptId,
    to: Target,
    result: Result<EndpointResponse, Refusal>,
    /// Whether the response may hold the records of several shards.
    merged: bool,
    /// Whether the result came from another host.
    batched: bool,
    /// Whether the endpoint ended while it ran the attempt.
    died: bool,
}

/// An attempt to be sent.
struct Attempt {
    id: AttemptId,
    shard: u32,
    to: Target,
    permit: Permit,
    /// What is known about the request when it is sent, while any request is known.
    known: Option<Known>,
}

/// Input to the next step of the query.
struct Step {
    event: Event<EndpointResponse>,
    /// Responses from a batch to attempts that are no longer waited for, by shard. They replace the
    /// shards' earlier answers, since their records are merged with those of other shards.
    replacements: Vec<(u32, EndpointResponse)>,
}

impl From<Event<EndpointResponse>> for Step {
    fn from(event: Event<EndpointResponse>) -> Self {
        Self { event, replacements: Vec::new() }
    }
}

/// Attempts of one request, by their numbers, which are given in ascending order.
#[derive(Default)]
struct AttemptTable {
    /// Shard of each attempt sent, cancelled ones included, and its task while it is still waited for.
    attempts: Vec<(Option<u32>, Option<AbortHandle>)>,
}

impl AttemptTable {
    fn entry(&mut self, id: AttemptId) -> &mut (Option<u32>, Option<AbortHandle>) {
        let at = id.0 as usize;
        if self.attempts.len() <= at {
            self.attempts.resize_with(at + 1, || (None, None));
        }
        &mut self.attempts[at]
    }

    fn set_shard(&mut self, id: AttemptId, shard: u32) {
        self.entry(id).0 = Some(shard);
    }

    fn set_task(&mut self, id: AttemptId, task: AbortHandle) {
        self.entry(id).1 = Some(task);
    }

    fn shard(&self, id: AttemptId) -> Option<u32> {
        self.attempts.get(id.0 as usize)?.0
    }

    fn take_task(&mut self, id: AttemptId) -> Option<AbortHandle> {
        self.attempts.get_mut(id.0 as usize)?.1.take()
    }

    fn abort_all(&self) {
        self.attempts.iter().filter_map(|(_, task)| task.as_ref()).for_each(AbortHandle::abort);
    }
}

/// A request in progress.
struct Driver<'a> {
    relay: &'a Arc<Relay>,
    table: &'a RouteTable,
    route: &'a Route,
    call: Arc<Call>,
    identity: Identity,
    /// Services of the shards.
    services: Vec<Arc<str>>,
    /// Zones that the calls of a gather are sent to.
    cover: Arc<ZoneCover>,
    deadline: Instant,
    /// Attempts that end next, each with the rest of the batch that they belong to.
    pending: FuturesUnordered<BoxFuture<'a, (Vec<EndedAttempt>, Option<BatchStream>)>>,
    /// Attempts sent, by their number.
    attempts: AttemptTable,
    /// Number of shards of the request.
    shards_total: usize,
    /// Whether an attempt was sent for each shard.
    sent_shards: Vec<bool>,
    /// Whether attempts went through other hosts, and whether any of these has returned results. While
    /// none has, further attempts are sent directly, in case messages between hosts are lost.
    batched: bool,
    responded: bool,
    wake_at: Option<Time>,
    /// When the answer has to be in to meet the objective.
    answer_by: Time,
    /// When the minimum coverage was reached.
    enough: Option<Time>,
    /// Last response of an endpoint with a status that is no success.
    last_failure: Option<EndpointResponse>,
    started: Time,
    attempt_log: AttemptLog,
    timeline: Option<GatherTimeline>,
}

/// Runs a request until its outcome is known.
pub async fn run(
    relay: &Arc<Relay>,
    table: &RouteTable,
    entry: &RouteEntry,
    call: Call,
    started: Time,
) -> Outcome {
    let route = entry.route();
    let part = match &route.destination {
        Destination::Split(list) => relay.traffic.next_part(&route.name, list),
        Destination::Gather { .. } => Some(0),
    };
    let Some(snapshot) = part.and_then(|part| table.snapshot(entry, part)) else {
        return refuse(Refusal::not_run(Reason::Internal, "the route leads nowhere"));
    };
    let min_coverage = route.destination.min_coverage();
    let (known, shards) = (snapshot.shards_held(), snapshot.shards.len());
    if !meets_coverage(known, shards, min_coverage) {
        let detail = format!("endpoints of {known} of {shards} shards are known here");
        let refusal = Refusal::not_run(Reason::NoSnapshot, detail);
        return Outcome::Refused { refusal, retry_after: Some(UNKNOWN_RETRY_AFTER) };
    }
    let unreachable = relay.unreachable_zones(started, table);
    if !unreachable.is_empty()
        && !meets_coverage(snapshot.shards_held_outside(&unreachable), shards, min_coverage)
    {
        let detail = format!("no endpoint of {} answers this host", unreachable.join(", "));
        return refuse(Refusal::not_run(Reason::Unavailable, detail));
    }
    let shards_min = shards_for_coverage(shards, min_coverage);
    if let Some(until) = relay.traffic.closed_until(started, &snapshot, shards_min) {
        let detail =
            format!("endpoints of more than {} shards want no requests", shards - shards_min);
        let refusal = Refusal::not_run(Reason::Unavailable, detail);
        let retry_after = Some(until.map_or(UNKNOWN_RETRY_AFTER, |at| at.since(started)));
        return Outcome::Refused { refusal, retry_after };
    }
    let timeout = call.meta.timeout.unwrap_or(route.timeout).min(route.timeout);
    let due = relay.ctx.answers_due();
    if due.is_some_and(|due| !stop::accepts(started, due, route, timeout)) {
        let detail = "this host is about to stop";
        return refuse(Refusal::not_run(Reason::Unavailable, detail));
    }
    let services: Vec<_> = services(route, part.unwrap_or(0)).cloned().collect();
    let call = Arc::new(call);
    let mut identity = Identity::new(call.clone());
    let suspect = match admit(relay, &mut identity, &services) {
        Ok(suspect) => suspect,
        Err(span) => {
            let refusal = quarantined(Verdict::NotRun);
            return Outcome::Refused { refusal, retry_after: Some(span) };
        }
    };
    relay.traffic.record_request(started, services.iter());
    let margin = Span(relay.merge_time.margin().0 + relay.lateness.lock().get().0);
    let deadline = started + timing::subtract_margin(timeout, margin);
    let waited = relay.ctx.now().since(started);
    let id = call.meta.id.clone();
    let is_gather = matches!(route.destination, Destination::Gather { .. });
    let driver = Driver {
        relay,
        table,
        route,
        call,
        identity,
        services,
        cover: relay.cover(started, table),
        deadline: Instant::now() + Span(timeout.0.saturating_sub(waited.0)).to_std(),
        pending: FuturesUnordered::new(),
        attempts: AttemptTable::default(),
        shards_total: shards,
        sent_shards: vec![false; shards],
        batched: false,
        responded: false,
        wake_at: None,
        answer_by: timing::answer_by(route, started, margin),
        enough: None,
        last_failure: None,
        started,
        attempt_log: AttemptLog::default(),
        timeline: is_gather.then(|| relay.timelines.gather(started)).flatten(),
    };
    let shards = snapshot.shard_count();
    let policy = timing::policy(route, started, margin, driver.hedge_delay());
    let mut gather = Gather::new(snapshot.clone(), deadline, min_coverage).with_policy(policy);
    gather = gather.with_suspicion(suspect.is_some());
    if let Some(shard) = suspect.filter(|_| is_gather) {
        gather = gather.with_canary(shard, timeout);
    }
    let Finished { gather, failure, mut attempt_log, timeline, digest } = driver.run(gather).await;
    if let Some(digest) = digest.filter(|_| gather.coverage().answered > 0) {
        relay.quarantine.record_success(digest);
    }
    let ended = relay.ctx.now();
    attempt_log.record_unanswered(&gather);
    let outcome = work::measure(Work::Merge, || to_outcome(route, gather, shards, failure));
    let id = id.to_str().unwrap_or_default();
    if let Outcome::Merged { missing, .. } = outcome {
        let merged = relay.ctx.now();
        relay.merge_time.record(merged.since(ended));
        if let Some(timeline) = timeline {
            let sent = attempt_log.sent();
            let end = GatherEnd { decided: ended, merged, margin, sent, missing };
            let (id, route) = (id.to_owned(), route.name.clone());
            tokio::spawn(async move { timeline.log(&id, &route, &end) });
        }
    }
    let (now, logger) = (relay.ctx.now(), &relay.failure_logger);
    if let Some(line) = logger.line(now, id, route, &snapshot, attempt_log, &outcome) {
        tokio::spawn(async move { line.write() });
    }
    outcome
}

/// Services that a request on the route is sent to: that of the given part of a split, or all.
fn services(route: &Route, part: usize) -> impl Iterator<Item = &Arc<str>> {
    let one = matches!(route.destination, Destination::Split(_));
    route.destination.services().skip(part).take(if one { 1 } else { usize::MAX })
}

/// Shard that a suspect is sent to first; none for a request that is no suspect.
///
/// # Errors
///
/// Returns the time for which a quarantined request is refused.
fn admit(
    relay: &Relay,
    identity: &mut Identity,
    services: &[Arc<str>],
) -> Result<Option<u32>, Span> {
    if relay.quarantine.is_empty() {
        return Ok(None);
    }
    let shards: Vec<u32> = services.iter().map(|service| service_shard(service)).collect();
    let runs_on = |shard: Option<u32>| shard.is_some_and(|shard| shards.contains(&shard));
    match relay.quarantine.admit(&identity.digest(), &runs_on) {
        Admission::Clear => Ok(None),
        Admission::Suspect(shard) => {
            identity.canary = shards.iter().position(|s| Some(*s) == shard).unwrap_or_default();
            Ok(Some(identity.canary as u32))
        }
        Admission::Refused(span) => Err(span),
    }
}

fn quarantined(verdict: Verdict) -> Refusal {
    let detail = "endpoints ended while they ran this request".to_owned();
    Refusal { verdict, reason: Reason::Quarantined, detail }
}

fn refuse(refusal: Refusal) -> Outcome {
    let retry_after = (refusal.verdict == Verdict::NotRun).then_some(RETRY_AFTER);
    Outcome::Refused { refusal, retry_after }
}

/// Builds the outcome of a finished query.
fn to_outcome(
    route: &Route,
    gather: Gather<EndpointResponse>,
    shards: u32,
    last_failure: Option<EndpointResponse>,
) -> Outcome {
    let coverage = gather.coverage();
    let verdict = gather.verdict();
    if gather.is_quarantined() {
        let retry_after = (verdict == Verdict::NotRun).then_some(TRIAL_DELAY);
        return Outcome::Refused { refusal: quarantined(verdict), retry_after };
    }
    let refused = |reason| {
        let detail = format!("{} of {shards} shards answered", coverage.answered);
        refuse(Refusal { verdict, reason, detail })
    };
    match &route.destination {
        Destination::Split(_) => match (gather.into_parts().next(), last_failure) {
            (Some((_, part)), _) | (None, Some(part)) => {
                Outcome::Forwarded(EndpointResponse { headers: end_to_end(part.headers), ..part })
            }
            (None, None) => refused(Reason::Unavailable),
        },
        Destination::Gather { top, .. } => {
            if coverage.answered == 0 || !coverage.meets(route.destination.min_coverage()) {
                return refused(Reason::Coverage);
            }
            let parts: Vec<EndpointResponse> = gather.into_parts().map(|(_, part)| part).collect();
            let body = records::merge(parts.iter().map(|p| &p.body[..]), *top as usize);
            let signatures = parts.into_iter().filter_map(|p| p.signature).collect();
            Outcome::Merged { body, signatures, missing: shards - coverage.answered }
        }
    }
}

/// A request whose outcome is known.
struct Finished {
    gather: Gather<EndpointResponse>,
    /// Last response of an endpoint with a status that is no success.
    failure: Option<EndpointResponse>,
    attempt_log: AttemptLog,
    timeline: Option<GatherTimeline>,
    /// Digest of the request, unless its body is long.
    digest: Option<Digest>,
}

impl Driver<'_> {
    async fn run(mut self, mut gather: Gather<EndpointResponse>) -> Finished {
        let mut next = Step::from(Event::Start);
        loop {
            let Step { event, replacements } = next;
            replacements.into_iter().for_each(|(shard, part)| gather.replace(shard, part));
            if let Some(due) = self.relay.ctx.answers_due() {
                gather.end_by(stop::last_end(due));
            }
            let now = self.relay.ctx.now();
            let is_start = matches!(event, Event::Start);
            let (relay, table) = (self.relay, self.table);
            let hedge_delay = self.hedge_delay();
            let gathers = self.gathers();
            let cover = &*self.cover.clone();
            let (identity, services) = (&mut self.identity, &*self.services);
            let mut environment = RelayEnvironment {
                relay,
                table,
                now,
                hedge_delay,
                gathers,
                cover,
                identity,
                services,
            };
            let step = || gather.step(now, event, &mut environment);
            let actions = work::measure(Work::Request, step);
            let stepped = self.timeline.is_some().then(|| relay.ctx.now());
            let finished = work::measure(Work::Request, || self.execute(actions));
            if let (true, Some(timeline)) = (is_start, &mut self.timeline) {
                (timeline.read, timeline.chosen) = (now, stepped);
                timeline.sent = Some(relay.ctx.now());
            }
            let min_coverage = self.route.destination.min_coverage();
            if self.enough.is_none() && gather.coverage().meets(min_coverage) {
                self.enough = Some(now);
                if let Some(timeline) = &mut self.timeline {
                    timeline.enough = Some(now);
                }
            }
            if finished {
                self.record_lateness();
                let short = self.call.body.len() <= TRACKED_BODY_MAX_BYTES;
                return Finished {
                    digest: short.then(|| self.identity.digest()),
                    gather,
                    failure: self.last_failure.take(),
                    attempt_log: std::mem::take(&mut self.attempt_log),
                    timeline: self.timeline.take(),
                };
            }
            next = self.next().await;
        }
    }

    /// Records how late a gather ended that waited for more shards as long as the objective allows.
    fn record_lateness(&self) {
        let late = self.relay.ctx.now().since(self.answer_by);
        let in_time = self.enough.is_some_and(|at| at < self.answer_by);
        if self.gathers() && in_time && late > Span::ZERO {
            self.relay.lateness.lock().record(late, self.route.objective);
        }
    }

    /// Executes the actions; returns whether the query is finished.
    fn execute(&mut self, actions: Vec<Action<Permit>>) -> bool {
        let mut finished = false;
        let mut sends = Vec::new();
        for action in actions {
            match action {
                Action::Send { attempt, shard, target, permit, .. } => {
                    let known = self.known(&target);
                    sends.push(Attempt { id: attempt, shard, to: target, permit, known });
                }
                // The task keeps running, so that its connection can be reused.
                Action::Cancel(id) => drop(self.attempts.take_task(id)),
                Action::Wake(at) => self.wake_at = Some(self.wake_at.map_or(at, |w| w.min(at))),
                Action::Finish => finished = true,
            }
        }
        self.send_all(sends);
        finished
    }

    /// What is known about the request at the service of an endpoint, while any request is known.
    fn known(&mut self, to: &Target) -> Option<Known> {
        let quarantine = &self.relay.quarantine;
        let request = (!quarantine.is_empty())
            .then(|| Fingerprint::at_service(self.identity.digest(), &to.service))?;
        Some((request, quarantine.record(&request)))
    }

    /// Whether the answers of several shards are merged.
    fn gathers(&self) -> bool {
        matches!(self.route.destination, Destination::Gather { .. })
    }

    /// Sends attempts: those of a gather as batches through the hosts that own the endpoints or share
    /// the calls to a zone, the others directly. Even calls that this host could send itself go through
    /// another, since the sends of a large gather take a slow host most of an objective.
    fn send_all(&mut self, attempts: Vec<Attempt>) {
        let groups = self.relay.traffic.groups();
        let mut direct = Vec::new();
        let mut zones: IndexMap<(Records, Arc<str>), Vec<Attempt>> = IndexMap::new();
        for attempt in attempts {
            self.attempt_log.record_sent();
            let sent = &mut self.sent_shards[attempt.shard as usize];
            let first = !std::mem::replace(sent, true);
            self.attempts.set_shard(attempt.id, attempt.shard);
            // A shard must not be in the merged records of two batches, which cannot be separated
            // again.
            let records = if first { Records::Merged } else { Records::Separate };
            if self.gathers() && !(self.batched && !self.responded && !first) {
                let key = (records, attempt.to.zone.clone());
                zones.entry(key).or_default().push(attempt);
            } else {
                direct.push(attempt);
            }
        }
        // Batches go first, so that the other hosts work on them while this one sends its own calls.
        for ((records, zone), attempts) in zones {
            let parts = self.parts(&groups, &zone, attempts.len());
            let mut batches: IndexMap<usize, Vec<Attempt>> = IndexMap::new();
            for attempt in attempts {
                let part = Groups::part(&attempt.to.service, parts);
                batches.entry(part).or_default().push(attempt);
            }
            for (part, attempts) in batches {
                match self.host_for_part(&groups, &zone, (part, parts), &attempts) {
                    Some(host) => self.send_batch(host, attempts, records),
                    None => direct.extend(attempts),
                }
            }
        }
        direct.into_iter().for_each(|attempt| self.send(attempt));
    }

    /// Number of parts that the calls of this gather to a zone are divided into. The few calls of later
    /// attempts are divided like the first ones, so that they meet open connections.
    fn parts(&self, groups: &Groups, zone: &str, calls: usize) -> usize {
        let first = self.cover.calls(zone).min(self.shards_total);
        groups.parts(self.relay.traffic.host(), zone, first.max(calls))
    }

    /// Another host to send one of `parts` of the calls to a zone through, if that is worthwhile.
    fn host_for_part(
        &self,
        groups: &Groups,
        zone: &str,
        (part, parts): (usize, usize),
        attempts: &[Attempt],
    ) -> Option<Arc<str>> {
        let (now, traffic) = (self.relay.ctx.now(), &self.relay.traffic);
        let forwarder = &self.relay.forwarder;
        let few = attempts.len() < BATCH_MIN_CALLS
            && attempts.iter().all(|a| traffic.max_connections(&a.to) > 0);
        if groups.is_divided(zone) {
            let own = attempts.iter().all(|a| groups.owns(traffic.host(), &a.to));
            let owners = attempts.first().map_or(&[][..], |a| groups.owners_of(&a.to));
            return if few && own { None } else { forwarder.choose_owner(now, zone, owners) };
        }
        if few {
            return None;
        }
        if parts > 1 {
            let helpers = groups.helpers(traffic.host(), zone, part);
            return forwarder.choose_first(now, zone, &helpers);
        }
        if *zone == *traffic.zone() { None } else { forwarder.choose_any(now, zone) }
    }

    /// Delay after which an attempt is hedged.
    fn hedge_delay(&self) -> Span {
        self.relay.traffic.hedge_delay(&self.route.name, self.route.objective)
    }

    fn times(&self) -> CallTimes {
        let connect_timeout = Span(self.route.objective.0 / CONNECT_DIVISOR)
            .clamp(CONNECT_TIMEOUT_MIN, CONNECT_TIMEOUT_MAX);
        let max_bytes = if self.gathers() { PART_MAX_BYTES } else { RESPONSE_MAX_BYTES };
        let (start_by, deadline) = (self.deadline, self.deadline);
        let once = self.route.repeat == Idempotency::Once;
        CallTimes { connect_timeout, start_by, deadline, max_bytes, once, own_timer: true }
    }

    /// Sends an attempt directly to its endpoint.
    fn send(&mut self, attempt: Attempt) {
        let Attempt { id, to, permit, known, .. } = attempt;
        let (relay, call) = (Arc::clone(self.relay), Arc::clone(&self.call));
        let endpoint = to.clone();
        let at = relay.ctx.now();
        let times = self.times();
        let route = self.route.name.clone();
        let task: JoinHandle<(Result<EndpointResponse, Refusal>, bool)> =
            tokio::spawn(async move {
                // At least one, since a request may be sent even if the share is zero.
                let connections = relay.traffic.max_connections(&to).max(1);
                let sent = relay.pools.send(&relay, &call, &to, connections, times);
                let result = sent.await;
                let now = relay.ctx.now();
                relay.traffic.record_end(now, &route, &to, result.as_ref().err(), now.since(at));
                drop(permit);
                if !result.as_ref().is_err_and(Refusal::suggests_death) {
                    relay.record_run(&call, &to, known, RunEnd::new(&result, false));
                    return (result, false);
                }
                // Goes on if the request ends in the meantime.
                let check = tokio::spawn(async move {
                    let died = relay.has_died(&to, &result).await;
                    relay.record_run(&call, &to, known, RunEnd::new(&result, died));
                    (result, died)
                });
                let stopped = |_| {
                    (Err(Refusal::may_have_run(Reason::Internal, "the check was stopped")), false)
                };
                check.await.unwrap_or_else(stopped)
            });
        self.attempts.set_task(id, task.abort_handle());
        self.pending.push(Box::pin(async move {
            let aborted =
                |_| (Err(Refusal::may_have_run(Reason::Internal, "the call was stopped")), false);
            let (result, died) = task.await.unwrap_or_else(aborted);
            let (merged, batched) = (false, false);
            (vec![EndedAttempt { id, to: endpoint, result, merged, batched, died }], None)
        }));
    }

    /// Sends attempts as a batch through another host.
    fn send_batch(&mut self, host: Arc<str>, attempts: Vec<Attempt>, records: Records) {
        let relay = Arc::clone(self.relay);
        let top = match &self.route.destination {
            Destination::Gather { top, .. } => *top,
            Destination::Split(_) => 0,
        };
        let hedge_delay = self.hedge_delay();
        let flush = FlushTimes::new(relay.ctx.now(), self.answer_by, hedge_delay);
        let batch = Batch {
            call: &self.call,
            to: attempts.iter().map(|a| &a.to).collect(),
            top,
            records,
            times: self.times(),
            flush,
        };
        let pending = relay.forwarder.send(host, &batch);
        let (tx, rx) = mpsc::unbounded_channel();
        let ids: Vec<AttemptId> = attempts.iter().map(|a| a.id).collect();
        self.batched = true;
        let (route, call) = (self.route.name.clone(), Arc::clone(&self.call));
        let until = tokio::time::Instant::from_std(self.deadline);
        // A host that is merely late must not be left for one that has no open connection.
        let response_timeout = Span(flush.first.0 + hedge_delay.0).max(RESPONSE_WAIT_MIN);
        let task = tokio::spawn(async move {
            let receive = receive_batch(
                &relay,
                pending,
                attempts,
                (&route, &call),
                records,
                response_timeout,
                &tx,
            );
            // After the deadline the caller no longer waits for an answer.
            let _ = tokio::time::timeout_at(until, receive).await;
        });
        ids.into_iter().for_each(|id| self.attempts.set_task(id, task.abort_handle()));
        self.pending.push(BatchStream(rx).next());
    }

    /// Waits until attempts end or the timer of the query fires.
    async fn next(&mut self) -> Step {
        let now = self.relay.ctx.now();
        let wait = self.wake_at.map_or(Span::ZERO, |at| at.since(now));
        let is_due = wait <= STOP_CHECK_INTERVAL;
        let wait = wait.min(STOP_CHECK_INTERVAL);
        let mut timer = std::pin::pin!(tokio::time::sleep(wait.to_std()));
        loop {
            tokio::select! {
                biased;
                Some((ended, rest)) = self.pending.next() => {
                    if let Some(batch) = rest {
                        self.pending.push(batch.next());
                    }
                    if !ended.is_empty() {
                        return self.handle_ends(ended);
                    }
                }
                () = &mut timer => {
                    if is_due {
                        if let Some(timeline) = &mut self.timeline {
                            timeline.timer = self.wake_at;
                        }
                        self.wake_at = None;
                    }
                    return Event::Wake.into();
                }
            }
        }
    }

    fn handle_ends(&mut self, list: Vec<EndedAttempt>) -> Step {
        if let Some(timeline) = &mut self.timeline {
            timeline.first.get_or_insert(self.relay.ctx.now());
            timeline.messages += 1;
            timeline.ended += list.len() as u32;
        }
        let mut replacements = Vec::new();
        let mut done = Vec::new();
        for ended in list {
            self.responded |= ended.batched;
            let wanted = self.attempts.take_task(ended.id).is_some();
            match (self.attempts.shard(ended.id), ended) {
                (Some(shard), EndedAttempt { result: Ok(part), merged: true, .. }) if !wanted => {
                    replacements.push((shard, part));
                }
                (_, ended) => done.push(self.handle_end(ended)),
            }
        }
        Step { event: Event::DoneBatch(done), replacements }
    }

    fn handle_end(
        &mut self,
        ended: EndedAttempt,
    ) -> (AttemptId, Result<EndpointResponse, Refusal>) {
        let EndedAttempt { id, to, result, died, .. } = ended;
        let result = match result {
            Ok(part) if !part.status.is_success() => {
                let detail = format!("the endpoint answered {}", part.status);
                self.last_failure = Some(part);
                Err(Refusal::may_have_run(Reason::Internal, detail))
            }
            other => other,
        };
        if let Err(refusal) = &result {
            self.attempt_log.record_failure(&to, refusal, self.relay.ctx.now().since(self.started));
        }
        // The endpoint has closed the connection and is still there, which says nothing against the
        // request.
        let result = result.map_err(|refusal| match refusal.suggests_death() && !died {
            true => Refusal { reason: Reason::Internal, ..refusal },
            false => refusal,
        });
        (id, result)
    }
}

impl Drop for Driver<'_> {
    fn drop(&mut self) {
        // If the caller has disconnected, attempts may still run; aborting them closes their
        // connections, which stops the endpoints' work.
        self.attempts.abort_all();
        self.identity.suspect_runs.iter().for_each(|run| self.relay.quarantine.end_run(run));
    }
}

/// Attempt results of a batch, as they arrive.
struct BatchStream(mpsc::UnboundedReceiver<Vec<EndedAttempt>>);

impl BatchStream {
    fn next<'a>(mut self) -> BoxFuture<'a, (Vec<EndedAttempt>, Option<Self>)> {
        Box::pin(async move {
            match self.0.recv().await {
                Some(ended) => (ended, Some(self)),
                None => (Vec::new(), None),
            }
        })
    }
}

/// Receives the results of a batch, records them in the traffic state and passes them on. If none
/// arrives within `response_timeout`, the host that relays the batch is avoided for a while. The
/// batch belongs to a route, given by its name, and a call.
async fn receive_batch(
    relay: &Relay,
    mut batch: PendingBatch,
    attempts: Vec<Attempt>,
    (route, call): (&Arc<str>, &Call),
    records: Records,
    response_timeout: Span,
    tx: &mpsc::UnboundedSender<Vec<EndedAttempt>>,
) {
    let mut attempts: Vec<Option<Attempt>> = attempts.into_iter().map(Some).collect();
    let request = call.meta.id.to_str().unwrap_or_default();
    let mut responded = false;
    while batch.remaining > 0 {
        let results = match tokio::time::timeout(response_timeout.to_std(), batch.next()).await {
            Ok(results) => results,
            Err(_) if responded => batch.next().await,
            Err(_) => {
                relay.forwarder.avoid(relay.ctx.now(), batch.host());
                batch.next().await
            }
        };
        responded = true;
        let now = relay.ctx.now();
        let mut list = Vec::new();
        for BatchResult { index, result, time, notice, died } in results {
            let Some(Attempt { id, to, known, .. }) =
                attempts.get_mut(index).and_then(Option::take)
            else {
                continue;
            };
            relay.traffic.record_notice(now, request, &to, notice);
            relay.traffic.record_end(now, route, &to, result.as_ref().err(), time);
            if died {
                relay.traffic.record_endpoint_end(now, &to);
            }
            relay.record_run(call, &to, known, RunEnd::new(&result, died));
            let merged = records == Records::Merged;
            list.push(EndedAttempt { id, to, result, merged, batched: true, died });
        }
        // The receiver is gone if the request has ended in the meantime.
        let _ = tx.send(list);
    }
}
