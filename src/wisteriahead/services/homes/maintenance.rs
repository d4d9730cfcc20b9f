//! Periodic task that learns the epochs of the zone's home from its other hosts, starts this host's
//! replicas of them, creates the next epoch when its voters should change, and ends old epochs.

use super::{Shared, groups};
use crate::core::control::homes::{EpochProposal, HomeEpoch, is_valid_zone, plan_voters};
use crate::core::control::{Command, Reply};
use crate::core::log::Replica;
use crate::kernel::Context;
use crate::prelude::*;
use crate::services::control::wall_ms;
use tokio::time::sleep;

/// Pause between two rounds.
const ROUND_INTERVAL: Span = Span::millis(500);
/// Number of further rounds in a row that must plan the same voters before a new epoch is proposed.
const STABLE_ROUNDS: u32 = 4;
/// Number of rounds in a row without a leader after which an epoch counts as lost.
const LOST_ROUNDS: u32 = 120;
/// Maximum time for creating an epoch.
const CREATE_TIMEOUT: Span = Span::secs(3);

/// State kept between rounds.
#[derive(Default)]
struct RoundState {
    /// Voters that the last round planned, if a new epoch was needed.
    planned: Option<Vec<Replica>>,
    /// Number of rounds in a row that repeated the plan of the round before.
    stable_rounds: u32,
    /// Number of rounds in a row in which the current epoch had no leader.
    leaderless_rounds: u32,
}

/// Runs maintenance rounds until the daemon stops.
pub async fn run(shared: Arc<Shared>, ctx: Context) {
    tokio::select! {
        () = ctx.stopped() => {}
        () = run_rounds(&shared) => {}
    }
}

async fn run_rounds(shared: &Shared) {
    let mut state = RoundState::default();
    loop {
        if let Err(e) = run_round(shared, &mut state).await {
            log::error!("maintenance of this zone's home failed: {e:#}");
        }
        sleep(ROUND_INTERVAL.to_std()).await;
    }
}

async fn run_round(shared: &Shared, state: &mut RoundState) -> Result<()> {
    let replies = shared.poll_disk_hosts().await;
    for reply in &replies {
        shared.epochs.lock().merge(&reply.homes)?;
    }
    shared.start_replicas();
    shared.end_old_epochs()?;
    let Some(seat) = &shared.seat else { return Ok(()) };
    let mut present: Vec<Replica> = replies.into_iter().filter_map(|r| r.me).collect();
    present.push(seat.me.clone());
    present.sort();
    let current = shared.current();
    let lost = state.record_round(current.as_ref().is_none_or(|h| shared.has_leader(h)));
    // Normally only the first host proposes, but any host that has missed the leader for long may.
    // The tier's log accepts the first of concurrent proposals.
    let proposes = lost || present.first() == Some(&seat.me);
    if !proposes || !is_valid_zone(shared.peers.zone()) {
        return Ok(());
    }
    if let Some(voters) = state.stable_plan(plan_voters(current.as_ref(), &present, lost)) {
        create_epoch(shared, current.map_or(0, |h| h.epoch), voters).await?;
    }
    Ok(())
}

impl RoundState {
    /// Records whether the current epoch has a leader; returns whether it counts as lost.
    const fn record_round(&mut self, has_leader: bool) -> bool {
        self.leaderless_rounds =
            if has_leader { 0 } else { self.leaderless_rounds.saturating_add(1) };
        self.leaderless_rounds > LOST_ROUNDS
    }

    /// Records the voters planned in this round; returns them if the plan has been the same for
    /// [`STABLE_ROUNDS`].
    fn stable_plan(&mut self, planned: Option<Vec<Replica>>) -> Option<Vec<Replica>> {
        self.stable_rounds = if planned == self.planned { self.stable_rounds + 1 } else { 0 };
        self.planned = planned;
        if self.stable_rounds < STABLE_ROUNDS {
            return None;
        }
        self.stable_rounds = 0;
        self.planned.clone()
    }
}

/// Proposes an epoch with these voters to the tier's log, as the successor of `base`. A refusal is
/// not an error, as a later round tries again.
async fn create_epoch(shared: &Shared, base: u64, voters: Vec<Replica>) -> Result<()> {
    let zone = shared.peers.zone().to_owned();
    let proposal = EpochProposal { zone, base, epoch: rand::random(), voters };
    match shared.commands.submit(Command::Found(proposal), CREATE_TIMEOUT).await {
        Ok(Reply::Homes(Ok(homes))) => {
            shared.epochs.lock().merge(&homes)?;
            shared.start_replicas();
            Ok(())
        }
        Ok(Reply::Homes(Err(refusal))) | Err(refusal) => {
            log::info!("creating an epoch of this zone's home failed: {refusal}");
            Ok(())
        }
        Ok(_) => Ok(()),
    }
}

impl Shared {
    /// Starts this host's replicas of the known epochs, unless that was tried before.
    pub(super) fn start_replicas(&self) {
        let Some(seat) = &self.seat else { return };
        let homes = self.epochs.lock().epochs().list().to_vec();
        let mut groups = self.groups.lock();
        for home in homes {
            if groups.contains_key(&home.epoch) {
                continue;
            }
            let started = groups::start(seat, &*self.commands, self.peers.clone(), &home);
            let group = started.unwrap_or_else(|e| {
                log::error!("cannot start this host's replica of home {}: {e:#}", home.zone);
                None
            });
            if group.is_some() {
                log::info!("this host holds epoch {} of home {}", home.epoch, home.zone);
            }
            groups.insert(home.epoch, group);
        }
    }

    /// Ends this host's replicas of epochs whose tickets are no longer valid.
    fn end_old_epochs(&self) -> Result<()> {
        let ended = self.epochs.lock().epochs().ended(wall_ms());
        for home in ended {
            if let Some(group) = self.group(home.epoch) {
                // A later round, once the thread has ended, ends the journal.
                group.stop();
                continue;
            }
            if let Some(seat) = &self.seat
                && let Err(e) = groups::end(seat, &home)
            {
                // The epoch is removed all the same: as its old journal remains, this disk can't
                // look like a new voter later.
                log::warn!("cannot end the journal of an old epoch of home {}: {e:#}", home.zone);
            }
            self.groups.lock().swap_remove(&home.epoch);
            self.epochs.lock().remove(home.epoch)?;
        }
        Ok(())
    }

    /// Whether this host knows a leader of the epoch, or has no means to know.
    fn has_leader(&self, home: &HomeEpoch) -> bool {
        let group = self.groups.lock().get(&home.epoch).cloned().flatten();
        match group {
            Some(group) => group.is_running() && group.status().leader.is_some(),
            // A voter whose replica failed to start sees no leader. A host without a vote leaves
            // the decision to the voters.
            None => self.seat.as_ref().is_none_or(|s| !home.voters.contains(&s.me)),
        }
    }
}
