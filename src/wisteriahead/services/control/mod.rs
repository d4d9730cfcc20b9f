//! Service that replicates the operators' document and puts it in force at every host.
//!
//! The document is kept in a Raft log. Hosts with a data folder may hold a replica of the log; their
//! leader commits a change only when a quorum has made it durable, then pushes the new revision to
//! all other hosts. Hosts also send each other their revisions periodically, so that a host that
//! missed a push gets the revision from any other.

mod admin;
mod bootstrap;
mod identity;
mod plans;
mod revision_store;
mod state_machine;
mod submit;
mod tasks;
mod wire;

pub use revision_store::RevisionStore;
pub use submit::wall_ms;
pub use wire::{Voters, ZoneOverride};

pub use crate::core::log::VoterRepair;

use self::bootstrap::TIER_GROUP;
use self::identity::DiskIdentity;
use self::state_machine::{GroupSender, TierState};
use self::wire::{Hello, HostStatus, Notification, Request, SubmitResult, TierInfo};
use super::{
    AcceptedDocument, Admin, Change, Commands, Control, Handler, Members, Peers, Plans,
    ReplicaStorage,
};
use crate::core::control::currency::Currency;
use crate::core::control::lockout::{lockout, retired_hosts};
use crate::core::control::settled::SettledRevision;
use crate::core::control::{Command, Reply};
use crate::core::digest;
use crate::core::document::{Document, Revision};
use crate::core::log::{Config, Replica, Supervisor};
use crate::core::member::Member;
use crate::core::message::{Topic, decode, encode};
use crate::kernel::{Context, Service};
use crate::prelude::*;
use crate::services::replica::Group;
use crate::util::disk::{DataFolder, Disk};
use futures::future::BoxFuture;
use parking_lot::Mutex;
use serde::de::DeserializeOwned;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Time allowed for one call to another host.
const CALL_TIMEOUT: Span = Span::millis(1_500);
/// Time allowed for a call that waits for a commit; longer than the leader's own timeout,
/// [`submit::COMMIT_TIMEOUT`].
const SUBMIT_TIMEOUT: Span = Span::secs(4);
/// Time allowed for a change to be committed.
const CHANGE_TIMEOUT: Span = Span::secs(10);
/// Time that a starting host waits for the revision of another host.
const START_TIMEOUT: Span = Span::secs(2);
/// Number of hosts that a starting host asks for their revision at a time: each answers with the whole.
const CATCH_UP_HOSTS: usize = 4;
/// Pause between two attempts to get the revision of another host.
const RETRY_INTERVAL: Span = Span::millis(10);

/// Settings of the service.
#[derive(Clone, Debug, Default)]
pub struct ControlSettings {
    /// Data folder; a host without one holds no replica of the log.
    pub data: Option<PathBuf>,
    /// Names of the hosts that are the initial voters of a new tier.
    pub voters: Vec<String>,
    /// Whether the settings name other hosts, whose revision is requested before this host serves.
    pub joins: bool,
    /// Automatic replacement of silent voters and addition of voters; `None` leaves both to
    /// operators. Voters that lost their disk are replaced either way.
    pub voter_repair: Option<VoterRepair>,
}

/// Service that publishes [`Control`], [`Commands`], [`Plans`] and [`Admin`].
pub struct ControlService {
    settings: ControlSettings,
    shared: Mutex<Option<Arc<Shared>>>,
}

/// Last status received from another host.
struct PeerStatus {
    status: HostStatus,
    received_at: Instant,
}

