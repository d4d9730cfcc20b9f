//! Sends calls to several endpoints as one message through another host: one that owns the
//! connections to them, or any host of their availability zone if its hosts are not divided (see
//! [`groups`](crate::core::relay::groups)).
//!
//! The host that received the request makes all decisions: on endpoints, hedges, retries and
//! budgets. The remote host sends the call to the given endpoints over its own connections and
//! merges the records of their responses, so that the single responses cause no traffic between
//! zones. It returns the results that it has after a given time, and later ones at short intervals.
//! Messages may be lost; the calls then stay open, and the request hedges them like any others.

use super::Relay;
use super::pools::{CallTimes, PART_MAX_BYTES};
use super::protocol::{Call, EndpointResponse, RequestMeta};
use crate::core::digest;
use crate::core::endpoint::EndpointKey;
use crate::core::member::{Health, Member, MemberChanges};
use crate::core::message::{Topic, decode, encode};
use crate::core::peers::clock::Age;
use crate::core::peers::{Role, TimedMessage};
use crate::core::records;
use crate::core::relay::flush::Flush;
use crate::core::relay::notices::Notice;
use crate::core::relay::remote::{
    BATCHES_MAX, BatchTimes, NotStarted, RemoteBatches, START_WITHIN,
};
use crate::core::relay::timing::FlushTimes;
use crate::core::routes::Target;
use crate::prelude::*;
use crate::services::{Handler, Peers};
use crate::util::work::{self, Work};
use bytes::Bytes;
use futures::stream::{FuturesUnordered, StreamExt as _};
use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// Minimum number of calls in a batch; with fewer, the batch causes as much traffic between zones as
/// direct calls.
pub const BATCH_MIN_CALLS: usize = 3;
/// Maximum number of calls in a batch.
const BATCH_MAX_CALLS: usize = 1_024;
/// Number of hosts of an undivided zone that this host sends batches through, in turn; few, so that
/// the connections to them stay in use.
const RELAYS_PER_ZONE: usize = 2;
/// Time for which no batches are sent through a host that did not respond; it doubles each time, up to
/// the maximum, until the host responds.
const AVOID_TIME: Span = Span::secs(2);
/// Maximum of the time for which a host is avoided.
const AVOID_TIME_MAX: Span = Span::secs(16);
/// Time for which a cancellation is sent again if its connection ends, and no longer than the batch may run.
const CANCEL_AGAIN: Span = Span::secs(5);

/// Endpoint to call: name, service, address, connections that it accepts.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Callee(Arc<str>, Arc<str>, SocketAddr, u32);

/// Result of a call: its index in the batch, the endpoint's signature or a refusal, and the time in
/// microseconds that the endpoint took.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct CallResult(u32, Result<Option<serde_bytes::ByteBuf>, Refusal>, u64);

/// What the endpoint of a call said about further requests: the call's index in the batch, whether
/// the endpoint is leaving, and the microseconds for which it wants none.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct CalleeNotice(u32, bool, Option<u64>);

#[derive(Clone, Debug, Serialize, Deserialize)]
enum Message {
    /// Requests a batch of calls.
    Ask(Box<BatchRequest>),
    /// Some of the results of a batch.
    Parts {
        /// Number of the batch, given by the host that requested it.
        number: u64,
        /// Results of the calls.
        answered: Vec<CallResult>,
        /// Highest-ranked records, merged from the successful responses.
        #[serde(with = "serde_bytes")]
        records: Vec<u8>,
        /// What the endpoints said about further requests.
        #[serde(default)]
        notices: Vec<CalleeNotice>,
        /// Instead of `records`: those of each successful response, in the order of the results.
        #[serde(default)]
        separate: Vec<serde_bytes::ByteBuf>,
        /// Indices of the calls whose endpoints ended while they ran them.
        #[serde(default)]
        died: Vec<u32>,
    },
    /// Cancels the batch of this number.
    Stop(u64),
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct BatchRequest {
    number: u64,
    method: String,
    uri: String,
    headers: Vec<(String, serde_bytes::ByteBuf)>,
    #[serde(with = "serde_bytes")]
    body: Vec<u8>,
    id: serde_bytes::ByteBuf,
    to: Vec<Callee>,
    /// Incarnation of each endpoint; older releases omit the field.
    #[serde(default)]
    incarnations: Vec<u64>,
    /// Maximum number of merged records.
    top: u32,
    /// In microseconds: time left for the batch, connect timeout, time until the first results are
    /// returned.
    times: (u64, u64, u64),
    /// Whether the records of each endpoint are returned by themselves; older releases omit the field.
    #[serde(default)]
    separate: bool,
    /// Microseconds until which results can meet the objective; older releases omit the field.
    #[serde(default)]
    useful: u64,
}

/// How the records of a batch are returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Records {
    /// Merged, as few as possible; they cannot be separated by endpoint again.
    Merged,
    /// Those of each endpoint by themselves.
    Separate,
}

