//! Calls to several endpoints of another zone, sent as one message through a host there.
//!
//! The host that took the request decides all: which endpoints, hedges, retries, budgets. The
//! other one only sends the call to the endpoints named, over its own connections, and merges
//! what they answer: the bytes of the parts stay within the zone. It answers with what it has at
//! a given time and sends each later part as it comes. Messages may be lost; then the calls stay
//! open, and the request hedges them like any others.

use super::Relay;
use super::links::Times;
use super::protocol::{Call, EndpointResponse, RequestMeta};
use crate::core::digest;
use crate::core::endpoint::EndpointKey;
use crate::core::message::{Topic, decode, encode};
use crate::core::records;
use crate::core::routes::Target;
use crate::prelude::*;
use crate::services::{Handler, Peers};
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

/// Fewest calls to one zone that go through a host there: for fewer the message costs as many bytes.
pub const BUNDLE_MIN: usize = 3;
/// Most calls in one message.
const CALLS_MAX: usize = 1_024;
/// Hosts of a zone that one host sends through in turn, so that connections to them stay open.
const THROUGH: usize = 2;
/// Time for which a host that kept silent is not sent through.
const AVOID: Span = Span::secs(2);
/// Most messages of other hosts in work at once.
const ERRANDS_MAX: usize = 4_096;

/// An endpoint to call: name, service, address and the connections that it accepts.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct To(Arc<str>, Arc<str>, SocketAddr, u32);

/// What an endpoint answered: its signature, or why there is no part; and the time it took in
/// microseconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Answered(u32, Result<Option<serde_bytes::ByteBuf>, Refusal>, u64);

#[derive(Clone, Debug, Serialize, Deserialize)]
enum Message {
    /// Asks for calls.
    Ask(Box<Ask>),
    /// Some of the answers, and the merged records of those that are parts.
    Parts {
        /// The sender's number of the message that asked.
        number: u64,
        /// The answers.
        answered: Vec<Answered>,
        /// The greatest records of the parts.
        #[serde(with = "serde_bytes")]
        records: Vec<u8>,
    },
    /// The answers are not wanted any more.
    Stop(u64),
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Ask {
    number: u64,
    method: String,
    uri: String,
    headers: Vec<(String, serde_bytes::ByteBuf)>,
    #[serde(with = "serde_bytes")]
    body: Vec<u8>,
    id: serde_bytes::ByteBuf,
    to: Vec<To>,
    /// Most records of a part.
    top: u32,
    /// Time left, to set up a connection, and after which the first parts are answered, in
    /// microseconds.
    times: (u64, u64, u64),
}

/// Calls that are asked for in one message.
pub struct Bundle<'a> {
    /// The request.
    pub call: &'a Call,
    /// The endpoints.
    pub to: Vec<&'a Target>,
    /// Most records of an answer.
    pub top: u32,
    /// When the answers are of no use any more, and for how long connections are set up.
    pub times: Times,
    /// Time after which the first parts are answered.
    pub flush: Span,
}

/// What came for one call of a bundle.
pub struct Came {
    /// Its place in the bundle.
    pub place: usize,
    /// The part, or why there is none. The merged records of all parts that come together stand in
    /// the first of them.
    pub result: Result<EndpointResponse, Refusal>,
    /// Time that the endpoint took.
    pub time: Span,
}

#[derive(Default)]
struct State {
    /// Hosts of each zone that relay requests.
    hosts: IndexMap<Arc<str>, Vec<Arc<str>>>,
    avoided: IndexMap<Arc<str>, Time>,
    open: IndexMap<u64, mpsc::UnboundedSender<Vec<Came>>>,
    /// Messages of other hosts in work, by host and number.
    errands: IndexMap<(Arc<str>, u64), AbortHandle>,
}

/// Sends bundles, and carries out those of other hosts.
pub struct Forward {
    peers: Arc<dyn Peers>,
    next: AtomicU64,
    state: Mutex<State>,
}

