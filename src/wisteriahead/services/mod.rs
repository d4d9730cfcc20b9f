//! The services of the daemon: they connect the state machines of [`core`](crate::core) to the
//! network, the disk and the clock.
//!
//! A service uses another only through the traits defined here. The implementation of each trait
//! is published in the kernel under the trait's `NAME`, and other services look it up there.

use self::control::Voters;
use crate::core::control::audit::AuditEntry;
pub use crate::core::control::changes::Change;
use crate::core::control::claims::Ticket;
pub use crate::core::control::claims::{Claim, Outcome};
use crate::core::control::{Command, Reply};
use crate::core::document::{Document, Revision, ZoneState};
use crate::core::log::Replica;
pub use crate::core::member::{Health, Member};
use crate::core::message::Topic;
use crate::core::peers::TimedMessage;
use crate::core::peers::clock::Age;
use crate::core::plan::Plan;
use crate::core::routes::{Routes, Target};
use crate::prelude::*;
use crate::util::disk::Disk;
use bytes::Bytes;
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Instant;
use tokio::sync::watch;

pub mod allowance;
pub mod claims;
pub mod control;
pub mod entry;
pub mod homes;
pub mod member;
pub mod operator;
pub mod peers;
pub mod quarantine;
pub mod registry;
pub mod relay;
pub mod replica;
pub mod transport;

/// Handler of the messages of one topic.
pub trait Handler: Send + Sync {
    /// Handles a one-way message.
    fn receive(&self, from: &str, body: &[u8]);

    /// Handles a one-way message of a known age; by default like any other.
    fn receive_timed(&self, from: &str, age: Age, body: &[u8]) {
        let _ = age;
        self.receive(from, body);
    }

    /// Answers a call; by default all calls are refused.
    ///
    /// # Errors
    ///
    /// Fails if the topic takes no calls or this call cannot be answered.
    fn answer<'a>(&'a self, from: &'a str, body: &'a [u8]) -> BoxFuture<'a, Result<Vec<u8>>> {
        let _ = (from, body);
        Box::pin(async { anyhow::bail!("this topic takes no calls") })
    }
}

/// Sends and receives messages between the hosts of the tier.
pub trait Peers: Send + Sync {
    /// Name of this host.
    fn host(&self) -> &str;

    /// Availability zone of this host.
    fn zone(&self) -> &str;

    /// Names of the other hosts known now, whether alive or not.
    fn others(&self) -> Vec<String>;

    /// Number that changes whenever [`Peers::others`] may list other hosts; `None` if it is not kept.
    fn others_version(&self) -> Option<u64> {
        None
    }

    /// Address at which this host listens for other hosts; `None` before the socket is bound.
    fn listen_address(&self) -> Option<SocketAddr> {
        None
    }

    /// Adds a host, or updates its address, as learned from another host.
    fn learn(&self, host: &str, address: SocketAddr) {
        let _ = (host, address);
    }

    /// Replaces the set of blocked hosts. Their connections are closed, new ones are refused, and
    /// [`Peers::others`] leaves them out.
    fn set_blocked(&self, hosts: IndexSet<String>) {
        drop(hosts);
    }

    /// Sets the handler of a topic.
    fn set_handler(&self, topic: Topic, handler: Arc<dyn Handler>);

    /// Opens a connection for one-way messages to a host unless there is one, and keeps it for a while.
    fn keep_connected(&self, to: &str) {
        let _ = to;
    }

    /// Sends a one-way message without a guarantee of delivery.
    fn send(&self, to: &str, topic: Topic, body: Vec<u8>);

    /// Sends a one-way message whose receiver learns its age, without a guarantee of delivery; by default like any
    /// other.
    fn send_timed(&self, to: &str, topic: Topic, message: TimedMessage) {
        self.send(to, topic, message.body);
    }

    /// Calls a host and waits for its answer.
    ///
    /// # Errors
    ///
    /// Fails if the host is unknown or unreachable, or refuses the call.
    fn call<'a>(
        &'a self,
        to: &'a str,
        topic: Topic,
        body: Vec<u8>,
    ) -> BoxFuture<'a, Result<Vec<u8>>>;
}

impl dyn Peers {
    /// Name in the kernel.
    pub const NAME: &'static str = "peers";
}

/// The accepted document, its revision and the plan.
#[derive(Clone, Debug, Default)]
pub struct AcceptedDocument {
    /// Revision of the document.
    pub revision: Revision,
    /// The document, including zone states that were set without editing its text.
    pub document: Arc<Document>,
    /// Text of the document, as the operators wrote it.
    pub text: Arc<str>,
    /// Plan in force, on a tier that uses a plan instead of an inventory.
    pub plan: Option<Arc<Plan>>,
}

