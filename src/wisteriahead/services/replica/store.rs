//! The durable part of a replica: its records in a journal.

use crate::core::log::{Checkpoint, Record};
use crate::core::message::{decode, encode};
use crate::prelude::*;
use crate::util::disk::{Disk, Journal};

/// Bytes of records after which the journal is compacted, unless the base is larger.
pub const COMPACT_BYTES: u64 = 4 << 20;

/// A replica's journal.
pub struct Store {
    journal: Journal,
    base: u64,
}

/// What a replica made durable.
pub struct StoredReplica {
    /// The journal.
    pub store: Store,
    /// The base, if the replica was ever formed.
    pub checkpoint: Option<Checkpoint>,
    /// The records since.
    pub records: Vec<Record>,
}

impl Store {
    /// Opens the journal of a replica.
    ///
    /// # Errors
    ///
    /// Fails when the journal is damaged or the disk fails.
    pub fn open(disk: Arc<dyn Disk>, name: &str) -> Result<StoredReplica> {
        let opened = Journal::open(disk, name)?;
        if opened.truncated > 0 {
            log::warn!(
                "journal `{name}`: {} bytes of an unfinished write dropped",
                opened.truncated
            );
        }
        let checkpoint = match opened.base.as_slice() {
            [] => None,
            bytes => Some(decode(bytes).with_context(|| format!("the base of `{name}`"))?),
        };
        let read = |bytes: &Vec<u8>| decode(bytes).with_context(|| format!("a record of `{name}`"));
        let records = opened.records.iter().map(read).collect::<Result<_>>()?;
        let store = Self { journal: opened.journal, base: opened.base.len() as u64 };
        Ok(StoredReplica { store, checkpoint, records })
    }

    /// Writes records, durable after the next [`Store::sync`].
    ///
    /// # Errors
    ///
    /// Fails when the disk does, and from then on.
    pub fn append(&mut self, records: &[Record]) -> Result<()> {
        for record in records {
            self.journal.append(&encode(record))?;
        }
        Ok(())
    }

    /// Makes what was written durable.
    ///
    /// # Errors
    ///
    /// Fails when the disk does, and from then on.
    pub fn sync(&mut self) -> Result<()> {
        Ok(self.journal.sync()?)
    }

    /// Puts a base in place of all records.
    ///
    /// # Errors
    ///
    /// Fails when the disk does, and from then on.
    pub fn compact(&mut self, base: &Checkpoint) -> Result<()> {
        let bytes = encode(base);
        self.base = bytes.len() as u64;
        Ok(self.journal.compact(&bytes)?)
    }

    /// Whether the records have grown so far that compaction pays.
    pub fn is_long(&self) -> bool {
        self.journal.bytes() > COMPACT_BYTES.max(self.base)
    }
}