/// A bundle on its way; dropped before all has come, it is called off.
pub struct Ticket {
    forward: Arc<Forward>,
    host: Arc<str>,
    number: u64,
    /// Answers that have not come.
    pub left: usize,
    came: mpsc::UnboundedReceiver<Vec<Came>>,
}

impl Ticket {
    /// The host that it went through.
    pub fn host(&self) -> &Arc<str> {
        &self.host
    }

    /// Waits for some of the answers.
    pub async fn next(&mut self) -> Vec<Came> {
        let came = self.came.recv().await.unwrap_or_default();
        self.left = self.left.saturating_sub(came.len());
        came
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.forward.state.lock().open.swap_remove(&self.number);
        if self.left > 0 {
            let stop = encode(&Message::Stop(self.number));
            self.forward.peers.send(&self.host, Topic::Relay, stop);
        }
    }
}

impl Forward {
    /// A forwarder that knows no other host yet.
    pub fn new(peers: Arc<dyn Peers>) -> Self {
        Self { peers, next: AtomicU64::new(0), state: Mutex::default() }
    }

    /// Sets the other hosts that relay requests, with their zones.
    pub fn set_hosts(&self, hosts: impl Iterator<Item = (Arc<str>, Arc<str>)>) {
        let mut zones: IndexMap<_, Vec<_>> = IndexMap::new();
        for (host, zone) in hosts.filter(|(host, _)| **host != *self.peers.host()) {
            zones.entry(zone).or_default().push(host);
        }
        for list in zones.values_mut() {
            let ranked = digest::rank(self.peers.host(), list.iter().map(|h| &**h));
            *list = ranked.into_iter().take(THROUGH).map(Arc::from).collect();
        }
        self.state.lock().hosts = zones;
    }

    /// A host of a zone to send through.
    pub fn choose(&self, now: Time, zone: &str) -> Option<Arc<str>> {
        let s = self.state.lock();
        let avoided = |h: &Arc<str>| s.avoided.get(h).is_some_and(|until| now < *until);
        let free: Vec<_> = s.hosts.get(zone)?.iter().filter(|h| !avoided(h)).collect();
        let turn = self.next.load(Ordering::Relaxed) as usize;
        free.get(turn % free.len().max(1)).map(|h| Arc::clone(h))
    }

    /// Sends through other hosts than this one for a while.
    pub fn avoid(&self, now: Time, host: &Arc<str>) {
        self.state.lock().avoided.insert(host.clone(), now + AVOID);
    }

    /// Sends a bundle through a host.
    pub fn send(self: &Arc<Self>, host: Arc<str>, bundle: &Bundle<'_>) -> Ticket {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let (tx, came) = mpsc::unbounded_channel();
        self.state.lock().open.insert(number, tx);
        let message = encode(&Message::Ask(Box::new(bundle.ask(number))));
        self.peers.send(&host, Topic::Relay, message);
        Ticket { forward: Arc::clone(self), host, number, left: bundle.to.len(), came }
    }

    fn came(&self, number: u64, answered: Vec<Answered>, records: Vec<u8>) {
        let mut records = Some(Bytes::from(records));
        let list = answered.into_iter().map(|Answered(place, result, time)| {
            let result = result.map(|signature| EndpointResponse {
                status: StatusCode::OK,
                headers: HeaderMap::new(),
                body: records.take().unwrap_or_default(),
                signature: signature.and_then(|s| HeaderValue::from_bytes(&s).ok()),
            });
            Came { place: place as usize, result, time: Span::micros(time) }
        });
        let list = list.collect();
        let Some(tx) = self.state.lock().open.get(&number).cloned() else { return };
        // Whoever waited may have left meanwhile.
        let _ = tx.send(list);
    }
}

impl Bundle<'_> {
    fn ask(&self, number: u64) -> Ask {
        let Call { method, uri, headers, body, meta } = self.call;
        let headers = headers.iter();
        let left = Span::from(self.times.until.saturating_duration_since(Instant::now()));
        Ask {
            number,
            method: method.to_string(),
            uri: uri.to_string(),
            headers: headers.map(|(n, v)| (n.to_string(), v.as_bytes().to_vec().into())).collect(),
            body: body.to_vec(),
            id: meta.id.as_bytes().to_vec().into(),
            to: self
                .to
                .iter()
                .map(|t| To(t.name.clone(), t.service.clone(), t.address, t.connections))
                .collect(),
            top: self.top,
            times: (left.0, self.times.connect.0, self.flush.0),
        }
    }
}

