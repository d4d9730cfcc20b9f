//! Thread that writes a replica's journal, so that the replica is not blocked during a sync. One
//! sync covers all queued writes (group commit).

use super::Store;
use crate::core::log::{Checkpoint, Payload, Record, WriteId};
use crate::prelude::*;
use std::collections::VecDeque;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::JoinHandle;
use std::time::Instant;

/// Maximum number of writes covered by one sync.
const BATCH_MAX: usize = 256;
/// Bytes of pending writes from which on proposals are refused.
const BACKLOG_MAX_BYTES: usize = 16 << 20;
/// Duration from which on a write and sync is logged as slow.
const SLOW_SYNC: Span = Span::millis(500);

/// Write to a replica's journal.
pub enum Write {
    /// Appends records.
    Records(Vec<Record>),
    /// Replaces all records by a checkpoint.
    Checkpoint(Checkpoint),
}

/// Outcome of a batch of writes.
pub enum Report {
    /// The writes are durable.
    Synced {
        /// Last write of the batch; all earlier ones are durable too.
        id: WriteId,
        /// Whether the journal is large enough to be compacted.
        compact_due: bool,
        /// Duration of the writes and their sync.
        took: Span,
    },
    /// The disk failed; the thread ends and nothing more is written.
    Failed(anyhow::Error),
}

/// Handle to the thread, which ends once the handle is dropped and all writes are done.
pub struct Writer {
    tx: Sender<(WriteId, Write)>,
    /// Writes that are not yet durable, and their sizes in bytes.
    pending: VecDeque<(WriteId, usize)>,
    pending_bytes: usize,
}

impl Writer {
    /// Starts the thread; `report` returns false if the replica has ended.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    pub fn start(
        store: Store,
        report: impl Fn(Report) -> bool + Send + 'static,
    ) -> Result<(Self, JoinHandle<()>)> {
        let (tx, rx) = channel();
        let thread = std::thread::Builder::new()
            .name("journal".to_owned())
            .spawn(move || run(store, &rx, report))
            .context("could not start a thread")?;
        Ok((Self { tx, pending: VecDeque::new(), pending_bytes: 0 }, thread))
    }

    /// Queues a write.
    pub fn write(&mut self, id: WriteId, write: Write) {
        let size = write.bytes();
        self.pending.push_back((id, size));
        self.pending_bytes += size;
        // The send fails only if the thread has ended, which it has reported.
        let _ = self.tx.send((id, write));
    }

    /// Removes the writes up to `id`, which are durable, from the pending ones.
    pub fn finish(&mut self, id: WriteId) {
        while let Some((_, size)) = self.pending.pop_front_if(|(p, _)| *p <= id) {
            self.pending_bytes -= size;
        }
    }

    /// Whether so many bytes are pending that new proposals must be refused.
    pub const fn is_full(&self) -> bool {
        self.pending_bytes >= BACKLOG_MAX_BYTES
    }
}

impl Write {
    fn bytes(&self) -> usize {
        match self {
            Self::Records(records) => records.iter().map(size).sum(),
            Self::Checkpoint(checkpoint) => checkpoint.snapshot.data.len(),
        }
    }
}

fn size(record: &Record) -> usize {
    match record {
        Record::Entry(entry) => match &entry.payload {
            Payload::Data(data) => data.len(),
            Payload::Noop | Payload::Config(_) => 0,
        },
        Record::Hard(_) => 0,
    }
}

fn run(mut store: Store, rx: &Receiver<(WriteId, Write)>, report: impl Fn(Report) -> bool) {
    while let Ok(first) = rx.recv() {
        let started = Instant::now();
        let more = rx.try_iter().take(BATCH_MAX - 1);
        let result = execute(&mut store, std::iter::once(first).chain(more));
        let took = Span::from(started.elapsed());
        if took >= SLOW_SYNC {
            log::warn!("slow disk: writing and syncing the journal took {took}");
        }
        let failed = result.is_err();
        let is_delivered = report(match result {
            Ok(id) => Report::Synced { id, compact_due: store.is_compaction_due(), took },
            Err(e) => Report::Failed(e),
        });
        if failed || !is_delivered {
            return;
        }
    }
}

fn execute(store: &mut Store, writes: impl Iterator<Item = (WriteId, Write)>) -> Result<WriteId> {
    let mut last = 0;
    for (id, write) in writes {
        match write {
            Write::Records(records) => store.append(&records)?,
            Write::Checkpoint(checkpoint) => store.compact(&checkpoint)?,
        }
        last = id;
    }
    store.sync()?;
    Ok(last)
}
