//! What the service does again and again: join a tier, tell others how this host stands,
//! replace lost voters, and carry local marks into the log.

use super::form::{self, TIER};
use super::submit;
use super::wire::{Here, Note, ZoneOverride};
use super::{Seen, Shared, Succession};
use crate::core::control::lockout::retired_hosts;
use crate::core::control::{Command, Reply};
use crate::core::digest;
use crate::core::document::ZoneState;
use crate::core::log::{Config, Replica, add_voters, replace_voters, voters_tolerating};
use crate::core::message::{Topic, encode};
use crate::kernel::Context;
use crate::prelude::*;
use std::time::Instant;
use tokio::time::{sleep, timeout};

/// Time between two rounds.
const ROUND: Span = Span::millis(250);
/// Time between two reports of how this host stands: a successor waits 2.5 s for a voter's word.
const TELL: Span = Span::millis(500);
/// Time between two looks whether the replica has stopped.
const REVIVE: Span = Span::secs(1);
/// Time between two tries to join a tier.
const JOIN_PAUSE: Span = Span::millis(50);
/// Time allowed for one step of a repair.
const REPAIR_MAX: Span = Span::secs(1);
/// Hosts that one tells how it stands, besides the leader: it keeps connections to them open.
const FANOUT: usize = 3;
/// Rounds in which a leader tells all others, a part of them in each: sooner than what it told
/// counts no more, [`FRESH`].
const LEADER_ROUNDS: usize = 4;
/// Time in which a host that is retired still gets its answers: it may have asked for that itself.
const FAREWELL: Span = Span::millis(300);
/// Age up to which it counts who another host says that leads.
pub const FRESH: Span = Span::secs(3);
/// Time allowed for carrying one mark into the log.
const CARRY_MAX: Span = Span::secs(2);
/// Most hosts remembered.
const SEEN_MAX: usize = 2_048;

/// Runs the rounds until the daemon stops.
pub async fn run(shared: Arc<Shared>, ctx: Context) {
    // Each in a loop of its own, so that a call to a host that is gone delays no other.
    tokio::select! {
        () = ctx.stopped() => {}
        () = join(&shared) => {}
        () = told(&shared) => {}
        () = mended(&shared) => {}
        () = barred(&shared) => {}
        () = revived(&shared) => {}
    }
}

async fn join(shared: &Arc<Shared>) {
    while shared.founded().is_none() {
        if let Err(e) = form::attempt(shared).await {
            log::error!("could not join the tier: {e:#}");
        }
        sleep(JOIN_PAUSE.to_std()).await;
    }
    std::future::pending().await
}

async fn told(shared: &Shared) {
    for round in 0_usize.. {
        shared.tell(round);
        sleep(TELL.to_std()).await;
    }
}

async fn mended(shared: &Shared) {
    loop {
        shared.repair().await;
        shared.carry().await;
        sleep(ROUND.to_std()).await;
    }
}

/// Starts the replica again after its disk failed: it goes on from what is durable, as after a
/// restart of the process.
async fn revived(shared: &Arc<Shared>) {
    loop {
        sleep(REVIVE.to_std()).await;
        if shared.me.is_none() || shared.founded().is_none() || shared.group(TIER).is_some() {
            continue;
        }
        let again = Arc::clone(shared);
        // It reads and writes the disk.
        match tokio::task::spawn_blocking(move || again.resume()).await {
            Ok(Ok(())) => log::info!("the disk works again; this host votes and keeps claims"),
            Ok(Err(e)) => log::warn!("the disk still fails: {e:#}"),
            Err(e) => log::error!("the replica could not be started again: {e}"),
        }
    }
}

/// Shuts out the hosts that the document in force retires.
async fn barred(shared: &Shared) {
    let mut accepted = shared.revisions.watch();
    loop {
        let retired = retired_hosts(&accepted.borrow_and_update().document);
        if !retired.is_empty() {
            sleep(FAREWELL.to_std()).await;
        }
        shared.peers.bar(retired);
        if accepted.changed().await.is_err() {
            return;
        }
    }
}

impl Shared {
    pub(super) fn standing(&self) -> Here {
        let view = self.group(TIER).map(|g| g.status());
        let leader = view.and_then(|v| Some((v.term, v.leader?.host)));
        Here {
            zone: self.peers.zone().to_owned(),
            revision: self.revisions.revision(),
            disk: self.me.as_ref().map(|me| me.disk),
            leader,
            marks: self.revisions.overrides(),
        }
    }

