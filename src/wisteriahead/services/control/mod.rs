//! The operators' document in the replicated log, and what of it is in force here.
//!
//! Hosts with a data folder hold the log; one of them leads, and commits a change only
//! when a quorum has made it durable. All others follow: the leader pushes what it
//! commits, and hosts tell each other their revisions again and again, so that one that
//! missed a push gets it from any other.

mod admin;
mod form;
mod identity;
mod machine;
mod plans;
mod revision_store;
mod rounds;
mod submit;
mod wire;

pub use revision_store::RevisionStore;
pub use submit::wall_ms;
pub use wire::{Voters, ZoneOverride};

use self::form::TIER;
use self::identity::Identity;
use self::machine::{GroupSender, TierState};
use self::wire::{Ask, Founded, Hello, Here, Note, Submitted};
use super::{Accepted, Admin, Change, Commands, Control, Handler, Peers, Plans, Seat};
use crate::core::control::lockout::{lockout, retired_hosts};
use crate::core::control::{Command, Reply};
use crate::core::document::{Document, Revision};
use crate::core::log::Replica;
use crate::core::message::{Topic, decode, encode};
use crate::kernel::{Context, Service};
use crate::prelude::*;
use crate::services::replica::Group;
use crate::util::disk::{DataFolder, Disk};
use futures::future::BoxFuture;
use parking_lot::Mutex;
use serde::de::DeserializeOwned;
use std::path::PathBuf;
use std::time::Instant;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Time allowed for one call to another host.
const CALL_TIMEOUT: Span = Span::millis(1_500);
/// Time allowed for a call that waits for a commit; longer than a leader waits for it.
const SUBMIT_TIMEOUT: Span = Span::secs(4);
/// Time allowed for a change to be committed.
const CHANGE_MAX: Span = Span::secs(10);
/// Longest wait of a starting host for another's revision.
const START_MAX: Span = Span::secs(2);
/// Pause between two looks at a condition.
const LOOK: Span = Span::millis(10);

/// Settings of the service.
#[derive(Clone, Debug, Default)]
pub struct ControlSettings {
    /// Data folder; a host without one holds no log.
    pub data: Option<PathBuf>,
    /// Names of the hosts that found the tier.
    pub voters: Vec<String>,
    /// Whether other hosts are known from the settings, to be asked before this one serves.
    pub joins: bool,
    /// How voters are replaced and added; without it operators do that.
    pub succession: Option<Succession>,
}

/// How hosts that hold a disk and no vote become voters.
#[derive(Clone, Copy, Debug)]
pub struct Succession {
    /// Silence after which a voter's place goes to such a host.
    pub silence: Span,
    /// Voters that may be lost at once so that the rest still decides.
    pub losses: usize,
}

/// The service: publishes [`Control`] and [`Admin`].
pub struct ControlService {
    settings: ControlSettings,
    shared: Mutex<Option<Arc<Shared>>>,
}

/// How another host was last seen.
struct Seen {
    here: Here,
    at: Instant,
}

/// What the tasks of the service share.
struct Shared {
    peers: Arc<dyn Peers>,
    revisions: Arc<RevisionStore>,
    /// Names of the hosts that found the tier, sorted.
    voters: Vec<String>,
    disk: Option<Arc<dyn Disk>>,
    me: Option<Replica>,
    identity: Mutex<Option<Identity>>,
    group: Mutex<Option<Group>>,
    seen: Mutex<IndexMap<String, Seen>>,
    started: Instant,
    succession: Option<Succession>,
    /// Since when this host leads.
    leads: Mutex<Option<Instant>>,
}

impl ControlService {
    /// A service that is not started yet.
    pub fn new(settings: ControlSettings) -> Self {
        Self { settings, shared: Mutex::new(None) }
    }

    async fn run(&self, ctx: &Context) -> Result<()> {
        let peers = ctx.find::<dyn Peers>(<dyn Peers>::NAME)?;
        let shared = Arc::new(Shared::open(&self.settings, peers.clone())?);
        shared.resume()?;
        *self.shared.lock() = Some(shared.clone());
        peers.handle(Topic::Control, shared.clone());
        let control: Arc<dyn Control> = shared.clone();
        ctx.publish(<dyn Control>::NAME, control);
        let commands: Arc<dyn Commands> = shared.clone();
        ctx.publish(<dyn Commands>::NAME, commands);
        let plans: Arc<dyn Plans> = shared.clone();
        ctx.publish(<dyn Plans>::NAME, plans);
        let admin: Arc<dyn Admin> = shared.clone();
        ctx.publish(<dyn Admin>::NAME, admin);
        tokio::spawn(rounds::run(shared.clone(), ctx.clone()));
        if self.settings.joins {
            // Past the bound it serves what it has: a cut-off zone goes on.
            let asked = timeout(START_MAX.to_std(), shared.catch_up()).await;
            if asked.is_err() {
                log::warn!("no other host told its revision within {START_MAX}");
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
            let group = self.shared.lock().as_ref().and_then(|s| s.group(TIER));
            if let Some(group) = group {
                group.stop();
            }
        })
    }
}