/// Calls to be sent through another host in one message.
pub struct Batch<'a> {
    /// Call to send to each endpoint.
    pub call: &'a Call,
    /// Endpoints to call.
    pub to: Vec<&'a Target>,
    /// Maximum number of records, merged or of one endpoint.
    pub top: u32,
    /// How the records are returned.
    pub records: Records,
    /// Time limits of the calls.
    pub times: CallTimes,
    /// When the remote host returns results.
    pub flush: FlushTimes,
}

/// Result of one call of a batch.
pub struct BatchResult {
    /// Index of the call in the batch.
    pub index: usize,
    /// Response, or the reason why there is none. Of the responses in one message with merged records,
    /// the first holds those of all.
    pub result: Result<EndpointResponse, Refusal>,
    /// Time until the call ended, measured by the remote host.
    pub time: Span,
    /// What the endpoint said about further requests.
    pub notice: Notice,
    /// Whether the endpoint ended while it ran the call.
    pub died: bool,
}

/// Results of a batch, as they arrive in one message.
struct Parts {
    answered: Vec<CallResult>,
    records: Bytes,
    separate: Vec<Bytes>,
    notices: Vec<CalleeNotice>,
    died: Vec<u32>,
}

/// A call that has ended: its index in the batch, its result, how long it took, and whether its
/// endpoint ended.
type EndedCall = (usize, Result<EndpointResponse, Refusal>, Span, bool);

#[derive(Default)]
struct State {
    /// Hosts to send batches through, by zone, in the order of preference of this host, after their ranks.
    hosts: IndexMap<Arc<str>, Vec<(u64, Arc<str>)>>,
    /// Hosts to send no batches through: until when, and for how long when they last did not respond.
    avoided: IndexMap<Arc<str>, (Time, Span)>,
    /// Channels for the results of this host's batches, by number.
    local_batches: IndexMap<u64, (Records, mpsc::UnboundedSender<Vec<BatchResult>>)>,
    /// Batches of other hosts.
    remote_batches: RemoteBatches<AbortHandle>,
}

impl State {
    fn is_avoided(&self, now: Time, host: &Arc<str>) -> bool {
        self.avoided.get(host).is_some_and(|(until, _)| now < *until)
    }
}

/// Sends batches through other hosts, and tracks those that other hosts send through this one.
pub struct Forwarder {
    peers: Arc<dyn Peers>,
    next_number: AtomicU64,
    state: Mutex<State>,
}

/// A batch in progress; dropping it before all results have arrived cancels it.
pub struct PendingBatch {
    forwarder: Arc<Forwarder>,
    host: Arc<str>,
    number: u64,
    deadline: Instant,
    /// Number of results that have not arrived.
    pub remaining: usize,
    results: mpsc::UnboundedReceiver<Vec<BatchResult>>,
}

impl PendingBatch {
    /// Host that the batch was sent through.
    pub fn host(&self) -> &Arc<str> {
        &self.host
    }

    /// Waits for the next results.
    pub async fn next(&mut self) -> Vec<BatchResult> {
        let results = self.results.recv().await.unwrap_or_default();
        self.remaining = self.remaining.saturating_sub(results.len());
        results
    }
}

