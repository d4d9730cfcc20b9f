//! The replicated state behind the log of the tier, and what is told of it.

use super::revision_store::RevisionStore;
use super::wire::{Ask, Note};
use crate::core::control::State;
use crate::core::control::changes::ActiveRevision;
use crate::core::document::Revision;
use crate::core::log::{Message, Replica};
use crate::core::message::{Topic, decode, encode};
use crate::prelude::*;
use crate::services::Peers;
use crate::services::replica::{MessageSender, StateMachine};
use std::sync::mpsc::{Receiver, Sender, channel};

/// The state, and whom to tell when a revision is accepted.
pub struct TierState {
    state: State,
    /// The other hosts.
    peers: Arc<dyn Peers>,
    /// Last revision told.
    told: Revision,
    /// What is to be in force at this host.
    accepted: Sender<ActiveRevision>,
}

impl TierState {
    /// The first state, before a kept one is read.
    ///
    /// # Errors
    ///
    /// Fails when no thread can be started.
    pub fn new(revisions: Arc<RevisionStore>, peers: Arc<dyn Peers>) -> Result<Self> {
        let (accepted, rx) = channel();
        // The revision store writes to the disk, for which the log does not wait.
        std::thread::Builder::new()
            .name("in-force".to_owned())
            .spawn(move || adopt(&revisions, &rx))
            .context("could not start a thread")?;
        Ok(Self { state: State::default(), peers, told: 0, accepted })
    }
}

/// Puts in force what comes, the last of what waits only.
fn adopt(revisions: &RevisionStore, accepted: &Receiver<ActiveRevision>) {
    while let Ok(first) = accepted.recv() {
        revisions.adopt(accepted.try_iter().last().unwrap_or(first));
    }
}

impl StateMachine for TierState {
    fn apply(&mut self, data: &[u8]) -> Vec<u8> {
        match self.state.apply(data) {
            Ok(reply) => encode(&reply),
            Err(e) => {
                log::error!("a command of the log is not understood here; upgrade this host: {e}");
                Vec::new()
            }
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        self.state.write()
    }

    fn restore(&mut self, bytes: &[u8]) -> Result<()> {
        self.state = State::read(bytes)?;
        Ok(())
    }

    fn after_batch(&mut self, leads: bool) {
        if self.state.changes.revision <= self.told {
            return;
        }
        let force = self.state.changes.active();
        self.told = force.revision;
        if leads {
            let body = encode(&Note::Push(force.clone()));
            for host in self.peers.others() {
                self.peers.send(&host, Topic::Control, body.clone());
            }
        }
        // The thread lives as long as this does.
        let _ = self.accepted.send(force);
    }

    fn query(&self, question: &[u8]) -> Vec<u8> {
        match decode(question) {
            Ok(Ask::Audit { after, limit }) => encode(&self.state.audit.after(after, limit)),
            _ => Vec::new(),
        }
    }
}

/// Carries messages of one group.
pub struct GroupSender {
    /// The other hosts.
    pub peers: Arc<dyn Peers>,
    /// Name of the group.
    pub group: String,
    /// Number of the tier.
    pub tier: u64,
}

impl MessageSender for GroupSender {
    fn send(&self, to: &Replica, message: Message) {
        let (group, tier) = (self.group.clone(), self.tier);
        let note = Note::Log { group, tier, to: to.disk, message };
        self.peers.send(&to.host, Topic::Control, encode(&note));
    }
}
