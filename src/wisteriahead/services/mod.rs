//! The services of the daemon: thin drivers around the state machines of
//! [`core`](crate::core).
//!
//! The traits here are the borders between services. Each is published in the
//! kernel under the name given as its `NAME`.

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

/// Handles the messages of one topic.
pub trait Handler: Send + Sync {
    /// Handles a one-way message.
    fn receive(&self, from: &str, body: &[u8]);

    /// Answers a call; the default refuses all calls.
    ///
    /// # Errors
    ///
    /// Fails when the topic takes no calls or the call cannot be answered.
    fn answer<'a>(&'a self, from: &'a str, body: &'a [u8]) -> BoxFuture<'a, Result<Vec<u8>>> {
        let _ = (from, body);
        Box::pin(async { anyhow::bail!("this topic takes no calls") })
    }
}

/// Carries messages between the tier's own hosts.
pub trait Peers: Send + Sync {
    /// Name of this host.
    fn host(&self) -> &str;

    /// Availability zone of this host.
    fn zone(&self) -> &str;

    /// Names of the other hosts known now, without regard to their health.
    fn others(&self) -> Vec<String>;

    /// Address that this host listens on for the others, once it does.
    fn listen_address(&self) -> Option<SocketAddr> {
        None
    }

    /// Notes the address of a host that another reported.
    fn learn(&self, host: &str, address: SocketAddr) {
        let _ = (host, address);
    }

    /// Shuts exactly these hosts out: their connections are closed and refused, and they
    /// are no longer among the others.
    fn set_blocked(&self, hosts: IndexSet<String>) {
        drop(hosts);
    }

    /// Sets the handler of a topic.
    fn set_handler(&self, topic: Topic, handler: Arc<dyn Handler>);

    /// Sends a one-way message; it may be lost.
    fn send(&self, to: &str, topic: Topic, body: Vec<u8>);

    /// Calls a host and waits for its answer.
    ///
    /// # Errors
    ///
    /// Fails when the host is unknown or unreachable, or refuses the call.
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

/// The accepted document and its revision.
#[derive(Clone, Debug, Default)]
pub struct AcceptedDocument {
    /// Revision of the document.
    pub revision: Revision,
    /// The document, with the states of zones that were set without an edit.
    pub document: Arc<Document>,
    /// The document as the operators wrote it.
    pub text: Arc<str>,
    /// The plan, where the tier is run by one.
    pub plan: Option<Arc<Plan>>,
}

/// Holds the operators' document and accepts changes to it.
pub trait Control: Send + Sync {
    /// The document in force at this host.
    fn watch(&self) -> watch::Receiver<AcceptedDocument>;

    /// Proposes a change and waits until it is accepted or refused.
    ///
    /// # Errors
    ///
    /// Returns a refusal whose verdict says whether the change may be accepted still.
    fn propose(&self, change: Change) -> BoxFuture<'_, Result<Revision, Refusal>>;
}

impl dyn Control {
    /// Name in the kernel.
    pub const NAME: &'static str = "control";
}

/// A change of one availability zone's state.
#[derive(Clone, Debug)]
pub struct ZoneChange {
    /// Identifier that makes a resend recognisable.
    pub id: String,
    /// Name of the operator.
    pub operator: String,
    /// Name of the zone.
    pub zone: String,
    /// Its new state.
    pub state: ZoneState,
}

/// How a zone's state was changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneOutcome {
    /// In the log, with this revision.
    Accepted(Revision),
    /// At this host and those of the zone that it reaches, until the quorum is reached.
    Local,
}

/// A change of the hosts that keep the tier's state.
#[derive(Clone, Debug)]
pub struct VoterChange {
    /// Identifier that makes a resend recognisable.
    pub id: String,
    /// Name of the operator.
    pub operator: String,
    /// Name of the host.
    pub host: String,
    /// Whether it is added, or taken out.
    pub add: bool,
}

/// The revision in force at a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRevision {
    /// Name of the host.
    pub host: String,
    /// Its availability zone, empty if it was never heard of.
    pub zone: String,
    /// The revision.
    pub revision: Revision,
    /// Time since the host said so, in milliseconds.
    pub age_ms: u64,
}

/// What operators see and change besides the document.
pub trait Admin: Send + Sync {
    /// Time since this host heard of a quorum.
    fn quorum_silence(&self) -> Span;

    /// Takes a zone out or puts it back.
    ///
    /// # Errors
    ///
    /// Refuses when no quorum accepts it; taking out this host's own zone needs none.
    fn zone(&self, change: ZoneChange) -> BoxFuture<'_, Result<ZoneOutcome, Refusal>>;

    /// The revision in force at each host.
    fn revisions(&self) -> BoxFuture<'_, Vec<HostRevision>>;

