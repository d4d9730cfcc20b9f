//! What the service does again and again: learn the epochs of the zone's home, hold their
//! replicas, found the next epoch and end old ones.

use super::{Shared, groups};
use crate::core::control::homes::{EpochProposal, HomeEpoch, is_valid_zone, plan_voters};
use crate::core::control::{Command, Reply};
use crate::core::log::Replica;
use crate::kernel::Context;
use crate::prelude::*;
use crate::services::control::wall_ms;
use tokio::time::sleep;

/// Time between two rounds.
const ROUND: Span = Span::millis(500);
/// Rounds for which the same voters must be wanted before they are asked for.
const SETTLED_ROUNDS: u32 = 4;
/// Rounds without a leader after which an epoch counts as lost.
const LOST_ROUNDS: u32 = 120;
/// Time allowed for a founding.
const FOUND_MAX: Span = Span::secs(3);

/// What the rounds so far have seen.
#[derive(Default)]
struct Watch {
    wanted: Option<Vec<Replica>>,
    /// Rounds for which the same was wanted.
    settled: u32,
    /// Rounds without a leader of the current epoch.
    leaderless: u32,
}

/// Runs the rounds until the daemon stops.
pub async fn run(shared: Arc<Shared>, ctx: Context) {
    tokio::select! {
        () = ctx.stopped() => {}
        () = turn(&shared) => {}
    }
}

async fn turn(shared: &Shared) {
    let mut watch = Watch::default();
    loop {
        if let Err(e) = round(shared, &mut watch).await {
            log::error!("the home of this zone: {e:#}");
        }
        sleep(ROUND.to_std()).await;
    }
}

async fn round(shared: &Shared, watch: &mut Watch) -> Result<()> {
    let hellos = shared.hellos().await;
    for hello in &hellos {
        shared.shelf.lock().merge(&hello.homes)?;
    }
    shared.hold();
    shared.end_old()?;
    let Some(seat) = &shared.seat else { return Ok(()) };
    let mut present: Vec<Replica> = hellos.into_iter().filter_map(|h| h.me).collect();
    present.push(seat.me.clone());
    present.sort();
    let current = shared.current();
    let lost = watch.is_lost(current.as_ref().is_none_or(|h| shared.is_led(h)));
    // One host asks, and those that miss the leader; the log has the first one's way.
    let asks = lost || present.first() == Some(&seat.me);
    if !asks || !is_valid_zone(shared.peers.zone()) {
        return Ok(());
    }
    if let Some(voters) = watch.look(plan_voters(current.as_ref(), &present, lost)) {
        found(shared, current.map_or(0, |h| h.epoch), voters).await?;
    }
    Ok(())
}

impl Watch {
    /// Whether the current epoch has had no leader for long.
    const fn is_lost(&mut self, led: bool) -> bool {
        self.leaderless = if led { 0 } else { self.leaderless.saturating_add(1) };
        self.leaderless > LOST_ROUNDS
    }

    /// The voters to ask for now, if the same were wanted for some rounds.
    fn look(&mut self, wanted: Option<Vec<Replica>>) -> Option<Vec<Replica>> {
        self.settled = if wanted == self.wanted { self.settled + 1 } else { 0 };
        self.wanted = wanted;
        if self.settled < SETTLED_ROUNDS {
            return None;
        }
        self.settled = 0;
        self.wanted.clone()
    }
}

async fn found(shared: &Shared, base: u64, voters: Vec<Replica>) -> Result<()> {
    let zone = shared.peers.zone().to_owned();
    let founding = EpochProposal { zone, base, epoch: rand::random(), voters };
    match shared.commands.submit(Command::Found(founding), FOUND_MAX).await {
        Ok(Reply::Homes(Ok(homes))) => {
            shared.shelf.lock().merge(&homes)?;
            shared.hold();
            Ok(())
        }
        Ok(Reply::Homes(Err(refusal))) | Err(refusal) => {
            log::info!("no home of this zone was founded: {refusal}");
            Ok(())
        }
        Ok(_) => Ok(()),
    }
}

impl Shared {
    /// Starts the replicas that this disk holds, each once.
    pub(super) fn hold(&self) {
        let Some(seat) = &self.seat else { return };
        let homes = self.shelf.lock().epochs().list().to_vec();
        let mut groups = self.groups.lock();
        for home in homes {
            if groups.contains_key(&home.epoch) {
                continue;
            }
            let started = groups::start(seat, &*self.commands, self.peers.clone(), &home);
            let group = started.unwrap_or_else(|e| {
                log::error!("this host does not hold its part of home {}: {e:#}", home.zone);
                None
            });
            if group.is_some() {
                log::info!("this host holds epoch {} of home {}", home.epoch, home.zone);
            }
            groups.insert(home.epoch, group);
        }
    }

    /// Ends replicas of epochs whose tickets are no longer valid.
    fn end_old(&self) -> Result<()> {
        let ended = self.shelf.lock().epochs().ended(wall_ms());
        for home in ended {
            if let Some(group) = self.group(home.epoch) {
                // Its journal is ended in a later round, when the thread is gone.
                group.stop();
                continue;
            }
            if let Some(seat) = &self.seat
                && let Err(e) = groups::end(seat, &home)
            {
                // What cannot be written now is not read as empty later.
                log::warn!("the journal of an old epoch of home {} stays: {e:#}", home.zone);
            }
            self.groups.lock().swap_remove(&home.epoch);
            self.shelf.lock().forget(home.epoch)?;
        }
        Ok(())
    }

    fn is_led(&self, home: &HomeEpoch) -> bool {
        let held = self.groups.lock().get(&home.epoch).cloned().flatten();
        match held {
            Some(group) => group.is_running() && group.status().leader.is_some(),
            // A voter whose journal failed counts as none; another host judges for itself.
            None => self.seat.as_ref().is_none_or(|s| !home.voters.contains(&s.me)),
        }
    }
}