/// The operators' document and the way to change it.
pub trait Control: Send + Sync {
    /// Follows the document in force at this host.
    fn watch(&self) -> watch::Receiver<AcceptedDocument>;

    /// Time since the leader last confirmed that this host lacks no change; `None` if it never did.
    fn unconfirmed_for(&self) -> Option<Span>;

    /// Proposes a change and waits until a quorum accepts it or it is refused.
    ///
    /// # Errors
    ///
    /// Returns a refusal whose verdict says whether the change may still be accepted.
    fn propose(&self, change: Change) -> BoxFuture<'_, Result<Revision, Refusal>>;
}

impl dyn Control {
    /// Name in the kernel.
    pub const NAME: &'static str = "control";
}

/// A change of the state of one availability zone.
#[derive(Clone, Debug)]
pub struct ZoneChange {
    /// Identifier by which a resend of the same change is detected.
    pub id: String,
    /// Name of the operator.
    pub operator: String,
    /// Name of the zone.
    pub zone: String,
    /// New state of the zone.
    pub state: ZoneState,
}

/// Where a change of a zone's state took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneOutcome {
    /// Committed to the log, with this revision.
    Accepted(Revision),
    /// Only at this host and the hosts of the zone that it reaches, until a quorum is reached.
    Local,
}

/// A change of the voters: the hosts that replicate the tier's state.
#[derive(Clone, Debug)]
pub struct VoterChange {
    /// Identifier by which a resend of the same change is detected.
    pub id: String,
    /// Name of the operator.
    pub operator: String,
    /// Name of the host.
    pub host: String,
    /// Whether the host is added; otherwise it is removed.
    pub add: bool,
}

/// The revision in force at a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRevision {
    /// Name of the host.
    pub host: String,
    /// Its availability zone; empty if the host has never reported it.
    pub zone: String,
    /// Revision in force at the host.
    pub revision: Revision,
    /// Time since the host reported it, in milliseconds.
    pub age_ms: u64,
}

/// Cluster state that operators read and change besides the document.
pub trait Admin: Send + Sync {
    /// Time since this host last had evidence of a quorum.
    fn quorum_silence(&self) -> Span;

    /// Takes a zone out of service or puts it back.
    ///
    /// # Errors
    ///
    /// Refuses if no quorum accepts it; taking out this host's own zone needs no quorum.
    fn zone(&self, change: ZoneChange) -> BoxFuture<'_, Result<ZoneOutcome, Refusal>>;

    /// The revision in force at each host.
    fn revisions(&self) -> BoxFuture<'_, Vec<HostRevision>>;

    /// At most `limit` entries of the audit log after the entry with number `after`.
    ///
    /// # Errors
    ///
    /// Refuses if no host that stores the audit log is reached.
    fn audit(&self, after: u64, limit: usize) -> BoxFuture<'_, Result<Vec<AuditEntry>, Refusal>>;

    /// The hosts that replicate the tier's state.
    ///
    /// # Errors
    ///
    /// Refuses if none of them is reached.
    fn voters(&self) -> BoxFuture<'_, Result<Voters, Refusal>>;

    /// Adds or removes one voter.
    ///
    /// # Errors
    ///
    /// Refuses if the change does not apply to the present voters or no quorum accepts it.
    fn change_voters(&self, change: VoterChange) -> BoxFuture<'_, Result<Revision, Refusal>>;
}

impl dyn Admin {
    /// Name in the kernel.
    pub const NAME: &'static str = "admin";
}

/// The plan of a tier that has no inventory.
pub trait Plans: Send + Sync {
    /// Puts a plan in force if its number is higher than that of the present plan. Returns once
    /// this plan, or one with a higher number, is durable at a quorum.
    ///
    /// # Errors
    ///
    /// Refuses an invalid plan, and any plan if no quorum is reached.
    fn publish(&self, plan: Plan) -> BoxFuture<'_, Result<(), Refusal>>;

    /// The plan in force: a linearizable read, at least as new as any plan accepted before it.
    ///
    /// # Errors
    ///
    /// Refuses if no quorum is reached, since a newer plan may then be in force.
    fn newest(&self) -> BoxFuture<'_, Result<Option<Arc<Plan>>, Refusal>>;

    /// Takes a zone out of service or puts it back; returns once this is durable at a quorum. Calls
    /// carry no identifier, so one that may be a late copy of an earlier call is refused; one that the
    /// caller gives again later is not.
    ///
    /// # Errors
    ///
    /// Refuses if no quorum is reached, and if the zone's state was changed and this host has known that
    /// for less than a second.
    fn set_zone<'a>(
        &'a self,
        zone: &'a str,
        state: ZoneState,
    ) -> BoxFuture<'a, Result<(), Refusal>>;
}

impl dyn Plans {
    /// Name in the kernel.
    pub const NAME: &'static str = "plans";
}

