//! State shared by the tasks of the service: the other hosts, their connections and the handlers.
//! Implements [`Peers`].

use super::dial;
use super::lane::OutboundLane;
use super::traffic::Traffic;
use super::wire::{Answer, CONTACTS_MAX, Contact, Hello};
use super::{PeerSettings, TlsConfigs};
use crate::core::message::{self, ENVELOPE_MAX_BYTES, EnvelopeView, Topic};
use crate::core::peers::admission::Admission;
use crate::core::peers::outbox::{Kind, MESSAGE_MAX_AGE};
use crate::core::peers::{Lane, Role, TimedMessage};
use crate::prelude::*;
use crate::services::{Handler, Peers};
use crate::util::clock;
use crate::util::tls::Identity;
use anyhow::bail;
use futures::future::BoxFuture;
use parking_lot::{Mutex, RwLock};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{OnceLock, Weak};
use tokio::sync::{Notify, watch};
use tokio::time::timeout;

/// Maximum number of other hosts remembered.
const PEERS_MAX: usize = 1024;
/// Time limit for a call, including the time to connect.
const CALL_TIMEOUT: Span = Span::secs(5);
/// Another host.
pub struct Peer {
    /// Address that it listens on.
    address: Mutex<SocketAddr>,
    /// What is to be sent to it.
    lanes: [Arc<OutboundLane>; Lane::ALL.len()],
    /// Notified when the host connects, so that it takes connections too.
    connected: Notify,
    /// Whether it can read compressed envelopes.
    accepts_compressed: AtomicBool,
}

impl Peer {
    fn new(address: SocketAddr) -> Self {
        Self {
            address: Mutex::new(address),
            lanes: Default::default(),
            connected: Notify::new(),
            accepts_compressed: AtomicBool::new(false),
        }
    }

    /// What waits for one of the connections to the host.
    pub fn lane(&self, lane: Lane) -> &Arc<OutboundLane> {
        &self.lanes[lane as usize]
    }

    /// Completes when the host opens a connection to this one.
    pub async fn connected(&self) {
        self.connected.notified().await;
    }

    /// Whether the host is now known at another address.
    pub fn has_moved(&self, address: SocketAddr) -> bool {
        *self.address.lock() != address
    }

    /// Compresses an envelope if the host can read compressed ones.
    fn compress_for_host(&self, envelope: Vec<u8>) -> Vec<u8> {
        if self.accepts_compressed.load(Ordering::Relaxed) {
            message::compress(envelope)
        } else {
            envelope
        }
    }
}

/// An open connection, as the hub sees it.
struct TrackedConnection {
    host: Arc<str>,
    /// Ends it.
    close: Arc<Notify>,
}

/// State that the tasks of the service share.
pub struct Hub {
    /// Settings of the service.
    pub settings: PeerSettings,
    /// Address that the listener is bound to.
    pub bound: OnceLock<SocketAddr>,
    /// Configurations of TLS, once the service is started.
    pub tls: OnceLock<TlsConfigs>,
    /// Counters of the traffic between hosts.
    pub traffic: Arc<Traffic>,
    /// Inbound connections before their hello.
    pub admission: Mutex<Admission>,
    started: Span,
    handlers: RwLock<IndexMap<Topic, Arc<dyn Handler>>>,
    peers: RwLock<IndexMap<String, Arc<Peer>>>,
    /// Number of changes of the known or blocked hosts.
    others_version: AtomicU64,
    /// Addresses that have a dialer task, or turned out to be this host's own.
    dialers: Mutex<IndexSet<(SocketAddr, Lane)>>,
    /// Blocked hosts.
    blocked: RwLock<IndexSet<String>>,
    /// Open connections by number.
    connections: Mutex<IndexMap<u64, TrackedConnection>>,
    next_connection: AtomicU64,
    stop: watch::Sender<bool>,
    me: Weak<Self>,
}

