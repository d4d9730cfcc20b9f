//! The epochs of the zone's home that this host knows, durable if it has a disk, so that a
//! zone that restarts while it is cut off goes on.

use crate::core::control::homes::{Epochs, HomeEpoch};
use crate::core::message::{decode, encode};
use crate::prelude::*;
use crate::services::control::wall_ms;
use crate::util::disk::{Disk, Journal};

const NAME: &str = "homes";

/// Holds the epochs.
pub struct Shelf {
    journal: Option<Journal>,
    epochs: Epochs,
}

impl Shelf {
    /// Opens the shelf with what the disk holds, if there is one.
    ///
    /// # Errors
    ///
    /// Fails when the journal is damaged.
    pub fn open(disk: Option<Arc<dyn Disk>>) -> Result<Self> {
        let Some(disk) = disk else {
            return Ok(Self { journal: None, epochs: Epochs::default() });
        };
        let opened = Journal::open(disk, NAME)?;
        let known = !opened.base.is_empty();
        let epochs = if known { decode(&opened.base)? } else { Epochs::default() };
        Ok(Self { journal: Some(opened.journal), epochs })
    }

    /// The epochs.
    pub const fn epochs(&self) -> &Epochs {
        &self.epochs
    }

    /// Takes epochs that another host or the log knows.
    ///
    /// # Errors
    ///
    /// Fails when the disk does; they are not taken then.
    pub fn merge(&mut self, homes: &[HomeEpoch]) -> Result<()> {
        let mut epochs = self.epochs.clone();
        if epochs.merge(wall_ms(), homes) { self.put(epochs) } else { Ok(()) }
    }

    /// Drops an epoch whose journal holds nothing any more.
    ///
    /// # Errors
    ///
    /// Fails when the disk does; it is not dropped then.
    pub fn forget(&mut self, epoch: u64) -> Result<()> {
        let mut epochs = self.epochs.clone();
        epochs.forget(epoch);
        self.put(epochs)
    }

    fn put(&mut self, epochs: Epochs) -> Result<()> {
        if let Some(journal) = &mut self.journal {
            journal.compact(&encode(&epochs))?;
        }
        self.epochs = epochs;
        Ok(())
    }
}
