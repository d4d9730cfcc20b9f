//! Durable state of a replica: a checkpoint and the records after it, in a journal.

use crate::core::log::{Checkpoint, Record};
use crate::core::message::{decode, encode};
use crate::prelude::*;
use crate::util::disk::{Disk, Journal};

/// Bytes of records above which the journal is compacted, unless the checkpoint is larger.
pub const COMPACT_BYTES: u64 = 4 << 20;

/// Journal of a replica.
pub struct Store {
    journal: Journal,
    checkpoint_bytes: u64,
}

/// Stored state of a replica, as read when its journal is opened.
pub struct StoredReplica {
    /// Journal of the replica.
    pub store: Store,
    /// Latest checkpoint; `None` if the replica was never initialized.
    pub checkpoint: Option<Checkpoint>,
    /// Records after the checkpoint.
    pub records: Vec<Record>,
}

impl Store {
    /// Opens the journal of a replica.
    ///
    /// # Errors
    ///
    /// Fails if the journal is corrupt, or on a disk error.
    pub fn open(disk: Arc<dyn Disk>, name: &str) -> Result<StoredReplica> {
        let opened = Journal::open(disk, name)?;
        if opened.truncated > 0 {
            log::warn!(
                "journal `{name}`: dropped {} bytes of an incomplete write",
                opened.truncated
            );
        }
        let checkpoint = match opened.base.as_slice() {
            [] => None,
            bytes => {
                Some(decode(bytes).with_context(|| format!("invalid checkpoint in `{name}`"))?)
            }
        };
        let read =
            |bytes: &Vec<u8>| decode(bytes).with_context(|| format!("invalid record in `{name}`"));
        let records = opened.records.iter().map(read).collect::<Result<_>>()?;
        let store = Self { journal: opened.journal, checkpoint_bytes: opened.base.len() as u64 };
        Ok(StoredReplica { store, checkpoint, records })
    }

    /// Writes records, which are durable after the next [`Store::sync`].
    ///
    /// # Errors
    ///
    /// Fails on a disk error, and on every later call.
    pub fn append(&mut self, records: &[Record]) -> Result<()> {
        for record in records {
            self.journal.append(&encode(record))?;
        }
        Ok(())
    }

    /// Makes all written records durable.
    ///
    /// # Errors
    ///
    /// Fails on a disk error, and on every later call.
    pub fn sync(&mut self) -> Result<()> {
        Ok(self.journal.sync()?)
    }

    /// Durably replaces the journal's content by a checkpoint.
    ///
    /// # Errors
    ///
    /// Fails on a disk error, and on every later call.
    pub fn compact(&mut self, checkpoint: &Checkpoint) -> Result<()> {
        let bytes = encode(checkpoint);
        self.checkpoint_bytes = bytes.len() as u64;
        Ok(self.journal.compact(&bytes)?)
    }

    /// Whether the records are large enough for the journal to be compacted.
    pub fn is_compaction_due(&self) -> bool {
        self.journal.bytes() > COMPACT_BYTES.max(self.checkpoint_bytes)
    }
}
