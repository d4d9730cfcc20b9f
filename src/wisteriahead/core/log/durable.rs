//! What of a replica's writes is durable while later ones are still under way.

use super::{Action, Index, WriteId};
use std::collections::VecDeque;

/// Most messages that wait for a write; further ones are dropped, as a network drops them.
const HELD_MAX: usize = 1_024;

/// The writes of a replica.
#[derive(Clone, Debug)]
pub(super) struct Durable {
    begun: WriteId,
    done: WriteId,
    /// The last write that holds a new term or vote.
    hard: WriteId,
    /// The log is durable up to here.
    index: Index,
    /// Writes under way, and the end of the log that each makes durable.
    pending: VecDeque<(WriteId, Index)>,
    /// Messages that promise a term or a vote that is not durable yet.
    held: Vec<Action>,
}

impl Durable {
    /// A replica whose log was read from disk.
    pub(super) const fn new(index: Index) -> Self {
        Self { begun: 0, done: 0, hard: 0, index, pending: VecDeque::new(), held: Vec::new() }
    }

    /// Position up to which the log is durable.
    pub(super) const fn index(&self) -> Index {
        self.index
    }

    /// Whether term and vote are durable.
    pub(super) const fn is_hard(&self) -> bool {
        self.hard <= self.done
    }

    /// Begins a write after which the log is durable up to `end`.
    pub(super) fn begin(&mut self, end: Index) -> WriteId {
        self.begun += 1;
        self.pending.push_back((self.begun, end));
        self.begun
    }

    /// Notes that the last write begun holds a new term or vote; what an older one
    /// promised is of no more use.
    pub(super) fn renew(&mut self) {
        self.hard = self.begun;
        self.held.clear();
    }

    /// Notes that entries after a position are replaced.
    pub(super) fn cut(&mut self, index: Index) {
        self.index = self.index.min(index);
        for (_, end) in &mut self.pending {
            *end = index.min(*end);
        }
    }

    /// Keeps a message until term and vote are durable.
    pub(super) fn hold(&mut self, send: Action) {
        if self.held.len() < HELD_MAX {
            self.held.push(send);
        }
    }

    /// Notes that all writes up to a mark are durable, and returns the messages that
    /// waited for it.
    pub(super) fn finish(&mut self, mark: WriteId) -> Vec<Action> {
        self.done = self.done.max(mark);
        while let Some((_, end)) = self.pending.pop_front_if(|(m, _)| *m <= mark) {
            self.index = self.index.max(end);
        }
        if self.is_hard() { std::mem::take(&mut self.held) } else { Vec::new() }
    }
}
