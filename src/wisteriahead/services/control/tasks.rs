//! Background tasks: join a tier, send this host's status, repair the voters, submit local zone
//! overrides to the log, shut out retired hosts, and restart the replica after a disk failure.

use super::bootstrap::{self, TIER_GROUP};
use super::submit;
use super::wire::{HostStatus, Notification, ZoneOverride};
use super::{PeerStatus, Shared};
use crate::core::control::lockout::retired_hosts;
use crate::core::control::{Command, Reply};
use crate::core::digest;
use crate::core::document::{Revision, ZoneState};
use crate::core::log::{Config, Replica};
use crate::core::member::{Health, Member};
use crate::core::message::{Topic, encode};
use crate::kernel::Context;
use crate::prelude::*;
use std::time::Instant;
use tokio::time::{sleep, timeout};

/// Interval between rounds of voter repair and submission of overrides.
const REPAIR_INTERVAL: Span = Span::millis(250);
/// Interval between status messages. It must be well below the time after which a voter without a
/// status message is replaced, 2.5 s on the platform, and below one second, as
/// [`Supervisor::tick`](crate::core::log::Supervisor::tick) requires.
const STATUS_INTERVAL: Span = Span::millis(500);
/// Interval between checks for a stopped replica.
const RESTART_INTERVAL: Span = Span::secs(1);
/// Interval between attempts to join or create a tier.
const JOIN_INTERVAL: Span = Span::millis(50);
/// Maximum number of changes of the voters in one round.
const CHANGES_MAX: usize = 8;
/// Pause between two changes of the voters in one round, after which the replica's status is up to
/// date.
const CHANGE_PAUSE: Span = Span::millis(20);
/// Time allowed for one change of the voters.
const REPAIR_TIMEOUT: Span = Span::secs(1);
/// Number of hosts besides the leader that a host sends its status to; it keeps connections to
/// them open.
const FANOUT: usize = 3;
/// Number of rounds in which a leader sends its status to all other hosts, a part of them in each
/// round. All rounds together take less than [`STATUS_MAX_AGE`](crate::core::log::STATUS_MAX_AGE).
const LEADER_PARTS: usize = 4;
/// Delay before retired hosts are shut out, so that one that requested its own retirement still
/// gets the answer.
const RETIRE_DELAY: Span = Span::millis(300);
/// Time allowed for submitting one local override to the log.
const OVERRIDE_TIMEOUT: Span = Span::secs(2);
/// Maximum number of hosts whose status is kept.
const STATUSES_MAX: usize = 2_048;

/// Runs the background tasks until the daemon stops.
pub async fn run(shared: Arc<Shared>, ctx: Context) {
    // Separate loops, so that a call to a dead host in one does not delay the others.
    tokio::select! {
        () = ctx.stopped() => {}
        () = join_loop(&shared) => {}
        () = status_loop(&shared) => {}
        () = repair_loop(&shared) => {}
        () = retire_loop(&shared) => {}
        () = restart_loop(&shared) => {}
        () = settle_loop(&shared) => {}
    }
}

async fn join_loop(shared: &Arc<Shared>) {
    while shared.tier_info().is_none() {
        if let Err(e) = bootstrap::try_join(shared).await {
            log::error!("could not join the tier: {e:#}");
        }
        sleep(JOIN_INTERVAL.to_std()).await;
    }
    std::future::pending().await
}

async fn status_loop(shared: &Shared) {
    for round in 0_usize.. {
        shared.supervisor.lock().tick(shared.now());
        shared.send_status(round);
        sleep(STATUS_INTERVAL.to_std()).await;
    }
}