/// State shared by the tasks of the service.
struct Shared {
    peers: Arc<dyn Peers>,
    revisions: Arc<RevisionStore>,
    /// Names of the initial voters of a new tier, sorted.
    voters: Vec<String>,
    disk: Option<Arc<dyn Disk>>,
    /// Replica of this host, if it has a disk.
    me: Option<Replica>,
    identity: Mutex<Option<DiskIdentity>>,
    group: Mutex<Option<Group>>,
    statuses: Mutex<IndexMap<String, PeerStatus>>,
    /// Newest revision applied by this host's replica.
    published: Arc<AtomicU64>,
    currency: Mutex<Currency>,
    settled: Mutex<SettledRevision>,
    /// Hosts that get this host's status, and the version of the other hosts that they were chosen from.
    status_targets: Mutex<(Option<u64>, Vec<String>)>,
    started: Instant,
    /// Hosts of the tier, where the service that follows them runs.
    members: Option<watch::Receiver<Arc<Vec<Member>>>>,
    supervisor: Mutex<Supervisor>,
    /// Replicas of the log that were logged last.
    logged_replicas: Mutex<Config>,
}

impl ControlService {
    /// A service that is not started yet.
    pub fn new(settings: ControlSettings) -> Self {
        Self { settings, shared: Mutex::new(None) }
    }

    async fn run(&self, ctx: &Context) -> Result<()> {
        let peers = ctx.find::<dyn Peers>(<dyn Peers>::NAME)?;
        let members = ctx.find::<dyn Members>(<dyn Members>::NAME).ok();
        let shared = Arc::new(Shared::open(&self.settings, peers.clone(), members)?);
        shared.resume()?;
        *self.shared.lock() = Some(shared.clone());
        peers.set_handler(Topic::Control, shared.clone());
        let control: Arc<dyn Control> = shared.clone();
        ctx.publish(<dyn Control>::NAME, control);
        let commands: Arc<dyn Commands> = shared.clone();
        ctx.publish(<dyn Commands>::NAME, commands);
        let plans: Arc<dyn Plans> = shared.clone();
        ctx.publish(<dyn Plans>::NAME, plans);
        let admin: Arc<dyn Admin> = shared.clone();
        ctx.publish(<dyn Admin>::NAME, admin);
        tokio::spawn(tasks::run(shared.clone(), ctx.clone()));
        if self.settings.joins {
            // After the timeout the host serves the revision on its disk, so that a partitioned
            // zone can still start.
            let result = timeout(START_TIMEOUT.to_std(), shared.catch_up()).await;
            if result.is_err() {
                log::warn!("no other host reported its revision within {START_TIMEOUT}");
            }
        }
        Ok(())
    }
}

impl Service for ControlService {
    fn name(&self) -> &'static str {
        <dyn Control>::NAME
    }

    fn start<'a>(&'a self, ctx: &'a Context) -> BoxFuture<'a, Result<()>> {
        Box::pin(self.run(ctx))
    }

    fn stop(&self, _bound: Span) -> BoxFuture<'_, ()> {
        Box::pin(async {
            let group = self.shared.lock().as_ref().and_then(|s| s.group(TIER_GROUP));
            if let Some(group) = group {
                group.stop();
            }
        })
    }
}

impl Shared {
    fn open(
        settings: &ControlSettings,
        peers: Arc<dyn Peers>,
        members: Option<Arc<dyn Members>>,
    ) -> Result<Self> {
        let mut voters = settings.voters.clone();
        voters.sort();
        voters.dedup();
        let disk = settings.data.as_ref().map(|root| DataFolder::open(root)).transpose()?;
        let disk = disk.map(|folder| Arc::new(folder) as Arc<dyn Disk>);
        let identity = disk.as_ref().map(DiskIdentity::open).transpose()?;
        let me = identity.as_ref().map(|identity| Replica {
            host: peers.host().to_owned(),
            zone: peers.zone().to_owned(),
            disk: identity.disk,
        });
        let revisions = Arc::new(RevisionStore::open(disk.as_ref())?);
        Ok(Self {
            peers,
            revisions,
            voters,
            disk,
            me,
            identity: Mutex::new(identity),
            group: Mutex::new(None),
            statuses: Mutex::default(),
            published: Arc::default(),
            currency: Mutex::default(),
            settled: Mutex::default(),
            status_targets: Mutex::default(),
            started: Instant::now(),
            members: members.map(|members| members.watch()),
            supervisor: Mutex::new(Supervisor::new(settings.voter_repair)),
            logged_replicas: Mutex::default(),
        })
    }