impl Drop for PendingBatch {
    fn drop(&mut self) {
        self.forwarder.state.lock().local_batches.swap_remove(&self.number);
        if self.remaining > 0 {
            let body = encode(&Message::Stop(self.number));
            let useful = time_until(self.deadline).min(CANCEL_AGAIN);
            let stop = TimedMessage { body, useful, role: Role::Cancel(self.number) };
            self.forwarder.peers.send_timed(&self.host, Topic::Relay, stop);
        }
    }
}

impl Forwarder {
    /// Creates a forwarder that knows no other host yet.
    pub fn new(peers: Arc<dyn Peers>) -> Self {
        // Drawn at random: results may arrive late of a batch that an earlier process has sent.
        let next_number = AtomicU64::new(rand::random::<u64>() / 2);
        Self { peers, next_number, state: Mutex::default() }
    }

    /// Applies the hosts that have changed; those that are alive relay requests. Ignores this host.
    pub fn update_hosts(&self, changes: &MemberChanges) {
        let own = self.peers.host();
        let mut s = self.state.lock();
        let s = &mut *s;
        for Member { host, zone, health, .. } in changes.members.iter().chain(&changes.gone) {
            let rank = (digest::hash(&[own, host]), host.clone());
            for (of, list) in &mut s.hosts {
                let stays = of == zone && *health == Health::Alive;
                if let (false, Ok(at)) = (stays, list.binary_search_by(|known| rank.cmp(known))) {
                    list.remove(at);
                    s.avoided.swap_remove(host);
                }
            }
            if *health != Health::Alive || **host == *own {
                continue;
            }
            let list = s.hosts.entry(zone.clone()).or_default();
            if let Err(at) = list.binary_search_by(|known| rank.cmp(known)) {
                list.insert(at, rank);
            }
        }
    }

    /// Chooses one of the `owners` of endpoints in a divided zone to send a batch through: the first in
    /// this host's order of preference, so that the connections to few hosts stay in use.
    pub fn choose_owner(&self, now: Time, zone: &str, owners: &[Arc<str>]) -> Option<Arc<str>> {
        let s = self.state.lock();
        let preferred = s.hosts.get(zone)?.iter().map(|(_, h)| h).filter(|h| owners.contains(h));
        preferred.take(RELAYS_PER_ZONE).find(|h| !s.is_avoided(now, h)).cloned()
    }

    /// Chooses a host to send a batch through that may be any of an undivided zone; two take turns.
    pub fn choose_any(&self, now: Time, zone: &str) -> Option<Arc<str>> {
        let s = self.state.lock();
        let preferred = s.hosts.get(zone)?.iter().map(|(_, h)| h).take(RELAYS_PER_ZONE);
        let usable: Vec<_> = preferred.filter(|h| !s.is_avoided(now, h)).collect();
        let number = self.next_number.load(Ordering::Relaxed) as usize;
        usable.get(number % usable.len().max(1)).map(|h| Arc::clone(h))
    }

    /// Chooses the first usable one of `ranked` to send a part of the calls to an undivided zone through.
    pub fn choose_first(&self, now: Time, zone: &str, ranked: &[Arc<str>]) -> Option<Arc<str>> {
        let s = self.state.lock();
        let alive = s.hosts.get(zone)?;
        let is_alive = |h: &Arc<str>| alive.iter().any(|(_, host)| host == h);
        ranked.iter().find(|h| is_alive(h) && !s.is_avoided(now, h)).cloned()
    }

    /// Sends no batches through a host for a while.
    pub fn avoid(&self, now: Time, host: &Arc<str>) {
        let mut s = self.state.lock();
        if s.is_avoided(now, host) {
            return;
        }
        let last = s.avoided.get(host).map_or(Span::ZERO, |(_, span)| *span);
        let span = Span(last.0 * 2).clamp(AVOID_TIME, AVOID_TIME_MAX);
        s.avoided.insert(host.clone(), (now + span, span));
    }

    /// Keeps the connection to a host open.
    pub fn keep_alive(&self, host: &str) {
        self.peers.keep_connected(host);
    }