    /// At most `limit` entries of the trail of changes after the one with number `after`.
    ///
    /// # Errors
    ///
    /// Refuses when no host that keeps the trail is reached.
    fn audit(&self, after: u64, limit: usize) -> BoxFuture<'_, Result<Vec<AuditEntry>, Refusal>>;

    /// The hosts that keep the tier's state.
    ///
    /// # Errors
    ///
    /// Refuses when none of them is reached.
    fn voters(&self) -> BoxFuture<'_, Result<Voters, Refusal>>;

    /// Adds or takes out one host that keeps the tier's state.
    ///
    /// # Errors
    ///
    /// Refuses when the change does not fit, or no quorum accepts it.
    fn change_voters(&self, change: VoterChange) -> BoxFuture<'_, Result<Revision, Refusal>>;
}

impl dyn Admin {
    /// Name in the kernel.
    pub const NAME: &'static str = "admin";
}

/// Holds the plan that a tier without an inventory is run by.
pub trait Plans: Send + Sync {
    /// Has a plan hold if its number is higher than that of the one that does; returns once
    /// this, or a higher one, is durable at a quorum.
    ///
    /// # Errors
    ///
    /// Refuses a plan at fault, and when no quorum is reached.
    fn publish(&self, plan: Plan) -> BoxFuture<'_, Result<(), Refusal>>;

    /// The plan that holds: no other was accepted before the call.
    ///
    /// # Errors
    ///
    /// Refuses when no quorum is reached, so that a newer one may hold.
    fn newest(&self) -> BoxFuture<'_, Result<Option<Arc<Plan>>, Refusal>>;

    /// Takes a zone out or puts it back, durably at a quorum.
    ///
    /// # Errors
    ///
    /// Refuses when no quorum is reached.
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

/// Takes what endpoints say of themselves.
pub trait Announce: Send + Sync {
    /// Takes an announcement; the other hosts learn of it at once.
    ///
    /// # Errors
    ///
    /// Refuses one at fault.
    fn announce(&self, announcement: Announcement) -> Result<(), Refusal>;

    /// Notes that an endpoint leaves; without its incarnation, the one known here.
    ///
    /// # Errors
    ///
    /// Refuses when the incarnation is not known.
    fn leave(&self, endpoint: &str, incarnation: Option<u64>) -> Result<(), Refusal>;
}

impl dyn Announce {
    /// Name in the kernel.
    pub const NAME: &'static str = "announce";
}

/// The endpoints that this host knows.
pub trait Endpoints: Send + Sync {
    /// The index that queries plan on.
    fn routes(&self) -> Arc<Routes>;

    /// Follows the number of the index, which rises with each change.
    fn changes(&self) -> watch::Receiver<u64> {
        watch::channel(0).1
    }
}

impl dyn Endpoints {
    /// Name in the kernel.
    pub const NAME: &'static str = "endpoints";
}

/// Views of this host for operators, by name, such as `zones` and `endpoints`.
pub trait Views: Send + Sync {
    /// The view with the given name.
    fn view(&self, what: &str) -> Option<serde_json::Value>;
}

impl dyn Views {
    /// Name in the kernel.
    pub const NAME: &'static str = "views";
}

/// One request for one endpoint.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Name that is unique over all hosts and time.
    pub id: Arc<str>,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Key of a request that may not.
    pub key: Option<Arc<str>>,
    /// Collection to run on.
    pub collection: Arc<str>,
    /// Snapshot to run on.
    pub snapshot: Arc<str>,
    /// Shard to run on.
    pub shard: u32,
    /// Number of shards that the snapshot is partitioned into.
    pub shards: u32,
    /// Time that is left for the answer.
    pub timeout: Span,
    /// Body, as the caller sent it.
    pub body: Bytes,
}

/// Sends attempts to endpoints.
pub trait Transport: Send + Sync {
    /// Sends one attempt and waits for its answer, whose labels it has checked.
    ///
    /// The permit is held until the endpoint has ended the attempt, also when the
    /// caller no longer waits for it.
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

    /// Cancels an attempt whose answer is no longer wanted.
    fn cancel(&self, to: &Target, id: Arc<str>);
}

impl dyn Transport {
    /// Name in the kernel.
    pub const NAME: &'static str = "transport";
}

/// Called with an endpoint at which this host may send one request more.
pub type SlotListener = Box<dyn Fn(EndpointKey) + Send + Sync>;

/// Grants the right to send to endpoints, so that no endpoint is sent more than it can bear.
pub trait Allowance: Send + Sync {
    /// Takes the right to have one request in flight at an endpoint, if there is one now.
    fn acquire(&self, to: &Target) -> Option<Permit>;

    /// Whether asking there has brought no right for a while.
    fn is_starved(&self, at: &Target) -> bool {
        let _ = at;
        false
    }

    /// Asks for one right more at each of the endpoints; the listener is told when one comes.
    fn request_slots(&self, at: &[Target]) {
        let _ = at;
    }