impl Shared {
    fn open(settings: &ControlSettings, peers: Arc<dyn Peers>) -> Result<Self> {
        let mut voters = settings.voters.clone();
        voters.sort();
        voters.dedup();
        let disk = settings.data.as_ref().map(|root| DataFolder::open(root)).transpose()?;
        let disk = disk.map(|folder| Arc::new(folder) as Arc<dyn Disk>);
        let identity = disk.as_ref().map(Identity::open).transpose()?;
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
            seen: Mutex::default(),
            started: Instant::now(),
            succession: settings.succession,
            leads: Mutex::new(None),
        })
    }

    /// Goes on in the tier that the disk belongs to.
    fn resume(&self) -> Result<()> {
        let founded = self.founded();
        founded.map_or(Ok(()), |founded| self.begin(founded))
    }

    fn founded(&self) -> Option<Founded> {
        self.identity.lock().as_ref().and_then(|i| i.founded.clone())
    }

    /// Belongs to a tier from here on.
    fn begin(&self, founded: Founded) -> Result<()> {
        let Some(me) = self.me.clone() else { return Ok(()) };
        let mut identity = self.identity.lock();
        let Some(identity) = identity.as_mut() else { return Ok(()) };
        if identity.founded.is_none() {
            identity.found(founded.clone())?;
        }
        let kept = form::store(self, TIER, form::base(&me, &founded))?;
        identity.keep(TIER)?;
        let machine = TierState::new(self.revisions.clone(), self.peers.clone())?;
        let carrier =
            GroupSender { peers: self.peers.clone(), group: TIER.to_owned(), tier: founded.tier };
        let seed = rand::random();
        let group = Group::start(me, kept, Box::new(machine), Box::new(carrier), seed)?;
        *self.group.lock() = Some(group);
        Ok(())
    }

    fn group(&self, name: &str) -> Option<Group> {
        let group = self.group.lock().clone();
        group.filter(|g| name == TIER && g.is_running())
    }

    /// Name of a group's leader, as far as it is known here.
    fn leader(&self, name: &str) -> Option<String> {
        if let Some(group) = self.group(name)
            && let Some(leader) = group.status().leader
        {
            return Some(leader.host).filter(|host| host != self.peers.host());
        }
        let seen = self.seen.lock();
        let fresh = seen.values().filter(|s| Span::from(s.at.elapsed()) < rounds::FRESH);
        let leader = fresh.filter_map(|s| s.here.leader.as_ref()).max_by_key(|(term, _)| *term);
        leader.map(|(_, host)| host.clone()).filter(|host| host != self.peers.host())
    }

    async fn call<T: DeserializeOwned>(&self, host: &str, ask: &Ask) -> Result<T> {
        let call = self.peers.call(host, Topic::Control, encode(ask));
        let bound = match ask {
            Ask::Submit { .. } | Ask::Change { .. } => SUBMIT_TIMEOUT,
            _ => CALL_TIMEOUT,
        };
        Ok(decode(&timeout(bound.to_std(), call).await??)?)
    }

    /// Asks others until one has told what is in force there.
    async fn catch_up(&self) {
        loop {
            let ask = Ask::InForce(self.revisions.revision());
            let hosts = self.peers.others();
            let asked = hosts.iter().map(|h| self.call::<Option<_>>(h, &ask));
            let answers = futures::future::join_all(asked).await;
            let told = answers.iter().any(Result::is_ok);
            answers.into_iter().flatten().flatten().for_each(|force| self.revisions.adopt(force));
            if told {
                return;
            }
            sleep(LOOK.to_std()).await;
        }
    }

    /// Hands a change in and waits until it is in force here.
    async fn change(&self, command: Command, bound: Span) -> Result<Revision, Refusal> {
        let reply = submit::submit(self, TIER, command, bound).await?;
        let Reply::Change(done) = reply else {
            return Err(Refusal::may_have_run(Reason::Internal, "the reply is of another kind"));
        };
        let revision = done?;
        // A host that is behind gets it later; the change itself is accepted.
        self.reaches(revision).await;
        Ok(revision)
    }

    /// Waits until a revision is in force here; false if that takes too long.
    async fn reaches(&self, revision: Revision) -> bool {
        let mut here = self.revisions.watch();
        let reached = here.wait_for(|a| a.revision >= revision);
        matches!(timeout(CALL_TIMEOUT.to_std(), reached).await, Ok(Ok(_)))
    }

    async fn edit(&self, change: Change) -> Result<Revision, Refusal> {
        check_id(&change.id)?;
        let new = Document::parse(&change.text);
        let old = self.revisions.active().document().unwrap_or_default();
        let zones = new.as_ref().map_or_else(|_| Vec::new(), |new| edited(&old, new));
        let fault = match &new {
            Ok(new) => self.lockout(new).await?,
            Err(fault) => Some(fault.clone()),
        };
        // A document that is too long is refused without a trace in the log.
        let text = if fault.is_some() { String::new() } else { change.text };
        let change = Change { text, ..change };
        self.change(Command::Edit { change, fault, zones }, CHANGE_MAX).await
    }

    /// Why a document may not be put in force by the hosts that it retires.
    async fn lockout(&self, document: &Document) -> Result<Option<String>, Refusal> {
        let retired = retired_hosts(document);
        if retired.is_empty() {
            return Ok(None);
        }
        let voters = self.all_voters().await?.voters;
        let mine = std::iter::once(self.peers.host().to_owned());
        let hosts: Vec<String> = mine.chain(self.peers.others()).collect();
        Ok(lockout(&retired, &voters, &hosts))
    }

    fn note(&self, from: &str, note: Note) {
        match note {
            Note::Log { group, tier, to, message } => self.log_message(&group, tier, to, message),
            Note::Push(force) => {
                let revisions = self.revisions.clone();
                // It may write to the disk.
                tokio::task::spawn_blocking(move || revisions.adopt(force));
            }
            Note::Here(here) => self.here(from, here),
        }
    }

    fn log_message(&self, group: &str, tier: u64, to: u64, message: crate::core::log::Message) {
        let mine = self.founded().is_some_and(|f| f.tier == tier);
        if mine
            && self.me.as_ref().is_some_and(|me| me.disk == to)
            && let Some(group) = self.group(group)
        {
            group.receive(message);
        }
    }

    async fn answer_ask(&self, ask: Ask) -> Result<Vec<u8>> {
        Ok(match ask {
            Ask::Hello => encode(&self.hello()),
            Ask::InForce(above) => {
                let force = self.revisions.active();
                encode(&(force.revision > above).then_some(force))
            }
            Ask::Revision => encode(&Some(self.revisions.revision())),
            Ask::Submit { group, command } => encode(&match self.group(&group) {
                Some(group) => submit::propose(self, &group, command).await,
                None => Submitted::Refused("this host does not hold the group".to_owned()),
            }),
            Ask::Audit { .. } => self
                .group(TIER)
                .context("this host holds no log")?
                .ask(encode(&ask))
                .await
                .context("the log has stopped")?,
            Ask::Voters => encode(&self.local_voters()),
            Ask::Change { host, add } => encode(&self.local_change(&host, add).await),
        })
    }

    fn hello(&self) -> Hello {
        Hello {
            zone: self.peers.zone().to_owned(),
            disk: self.me.as_ref().map(|me| me.disk),
            voters: self.voters.clone(),
            tier: self.founded(),
        }
    }
}