    /// Sends a batch through a host.
    pub fn send(self: &Arc<Self>, host: Arc<str>, batch: &Batch<'_>) -> PendingBatch {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (tx, results) = mpsc::unbounded_channel();
        self.state.lock().local_batches.insert(number, (batch.records, tx));
        let deadline = batch.times.deadline;
        let body = encode(&Message::Ask(Box::new(batch.request(number))));
        let useful = time_until(deadline).min(START_WITHIN);
        let message = TimedMessage { body, useful, role: Role::Work(number) };
        self.peers.send_timed(&host, Topic::Relay, message);
        PendingBatch {
            forwarder: Arc::clone(self),
            host,
            number,
            deadline,
            remaining: batch.to.len(),
            results,
        }
    }

    /// Passes results on to the request that waits for them.
    fn deliver(&self, number: u64, parts: Parts) {
        let Parts { answered, records: merged, separate, notices, died } = parts;
        let Some((wanted, tx)) = self.state.lock().local_batches.get(&number).cloned() else {
            return;
        };
        let notices: IndexMap<u32, Notice> = notices
            .into_iter()
            .map(|CalleeNotice(index, leaving, quiet)| {
                (index, Notice { leaving, quiet: quiet.map(Span::micros) })
            })
            .collect();
        let successes = answered.iter().filter(|r| r.1.is_ok()).count();
        let mut records = match wanted {
            Records::Merged => vec![merged],
            // An older release has merged them; of a single response they are its own.
            Records::Separate if separate.is_empty() && successes == 1 => vec![merged],
            Records::Separate => separate,
        }
        .into_iter();
        let unusable = wanted == Records::Separate && records.len() != successes;
        let list = answered.into_iter().map(|CallResult(index, result, time)| {
            let result = match result {
                Ok(_) if unusable => {
                    let detail = "the records of several shards came merged";
                    Err(Refusal::may_have_run(Reason::Internal, detail))
                }
                Ok(signature) => Ok(EndpointResponse {
                    status: StatusCode::OK,
                    headers: HeaderMap::new(),
                    body: records.next().unwrap_or_default(),
                    signature: signature.and_then(|s| HeaderValue::from_bytes(&s).ok()),
                    memory: None,
                }),
                Err(refusal) => Err(refusal),
            };
            let notice = notices.get(&index).copied().unwrap_or_default();
            let died = died.contains(&index);
            BatchResult { index: index as usize, result, time: Span::micros(time), notice, died }
        });
        // The receiver is gone if the request has ended in the meantime.
        let _ = tx.send(list.collect());
    }
}

fn time_until(at: Instant) -> Span {
    at.saturating_duration_since(Instant::now()).into()
}

impl Batch<'_> {
    fn request(&self, number: u64) -> BatchRequest {
        let Call { method, uri, headers, body, meta } = self.call;
        let headers = headers.iter();
        let left = time_until(self.times.deadline);
        BatchRequest {
            number,
            method: method.to_string(),
            uri: uri.to_string(),
            headers: headers.map(|(n, v)| (n.to_string(), v.as_bytes().to_vec().into())).collect(),
            body: body.to_vec(),
            id: meta.id.as_bytes().to_vec().into(),
            to: self
                .to
                .iter()
                .map(|t| Callee(t.name.clone(), t.service.clone(), t.address, t.connections))
                .collect(),
            incarnations: self.to.iter().map(|t| t.incarnation).collect(),
            top: self.top,
            times: (left.0, self.times.connect_timeout.0, self.flush.first.0),
            separate: self.records == Records::Separate,
            useful: self.flush.useful.0,
        }
    }
}

impl BatchRequest {
    fn call(&self) -> Result<Call> {
        let mut headers = HeaderMap::new();
        for (name, value) in &self.headers {
            headers.append(HeaderName::try_from(name)?, HeaderValue::from_bytes(value)?);
        }
        Ok(Call {
            method: self.method.parse()?,
            uri: self.uri.parse()?,
            headers,
            body: self.body.clone().into(),
            meta: RequestMeta { id: HeaderValue::from_bytes(&self.id)?, timeout: None },
        })
    }
}

impl Handler for Relay {
    fn receive(&self, from: &str, body: &[u8]) {
        self.receive_timed(from, Age::default(), body);
    }