/// Receives the announcements of endpoints.
pub trait Announce: Send + Sync {
    /// Handles an announcement and forwards changes to the other hosts at once.
    ///
    /// # Errors
    ///
    /// Refuses an invalid announcement, and any new endpoint if the registry is full.
    fn announce(&self, announcement: Announcement) -> Result<(), Refusal>;

    /// Removes an endpoint that leaves; `None` stands for the incarnation known at this host.
    ///
    /// # Errors
    ///
    /// Refuses if the incarnation is neither given nor known.
    fn leave(&self, endpoint: &str, incarnation: Option<u64>) -> Result<(), Refusal>;
}

impl dyn Announce {
    /// Name in the kernel.
    pub const NAME: &'static str = "announce";
}

/// The endpoints that this host knows.
pub trait Endpoints: Send + Sync {
    /// Present index of the endpoints, which queries are routed by.
    fn routes(&self) -> Arc<Routes>;

    /// Follows the version number of the index, which rises with each change.
    fn changes(&self) -> watch::Receiver<u64> {
        watch::channel(0).1
    }
}

impl dyn Endpoints {
    /// Name in the kernel.
    pub const NAME: &'static str = "endpoints";
}

/// Reports on the state of this host for operators, by name, such as `zones` and `endpoints`.
pub trait Views: Send + Sync {
    /// The view with the given name, or `None` if there is none.
    fn view(&self, name: &str) -> Option<serde_json::Value>;
}

impl dyn Views {
    /// Name in the kernel.
    pub const NAME: &'static str = "views";
}

/// One request to one endpoint.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Identifier that is unique over all hosts and time.
    pub id: Arc<str>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Idempotency key of a request that may run only once.
    pub key: Option<Arc<str>>,
    /// Collection to run on.
    pub collection: Arc<str>,
    /// Snapshot to run on.
    pub snapshot: Arc<str>,
    /// Shard to run on.
    pub shard: u32,
    /// Number of shards that the snapshot is partitioned into.
    pub shards: u32,
    /// Time left for the answer.
    pub timeout: Span,
    /// Body of the caller's request, unchanged.
    pub body: Bytes,
}

/// Sends attempts to endpoints.
pub trait Transport: Send + Sync {
    /// Sends one attempt, waits for its answer and checks that it is for the right collection,
    /// snapshot and shard.
    ///
    /// The permit is held until the endpoint has finished the attempt, even if the caller stops
    /// waiting for it.
    ///
    /// # Errors
    ///
    /// Returns a refusal whose verdict says whether the attempt may have run.
    fn run<'a>(
        &'a self,
        to: &'a Target,
        attempt: Attempt,
        permit: Permit,
    ) -> BoxFuture<'a, Result<Bytes, Refusal>>;

    /// Cancels an attempt whose answer is no longer needed.
    fn cancel(&self, to: &Target, id: Arc<str>);
}

impl dyn Transport {
    /// Name in the kernel.
    pub const NAME: &'static str = "transport";
}

/// Called with an endpoint at which this host has a free slot for one more request.
pub type SlotListener = Box<dyn Fn(EndpointKey) + Send + Sync>;

/// Concurrency limits: grants permits to send requests, so that all hosts together stay within the
/// limit of each endpoint.
pub trait Allowance: Send + Sync {
    /// Takes a permit for one request in flight at an endpoint, if a slot is free now.
    fn acquire(&self, to: &Target) -> Option<Permit>;

    /// Whether requests for slots at an endpoint have brought none for a while.
    fn is_starved(&self, at: &Target) -> bool {
        let _ = at;
        false
    }

    /// Requests one more slot at each of the endpoints; the listener is called when it is granted.
    fn request_slots(&self, at: &[Target]) {
        let _ = at;
    }

    /// Sets the listener for free slots. It is called when a permit is returned or the owner of an
    /// endpoint grants this host a slot.
    fn set_listener(&self, listener: SlotListener) {
        let _ = listener;
    }

    /// Records the result of an attempt, which can lower the endpoint's limit at once.
    fn observe(&self, to: &Target, seen: Observation);

    /// Number of requests that this host has in flight at an endpoint.
    fn in_flight(&self, to: EndpointKey) -> u32;
}

impl dyn Allowance {
    /// Name in the kernel.
    pub const NAME: &'static str = "allowance";
}

/// Permission to have one request in flight at an endpoint; dropping it frees the slot.
pub struct Permit {
    acquired_at: Instant,
    release: Option<Box<dyn FnOnce() + Send>>,
}

impl Permit {
    /// Creates a permit acquired now that calls `release` when dropped.
    pub fn new(release: impl FnOnce() + Send + 'static) -> Self {
        Self::acquired_at(Instant::now(), release)
    }

