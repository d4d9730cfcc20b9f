//! What is in force at this host. Its revision never falls, and at a host with a disk it
//! is durable before it is in force. Readers do not wait for the disk.

use super::wire::ZoneOverride;
use crate::core::control::changes::ActiveRevision;
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
    force: ActiveRevision,
    marks: Vec<ZoneOverride>,
}

struct State {
    held: Held,
    /// The document of the operators' text, without marks.
    document: Document,
}

/// Holds what is in force.
pub struct RevisionStore {
    /// Held by the one who changes the state, from its reading until it is durable; always
    /// taken before `state`.
    journal: Mutex<Option<Journal>>,
    disk: Option<Arc<dyn Disk>>,
    /// Held for moments only.
    state: Mutex<State>,
    accepted: watch::Sender<Accepted>,
}

impl RevisionStore {
    /// Opens the store with what the disk holds, if there is one.
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
        let revisions = Self {
            journal: Mutex::new(journal),
            disk: disk.cloned(),
            state: Mutex::new(State { held, document }),
            accepted: watch::channel(Accepted::default()).0,
        };
        revisions.publish(&revisions.state.lock());
        Ok(revisions)
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
    pub fn active(&self) -> ActiveRevision {
        self.state.lock().held.force.clone()
    }

    /// Zones held out until the quorum is reached.
    pub fn overrides(&self) -> Vec<ZoneOverride> {
        self.state.lock().held.marks.clone()
    }

    /// Puts a higher revision in force; a lower or the same one is left.
    pub fn adopt(&self, force: ActiveRevision) {
        let mut journal = self.journal.lock();
        if force.revision <= self.revision() {
            return;
        }
        let document = match force.document() {
            Ok(document) => document,
            Err(e) => return log::error!("revision {} is not put in force: {e}", force.revision),
        };
        let revision = force.revision;
        let mut marks = self.overrides();
        marks.retain(|m| !force.carried.contains(&m.id));
        if self.put(&mut journal, Held { force, marks }, Some(document)) {
            log::info!("revision {revision} is in force");
        }
    }

    /// Holds a zone out until the quorum is reached; false if the disk fails.
    pub fn add_override(&self, mark: &ZoneOverride) -> bool {
        let mut journal = self.journal.lock();
        let mut held = self.state.lock().held.clone();
        let known = held.marks.iter().any(|m| m.id == mark.id);
        if known || held.force.carried.contains(&mark.id) {
            return true;
        }
        held.marks.push(mark.clone());
        let put = self.put(&mut journal, held, None);
        if put {
            log::warn!("zone {} is out at this host, by `{}`", mark.zone, mark.operator);
        }
        put
    }

    /// Drops a mark that the log has taken up or refused.
    pub fn remove_override(&self, id: &str) {
        let mut journal = self.journal.lock();
        let mut held = self.state.lock().held.clone();
        let before = held.marks.len();
        held.marks.retain(|m| m.id != id);
        if held.marks.len() < before {
            self.put(&mut journal, held, None);
        }
    }

    /// Makes a state durable, then puts it in force; false if the disk fails.
    fn put(&self, journal: &mut Option<Journal>, held: Held, document: Option<Document>) -> bool {
        if let Err(e) = self.keep(journal, &held) {
            log::error!("what is in force could not be kept on disk: {e:#}");
            return false;
        }
        let mut state = self.state.lock();
        state.held = held;
        if let Some(document) = document {
            state.document = document;
        }
        self.publish(&state);
        true
    }

    /// Makes a state durable at a host with a disk. A journal that failed is opened anew by the
    /// next call, which may find a disk that works again.
    fn keep(&self, journal: &mut Option<Journal>, held: &Held) -> Result<()> {
        let Some(disk) = &self.disk else { return Ok(()) };
        let mut open = match journal.take() {
            Some(open) => open,
            None => Journal::open(disk.clone(), NAME)?.journal,
        };
        write(&mut open, held)?;
        *journal = Some(open);
        Ok(())
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
            plan: force.plan.clone(),
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