    fn receive_timed(&self, from: &str, age: Age, body: &[u8]) {
        work::measure(Work::Relay, || self.handle_message(from, age, body));
    }
}

impl Relay {
    fn handle_message(&self, from: &str, age: Age, body: &[u8]) {
        match decode(body) {
            Ok(Message::Ask(request)) => self.start_remote_batch(from.into(), *request, age),
            Ok(Message::Parts { number, answered, records, notices, separate, died }) => {
                self.forwarder.state.lock().avoided.swap_remove(from);
                let records = records.into();
                let separate = separate.into_iter().map(|r| r.into_vec().into()).collect();
                let parts = Parts { answered, records, separate, notices, died };
                self.forwarder.deliver(number, parts);
            }
            Ok(Message::Stop(number)) => {
                let (now, key) = (self.ctx.now(), (from.into(), number));
                if let Some(task) = self.forwarder.state.lock().remote_batches.cancel(now, key) {
                    task.abort();
                }
            }
            Err(e) => log::warn!("ignored a malformed relay message from host `{from}`: {e}"),
        }
    }

    /// Starts a task for a batch of this age that another host has sent.
    fn start_remote_batch(&self, from: Arc<str>, request: BatchRequest, age: Age) {
        let Some(relay) = self.weak.upgrade() else { return };
        let key = (from.clone(), request.number);
        let mut state = self.forwarder.state.lock();
        let left = Span(request.times.0);
        let times = match state.remote_batches.admit(self.ctx.now(), &key, left, age) {
            Ok(times) if request.to.len() <= BATCH_MAX_CALLS => times,
            Ok(_) | Err(NotStarted::TooMany) => {
                return log::warn!(
                    "dropped a batch of {} calls from host `{from}`, which may hedge them: more than \
                     {BATCH_MAX_CALLS} calls, or {BATCHES_MAX} batches in progress",
                    request.to.len()
                );
            }
            Err(cause) => {
                return log::debug!(
                    event = "batch-not-started", from = *from, calls = request.to.len(),
                    least_us = age.least.0, most_us = age.most.0;
                    "did not start a batch of host `{from}`: {cause:?}"
                );
            }
        };
        let done = key.clone();
        let task = tokio::spawn(async move {
            if let Err(e) = relay.run_remote_batch(&from, request, times, age).await {
                log::warn!(
                    "dropped a batch of calls from host `{from}`, which may hedge them: \
                     could not decode the caller's request: {e:#}"
                );
            }
            relay.forwarder.state.lock().remote_batches.record_end(&done);
        });
        // The task cannot remove the entry before it is inserted, since the lock is held here.
        state.remote_batches.record_start(key, task.abort_handle());
    }

    async fn run_remote_batch(
        &self,
        from: &Arc<str>,
        request: BatchRequest,
        batch: BatchTimes,
        age: Age,
    ) -> Result<()> {
        let started = self.ctx.now();
        let mut timeline = self.timelines.batch(started, from, request.to.len());
        let call = &request.call()?;
        let (_, connect, first) = request.times;
        let arrived = Instant::now();
        let flush =
            FlushTimes { first: Span(first), useful: Span(request.useful) }.after(age.least);
        let times = CallTimes {
            connect_timeout: Span(connect),
            start_by: arrived + batch.start_within.to_std(),
            deadline: arrived + batch.left.to_std(),
            max_bytes: PART_MAX_BYTES,
            // Only gathers come in batches, and they may run again.
            once: false,
            own_timer: false,
        };
        // Ends all calls that are still open.
        let mut deadline = std::pin::pin!(tokio::time::sleep_until(times.deadline.into()));
        let targets = request.targets(self.traffic.zone());
        let calls = targets.iter().enumerate().map(|(index, target)| async move {
            let connections = self.traffic.max_connections(target).max(1);
            let result = self.pools.send(self, call, target, connections, times).await;
            let time = self.ctx.now().since(started);
            let died = self.has_died(target, &result).await;
            (index, result, time, died)
        });
        let mut calls: FuturesUnordered<_> = calls.collect();
        let mut flush = Flush::new(started, targets.len(), flush);
        let mut timer = std::pin::pin!(tokio::time::sleep(Span::ZERO.to_std()));
        let mut results = Vec::new();
        loop {
            let due = flush.due();
            if let Some(at) = due {
                let at = tokio::time::Instant::now() + at.since(self.ctx.now()).to_std();
                // The timer is left alone if it is early enough; most ends of calls make it due later.
                if timer.is_elapsed() || at < timer.deadline() {
                    timer.as_mut().reset(at);
                }
            }
            tokio::select! {
                biased;
                ended = calls.next() => {
                    // Without calls, the batch asks for nothing.
                    let Some(ended) = ended else { return Ok(()) };
                    results.push(ended);
                    let now = self.ctx.now();
                    flush.record_end(now);
                    if let Some(timeline) = &mut timeline {
                        timeline.record_end(now);
                    }
                    if !flush.is_finished() {
                        continue;
                    }
                }
                () = &mut timer, if due.is_some() => {
                    if due.is_some_and(|at| at > self.ctx.now()) {
                        continue;
                    }
                }
                () = &mut deadline => return Ok(()),
            }
            let now = self.ctx.now();
            if let Some(timeline) = &mut timeline {
                timeline.record_message(now, results.len());
            }
            flush.record_message(now);
            self.send_results(from, &request, &targets, times.deadline, &mut results);
            if flush.is_finished() {
                return Ok(());
            }
        }
    }