impl Control for Shared {
    fn watch(&self) -> watch::Receiver<Accepted> {
        self.revisions.watch()
    }

    fn propose(&self, change: Change) -> BoxFuture<'_, Result<Revision, Refusal>> {
        Box::pin(self.edit(change))
    }
}

impl Commands for Shared {
    fn submit(&self, command: Command, bound: Span) -> BoxFuture<'_, Result<Reply, Refusal>> {
        Box::pin(submit::submit(self, TIER, command, bound))
    }

    fn tier(&self) -> BoxFuture<'_, Result<u64, Refusal>> {
        Box::pin(async {
            let mut founded = self.founded();
            if founded.is_none()
                && let Some(leader) = self.leader(TIER)
            {
                let hello = self.call::<Hello>(&leader, &Ask::Hello).await;
                founded = hello.ok().and_then(|h| h.tier);
            }
            let detail = "no host that keeps the tier's state was reached";
            founded.map(|f| f.tier).ok_or_else(|| Refusal::not_run(Reason::NoQuorum, detail))
        })
    }

    fn seat(&self) -> Option<Seat> {
        Some(Seat { me: self.me.clone()?, disk: self.disk.clone()? })
    }

    fn keep(&self, group: &str) -> Result<()> {
        self.identity.lock().as_mut().map_or(Ok(()), |identity| identity.keep(group))
    }
}

impl Handler for Shared {
    fn receive(&self, from: &str, body: &[u8]) {
        match decode(body) {
            Ok(note) => self.note(from, note),
            Err(e) => log::warn!("control message of host `{from}` dropped: {e}"),
        }
    }

    fn answer<'a>(&'a self, _from: &'a str, body: &'a [u8]) -> BoxFuture<'a, Result<Vec<u8>>> {
        Box::pin(async move { self.answer_ask(decode(body)?).await })
    }
}

/// Zones whose state differs between two documents.
fn edited(old: &Document, new: &Document) -> Vec<String> {
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