/// Notes when each revision comes into force here.
async fn settle_loop(shared: &Shared) {
    let mut accepted = shared.revisions.watch();
    loop {
        let revision = accepted.borrow_and_update().revision;
        shared.settled.lock().record(shared.now(), revision);
        if accepted.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}

async fn repair_loop(shared: &Shared) {
    loop {
        for _ in 0..CHANGES_MAX {
            if !shared.repair_voters().await {
                break;
            }
            sleep(CHANGE_PAUSE.to_std()).await;
        }
        shared.submit_overrides().await;
        sleep(REPAIR_INTERVAL.to_std()).await;
    }
}

/// Restarts the replica after its disk failed; it continues from the durable state, as after a
/// restart of the process.
async fn restart_loop(shared: &Arc<Shared>) {
    loop {
        sleep(RESTART_INTERVAL.to_std()).await;
        if shared.me.is_none() || shared.tier_info().is_none() || shared.group(TIER_GROUP).is_some()
        {
            continue;
        }
        let shared = Arc::clone(shared);
        // Resuming reads and writes the disk.
        match tokio::task::spawn_blocking(move || shared.resume()).await {
            Ok(Ok(())) => log::info!(
                "the disk works again; this host's replica of the tier's log has been restarted"
            ),
            Ok(Err(e)) => log::warn!(
                "could not restart the replica of the tier's log, the disk still fails: {e:#}"
            ),
            Err(e) => log::error!("could not restart the replica of the tier's log: {e}"),
        }
    }
}

/// Shuts out the hosts that are retired in the document in force.
async fn retire_loop(shared: &Shared) {
    let mut accepted = shared.revisions.watch();
    let mut blocked = IndexSet::new();
    loop {
        let retired = retired_hosts(&accepted.borrow_and_update().document);
        if retired != blocked {
            if !retired.is_empty() {
                sleep(RETIRE_DELAY.to_std()).await;
            }
            shared.peers.set_blocked(retired.clone());
            blocked = retired;
        }
        if accepted.changed().await.is_err() {
            return;
        }
    }
}

impl Shared {
    /// Status of this host.
    pub(super) fn host_status(&self) -> HostStatus {
        let status = self.group(TIER_GROUP).map(|g| g.status());
        let runs = status.is_some();
        let leader = status.and_then(|v| Some((v.term, v.leader?.host)));
        HostStatus {
            zone: self.peers.zone().to_owned(),
            revision: self.revisions.revision(),
            disk: self.me.as_ref().filter(|_| runs).map(|me| me.disk),
            leader,
            marks: self.revisions.overrides(),
            newest: self.newest_revision(),
        }
    }

    /// Takes from a host's status whether this host lacks no change.
    fn update_currency(&self, from: &str, status: &HostStatus) {
        let Some((term, leader)) = &status.leader else { return };
        let mut currency = self.currency.lock();
        match status.newest {
            Some(newest) if *leader == from => {
                let own = self.revisions.revision();
                currency.heard_leader(self.now(), *term, newest, own);
            }
            _ => currency.heard_term(*term),
        }
    }

    /// Sends this host's status to the leader and a few other hosts. A leader sends it to all hosts
    /// in turn, so that they know the leader.
    pub(super) fn send_status(&self, round: usize) {
        let status = self.host_status();
        self.update_currency(self.peers.host(), &status);
        let body = encode(&Notification::Here(status));
        let mut targets: IndexSet<String> = self.status_targets().into_iter().collect();
        if self.group(TIER_GROUP).is_some_and(|g| g.status().leads) {
            let others = self.peers.others();
            targets.extend(others.into_iter().skip(round % LEADER_PARTS).step_by(LEADER_PARTS));
        }
        targets.extend(self.leader(TIER_GROUP));
        targets.extend(self.hosts_with_disks());
        for host in targets {
            self.peers.send(&host, Topic::Control, body.clone());
        }
    }

    /// Hosts that this one sends its status to besides the leader; ranked anew when the other hosts have
    /// changed.
    fn status_targets(&self) -> Vec<String> {
        let version = self.peers.others_version();
        let mut known = self.status_targets.lock();
        if version.is_none() || known.0 != version {
            let others = self.peers.others();
            let ranked = digest::rank(self.peers.host(), others.iter().map(String::as_str));
            *known = (version, ranked.into_iter().take(FANOUT).map(str::to_owned).collect());
        }
        known.1.clone()
    }

    /// Other hosts with a disk, if this host has one: whichever of them leads next has to know which
    /// replicas there are.
    fn hosts_with_disks(&self) -> Vec<String> {
        let Some(members) = self.members.as_ref().filter(|_| self.me.is_some()) else {
            return Vec::new();
        };
        let is_there = |m: &&Member| m.durable && m.health <= Health::Suspect;
        let members = members.borrow();
        let there = members.iter().filter(is_there).filter(|m| *m.host != *self.peers.host());
        there.map(|m| m.host.to_string()).collect()
    }

    /// Sends this host's status to all other hosts at once.
    pub(super) fn broadcast_status(&self) {
        let body = encode(&Notification::Here(self.host_status()));
        for host in self.peers.others() {
            self.peers.send(&host, Topic::Control, body.clone());
        }
    }

    /// Records the status of another host. Sends it the revision in force here if its own is older;
    /// if its own is newer, sends it this host's status, so that it pushes the newer one.
    pub(super) fn handle_status(&self, from: &str, status: HostStatus) {
        self.update_currency(from, &status);
        let (own, theirs) = (self.revisions.revision(), status.revision);
        if status.zone == self.peers.zone() {
            for zone_override in status.marks.clone() {
                let revisions = Arc::clone(&self.revisions);
                // Adding an override may write to disk.
                tokio::task::spawn_blocking(move || revisions.add_override(&zone_override));
            }
        }
        let replica = status.disk.map(|disk| {
            let (host, zone) = (from.to_owned(), status.zone.clone());
            Replica { host, zone, disk }
        });
        self.supervisor.lock().record(self.now(), from, replica, status.leader.clone());
        let mut statuses = self.statuses.lock();
        if statuses.len() < STATUSES_MAX || statuses.contains_key(from) {
            statuses.insert(from.to_owned(), PeerStatus { status, received_at: Instant::now() });
        }
        drop(statuses);
        match theirs.cmp(&own) {
            std::cmp::Ordering::Less => self.push_missed(from, theirs),
            std::cmp::Ordering::Greater => self.send_own_status(from),
            std::cmp::Ordering::Equal => {}
        }
    }

    /// Sends the revision in force here to a host with an older one, unless that is so new that the host will
    /// have it from the leader.
    fn push_missed(&self, host: &str, theirs: Revision) {
        let settled = self.settled.lock().get(self.now());
        if theirs < settled || self.newest_revision().is_some() {
            let push = Notification::Push(self.revisions.active());
            self.peers.send(host, Topic::Control, encode(&push));
        }
    }

    /// Sends this host's status to one host.
    pub(super) fn send_own_status(&self, host: &str) {
        let status = Notification::Here(self.host_status());
        self.peers.send(host, Topic::Control, encode(&status));
    }

    /// Hosts with a recent status and a disk, as possible replicas.
    pub(super) fn recent_replicas(&self) -> Vec<Replica> {
        self.supervisor.lock().replicas(self.now())
    }

    /// Replaces voters that lost their disk or are silent, and adds missing ones, if this host is the
    /// leader.
    ///
    /// Returns whether it made a change, which may call for another one.
    async fn repair_voters(&self) -> bool {
        let Some(group) = self.group(TIER_GROUP) else { return false };
        let status = group.status();
        self.log_replicas(&status.config);
        let change = {
            let (mut supervisor, now) = (self.supervisor.lock(), self.now());
            match &self.me {
                Some(me) if status.leads => {
                    supervisor.next_change(now, me, &status.config, &status.caught_up)
                }
                _ => {
                    let heard_at = Time(now.0.saturating_sub(status.since_quorum.0));
                    supervisor.follow(status.leader.as_ref(), heard_at);
                    None
                }
            }
        };
        let Some(change) = change else { return false };
        log::info!("changing the voters to restore fault tolerance: {change:?}");
        let result = timeout(REPAIR_TIMEOUT.to_std(), group.change(change)).await;
        let committed = matches!(result, Ok(Ok(_)));
        if !committed {
            log::info!("could not change the voters, will retry: {result:?}");
        }
        committed
    }

    /// Logs the replicas of the tier's log when they have changed.
    fn log_replicas(&self, config: &Config) {
        let mut logged = self.logged_replicas.lock();
        if *logged == *config {
            return;
        }
        let names = |list: &[Replica]| {
            let names = list.iter().map(|r| format!("{} (disk {:08x})", r.host, r.disk >> 32));
            if list.is_empty() { "none".to_owned() } else { names.collect::<Vec<_>>().join(", ") }
        };
        log::info!(
            "replicas of the tier's log as known here: voters {}; learners {}",
            names(&config.voters),
            names(&config.learners)
        );
        *logged = config.clone();
    }

    /// Submits the zones that are taken out locally to the log.
    async fn submit_overrides(&self) {
        for ZoneOverride { id, operator, zone, base } in self.revisions.overrides() {
            let (id_of, state) = (id.clone(), ZoneState::Out);
            let command = Command::Zone { id: id_of, operator, zone, state, base, seen: None };
            match submit::submit(self, TIER_GROUP, command, OVERRIDE_TIMEOUT).await {
                // The override stays until the revision that replaces it is in force here.
                Ok(Reply::Change(Ok(revision))) if !self.wait_for_revision(revision).await => {
                    return;
                }
                Ok(Reply::Change(Ok(_))) => self.revisions.remove_override(&id),
                Ok(Reply::Change(Err(refusal))) => {
                    log::warn!("dropping a local zone override that the log refused: {refusal}");
                    self.revisions.remove_override(&id);
                }
                Ok(_) | Err(_) => return,
            }
        }
    }
}
