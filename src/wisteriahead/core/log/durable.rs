//! Tracks which writes of a replica are durable, and holds messages that depend on the others.

use super::{Action, Index, WriteId};
use std::collections::VecDeque;

/// Maximum messages held for a write; further ones are dropped, which the protocol tolerates as
/// message loss.
const HELD_MAX: usize = 1_024;

/// Pending and durable writes of a replica.
#[derive(Clone, Debug)]
pub(super) struct WriteTracker {
    last_begun: WriteId,
    last_durable: WriteId,
    /// Last write that contains a new term or vote.
    hard_write: WriteId,
    /// Position up to which the log is durable.
    durable_index: Index,
    /// Writes in progress, each with the position up to which it makes the log durable.
    pending: VecDeque<(WriteId, Index)>,
    /// Messages to send once the term and vote that they depend on are durable.
    held: Vec<Action>,
}

impl WriteTracker {
    /// Tracker of a replica whose log was read from disk up to `index`.
    pub(super) const fn new(index: Index) -> Self {
        Self {
            last_begun: 0,
            last_durable: 0,
            hard_write: 0,
            durable_index: index,
            pending: VecDeque::new(),
            held: Vec::new(),
        }
    }

    /// Position up to which the log is durable.
    pub(super) const fn durable_index(&self) -> Index {
        self.durable_index
    }

    /// Whether the current term and vote are durable.
    pub(super) const fn is_hard_state_durable(&self) -> bool {
        self.hard_write <= self.last_durable
    }

    /// Assigns the number of a new write that makes the log durable up to `end`.
    pub(super) fn begin(&mut self, end: Index) -> WriteId {
        self.last_begun += 1;
        self.pending.push_back((self.last_begun, end));
        self.last_begun
    }

    /// Records that the last write contains a new term or vote, and drops held messages of the
    /// previous one, which are obsolete.
    pub(super) fn note_hard_state(&mut self) {
        self.hard_write = self.last_begun;
        self.held.clear();
    }

    /// Records that the entries after a position are being replaced.
    pub(super) fn truncate(&mut self, index: Index) {
        self.durable_index = self.durable_index.min(index);
        for (_, end) in &mut self.pending {
            *end = index.min(*end);
        }
    }

    /// Holds a message until term and vote are durable.
    pub(super) fn hold(&mut self, send: Action) {
        if self.held.len() < HELD_MAX {
            self.held.push(send);
        }
    }

    /// Records that all writes up to `id` are durable, and returns the messages that can now be
    /// sent.
    pub(super) fn complete(&mut self, id: WriteId) -> Vec<Action> {
        self.last_durable = self.last_durable.max(id);
        while let Some((_, end)) = self.pending.pop_front_if(|(write, _)| *write <= id) {
            self.durable_index = self.durable_index.max(end);
        }
        if self.is_hard_state_durable() { std::mem::take(&mut self.held) } else { Vec::new() }
    }
}