impl Hub {
    /// Creates a hub that knows no other host.
    pub fn new(settings: PeerSettings) -> Arc<Self> {
        Arc::new_cyclic(|me| Self {
            me: me.clone(),
            settings,
            bound: OnceLock::new(),
            tls: OnceLock::new(),
            traffic: Arc::default(),
            admission: Mutex::default(),
            started: clock::since_boot(),
            handlers: RwLock::default(),
            peers: RwLock::default(),
            others_version: AtomicU64::new(0),
            dialers: Mutex::default(),
            blocked: RwLock::default(),
            connections: Mutex::default(),
            next_connection: AtomicU64::new(0),
            stop: watch::channel(false).0,
        })
    }

    /// Runs a task until it ends or the service stops.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let mut stop = self.stop.subscribe();
        tokio::spawn(async move {
            tokio::select! {
                _ = stop.wait_for(|stop| *stop) => {}
                () = task => {}
            }
        });
    }

    /// Ends all tasks.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    /// Time since the service was created.
    pub fn now(&self) -> Time {
        Time(clock::since_boot().0 - self.started.0)
    }

    /// Address that the listener is bound to.
    pub fn address(&self) -> Option<SocketAddr> {
        self.bound.get().copied()
    }

    /// Whether messages wait for a connection that is open, or are being written.
    pub fn is_writing(&self) -> bool {
        let now = self.now();
        self.peers.read().values().flat_map(|p| &p.lanes).any(|lane| lane.is_writing(now))
    }

    /// Hello of this host.
    pub fn hello(&self) -> Hello {
        let contact = |(name, p): (&String, &Arc<Peer>)| Contact {
            name: name.clone(),
            listen: *p.address.lock(),
        };
        Hello {
            version: message::VERSION,
            name: self.settings.host.clone(),
            zone: self.settings.zone.clone(),
            listen: self.address().unwrap_or(self.settings.listen),
            others: self.peers.read().iter().take(CONTACTS_MAX).map(contact).collect(),
            unpacks: true,
            clock: Some(self.now().into()),
        }
    }

    /// Checks a hello, and adds its host and some of the hosts that it lists.
    ///
    /// # Errors
    ///
    /// Fails if the hello does not match the certificate, the host is blocked, or too many hosts
    /// are known.
    pub fn accept_hello(
        self: &Arc<Self>,
        id: &Identity,
        hello: Hello,
        remote: SocketAddr,
    ) -> Result<Arc<Peer>> {
        if hello.name != id.name {
            bail!("host `{}` calls itself `{}`; check its settings", id.name, hello.name);
        }
        if id.zone.as_ref().is_some_and(|z| *z != hello.zone) {
            bail!("host `{}` is not of zone `{}`; check its settings", id.name, hello.zone);
        }
        let mut listen = hello.listen;
        if listen.ip().is_unspecified() {
            listen.set_ip(remote.ip());
        }
        let peer = self.add_peer(&id.name, listen)?;
        peer.accepts_compressed.store(hello.unpacks, Ordering::Relaxed);
        peer.connected.notify_waiters();
        self.start_dialers(Some(&id.name), listen);
        for contact in hello.others.into_iter().take(CONTACTS_MAX) {
            if self.peers.read().len() < CONTACTS_MAX {
                self.learn(&contact.name, contact.listen);
            }
        }
        Ok(peer)
    }

    /// Checks that a host is not blocked.
    ///
    /// # Errors
    ///
    /// Fails if the host is blocked.
    pub fn check_not_blocked(&self, name: &str) -> Result<()> {
        if self.blocked.read().contains(name) {
            bail!("host `{name}` is retired by the inventory in force");
        }
        Ok(())
    }

    /// Tracks an open connection with a host until the guard is dropped.
    pub fn track(self: &Arc<Self>, name: &str) -> OpenConnection {
        let id = self.next_connection.fetch_add(1, Ordering::Relaxed);
        let (host, close) = (Arc::from(name), Arc::new(Notify::new()));
        let tracked = TrackedConnection { host: Arc::clone(&host), close: close.clone() };
        self.connections.lock().insert(id, tracked);
        OpenConnection { hub: self.clone(), id, host, close }
    }

    /// Closes all connections with blocked hosts, and drops what waits for them.
    pub fn close_blocked(&self) {
        let blocked = self.blocked.read();
        let connections = self.connections.lock();
        let retired = connections.values().filter(|c| blocked.contains(&*c.host));
        retired.for_each(|c| c.close.notify_one());
        let peers = self.peers.read();
        let lanes = blocked.iter().filter_map(|name| peers.get(name)).flat_map(|p| &p.lanes);
        lanes.for_each(|lane| lane.clear());
    }

    /// Adds a host or updates its address.
    fn add_peer(&self, name: &str, listen: SocketAddr) -> Result<Arc<Peer>> {
        self.check_not_blocked(name)?;
        let mut peers = self.peers.write();
        if let Some(peer) = peers.get(name) {
            *peer.address.lock() = listen;
            return Ok(peer.clone());
        }
        if peers.len() >= PEERS_MAX {
            bail!("{PEERS_MAX} hosts are known already; `{name}` is left out");
        }
        let peer = Arc::new(Peer::new(listen));
        peers.insert(name.to_owned(), peer.clone());
        self.others_version.fetch_add(1, Ordering::Relaxed);
        Ok(peer)
    }

    /// Starts the tasks that connect to an address on demand, unless it has them already. An address
    /// without a name is dialed at once.
    pub fn start_dialers(self: &Arc<Self>, name: Option<&str>, address: SocketAddr) {
        if name == Some(self.settings.host.as_str()) {
            return;
        }
        let lanes = if name.is_some() { &Lane::ALL[..] } else { &[Lane::Small] };
        let mut dialers = self.dialers.lock();
        for &lane in lanes {
            if dialers.len() < PEERS_MAX * Lane::ALL.len() && dialers.insert((address, lane)) {
                self.spawn(dial::run(self.clone(), name.map(str::to_owned), address, lane));
            }
        }
    }

    /// Records that the dialer task of an address has ended, so that another can be started later.
    pub fn remove_dialer(&self, address: SocketAddr, lane: Lane) {
        self.dialers.lock().swap_remove(&(address, lane));
    }

    /// Handler of a topic, if one is set.
    pub fn handler(&self, topic: Topic) -> Option<Arc<dyn Handler>> {
        self.handlers.read().get(&topic).cloned()
    }

    /// Number of one-way messages that were dropped so far.
    pub fn dropped(&self) -> u64 {
        self.peers.read().values().flat_map(|p| &p.lanes).map(|lane| lane.dropped()).sum()
    }

    /// A host by name; `None` if it is unknown or blocked.
    pub fn peer(&self, name: &str) -> Option<Arc<Peer>> {
        if self.check_not_blocked(name).is_err() {
            return None;
        }
        self.peers.read().get(name).cloned()
    }

    /// Adds a one-way message to what waits for a host.
    fn send_one_way(&self, to: &str, topic: Topic, body: &[u8], useful: Span, kind: Kind) {
        match (self.peer(to), self.encode_envelope(topic, body)) {
            (Some(peer), Ok(bytes)) => {
                let bytes = peer.compress_for_host(bytes);
                self.traffic.count_sent(topic, bytes.len());
                peer.lane(Lane::of_size(bytes.len())).send(self.now(), useful, kind, bytes);
            }
            (None, _) => log::debug!("dropped a message to unknown host `{to}`"),
            (_, Err(e)) => log::warn!("dropped a message to host `{to}`: {e}"),
        }
    }

    /// Encodes an envelope with this host as the sender.
    fn encode_envelope(&self, topic: Topic, body: &[u8]) -> Result<Vec<u8>> {
        let (version, from) = (message::VERSION, self.settings.host.as_str());
        let bytes = message::encode(&EnvelopeView { version, from, topic, body });
        if bytes.len() > ENVELOPE_MAX_BYTES {
            bail!(
                "the message has {} bytes; at most {ENVELOPE_MAX_BYTES} are allowed",
                bytes.len()
            );
        }
        Ok(bytes)
    }
}

