//! State shared by the tasks of the service: the other hosts, their connections and the handlers.
//! Implements [`Peers`].

use super::PeerSettings;
use super::queue::Queue;
use super::traffic::Traffic;
use super::wire::{Answer, CONTACTS_MAX, Contact, Hello};
use super::{accept, dial};
use crate::core::message::{self, ENVELOPE_MAX_BYTES, Envelope, Topic};
use crate::prelude::*;
use crate::services::{Handler, Peers};
use crate::util::tls::Identity;
use anyhow::bail;
use futures::future::BoxFuture;
use parking_lot::{Mutex, RwLock};
use quinn::{Connection, Endpoint};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{OnceLock, Weak};
use tokio::sync::{Notify, watch};
use tokio::time::timeout;

/// Maximum number of other hosts remembered.
const PEERS_MAX: usize = 1024;
/// Time limit for a call, including the time to connect.
const CALL_TIMEOUT: Span = Span::secs(5);
/// Interval at which a sender without a connection wakes the dialer.
const DIALER_WAKE_INTERVAL: Span = Span::millis(200);
/// Time limit for getting a connection, and again for writing one message to it.
const SEND_TIMEOUT: Span = Span::secs(2);

/// Another host.
pub struct Peer {
    /// Address that it listens on.
    pub address: Mutex<SocketAddr>,
    /// One-way messages to be sent to it.
    pub queue: Queue,
    /// Connection that this host opened to it, if any.
    pub link: watch::Sender<Option<Connection>>,
    /// Wakes the dialer when a connection is needed.
    dialer_wake: Notify,
    /// Whether it can read compressed envelopes.
    accepts_compressed: AtomicBool,
}

impl Peer {
    fn new(address: SocketAddr) -> Self {
        Self {
            address: Mutex::new(address),
            queue: Queue::default(),
            link: watch::channel(None).0,
            dialer_wake: Notify::new(),
            accepts_compressed: AtomicBool::new(false),
        }
    }

    /// Completes when a sender needs a connection.
    pub async fn connection_needed(&self) {
        self.dialer_wake.notified().await;
    }

    /// Compresses an envelope if the host can read compressed ones.
    fn compress_for_host(&self, envelope: Vec<u8>) -> Vec<u8> {
        if self.accepts_compressed.load(Ordering::Relaxed) {
            message::compress(envelope)
        } else {
            envelope
        }
    }

    /// Waits for a connection.
    async fn connection(&self) -> Result<Connection> {
        let mut rx = self.link.subscribe();
        loop {
            if rx.borrow_and_update().is_none() {
                self.dialer_wake.notify_one();
            }
            let found = timeout(DIALER_WAKE_INTERVAL.to_std(), rx.wait_for(Option::is_some)).await;
            if let Ok(link) = found {
                let link = link.context("the host was forgotten")?;
                return link.clone().context("the host is not connected");
            }
        }
    }
}

/// State that the tasks of the service share.
pub struct Hub {
    /// Settings of the service.
    pub settings: PeerSettings,
    /// The bound socket.
    pub endpoint: OnceLock<Endpoint>,
    /// Counters of the traffic between hosts.
    pub traffic: Traffic,
    handlers: RwLock<IndexMap<Topic, Arc<dyn Handler>>>,
    peers: RwLock<IndexMap<String, Arc<Peer>>>,
    /// Addresses that have a dialer task, or turned out to be this host's own.
    dialers: Mutex<IndexSet<SocketAddr>>,
    /// Blocked hosts.
    blocked: RwLock<IndexSet<String>>,
    /// Connections that other hosts opened, by connection ID, with the host's name.
    inbound: Mutex<IndexMap<usize, (String, Connection)>>,
    stop: watch::Sender<bool>,
    me: Weak<Self>,
}

