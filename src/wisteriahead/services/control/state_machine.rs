//! State machine of the tier's log. It passes each new revision on: to the local revision store
//! and, on the leader, to all other hosts.

use super::revision_store::RevisionStore;
use super::wire::{Notification, Request};
use crate::core::control::State;
use crate::core::control::changes::ActiveRevision;
use crate::core::control::plan_change::RevisionChange;
use crate::core::log::{Message, Replica};
use crate::core::message::{Topic, decode, encode};
use crate::prelude::*;
use crate::services::Peers;
use crate::services::replica::{MessageSender, StateMachine};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};

/// State of the tier, replicated by its log.
pub struct TierState {
    state: State,
    peers: Arc<dyn Peers>,
    /// Last revision passed on; shared with the status that this host sends.
    published: Arc<AtomicU64>,
    /// The same with its content.
    last: Option<ActiveRevision>,
    /// Revisions for the thread that puts them in force at this host.
    to_adopt: Sender<ActiveRevision>,
}

impl TierState {
    /// An empty state; a stored one is loaded by [`StateMachine::restore`].
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    pub fn new(
        revisions: Arc<RevisionStore>,
        peers: Arc<dyn Peers>,
        published: Arc<AtomicU64>,
    ) -> Result<Self> {
        let (to_adopt, rx) = channel();
        // The revision store writes to disk; on a thread of its own it does not delay the log.
        std::thread::Builder::new()
            .name("in-force".to_owned())
            .spawn(move || adopt_loop(&revisions, &rx))
            .context("could not start a thread")?;
        Ok(Self { state: State::default(), peers, published, last: None, to_adopt })
    }
}

/// Puts the received revisions in force; of several waiting ones, only the latest.
fn adopt_loop(revisions: &RevisionStore, rx: &Receiver<ActiveRevision>) {
    while let Ok(first) = rx.recv() {
        revisions.adopt(rx.try_iter().last().unwrap_or(first));
    }
}

impl StateMachine for TierState {
    fn apply(&mut self, data: &[u8]) -> Vec<u8> {
        match self.state.apply(data) {
            Ok(reply) => encode(&reply),
            Err(e) => {
                log::error!("a command in the log cannot be decoded; upgrade this host: {e}");
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
        if self.state.changes.revision <= self.published.load(Ordering::Relaxed) {
            return;
        }
        let active = self.state.changes.active();
        self.published.store(active.revision, Ordering::Relaxed);
        if leads {
            let change = self.last.as_ref().and_then(|old| RevisionChange::between(old, &active));
            let body = encode(&match change {
                Some(change) => Notification::Change(Box::new(change)),
                None => Notification::Push(active.clone()),
            });
            for host in self.peers.others() {
                self.peers.send(&host, Topic::Control, body.clone());
            }
        }
        self.last = Some(active.clone());
        // The receiving thread runs until this sender is dropped.
        let _ = self.to_adopt.send(active);
    }

    fn query(&self, question: &[u8]) -> Vec<u8> {
        match decode(question) {
            Ok(Request::Audit { after, limit }) => encode(&self.state.audit.after(after, limit)),
            _ => Vec::new(),
        }
    }
}

/// Sends the messages of one Raft group.
pub struct GroupSender {
    /// Connections to the other hosts.
    pub peers: Arc<dyn Peers>,
    /// Name of the group.
    pub group: String,
    /// Random identifier of the tier.
    pub tier: u64,
}

impl MessageSender for GroupSender {
    fn send(&self, to: &Replica, message: Message) {
        let (group, tier) = (self.group.clone(), self.tier);
        let notification = Notification::Log { group, tier, to: to.disk, message };
        self.peers.send(&to.host, Topic::Control, encode(&notification));
    }
}
