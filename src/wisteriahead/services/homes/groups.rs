//! The replicas of homes on this host's disk, one for each epoch in which the host votes.

use super::wire::GroupMessage;
use crate::core::control::homes::{
    EpochState, HomeEpoch, VoterStatus, epoch_tombstone, voter_status,
};
use crate::core::log::{Message, Replica};
use crate::core::message::{Topic, encode};
use crate::prelude::*;
use crate::services::replica::{Group, MessageSender, StateMachine, Store};
use crate::services::{Commands, Peers, ReplicaStorage};

/// Starts this host's replica of an epoch; `None` if its disk has no vote in the epoch.
///
/// # Errors
///
/// Fails if the disk fails or the replica's journal is damaged.
pub fn start(
    seat: &ReplicaStorage,
    commands: &dyn Commands,
    peers: Arc<dyn Peers>,
    home: &HomeEpoch,
) -> Result<Option<Group>> {
    if !home.voters.contains(&seat.me) {
        return Ok(None);
    }
    let name = journal_name(home.epoch);
    let mut opened = Store::open(seat.disk.clone(), &name)?;
    match voter_status(home, &seat.me, opened.checkpoint.as_ref()) {
        VoterStatus::NonVoter => return Ok(None),
        VoterStatus::New(base) => {
            opened.store.compact(&base)?;
            opened.checkpoint = Some(base);
        }
        VoterStatus::Existing => {}
    }
    commands.record_group(&name)?;
    let machine = EpochMachine { state: EpochState::new(&home.zone, home.epoch) };
    let carrier = EpochCarrier { peers, epoch: home.epoch };
    let seed = rand::random();
    let me = seat.me.clone();
    Group::start(me, opened, Box::new(machine), Box::new(carrier), seed).map(Some)
}

/// Ends this host's replica of an epoch for good; its thread must have ended before.
///
/// The journal is replaced by a tombstone without voters. Without one, this disk would look like a
/// new voter of the epoch and could vote again after losing its claims.
///
/// # Errors
///
/// Fails if the disk fails or the replica's journal is damaged.
pub fn end(seat: &ReplicaStorage, home: &HomeEpoch) -> Result<()> {
    if !home.voters.contains(&seat.me) {
        return Ok(());
    }
    let mut opened = Store::open(seat.disk.clone(), &journal_name(home.epoch))?;
    opened.store.compact(&epoch_tombstone())
}

/// Name of the journal of an epoch's replica.
fn journal_name(epoch: u64) -> String {
    format!("home-{epoch:016x}")
}

/// State machine of one epoch, replicated through its log.
struct EpochMachine {
    state: EpochState,
}

impl StateMachine for EpochMachine {
    fn apply(&mut self, data: &[u8]) -> Vec<u8> {
        match self.state.apply(data) {
            Ok(reply) => encode(&reply),
            Err(e) => {
                log::error!("cannot decode a command for a home; upgrade this host: {e}");
                Vec::new()
            }
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        self.state.write()
    }

    fn restore(&mut self, bytes: &[u8]) -> Result<()> {
        self.state.read(bytes)
    }

    fn after_batch(&mut self, _leads: bool) {}

    fn query(&self, _question: &[u8]) -> Vec<u8> {
        Vec::new()
    }
}

/// Sends messages between the replicas of one epoch.
struct EpochCarrier {
    peers: Arc<dyn Peers>,
    epoch: u64,
}

impl MessageSender for EpochCarrier {
    fn send(&self, to: &Replica, message: Message) {
        let message = GroupMessage { epoch: self.epoch, to: to.disk, message };
        self.peers.send(&to.host, Topic::Orders, encode(&message));
    }
}