    /// Sets the listener that is told of each endpoint with room: a permit came back there, or a
    /// slot was lent to this host.
    fn set_listener(&self, listener: SlotListener) {
        let _ = listener;
    }

    /// Takes note of what an attempt showed; it can lower what is granted at once.
    fn observe(&self, to: &Target, seen: Observation);

    /// Requests that this host has in flight at an endpoint.
    fn in_flight(&self, to: EndpointKey) -> u32;
}

impl dyn Allowance {
    /// Name in the kernel.
    pub const NAME: &'static str = "allowance";
}

/// The right to have one request in flight at an endpoint; dropping it gives it back.
pub struct Permit {
    taken: Instant,
    release: Option<Box<dyn FnOnce() + Send>>,
}

impl Permit {
    /// A permit taken now that calls `release` when dropped.
    pub fn new(release: impl FnOnce() + Send + 'static) -> Self {
        Self::acquired_at(Instant::now(), release)
    }

    /// A permit taken at `taken` that calls `release` when dropped.
    pub fn acquired_at(taken: Instant, release: impl FnOnce() + Send + 'static) -> Self {
        Self { taken, release: Some(Box::new(release)) }
    }

    /// The same permit, which calls `more` after its own release.
    pub fn then(self, more: impl FnOnce() + Send + 'static) -> Self {
        Self::acquired_at(self.taken, move || {
            drop(self);
            more();
        })
    }

    /// Time since the permit was taken.
    pub fn age(&self) -> Span {
        self.taken.elapsed().into()
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

/// What an attempt showed of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// It answered after this time.
    Answered(Span),
    /// It refused the attempt.
    Refused(Reason),
    /// The connection failed or no answer came.
    Failed,
    /// It answered with another incarnation than the announced one.
    Restarted(u64),
}

/// Brings commands to the replicated state.
pub trait Commands: Send + Sync {
    /// Hands a command in until it was applied or the time is over.
    ///
    /// # Errors
    ///
    /// Refuses with "not run" when it surely was not applied, else with "may have run".
    fn submit(&self, command: Command, bound: Span) -> BoxFuture<'_, Result<Reply, Refusal>>;

    /// Number of the tier, which each founding draws anew.
    ///
    /// # Errors
    ///
    /// Refuses with "not run" when no host that knows it is reached.
    fn tier_id(&self) -> BoxFuture<'_, Result<u64, Refusal>>;

    /// This host's disk, if it has one.
    fn replica_storage(&self) -> Option<ReplicaStorage>;

    /// Notes for good that a group's journal exists on this host's disk.
    ///
    /// # Errors
    ///
    /// Fails when the disk does.
    fn record_group(&self, group: &str) -> Result<()>;
}

/// A disk on which a host can hold replicas.
#[derive(Clone)]
pub struct ReplicaStorage {
    /// The replica that the host is.
    pub me: Replica,
    /// Its disk.
    pub disk: Arc<dyn Disk>,
}

/// Keeps the claims of tickets whose home is one availability zone.
pub trait Homes: Send + Sync {
    /// Epoch of the home of this host's zone, as far as one is known in the zone.
    fn epoch(&self) -> BoxFuture<'_, Option<u64>>;

    /// Hands a command to the home that a ticket names, until it was applied or the time
    /// is over.
    ///
    /// # Errors
    ///
    /// Refuses with "not run" when it surely was not applied, else with "may have run".
    fn submit<'a>(
        &'a self,
        ticket: &'a Ticket,
        command: Command,
        bound: Span,
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

/// Makes non-idempotent requests run at most once.
pub trait Claims: Send + Sync {
    /// Makes a ticket: a fresh key whose home is the tier, or this host's availability zone
    /// while the tier's quorum is not heard.
    ///
    /// # Errors
    ///
    /// Refuses with "not run" when the home cannot take claims now.
    fn ticket(&self) -> BoxFuture<'_, Result<String, Refusal>>;

    /// Claims a key for the request with the given digest; durable at a majority of the
    /// key's home before it returns [`Claim::Granted`].
    ///
    /// # Errors
    ///
    /// Refuses with "not run" when the claim is not granted and no outcome is known.
    fn claim<'a>(&'a self, key: &'a str, digest: [u8; 32])
    -> BoxFuture<'a, Result<Claim, Refusal>>;

    /// Records what became of a granted claim; best effort, resends see [`Claim::Running`]
    /// and later [`Outcome::MayHaveRun`] when it is lost.
    fn record<'a>(&'a self, key: &'a str, outcome: Outcome) -> BoxFuture<'a, ()>;
}

impl dyn Claims {
    /// Name in the kernel.
    pub const NAME: &'static str = "claims";
}

/// The hosts of the tier, this one included.
pub trait Members: Send + Sync {
    /// All hosts known, in the order of their names.
    fn watch(&self) -> watch::Receiver<Arc<Vec<Member>>>;
}

impl dyn Members {
    /// Name in the kernel.
    pub const NAME: &'static str = "members";
}
