//! The thread that writes a replica's journal, so that the replica goes on while a sync
//! is under way. All writes that wait are made durable by one sync.

use super::Store;
use crate::core::log::{Checkpoint, Payload, Record, WriteId};
use crate::prelude::*;
use std::collections::VecDeque;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::JoinHandle;
use std::time::Instant;

/// Most writes made durable together.
const BATCH_MAX: usize = 256;
/// Bytes under way from which on no more proposals are taken.
const BACKLOG_MAX_BYTES: usize = 16 << 20;
/// Time of a sync from which on it is logged.
const SLOW: Span = Span::millis(500);

/// A write of a replica.
pub enum Write {
    /// Adds records.
    Records(Vec<Record>),
    /// Puts a base in place of all records.
    Base(Checkpoint),
}

/// What became of some writes.
pub enum Report {
    /// They are durable.
    Synced {
        /// The last of them.
        mark: WriteId,
        /// Whether the journal has grown so far that compaction pays.
        long: bool,
        /// How long the writes took.
        took: Span,
    },
    /// The disk has failed; nothing is written any more.
    Failed(anyhow::Error),
}

/// A handle on the thread; it ends when the handle is dropped and all is written.
pub struct Writer {
    tx: Sender<(WriteId, Write)>,
    /// Writes under way and their bytes.
    sizes: VecDeque<(WriteId, usize)>,
    bytes: usize,
}

impl Writer {
    /// Starts the thread; `report` returns false when nobody listens any more.
    ///
    /// # Errors
    ///
    /// Fails when no thread can be started.
    pub fn start(
        store: Store,
        report: impl Fn(Report) -> bool + Send + 'static,
    ) -> Result<(Self, JoinHandle<()>)> {
        let (tx, rx) = channel();
        let thread = std::thread::Builder::new()
            .name("journal".to_owned())
            .spawn(move || run(store, &rx, report))
            .context("could not start a thread")?;
        Ok((Self { tx, sizes: VecDeque::new(), bytes: 0 }, thread))
    }

    /// Begins a write.
    pub fn write(&mut self, mark: WriteId, write: Write) {
        let size = write.bytes();
        self.sizes.push_back((mark, size));
        self.bytes += size;
        // A thread that has ended has reported why.
        let _ = self.tx.send((mark, write));
    }

    /// Notes that the writes up to a mark are durable.
    pub fn finish(&mut self, mark: WriteId) {
        while let Some((_, size)) = self.sizes.pop_front_if(|(m, _)| *m <= mark) {
            self.bytes -= size;
        }
    }

    /// Whether the disk is so far behind that nothing more should be proposed.
    pub const fn is_full(&self) -> bool {
        self.bytes >= BACKLOG_MAX_BYTES
    }
}

impl Write {
    fn bytes(&self) -> usize {
        match self {
            Self::Records(records) => records.iter().map(size).sum(),
            Self::Base(base) => base.snapshot.data.len(),
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
        let begun = Instant::now();
        let more = rx.try_iter().take(BATCH_MAX - 1);
        let done = carry_out(&mut store, std::iter::once(first).chain(more));
        let took = Span::from(begun.elapsed());
        if took >= SLOW {
            log::warn!("the disk took {took} to make the log durable");
        }
        let failed = done.is_err();
        let told = report(match done {
            Ok(mark) => Report::Synced { mark, long: store.is_long(), took },
            Err(e) => Report::Failed(e),
        });
        if failed || !told {
            return;
        }
    }
}

fn carry_out(store: &mut Store, writes: impl Iterator<Item = (WriteId, Write)>) -> Result<WriteId> {
    let mut last = 0;
    for (mark, write) in writes {
        match write {
            Write::Records(records) => store.append(&records)?,
            Write::Base(base) => store.compact(&base)?,
        }
        last = mark;
    }
    store.sync()?;
    Ok(last)
}