impl Peers for Hub {
    fn host(&self) -> &str {
        &self.settings.host
    }

    fn zone(&self) -> &str {
        &self.settings.zone
    }

    fn others(&self) -> Vec<String> {
        let blocked = self.blocked.read();
        self.peers.read().keys().filter(|name| !blocked.contains(*name)).cloned().collect()
    }

    fn others_version(&self) -> Option<u64> {
        Some(self.others_version.load(Ordering::Relaxed))
    }

    fn listen_address(&self) -> Option<SocketAddr> {
        self.address()
    }

    fn learn(&self, host: &str, address: SocketAddr) {
        if host == self.settings.host || address.ip().is_unspecified() {
            return;
        }
        match (self.add_peer(host, address), self.me.upgrade()) {
            (Ok(_), Some(me)) => me.start_dialers(Some(host), address),
            (Err(e), _) => log::debug!("{e}"),
            (Ok(_), None) => {}
        }
    }

    fn set_blocked(&self, hosts: IndexSet<String>) {
        let new = hosts.into_iter().filter(|name| *name != self.settings.host).collect();
        *self.blocked.write() = new;
        self.others_version.fetch_add(1, Ordering::Relaxed);
        self.close_blocked();
    }

    fn set_handler(&self, topic: Topic, handler: Arc<dyn Handler>) {
        self.handlers.write().insert(topic, handler);
    }