    /// Creates a permit acquired at the given time that calls `release` when dropped.
    pub fn acquired_at(acquired_at: Instant, release: impl FnOnce() + Send + 'static) -> Self {
        Self { acquired_at, release: Some(Box::new(release)) }
    }

    /// Adds a callback that runs after the permit's own release.
    pub fn then(self, callback: impl FnOnce() + Send + 'static) -> Self {
        Self::acquired_at(self.acquired_at, move || {
            drop(self);
            callback();
        })
    }

    /// Time since the permit was acquired.
    pub fn age(&self) -> Span {
        self.acquired_at.elapsed().into()
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(release) = self.release.take() {
            release();
        }
    }
}

impl std::fmt::Debug for Permit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Permit")
    }
}

/// Result of an attempt, as evidence of its endpoint's load and health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The endpoint answered after this time.
    Answered(Span),
    /// The endpoint refused the attempt.
    Refused(Reason),
    /// The connection failed, or no answer came.
    Failed,
    /// The endpoint answered with this incarnation, which is not the announced one.
    Restarted(u64),
}

/// Submits commands to the replicated state of the tier, and gives access to this host's disk.
pub trait Commands: Send + Sync {
    /// Submits a command, again if need be, until it is applied or the time is over.
    ///
    /// # Errors
    ///
    /// Refuses with "not run" if it certainly was not applied, otherwise with "may have run".
    fn submit(&self, command: Command, timeout: Span) -> BoxFuture<'_, Result<Reply, Refusal>>;

    /// Random identifier of the tier; each bootstrap generates a new one.
    ///
    /// # Errors
    ///
    /// Refuses with "not run" if no host that knows it is reached.
    fn tier_id(&self) -> BoxFuture<'_, Result<u64, Refusal>>;

    /// This host's storage for replicas, if it has a disk.
    fn replica_storage(&self) -> Option<ReplicaStorage>;

    /// Records durably that the journal of a replication group exists on this host's disk.
    ///
    /// # Errors
    ///
    /// Fails on an error of the disk.
    fn record_group(&self, group: &str) -> Result<()>;
}

/// A disk on which a host can hold replicas.
#[derive(Clone)]
pub struct ReplicaStorage {
    /// Identity of the host as a replica.
    pub me: Replica,
    /// Disk of the host.
    pub disk: Arc<dyn Disk>,
}

/// Claims on tickets whose home is one availability zone instead of the whole tier.
pub trait Homes: Send + Sync {
    /// Epoch of the home of this host's zone, if a host of the zone knows one.
    fn epoch(&self) -> BoxFuture<'_, Option<u64>>;

    /// Submits a command to the home that a ticket names, again if need be, until it is applied or
    /// the time is over.
    ///
    /// # Errors
    ///
    /// Refuses with "not run" if it certainly was not applied, otherwise with "may have run".
    fn submit<'a>(
        &'a self,
        ticket: &'a Ticket,
        command: Command,
        timeout: Span,
    ) -> BoxFuture<'a, Result<Reply, Refusal>>;
}

impl dyn Homes {
    /// Name in the kernel.
    pub const NAME: &'static str = "homes";
}

impl dyn Commands {
    /// Name in the kernel.
    pub const NAME: &'static str = "commands";
}

/// Claims on idempotency keys, which make non-idempotent requests run at most once.
pub trait Claims: Send + Sync {
    /// Issues a ticket: a new key whose home is the tier, or this host's availability zone while
    /// this host knows of no quorum of the tier.
    ///
    /// # Errors
    ///
    /// Refuses with "not run" if the home cannot accept claims now.
    fn ticket(&self) -> BoxFuture<'_, Result<String, Refusal>>;

    /// Claims a key for the request with the given digest. A claim is durable at a majority of the
    /// key's home before [`Claim::Granted`] is returned.
    ///
    /// # Errors
    ///
    /// Refuses with "not run" if the claim is not granted and no outcome is known.
    fn claim<'a>(&'a self, key: &'a str, digest: [u8; 32])
    -> BoxFuture<'a, Result<Claim, Refusal>>;

    /// Records the outcome of a granted claim, as best effort: if the record is lost, resends of
    /// the request get [`Claim::Running`] and later [`Outcome::MayHaveRun`].
    fn record<'a>(&'a self, key: &'a str, outcome: Outcome) -> BoxFuture<'a, ()>;
}

impl dyn Claims {
    /// Name in the kernel.
    pub const NAME: &'static str = "claims";
}

/// The hosts of the tier, including this one.
pub trait Members: Send + Sync {
    /// Follows all known hosts, ordered by name.
    fn watch(&self) -> watch::Receiver<Arc<Vec<Member>>>;
}

impl dyn Members {
    /// Name in the kernel.
    pub const NAME: &'static str = "members";
}
