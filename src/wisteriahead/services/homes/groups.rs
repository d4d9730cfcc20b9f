//! The replicas of homes that this host's disk holds, one for each epoch.

use super::wire::Note;
use crate::core::control::homes::{
    EpochState, HomeEpoch, VoterStatus, epoch_tombstone, voter_status,
};
use crate::core::log::{Message, Replica};
use crate::core::message::{Topic, encode};
use crate::prelude::*;
use crate::services::replica::{Group, MessageSender, StateMachine, Store};
use crate::services::{Commands, Peers, Seat};

/// Starts the replica of an epoch; nothing if this disk has no vote in it.
///
/// # Errors
///
/// Fails when the disk does.
pub fn start(
    seat: &Seat,
    commands: &dyn Commands,
    peers: Arc<dyn Peers>,
    home: &HomeEpoch,
) -> Result<Option<Group>> {
    if !home.voters.contains(&seat.me) {
        return Ok(None);
    }
    let name = name(home.epoch);
    let mut kept = Store::open(seat.disk.clone(), &name)?;
    match voter_status(home, &seat.me, kept.checkpoint.as_ref()) {
        VoterStatus::NonVoter => return Ok(None),
        VoterStatus::New(base) => {
            kept.store.compact(&base)?;
            kept.checkpoint = Some(base);
        }
        VoterStatus::Existing => {}
    }
    commands.keep(&name)?;
    let machine = HomeState { book: EpochState::new(&home.zone, home.epoch) };
    let carrier = HomeCarrier { peers, epoch: home.epoch };
    let seed = rand::random();
    let me = seat.me.clone();
    Group::start(me, kept, Box::new(machine), Box::new(carrier), seed).map(Some)
}

/// Ends the replica of an epoch for good; its thread must have ended.
///
/// The journal stays as a mark without voters, so that this disk never votes in the epoch
/// again as if it held nothing of it.
///
/// # Errors
///
/// Fails when the disk does.
pub fn end(seat: &Seat, home: &HomeEpoch) -> Result<()> {
    if !home.voters.contains(&seat.me) {
        return Ok(());
    }
    let mut kept = Store::open(seat.disk.clone(), &name(home.epoch))?;
    kept.store.compact(&epoch_tombstone())
}

fn name(epoch: u64) -> String {
    format!("home-{epoch:016x}")
}

/// The state of one epoch behind its group.
struct HomeState {
    book: EpochState,
}

impl StateMachine for HomeState {
    fn apply(&mut self, data: &[u8]) -> Vec<u8> {
        match self.book.apply(data) {
            Ok(reply) => encode(&reply),
            Err(e) => {
                log::error!("a command of a home is not understood here; upgrade this host: {e}");
                Vec::new()
            }
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        self.book.write()
    }

    fn restore(&mut self, bytes: &[u8]) -> Result<()> {
        self.book.read(bytes)
    }

    fn after_batch(&mut self, _leads: bool) {}

    fn query(&self, _question: &[u8]) -> Vec<u8> {
        Vec::new()
    }
}

/// Carries messages of one epoch's group.
struct HomeCarrier {
    peers: Arc<dyn Peers>,
    epoch: u64,
}

impl MessageSender for HomeCarrier {
    fn send(&self, to: &Replica, message: Message) {
        let note = Note { epoch: self.epoch, to: to.disk, message };
        self.peers.send(&to.host, Topic::Orders, encode(&note));
    }
}
