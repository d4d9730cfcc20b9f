//! The known epochs of the home of this host's zone. They are durable if the host has a disk, so
//! that a zone that restarts while it is partitioned from the other zones can continue.

use crate::core::control::homes::{Epochs, HomeEpoch};
use crate::core::message::{decode, encode};
use crate::prelude::*;
use crate::services::control::wall_ms;
use crate::util::disk::{Disk, Journal};

const JOURNAL_NAME: &str = "homes";

/// The known epochs, and their journal if there is a disk.
pub struct EpochStore {
    journal: Option<Journal>,
    epochs: Epochs,
}

impl EpochStore {
    /// Reads the epochs from the disk; without a disk, starts without epochs.
    ///
    /// # Errors
    ///
    /// Fails if the disk fails or the journal is damaged.
    pub fn open(disk: Option<Arc<dyn Disk>>) -> Result<Self> {
        let Some(disk) = disk else {
            return Ok(Self { journal: None, epochs: Epochs::default() });
        };
        let opened = Journal::open(disk, JOURNAL_NAME)?;
        let found = !opened.base.is_empty();
        let epochs = if found { decode(&opened.base)? } else { Epochs::default() };
        Ok(Self { journal: Some(opened.journal), epochs })
    }

    /// The epochs.
    pub const fn epochs(&self) -> &Epochs {
        &self.epochs
    }

    /// Adds epochs known to another host or to the tier's log.
    ///
    /// # Errors
    ///
    /// Fails if the disk fails; the epochs are then not added.
    pub fn merge(&mut self, homes: &[HomeEpoch]) -> Result<()> {
        let mut epochs = self.epochs.clone();
        if epochs.merge(wall_ms(), homes) { self.save(epochs) } else { Ok(()) }
    }

    /// Removes an epoch; its own journal must have been emptied.
    ///
    /// # Errors
    ///
    /// Fails if the disk fails; the epoch is then not removed.
    pub fn remove(&mut self, epoch: u64) -> Result<()> {
        let mut epochs = self.epochs.clone();
        epochs.forget(epoch);
        self.save(epochs)
    }

    fn save(&mut self, epochs: Epochs) -> Result<()> {
        if let Some(journal) = &mut self.journal {
            journal.compact(&encode(&epochs))?;
        }
        self.epochs = epochs;
        Ok(())
    }
}
