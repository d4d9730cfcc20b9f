//! What is in force at this host. Its revision never falls, and at a host with a disk it
//! is durable before it is in force.

use super::wire::Mark;
use crate::core::control::changes::InForce;
use crate::core::document::{Document, Revision, ZoneState};
use crate::core::message::{decode, encode};
use crate::prelude::*;
use crate::services::Accepted;
use crate::util::disk::{Disk, Journal};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

const NAME: &str = "accepted";
/// Bytes of records after which the journal is compacted.
const COMPACT_BYTES: u64 = 8 << 20;

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Held {
    force: InForce,
    marks: Vec<Mark>,
}

struct State {
    held: Held,
    /// The document of the operators' text, without marks.
    document: Document,
    journal: Option<Journal>,
}

/// Holds what is in force.
pub struct Keeper {
    state: Mutex<State>,
    accepted: watch::Sender<Accepted>,
}

impl Keeper {
    /// Opens the keeper with what the disk holds, if there is one.
    ///
    /// # Errors
    ///
    /// Fails when the journal is damaged.
    pub fn open(disk: Option<&Arc<dyn Disk>>) -> Result<Self> {
        let (mut held, mut journal) = (Held::default(), None);
        if let Some(disk) = disk {
            let opened = Journal::open(disk.clone(), NAME)?;
            if !opened.base.is_empty() {
                held = decode(&opened.base)?;
            }
            if let Some(last) = opened.records.last() {
                held = decode(last)?;
            }
            journal = Some(opened.journal);
        }
        let document = held.force.document().map_err(anyhow::Error::msg);
        let document = document.context("the document kept on disk is not valid here")?;
        let keeper = Self {
            state: Mutex::new(State { held, document, journal }),
            accepted: watch::channel(Accepted::default()).0,
        };
        keeper.publish(&keeper.state.lock());
        Ok(keeper)
    }

    /// Follows what is in force.
    pub fn watch(&self) -> watch::Receiver<Accepted> {
        self.accepted.subscribe()
    }

    /// Revision in force.
    pub fn revision(&self) -> Revision {
        self.state.lock().held.force.revision
    }

    /// What is in force, without the marks.
    pub fn force(&self) -> InForce {
        self.state.lock().held.force.clone()
    }

    /// Zones held out until the quorum is reached.
    pub fn marks(&self) -> Vec<Mark> {
        self.state.lock().held.marks.clone()
    }

    /// Puts a higher revision in force; a lower or the same one is left.
    pub fn adopt(&self, force: InForce) {
        let mut state = self.state.lock();
        if force.revision <= state.held.force.revision {
            return;
        }
        let document = match force.document() {
            Ok(document) => document,
            Err(e) => return log::error!("revision {} is not put in force: {e}", force.revision),
        };
        let revision = force.revision;
        let mut marks = state.held.marks.clone();
        marks.retain(|m| !force.carried.contains(&m.id));
        if self.put(&mut state, Held { force, marks }) {
            state.document = document;
            self.publish(&state);
            log::info!("revision {revision} is in force");
        }
    }

    /// Holds a zone out until the quorum is reached; false if the disk fails.
    pub fn mark(&self, mark: &Mark) -> bool {
        let mut state = self.state.lock();
        let known = state.held.marks.iter().any(|m| m.id == mark.id);
        if known || state.held.force.carried.contains(&mark.id) {
            return true;
        }
        let mut held = state.held.clone();
        held.marks.push(mark.clone());
        let put = self.put(&mut state, held);
        if put {
            log::warn!("zone {} is out at this host, by `{}`", mark.zone, mark.operator);
            self.publish(&state);
        }
        put
    }

    /// Drops a mark that the log has taken up or refused.
    pub fn unmark(&self, id: &str) {
        let mut state = self.state.lock();
        let mut held = state.held.clone();
        held.marks.retain(|m| m.id != id);
        if held.marks.len() < state.held.marks.len() && self.put(&mut state, held) {
            self.publish(&state);
        }
    }

    /// Makes a state durable and takes it.
    fn put(&self, state: &mut State, held: Held) -> bool {
        if let Some(journal) = &mut state.journal
            && let Err(e) = write(journal, &held)
        {
            log::error!("what is in force could not be kept on disk: {e:#}");
            return false;
        }
        state.held = held;
        true
    }

    fn publish(&self, state: &State) {
        let Held { force, marks } = &state.held;
        let mut document = state.document.clone();
        for zone in &mut document.zones {
            if marks.iter().any(|m| m.zone == zone.name) {
                zone.state = ZoneState::Out;
            }
        }
        // Sent under the lock, so that watchers never see a lower revision after a higher one.
        self.accepted.send_replace(Accepted {
            revision: force.revision,
            document: Arc::new(document),
            text: force.text.clone(),
        });
    }
}

fn write(journal: &mut Journal, held: &Held) -> Result<()> {
    let bytes = encode(held);
    if journal.bytes() > COMPACT_BYTES {
        return Ok(journal.compact(&bytes)?);
    }
    journal.append(&bytes)?;
    Ok(journal.sync()?)
}