    /// Starts the replica of the tier that the disk belongs to, if any.
    fn resume(&self) -> Result<()> {
        let tier = self.tier_info();
        tier.map_or(Ok(()), |tier| self.join_tier(tier))
    }

    /// Time since this service was created, as the state machines take it.
    fn now(&self) -> Time {
        Time(0) + Span::from(self.started.elapsed())
    }

    fn tier_info(&self) -> Option<TierInfo> {
        self.identity.lock().as_ref().and_then(|i| i.tier.clone())
    }

    /// Joins a tier durably and starts this host's replica.
    fn join_tier(&self, tier: TierInfo) -> Result<()> {
        let Some(me) = self.me.clone() else { return Ok(()) };
        let mut identity = self.identity.lock();
        let Some(identity) = identity.as_mut() else { return Ok(()) };
        if identity.tier.is_none() {
            identity.set_tier(tier.clone())?;
        }
        let stored =
            bootstrap::open_store(self, TIER_GROUP, bootstrap::initial_checkpoint(&me, &tier))?;
        identity.add_group(TIER_GROUP)?;
        let published = self.published.clone();
        let machine = TierState::new(self.revisions.clone(), self.peers.clone(), published)?;
        let sender = GroupSender {
            peers: self.peers.clone(),
            group: TIER_GROUP.to_owned(),
            tier: tier.tier,
        };
        let seed = rand::random();
        let group = Group::start(me, stored, Box::new(machine), Box::new(sender), seed)?;
        *self.group.lock() = Some(group);
        Ok(())
    }

    /// This host's replica in a group, if it is running.
    fn group(&self, name: &str) -> Option<Group> {
        let group = self.group.lock().clone();
        group.filter(|g| name == TIER_GROUP && g.is_running())
    }

    /// Newest revision committed to the log, if this host leads.
    fn newest_revision(&self) -> Option<Revision> {
        let leads = self.group(TIER_GROUP).is_some_and(|g| g.status().leads);
        leads.then(|| self.published.load(Ordering::Relaxed))
    }

    /// Name of a group's leader, if it is known and another host.
    fn leader(&self, name: &str) -> Option<String> {
        let status = self.group(name).map(|group| group.status());
        let own = status.and_then(|s| Some((s.term, s.leader?.host)));
        let (_, leader) = self.supervisor.lock().leader(self.now(), own)?;
        Some(leader).filter(|host| host != self.peers.host())
    }

    async fn call<T: DeserializeOwned>(&self, host: &str, request: &Request) -> Result<T> {
        let call = self.peers.call(host, Topic::Control, encode(request));
        let bound = match request {
            Request::Submit { .. } | Request::Change { .. } => SUBMIT_TIMEOUT,
            _ => CALL_TIMEOUT,
        };
        Ok(decode(&timeout(bound.to_std(), call).await??)?)
    }

    /// Requests newer revisions from a few other hosts at a time until at least one of them answers. The
    /// statuses that hosts exchange bring what these did not have yet.
    async fn catch_up(&self) {
        for round in 0.. {
            let request = Request::InForce(self.revisions.revision());
            let others = self.peers.others();
            let ranked = digest::rank(self.peers.host(), others.iter().map(String::as_str));
            let count = ranked.len().max(1);
            let first = round * CATCH_UP_HOSTS % count;
            let hosts: Vec<_> =
                ranked.iter().cycle().skip(first).take(CATCH_UP_HOSTS.min(count)).collect();
            let calls = hosts.iter().map(|h| self.call::<Option<_>>(h, &request));
            let answers = futures::future::join_all(calls).await;
            let answered = answers.iter().any(Result::is_ok);
            answers.into_iter().flatten().flatten().for_each(|active| self.revisions.adopt(active));
            if answered {
                return;
            }
            sleep(RETRY_INTERVAL.to_std()).await;
        }
    }