    /// Returns the results so far to the host that sent the batch, and clears them.
    fn send_results(
        &self,
        to: &str,
        request: &BatchRequest,
        targets: &[Target],
        deadline: Instant,
        results: &mut Vec<EndedCall>,
    ) {
        if results.is_empty() {
            return;
        }
        let now = self.ctx.now();
        let notices = results.iter().filter_map(|(index, ..)| {
            let notice = self.traffic.notice(now, targets.get(*index)?);
            let Notice { leaving, quiet } = notice;
            let said = leaving || quiet.is_some();
            said.then(|| CalleeNotice(*index as u32, leaving, quiet.map(|span| span.0)))
        });
        let notices = notices.collect();
        let died = results.iter().filter(|(.., died)| *died).map(|(index, ..)| *index as u32);
        let died = died.collect();
        let mut bodies = Vec::new();
        let answered = results.drain(..).map(|(index, result, time, _)| {
            let result = match result {
                Ok(part) if part.status.is_success() => {
                    bodies.push(part.body);
                    Ok(part.signature.map(|s| s.as_bytes().to_vec().into()))
                }
                Ok(part) => {
                    let detail = format!("the endpoint answered {}", part.status);
                    Err(Refusal::may_have_run(Reason::Internal, detail))
                }
                Err(refusal) => Err(refusal),
            };
            CallResult(index as u32, result, time.0)
        });
        let answered = answered.collect();
        let top = request.top as usize;
        let (mut records, mut separate) = (Vec::new(), Vec::new());
        if request.separate {
            let merge = |b: Bytes| records::merge(std::iter::once(&b[..]), top).to_vec().into();
            separate = bodies.into_iter().map(merge).collect();
        } else {
            records = records::merge(bodies.iter().map(|b| &b[..]), top).to_vec();
        }
        let number = request.number;
        let message = Message::Parts { number, answered, records, notices, separate, died };
        let (body, useful) = (encode(&message), time_until(deadline));
        let message = TimedMessage { body, useful, role: Role::Reply };
        self.forwarder.peers.send_timed(to, Topic::Relay, message);
    }
}

impl BatchRequest {
    /// Endpoints of the calls, which are in the given zone.
    fn targets(&self, zone: &str) -> Vec<Target> {
        let incarnations = self.incarnations.iter().copied().chain(std::iter::repeat(0));
        self.to.iter().zip(incarnations).map(|(to, of)| to.target(zone, of)).collect()
    }
}

impl Callee {
    fn target(&self, zone: &str, incarnation: u64) -> Target {
        let Self(name, service, address, connections) = self.clone();
        Target {
            key: EndpointKey::default(),
            name,
            service,
            zone: zone.into(),
            address,
            incarnation,
            allowed: connections,
            bearable: connections,
            connections,
            cold: false,
        }
    }
}