    /// Tells the leader and a few others how this host stands; a leader tells all in turn, so that
    /// they know whom to tell.
    pub(super) fn tell(&self, round: usize) {
        let others = self.peers.others();
        let body = encode(&Note::Here(self.standing()));
        let few = digest::rank(self.peers.host(), others.iter().map(String::as_str));
        let few = few.into_iter().take(FANOUT).map(str::to_owned);
        let leads = self.group(TIER).is_some_and(|g| g.status().leads);
        let turn = others.iter().skip(round % LEADER_ROUNDS).step_by(LEADER_ROUNDS);
        let turn = turn.filter(|_| leads).cloned();
        for host in few.chain(turn).chain(self.leader(TIER)).collect::<IndexSet<_>>() {
            self.peers.send(&host, Topic::Control, body.clone());
        }
    }

    /// Tells all others at once.
    pub(super) fn tell_all(&self) {
        let body = encode(&Note::Here(self.standing()));
        for host in self.peers.others() {
            self.peers.send(&host, Topic::Control, body.clone());
        }
    }

    /// Takes note of how another host stands, and sends it what it lacks.
    pub(super) fn here(&self, from: &str, here: Here) {
        let (mine, theirs) = (self.revisions.revision(), here.revision);
        if here.zone == self.peers.zone() {
            for mark in here.marks.clone() {
                let revisions = Arc::clone(&self.revisions);
                // It may write to the disk.
                tokio::task::spawn_blocking(move || revisions.add_override(&mark));
            }
        }
        let mut seen = self.seen.lock();
        if seen.len() < SEEN_MAX || seen.contains_key(from) {
            seen.insert(from.to_owned(), Seen { here, at: Instant::now() });
        }
        drop(seen);
        let note = match theirs.cmp(&mine) {
            std::cmp::Ordering::Less => Note::Push(self.revisions.active()),
            std::cmp::Ordering::Greater => Note::Here(self.standing()),
            std::cmp::Ordering::Equal => return,
        };
        self.peers.send(from, Topic::Control, encode(&note));
    }

    /// Hosts and the disks that they were last seen with.
    pub(super) fn disks(&self) -> Vec<Replica> {
        let seen = self.seen.lock();
        let replica = |(host, s): (&String, &Seen)| {
            let fresh = Span::from(s.at.elapsed()) < FRESH;
            let (zone, disk) = (s.here.zone.clone(), s.here.disk.filter(|_| fresh)?);
            Some(Replica { host: host.clone(), zone, disk })
        };
        seen.iter().filter_map(replica).collect()
    }

    /// Voters without word for so long that their places go to others, once this host has led for as
    /// long: before that it may not have been told.
    fn gone(&self, config: &Config) -> Vec<Replica> {
        let Some(Succession { silence, .. }) = self.succession else { return Vec::new() };
        let led = *self.leads.lock().get_or_insert_with(Instant::now);
        if Span::from(led.elapsed()) < silence {
            return Vec::new();
        }
        let seen = self.seen.lock();
        let is_heard = |r: &Replica| {
            let heard = seen.get(&r.host).is_some_and(|s| Span::from(s.at.elapsed()) < silence);
            heard || r.host == self.peers.host()
        };
        config.voters.iter().filter(|r| !is_heard(r)).cloned().collect()
    }

    /// Replaces voters that lost their disks or are gone, as far as this host leads.
    async fn repair(&self) {
        let Some(group) = self.group(TIER) else { return };
        let view = group.status();
        if !view.leads {
            *self.leads.lock() = None;
            return;
        }
        let (seen, gone) = (self.disks(), self.gone(&view.config));
        let grown = || add_voters(&view.config, &seen, voters_tolerating(self.succession?.losses));
        if let Some(change) =
            replace_voters(&view.config, &view.caught_up, &seen, &gone).or_else(grown)
        {
            log::info!("repairing the voters: {change:?}");
            let done = timeout(REPAIR_MAX.to_std(), group.change(change)).await;
            if !matches!(done, Ok(Ok(_))) {
                log::info!("the repair is tried again: {done:?}");
            }
        }
    }

    /// Takes the zones that are marked out here into the log.
    async fn carry(&self) {
        for ZoneOverride { id, operator, zone, base } in self.revisions.overrides() {
            let command =
                Command::Zone { id: id.clone(), operator, zone, state: ZoneState::Out, base };
            match submit::submit(self, TIER, command, CARRY_MAX).await {
                // The mark holds until what replaces it is in force here.
                Ok(Reply::Change(Ok(revision))) if !self.reaches(revision).await => return,
                Ok(Reply::Change(Ok(_))) => self.revisions.remove_override(&id),
                Ok(Reply::Change(Err(refusal))) => {
                    log::warn!("the mark of a zone is dropped: {refusal}");
                    self.revisions.remove_override(&id);
                }
                Ok(_) | Err(_) => return,
            }
        }
    }
}
