//! What this host knows of the others, and the [`Peers`] that its services use.

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

/// Most hosts remembered.
const PEERS_MAX: usize = 1024;
/// Time allowed for one call, connecting included.
const CALL_TIMEOUT: Span = Span::secs(5);
/// Time after which a connection is asked for again.
const WANT_AGAIN: Span = Span::millis(200);
/// Time allowed to hand one message to the connection.
const SEND_TIMEOUT: Span = Span::secs(2);

/// Another host.
pub struct Peer {
    /// Address that it listens on.
    pub address: Mutex<SocketAddr>,
    /// Messages that wait for it.
    pub queue: Queue,
    /// The connection that this host opened to it.
    pub link: watch::Sender<Option<Connection>>,
    /// Told when a connection is needed.
    want: Notify,
    /// Whether it reads packed envelopes.
    unpacks: AtomicBool,
}

impl Peer {
    fn new(address: SocketAddr) -> Self {
        Self {
            address: Mutex::new(address),
            queue: Queue::default(),
            link: watch::channel(None).0,
            want: Notify::new(),
            unpacks: AtomicBool::new(false),
        }
    }

    /// Waits until a connection is needed.
    pub async fn wanted(&self) {
        self.want.notified().await;
    }

    fn pack(&self, envelope: Vec<u8>) -> Vec<u8> {
        if self.unpacks.load(Ordering::Relaxed) { message::compress(envelope) } else { envelope }
    }

    async fn connected(&self) -> Result<Connection> {
        let mut rx = self.link.subscribe();
        loop {
            if rx.borrow_and_update().is_none() {
                self.want.notify_one();
            }
            let found = timeout(WANT_AGAIN.to_std(), rx.wait_for(Option::is_some)).await;
            if let Ok(link) = found {
                let link = link.context("the host was forgotten")?;
                return link.clone().context("the host is not connected");
            }
        }
    }
}

/// All that the tasks of the service share.
pub struct Hub {
    /// Settings of the service.
    pub settings: PeerSettings,
    /// The bound socket.
    pub endpoint: OnceLock<Endpoint>,
    /// What goes over the port.
    pub traffic: Traffic,
    handlers: RwLock<IndexMap<Topic, Arc<dyn Handler>>>,
    peers: RwLock<IndexMap<String, Arc<Peer>>>,
    dials: Mutex<IndexSet<SocketAddr>>,
    /// Hosts that are shut out.
    barred: RwLock<IndexSet<String>>,
    /// Connections that others opened, by their numbers.
    guests: Mutex<IndexMap<usize, (String, Connection)>>,
    stop: watch::Sender<bool>,
    me: Weak<Self>,
}

