//! The replicated state behind the log of the tier, and what is told of it.

use super::keeper::Keeper;
use super::wire::{Ask, Note};
use crate::core::control::State;
use crate::core::document::Revision;
use crate::core::log::{Message, Replica};
use crate::core::message::{Topic, decode, encode};
use crate::prelude::*;
use crate::services::Peers;
use crate::services::replica::{Carrier, Machine};

/// The state, and whom to tell when a revision is accepted.
pub struct TierState {
    /// The state.
    pub state: State,
    /// What is in force at this host.
    pub keeper: Arc<Keeper>,
    /// The other hosts.
    pub peers: Arc<dyn Peers>,
    /// Last revision told.
    pub told: Revision,
}

impl Machine for TierState {
    fn apply(&mut self, data: &[u8]) -> Vec<u8> {
        match self.state.apply(data) {
            Ok(reply) => encode(&reply),
            Err(e) => {
                log::error!("a command of the log is not understood here; upgrade this host: {e}");
                Vec::new()
            }
        }
    }

    fn write(&self) -> Vec<u8> {
        self.state.write()
    }

    fn read(&mut self, bytes: &[u8]) -> Result<()> {
        self.state = State::read(bytes)?;
        Ok(())
    }

    fn applied(&mut self, leads: bool) {
        if self.state.changes.revision <= self.told {
            return;
        }
        let force = self.state.changes.in_force();
        self.told = force.revision;
        if leads {
            let body = encode(&Note::Push(force.clone()));
            for host in self.peers.others() {
                self.peers.send(&host, Topic::Control, body.clone());
            }
        }
        self.keeper.adopt(force);
    }

    fn ask(&self, question: &[u8]) -> Vec<u8> {
        match decode(question) {
            Ok(Ask::Audit { after, limit }) => encode(&self.state.audit.after(after, limit)),
            _ => Vec::new(),
        }
    }
}

/// Carries messages of one group.
pub struct GroupCarrier {
    /// The other hosts.
    pub peers: Arc<dyn Peers>,
    /// Name of the group.
    pub group: String,
    /// Number of the tier.
    pub tier: u64,
}

impl Carrier for GroupCarrier {
    fn send(&self, to: &Replica, message: Message) {
        let (group, tier) = (self.group.clone(), self.tier);
        let note = Note::Log { group, tier, to: to.disk, message };
        self.peers.send(&to.host, Topic::Control, encode(&note));
    }
}