    /// Submits a change and waits until it is in force at this host.
    async fn change(&self, command: Command, bound: Span) -> Result<Revision, Refusal> {
        let reply = submit::submit(self, TIER_GROUP, command, bound).await?;
        let Reply::Change(result) = reply else {
            return Err(Refusal::may_have_run(Reason::Internal, "the reply is of another kind"));
        };
        let revision = result?;
        // The change is accepted even if this host does not receive the revision in time.
        self.wait_for_revision(revision).await;
        Ok(revision)
    }

    /// Waits until a revision is in force at this host; false after a timeout.
    async fn wait_for_revision(&self, revision: Revision) -> bool {
        let mut accepted = self.revisions.watch();
        let reached = accepted.wait_for(|a| a.revision >= revision);
        matches!(timeout(CALL_TIMEOUT.to_std(), reached).await, Ok(Ok(_)))
    }

    async fn edit(&self, change: Change) -> Result<Revision, Refusal> {
        check_id(&change.id)?;
        let new = Document::parse(&change.text);
        let old = self.revisions.active().document().unwrap_or_default();
        let zones = new.as_ref().map_or_else(|_| Vec::new(), |new| changed_zones(&old, new));
        let fault = match &new {
            Ok(new) => self.lockout(new).await?,
            Err(fault) => Some(fault.clone()),
        };
        // The text of a faulty document, which may be too long, is not written to the log.
        let text = if fault.is_some() { String::new() } else { change.text };
        let change = Change { text, ..change };
        self.change(Command::Edit { change, fault, zones }, CHANGE_TIMEOUT).await
    }

    /// Why a document may not be accepted because of the hosts that it retires, if so.
    async fn lockout(&self, document: &Document) -> Result<Option<String>, Refusal> {
        let retired = retired_hosts(document);
        if retired.is_empty() {
            return Ok(None);
        }
        let voters = self.all_voters().await?.voters;
        let own = std::iter::once(self.peers.host().to_owned());
        let hosts: Vec<String> = own.chain(self.peers.others()).collect();
        Ok(lockout(&retired, &voters, &hosts))
    }

    fn handle_notification(&self, from: &str, notification: Notification) {
        match notification {
            Notification::Log { group, tier, to, message } => {
                self.handle_log_message(&group, tier, to, message)
            }
            Notification::Push(active) => {
                let revisions = self.revisions.clone();
                // Adopting a revision may write to disk.
                tokio::task::spawn_blocking(move || revisions.adopt(active));
            }
            Notification::Change(change) => {
                let (base, revision) = (change.base, change.revision);
                if revision <= self.revisions.revision() {
                    return;
                }
                if base != self.revisions.revision() {
                    // The sender answers with the whole revision.
                    return self.send_own_status(from);
                }
                let revisions = self.revisions.clone();
                tokio::task::spawn_blocking(move || revisions.adopt_change(*change));
            }
            Notification::Here(status) => self.handle_status(from, status),
        }
    }

    fn handle_log_message(
        &self,
        group: &str,
        tier: u64,
        to: u64,
        message: crate::core::log::Message,
    ) {
        let is_own_tier = self.tier_info().is_some_and(|t| t.tier == tier);
        if is_own_tier
            && self.me.as_ref().is_some_and(|me| me.disk == to)
            && let Some(group) = self.group(group)
        {
            group.receive(message);
        }
    }