impl Ask {
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
        match decode(body) {
            Ok(Message::Ask(ask)) => self.errand(from.into(), *ask),
            Ok(Message::Parts { number, answered, records }) => {
                self.forward.came(number, answered, records);
            }
            Ok(Message::Stop(number)) => {
                let errand = self.forward.state.lock().errands.swap_remove(&(from.into(), number));
                if let Some(errand) = errand {
                    errand.abort();
                }
            }
            Err(e) => log::warn!("ignored calls that host `{from}` asked for: {e}"),
        }
    }
}

impl Relay {
    /// Carries out the calls that another host asks for.
    fn errand(&self, from: Arc<str>, ask: Ask) {
        let Some(relay) = self.me.upgrade() else { return };
        let key = (from.clone(), ask.number);
        let mut state = self.forward.state.lock();
        if state.errands.len() >= ERRANDS_MAX || ask.to.len() > CALLS_MAX {
            return log::warn!("calls that host `{from}` asked for are left out: too many at once");
        }
        let done = key.clone();
        let task = tokio::spawn(async move {
            if let Err(e) = relay.run_errand(&from, ask).await {
                log::warn!("calls that host `{from}` asked for cannot be read: {e:#}");
            }
            relay.forward.state.lock().errands.swap_remove(&done);
        });
        // The task waits for the lock that is held here before it takes the entry out.
        state.errands.insert(key, task.abort_handle());
    }

    async fn run_errand(&self, from: &str, ask: Ask) -> Result<()> {
        let begun = self.ctx.now();
        let call = &ask.call()?;
        let (left, connect, flush) = ask.times;
        let times = Times { connect: Span(connect), until: Instant::now() + Span(left).to_std() };
        let calls = ask.to.iter().enumerate().map(|(place, to)| {
            let target = to.target(self.learned.zone());
            async move {
                let connections = self.learned.connections(&target);
                let result =
                    self.links.run(&*self.protocol, call, &target, connections, times).await;
                (place, result, self.ctx.now().since(begun))
            }
        });
        let mut calls: FuturesUnordered<_> = calls.collect();
        let mut flush = std::pin::pin!(tokio::time::sleep(Span(flush).to_std()));
        let (mut came, mut flushed) = (Vec::new(), false);
        loop {
            tokio::select! {
                biased;
                ended = calls.next() => {
                    let over = ended.is_none();
                    came.extend(ended);
                    if over || flushed {
                        self.tell(from, &ask, &mut came);
                    }
                    if over {
                        return Ok(());
                    }
                }
                () = &mut flush, if !flushed => {
                    flushed = true;
                    self.tell(from, &ask, &mut came);
                }
            }
        }
    }

    /// Answers with what has come.
    fn tell(
        &self,
        to: &str,
        ask: &Ask,
        came: &mut Vec<(usize, Result<EndpointResponse, Refusal>, Span)>,
    ) {
        if came.is_empty() {
            return;
        }
        let mut bodies = Vec::new();
        let answered = came.drain(..).map(|(place, result, time)| {
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
            Answered(place as u32, result, time.0)
        });
        let answered = answered.collect();
        let records = records::merge(bodies.iter().map(|b| &b[..]), ask.top as usize).to_vec();
        let message = Message::Parts { number: ask.number, answered, records };
        self.forward.peers.send(to, Topic::Relay, encode(&message));
    }
}

impl To {
    fn target(&self, zone: &str) -> Target {
        let Self(name, service, address, connections) = self.clone();
        Target {
            key: EndpointKey::default(),
            name,
            service,
            zone: zone.into(),
            address,
            incarnation: 0,
            allowed: connections,
            bearable: connections,
            connections,
            cold: false,
        }
    }
}