impl Hub {
    /// A hub that knows no other host yet.
    pub fn new(settings: PeerSettings) -> Arc<Self> {
        Arc::new_cyclic(|me| Self {
            me: me.clone(),
            settings,
            endpoint: OnceLock::new(),
            traffic: Traffic::default(),
            handlers: RwLock::default(),
            peers: RwLock::default(),
            dials: Mutex::default(),
            barred: RwLock::default(),
            guests: Mutex::default(),
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

    /// What this host tells another first.
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

    /// Remembers a host by its certificate and hello, and some of those that it knows.
    ///
    /// # Errors
    ///
    /// Fails when the hello does not fit the certificate or too many hosts are known.
    pub fn meet(
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
        let peer = self.remember(&id.name, listen)?;
        peer.unpacks.store(hello.unpacks, Ordering::Relaxed);
        self.dial(Some(&id.name), listen);
        for contact in hello.others.into_iter().take(CONTACTS_MAX) {
            if self.peers.read().len() < CONTACTS_MAX {
                self.learn(&contact.name, contact.listen);
            }
        }
        Ok(peer)
    }

    /// Whether a host may be spoken to.
    ///
    /// # Errors
    ///
    /// Fails when the host is shut out.
    pub fn check(&self, name: &str) -> Result<()> {
        if self.barred.read().contains(name) {
            bail!("host `{name}` is retired by the inventory in force");
        }
        Ok(())
    }

    /// Notes a connection that another host opened, until the guard is dropped.
    pub fn admit(self: &Arc<Self>, name: &str, link: &Connection) -> Guest {
        let id = link.stable_id();
        self.guests.lock().insert(id, (name.to_owned(), link.clone()));
        Guest { hub: self.clone(), id }
    }

    /// Closes all connections with hosts that are shut out.
    pub fn part(&self) {
        let barred = self.barred.read();
        let guests = self.guests.lock();
        let theirs = guests.values().filter(|(name, _)| barred.contains(name));
        theirs.for_each(|(_, link)| close(link));
        let peers = self.peers.read();
        let mine = barred.iter().filter_map(|name| peers.get(name));
        for peer in mine {
            if let Some(link) = &*peer.link.borrow() {
                close(link);
            }
        }
    }

    fn remember(&self, name: &str, listen: SocketAddr) -> Result<Arc<Peer>> {
        self.check(name)?;
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
        self.spawn(pump(peer.clone()));
        Ok(peer)
    }

    /// Keeps a connection to an address, unless this host does so already.
    pub fn dial(self: &Arc<Self>, name: Option<&str>, address: SocketAddr) {
        if name == Some(self.settings.host.as_str()) {
            return;
        }
        let mut dials = self.dials.lock();
        if dials.len() < PEERS_MAX && dials.insert(address) {
            self.spawn(dial::keep(self.clone(), name.map(str::to_owned), address));
        }
    }

    /// Forgets an address, so that it can be dialled again later.
    pub fn hang_up(&self, address: SocketAddr) {
        self.dials.lock().swap_remove(&address);
    }

    /// Whether the named host has since said that it listens elsewhere.
    pub fn moved(&self, name: &str, address: SocketAddr) -> bool {
        self.peers.read().get(name).is_some_and(|p| *p.address.lock() != address)
    }

    /// The handler of a topic.
    pub fn handler(&self, topic: Topic) -> Option<Arc<dyn Handler>> {
        self.handlers.read().get(&topic).cloned()
    }

    /// Number of one-way messages lost so far.
    pub fn dropped(&self) -> u64 {
        self.peers.read().values().map(|p| p.queue.dropped()).sum()
    }

    /// A host by name.
    pub fn peer(&self, name: &str) -> Option<Arc<Peer>> {
        if self.check(name).is_err() {
            return None;
        }
        self.peers.read().get(name).cloned()
    }

    fn seal(&self, topic: Topic, body: Vec<u8>) -> Result<Vec<u8>> {
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
        let barred = self.barred.read();
        self.peers.read().keys().filter(|name| !barred.contains(*name)).cloned().collect()
    }

    fn listen_address(&self) -> Option<SocketAddr> {
        self.address()
    }

    fn learn(&self, host: &str, address: SocketAddr) {
        if host == self.settings.host || address.ip().is_unspecified() {
            return;
        }
        match (self.remember(host, address), self.me.upgrade()) {
            (Ok(_), Some(me)) => me.dial(Some(host), address),
            (Err(e), _) => log::debug!("{e}"),
            (Ok(_), None) => {}
        }
    }

    fn set_blocked(&self, hosts: IndexSet<String>) {
        let new = hosts.into_iter().filter(|name| *name != self.settings.host).collect();
        *self.barred.write() = new;
        self.part();
    }

    fn set_handler(&self, topic: Topic, handler: Arc<dyn Handler>) {
        self.handlers.write().insert(topic, handler);
    }

    fn send(&self, to: &str, topic: Topic, body: Vec<u8>) {
        match (self.peer(to), self.seal(topic, body)) {
            (Some(peer), Ok(bytes)) => {
                let bytes = peer.pack(bytes);
                self.traffic.sent(topic, bytes.len());
                peer.queue.push(bytes);
            }
            (None, _) => log::debug!("message for unknown host `{to}` lost"),
            (_, Err(e)) => log::warn!("message for host `{to}` lost: {e}"),
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
            let bytes = peer.pack(self.seal(topic, body)?);
            self.traffic.sent(topic, bytes.len());
            let answer = timeout(CALL_TIMEOUT.to_std(), exchange(&peer, &bytes))
                .await
                .with_context(|| format!("host `{to}` did not answer in {CALL_TIMEOUT}"))?
                .with_context(|| format!("the call to host `{to}` failed"))?;
            match answer {
                Answer::Done(body) => {
                    self.traffic.received(topic, body.len());
                    Ok(body)
                }
                Answer::Refused(cause) => bail!("host `{to}` refused the call: {cause}"),
            }
        })
    }
}

/// A connection that another host opened; forgotten when this is dropped.
pub struct Guest {
    hub: Arc<Hub>,
    id: usize,
}

impl Drop for Guest {
    fn drop(&mut self) {
        self.hub.guests.lock().swap_remove(&self.id);
    }
}

fn close(link: &Connection) {
    link.close(accept::CODE_REFUSED.into(), b"the host is retired");
}

async fn exchange(peer: &Peer, bytes: &[u8]) -> Result<Answer> {
    let (mut tx, mut rx) = peer.connected().await?.open_bi().await?;
    tx.write_all(bytes).await?;
    tx.finish()?;
    Ok(Answer::read(&rx.read_to_end(accept::ANSWER_MAX_BYTES).await?)?)
}

/// Sends the messages that wait for a host, one stream each.
async fn pump(peer: Arc<Peer>) {
    loop {
        let bytes = peer.queue.pop().await;
        let link = match timeout(SEND_TIMEOUT.to_std(), peer.connected()).await {
            Ok(Ok(link)) => link,
            Ok(Err(_)) => return,
            Err(_) => {
                peer.queue.lost();
                continue;
            }
        };
        let sent = timeout(SEND_TIMEOUT.to_std(), deliver(&link, &bytes)).await;
        if !matches!(sent, Ok(Ok(()))) {
            peer.queue.lost();
        }
    }
}

async fn deliver(link: &Connection, bytes: &[u8]) -> Result<()> {
    let mut tx = link.open_uni().await?;
    tx.write_all(bytes).await?;
    Ok(tx.finish()?)
}
