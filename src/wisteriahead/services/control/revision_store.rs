//! Stores the revision in force at this host and publishes it.
//!
//! The revision never decreases. On a host with a disk it is durable before it is in force. Readers
//! do not wait for the disk.

use super::wire::ZoneOverride;
use crate::core::control::changes::ActiveRevision;
use crate::core::control::plan_change::RevisionChange;
use crate::core::document::{Document, Revision, ZoneState};
use crate::core::message::{decode, encode};
use crate::prelude::*;
use crate::services::AcceptedDocument;
use crate::util::disk::{Disk, Journal};
use crate::util::work::{self, Work};
use parking_lot::{Mutex, MutexGuard};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

const JOURNAL_NAME: &str = "accepted";
/// Bytes of records above which the journal is compacted.
const COMPACT_BYTES: u64 = 8 << 20;

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct StoredState {
    force: ActiveRevision,
    marks: Vec<ZoneOverride>,
}

struct State {
    stored: StoredState,
    /// Document of the revision in force, without the local overrides.
    document: Document,
}

/// Store of the revision in force and of the local zone overrides.
pub struct RevisionStore {
    /// Locked by a writer from reading the state until its change is durable; always locked before
    /// `state`.
    journal: Mutex<Option<Journal>>,
    disk: Option<Arc<dyn Disk>>,
    /// Never locked during disk I/O.
    state: Mutex<State>,
    accepted: watch::Sender<AcceptedDocument>,
}

impl RevisionStore {
    /// Opens the store with the state on disk; without a disk it starts empty.
    ///
    /// # Errors
    ///
    /// Fails if the journal is corrupt or the stored document is invalid.
    pub fn open(disk: Option<&Arc<dyn Disk>>) -> Result<Self> {
        let (mut stored, mut journal) = (StoredState::default(), None);
        if let Some(disk) = disk {
            let opened = Journal::open(disk.clone(), JOURNAL_NAME)?;
            if !opened.base.is_empty() {
                stored = decode(&opened.base)?;
            }
            if let Some(last) = opened.records.last() {
                stored = decode(last)?;
            }
            journal = Some(opened.journal);
        }
        let document = stored.force.document().map_err(anyhow::Error::msg);
        let document =
            document.context("the document stored on disk is invalid for this version")?;
        let store = Self {
            journal: Mutex::new(journal),
            disk: disk.cloned(),
            state: Mutex::new(State { stored, document }),
            accepted: watch::channel(AcceptedDocument::default()).0,
        };
        store.publish(&store.state.lock());
        Ok(store)
    }

    /// Subscribes to the document in force.
    pub fn watch(&self) -> watch::Receiver<AcceptedDocument> {
        self.accepted.subscribe()
    }

    /// Revision in force.
    pub fn revision(&self) -> Revision {
        self.state.lock().stored.force.revision
    }

    /// Revision in force, without the local overrides.
    pub fn active(&self) -> ActiveRevision {
        self.state.lock().stored.force.clone()
    }

    /// Zones taken out locally, each until the log has accepted or refused the change.
    pub fn overrides(&self) -> Vec<ZoneOverride> {
        self.state.lock().stored.marks.clone()
    }

    /// Puts a revision in force if it is higher than the current one.
    pub fn adopt(&self, force: ActiveRevision) {
        work::measure(Work::Plan, || self.adopt_newer(force));
    }

    /// Puts a revision in force that is given as a change of the current one; one that is based on another
    /// is left for the next exchange of revisions.
    pub fn adopt_change(&self, change: RevisionChange) {
        work::measure(Work::Plan, || {
            let journal = self.journal.lock();
            let old = self.active();
            if change.revision <= old.revision {
                return;
            }
            match change.apply(&old) {
                Ok(force) => self.adopt_locked(journal, force),
                Err(e) => log::debug!("could not apply a change of revision {}: {e}", old.revision),
            }
        });
    }

    fn adopt_newer(&self, force: ActiveRevision) {
        let journal = self.journal.lock();
        if force.revision > self.revision() {
            self.adopt_locked(journal, force);
        }
    }

    fn adopt_locked(&self, mut journal: MutexGuard<'_, Option<Journal>>, force: ActiveRevision) {
        let document = match force.document() {
            Ok(document) => document,
            Err(e) => {
                return log::error!("could not put revision {} in force: {e}", force.revision);
            }
        };
        let revision = force.revision;
        let mut marks = self.overrides();
        marks.retain(|m| !force.carried.contains(&m.id));
        if self.replace(&mut journal, StoredState { force, marks }, Some(document)) {
            log::info!("revision {revision} is in force");
        }
    }

    /// Takes a zone out at this host until the log has the change; false on a disk error.
    pub fn add_override(&self, zone_override: &ZoneOverride) -> bool {
        let mut journal = self.journal.lock();
        let mut stored = self.state.lock().stored.clone();
        let known = stored.marks.iter().any(|m| m.id == zone_override.id);
        if known || stored.force.carried.contains(&zone_override.id) {
            return true;
        }
        stored.marks.push(zone_override.clone());
        let is_stored = self.replace(&mut journal, stored, None);
        if is_stored {
            log::warn!(
                "zone {} is taken out locally at this host by operator `{}`",
                zone_override.zone,
                zone_override.operator
            );
        }
        is_stored
    }

    /// Drops an override whose change the log has accepted or refused.
    pub fn remove_override(&self, id: &str) {
        let mut journal = self.journal.lock();
        let mut stored = self.state.lock().stored.clone();
        let before = stored.marks.len();
        stored.marks.retain(|m| m.id != id);
        if stored.marks.len() < before {
            self.replace(&mut journal, stored, None);
        }
    }

    /// Makes a state durable, then puts it in force; false on a disk error.
    fn replace(
        &self,
        journal: &mut Option<Journal>,
        stored: StoredState,
        document: Option<Document>,
    ) -> bool {
        if let Err(e) = self.persist(journal, &stored) {
            log::error!("could not store the revision in force on disk: {e:#}");
            return false;
        }
        let mut state = self.state.lock();
        state.stored = stored;
        if let Some(document) = document {
            state.document = document;
        }
        self.publish(&state);
        true
    }

    /// Makes a state durable if this host has a disk. After an error the next call reopens the
    /// journal, as the disk may work again.
    fn persist(&self, journal: &mut Option<Journal>, stored: &StoredState) -> Result<()> {
        let Some(disk) = &self.disk else { return Ok(()) };
        let mut open = match journal.take() {
            Some(open) => open,
            None => Journal::open(disk.clone(), JOURNAL_NAME)?.journal,
        };
        write(&mut open, stored)?;
        *journal = Some(open);
        Ok(())
    }

    fn publish(&self, state: &State) {
        let StoredState { force, marks } = &state.stored;
        let mut document = state.document.clone();
        for zone in &mut document.zones {
            if marks.iter().any(|m| m.zone == zone.name) {
                zone.state = ZoneState::Out;
            }
        }
        // Sent with `state` locked, so that watchers never see a lower revision after a higher one.
        self.accepted.send_replace(AcceptedDocument {
            revision: force.revision,
            document: Arc::new(document),
            text: force.text.clone(),
            plan: force.plan.clone(),
        });
    }
}

fn write(journal: &mut Journal, stored: &StoredState) -> Result<()> {
    let bytes = encode(stored);
    if journal.bytes() > COMPACT_BYTES {
        return Ok(journal.compact(&bytes)?);
    }
    journal.append(&bytes)?;
    Ok(journal.sync()?)
}