    async fn handle_request(&self, request: Request) -> Result<Vec<u8>> {
        Ok(match request {
            Request::Hello => encode(&self.hello()),
            Request::InForce(above) => {
                let active = self.revisions.active();
                encode(&(active.revision > above).then_some(active))
            }
            Request::Revision => encode(&Some(self.revisions.revision())),
            Request::Submit { group, command } => encode(&match self.group(&group) {
                Some(group) => submit::propose(self, &group, command).await,
                None => SubmitResult::Refused("this host does not hold the group".to_owned()),
            }),
            Request::Audit { .. } => self
                .group(TIER_GROUP)
                .context("this host holds no log")?
                .query(encode(&request))
                .await
                .context("the log has stopped")?,
            Request::Voters => encode(&self.local_voters()),
            Request::Change { host, add } => encode(&self.change_voters_here(&host, add).await),
        })
    }

    fn hello(&self) -> Hello {
        Hello {
            zone: self.peers.zone().to_owned(),
            disk: self.me.as_ref().map(|me| me.disk),
            voters: self.voters.clone(),
            tier: self.tier_info(),
        }
    }
}

impl Control for Shared {
    fn watch(&self) -> watch::Receiver<AcceptedDocument> {
        self.revisions.watch()
    }

    fn unconfirmed_for(&self) -> Option<Span> {
        self.currency.lock().unconfirmed_for(self.now())
    }

    fn propose(&self, change: Change) -> BoxFuture<'_, Result<Revision, Refusal>> {
        Box::pin(self.edit(change))
    }
}

impl Commands for Shared {
    fn submit(&self, command: Command, bound: Span) -> BoxFuture<'_, Result<Reply, Refusal>> {
        Box::pin(submit::submit(self, TIER_GROUP, command, bound))
    }

    fn tier_id(&self) -> BoxFuture<'_, Result<u64, Refusal>> {
        Box::pin(async {
            let mut tier = self.tier_info();
            if tier.is_none()
                && let Some(leader) = self.leader(TIER_GROUP)
            {
                let hello = self.call::<Hello>(&leader, &Request::Hello).await;
                tier = hello.ok().and_then(|h| h.tier);
            }
            let detail = "no host that keeps the tier's state was reached";
            tier.map(|t| t.tier).ok_or_else(|| Refusal::not_run(Reason::NoQuorum, detail))
        })
    }

    fn replica_storage(&self) -> Option<ReplicaStorage> {
        Some(ReplicaStorage { me: self.me.clone()?, disk: self.disk.clone()? })
    }

    fn record_group(&self, group: &str) -> Result<()> {
        self.identity.lock().as_mut().map_or(Ok(()), |identity| identity.add_group(group))
    }
}

impl Handler for Shared {
    fn receive(&self, from: &str, body: &[u8]) {
        match decode(body) {
            Ok(notification) => self.handle_notification(from, notification),
            Err(e) => log::warn!("dropped an invalid control message from host `{from}`: {e}"),
        }
    }

    fn answer<'a>(&'a self, _from: &'a str, body: &'a [u8]) -> BoxFuture<'a, Result<Vec<u8>>> {
        Box::pin(async move { self.handle_request(decode(body)?).await })
    }
}

/// Names of the zones whose state differs between two documents.
fn changed_zones(old: &Document, new: &Document) -> Vec<String> {
    let state = |doc: &Document, name: &str| doc.zone(name).map(|z| z.state);
    let names = old.zones.iter().chain(&new.zones).map(|z| &z.name);
    let changed = names.filter(|n| state(old, n) != state(new, n));
    changed.cloned().collect::<IndexSet<_>>().into_iter().collect()
}

fn check_id(id: &str) -> Result<(), Refusal> {
    use crate::core::control::changes::ID_MAX_BYTES;
    if id.is_empty() {
        let detail = "`id` is empty; a change needs an identifier of its own";
        return Err(Refusal::not_run(Reason::BadRequest, detail));
    }
    if id.len() > ID_MAX_BYTES {
        let detail = format!("`id` has {} bytes; at most {ID_MAX_BYTES} are allowed", id.len());
        return Err(Refusal::not_run(Reason::BadRequest, detail));
    }
    Ok(())
}