impl Hub {
    /// Creates a hub that knows no other host.
    pub fn new(settings: PeerSettings) -> Arc<Self> {
        Arc::new_cyclic(|me| Self {
            me: me.clone(),
            settings,
            endpoint: OnceLock::new(),
            traffic: Traffic::default(),
            handlers: RwLock::default(),
            peers: RwLock::default(),
            dialers: Mutex::default(),
            blocked: RwLock::default(),
            inbound: Mutex::default(),
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

    /// Address that the socket is bound to.
    pub fn address(&self) -> Option<SocketAddr> {
        self.endpoint.get()?.local_addr().ok()
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
        self.start_dialer(Some(&id.name), listen);
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

    /// Tracks a connection that another host opened, until the guard is dropped.
    pub fn track_inbound(self: &Arc<Self>, name: &str, link: &Connection) -> InboundGuard {
        let id = link.stable_id();
        self.inbound.lock().insert(id, (name.to_owned(), link.clone()));
        InboundGuard { hub: self.clone(), id }
    }

    /// Closes all connections with blocked hosts.
    pub fn close_blocked(&self) {
        let blocked = self.blocked.read();
        let inbound = self.inbound.lock();
        let inbound_blocked = inbound.values().filter(|(name, _)| blocked.contains(name));
        inbound_blocked.for_each(|(_, link)| close_retired(link));
        let peers = self.peers.read();
        let outbound_blocked = blocked.iter().filter_map(|name| peers.get(name));
        for peer in outbound_blocked {
            if let Some(link) = &*peer.link.borrow() {
                close_retired(link);
            }
        }
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
        self.spawn(send_queued(peer.clone()));
        Ok(peer)
    }

    /// Starts a dialer task, which connects to an address on demand, unless it has one already.
    pub fn start_dialer(self: &Arc<Self>, name: Option<&str>, address: SocketAddr) {
        if name == Some(self.settings.host.as_str()) {
            return;
        }
        let mut dialers = self.dialers.lock();
        if dialers.len() < PEERS_MAX && dialers.insert(address) {
            self.spawn(dial::run(self.clone(), name.map(str::to_owned), address));
        }
    }

    /// Records that the dialer task of an address has ended, so that another can be started later.
    pub fn remove_dialer(&self, address: SocketAddr) {
        self.dialers.lock().swap_remove(&address);
    }

    /// Whether the host is now known at another address.
    pub fn has_moved(&self, name: &str, address: SocketAddr) -> bool {
        self.peers.read().get(name).is_some_and(|p| *p.address.lock() != address)
    }

    /// Handler of a topic, if one is set.
    pub fn handler(&self, topic: Topic) -> Option<Arc<dyn Handler>> {
        self.handlers.read().get(&topic).cloned()
    }

    /// Number of one-way messages that were dropped so far.
    pub fn dropped(&self) -> u64 {
        self.peers.read().values().map(|p| p.queue.dropped()).sum()
    }

    /// A host by name; `None` if it is unknown or blocked.
    pub fn peer(&self, name: &str) -> Option<Arc<Peer>> {
        if self.check_not_blocked(name).is_err() {
            return None;
        }
        self.peers.read().get(name).cloned()
    }

    /// Encodes an envelope with this host as the sender.
    fn encode_envelope(&self, topic: Topic, body: Vec<u8>) -> Result<Vec<u8>> {
        let from = self.settings.host.clone();
        let bytes = message::encode(&Envelope { version: message::VERSION, from, topic, body });
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

    fn listen_address(&self) -> Option<SocketAddr> {
        self.address()
    }

    fn learn(&self, host: &str, address: SocketAddr) {
        if host == self.settings.host || address.ip().is_unspecified() {
            return;
        }
        match (self.add_peer(host, address), self.me.upgrade()) {
            (Ok(_), Some(me)) => me.start_dialer(Some(host), address),
            (Err(e), _) => log::debug!("{e}"),
            (Ok(_), None) => {}
        }
    }

    fn set_blocked(&self, hosts: IndexSet<String>) {
        let new = hosts.into_iter().filter(|name| *name != self.settings.host).collect();
        *self.blocked.write() = new;
        self.close_blocked();
    }

    fn set_handler(&self, topic: Topic, handler: Arc<dyn Handler>) {
        self.handlers.write().insert(topic, handler);
    }

    fn send(&self, to: &str, topic: Topic, body: Vec<u8>) {
        match (self.peer(to), self.encode_envelope(topic, body)) {
            (Some(peer), Ok(bytes)) => {
                let bytes = peer.compress_for_host(bytes);
                self.traffic.count_sent(topic, bytes.len());
                peer.queue.push(bytes);
            }
            (None, _) => log::debug!("dropped a message to unknown host `{to}`"),
            (_, Err(e)) => log::warn!("dropped a message to host `{to}`: {e}"),
        }
    }

    fn call<'a>(
        &'a self,
        to: &'a str,
        topic: Topic,
        body: Vec<u8>,
    ) -> BoxFuture<'a, Result<Vec<u8>>> {
        Box::pin(async move {
            let peer = self.peer(to).with_context(|| format!("host `{to}` is not known here"))?;
            let bytes = peer.compress_for_host(self.encode_envelope(topic, body)?);
            self.traffic.count_sent(topic, bytes.len());
            let answer = timeout(CALL_TIMEOUT.to_std(), send_call(&peer, &bytes))
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

/// Guard of a connection that another host opened; stops tracking it when dropped.
pub struct InboundGuard {
    hub: Arc<Hub>,
    id: usize,
}

impl Drop for InboundGuard {
    fn drop(&mut self) {
        self.hub.inbound.lock().swap_remove(&self.id);
    }
}

fn close_retired(link: &Connection) {
    link.close(accept::CODE_REFUSED.into(), b"the host is retired");
}

async fn send_call(peer: &Peer, bytes: &[u8]) -> Result<Answer> {
    let (mut tx, mut rx) = peer.connection().await?.open_bi().await?;
    tx.write_all(bytes).await?;
    tx.finish()?;
    Ok(Answer::read(&rx.read_to_end(accept::ANSWER_MAX_BYTES).await?)?)
}

/// Sends the queued messages of a host, each on a stream of its own.
async fn send_queued(peer: Arc<Peer>) {
    loop {
        let bytes = peer.queue.pop().await;
        let link = match timeout(SEND_TIMEOUT.to_std(), peer.connection()).await {
            Ok(Ok(link)) => link,
            Ok(Err(_)) => return,
            Err(_) => {
                peer.queue.count_dropped();
                continue;
            }
        };
        let sent = timeout(SEND_TIMEOUT.to_std(), send_message(&link, &bytes)).await;
        if !matches!(sent, Ok(Ok(()))) {
            peer.queue.count_dropped();
        }
    }
}

async fn send_message(link: &Connection, bytes: &[u8]) -> Result<()> {
    let mut tx = link.open_uni().await?;
    tx.write_all(bytes).await?;
    Ok(tx.finish()?)
}