    fn keep_connected(&self, to: &str) {
        if let Some(peer) = self.peer(to) {
            peer.lane(Lane::Small).want_connection();
        }
    }

    fn send(&self, to: &str, topic: Topic, body: Vec<u8>) {
        self.send_one_way(to, topic, &body, MESSAGE_MAX_AGE, Kind::Message);
    }

    fn send_timed(&self, to: &str, topic: Topic, message: TimedMessage) {
        let TimedMessage { body, useful, role } = message;
        if let Role::Cancel(number) = role
            && let Some(peer) = self.peer(to)
            && Lane::ALL.iter().any(|lane| peer.lane(*lane).withdraw(number))
        {
            return self.traffic.count_withdrawn();
        }
        self.send_one_way(to, topic, &body, useful, Kind::Timed(role));
    }

    fn call<'a>(
        &'a self,
        to: &'a str,
        topic: Topic,
        body: Vec<u8>,
    ) -> BoxFuture<'a, Result<Vec<u8>>> {
        Box::pin(async move {
            let peer = self.peer(to).with_context(|| format!("host `{to}` is not known here"))?;
            let bytes = peer.compress_for_host(self.encode_envelope(topic, &body)?);
            self.traffic.count_sent(topic, bytes.len());
            let lane = peer.lane(Lane::of_size(bytes.len())).clone();
            let call = lane.call(self.now(), CALL_TIMEOUT, bytes);
            let answer = timeout(CALL_TIMEOUT.to_std(), call.answer())
                .await
                .with_context(|| format!("host `{to}` did not answer in {CALL_TIMEOUT}"))?
                .with_context(|| format!("the call to host `{to}` failed"))?;
            match answer {
                Answer::Done(body) => {
                    self.traffic.count_received(topic, body.len());
                    Ok(body)
                }
                Answer::Refused(cause) => bail!("host `{to}` refused the call: {cause}"),
            }
        })
    }
}

/// An open connection, until it is dropped.
pub struct OpenConnection {
    hub: Arc<Hub>,
    id: u64,
    host: Arc<str>,
    close: Arc<Notify>,
}

impl OpenConnection {
    /// Number of the connection.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Name of the other host.
    pub fn host(&self) -> &Arc<str> {
        &self.host
    }

    /// Completes when the connection is to be closed, since the other host is blocked.
    pub async fn closed(&self) {
        self.close.notified().await;
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.hub.connections.lock().swap_remove(&self.id);
    }
}
