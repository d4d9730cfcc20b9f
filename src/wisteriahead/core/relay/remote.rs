//! Batches of calls that other hosts send through this one: which are started, until when, and which are
//! cancelled.
//!
//! Answers messages that are late, overtake each other or come twice: no call starts after the deadline of its
//! request, and none [`START_WITHIN`] after its batch was sent, when its cancellation may have been sent long ago. A
//! cancellation that comes before its batch is remembered for as long as the batch could start.

use crate::core::peers::clock::Age;
use crate::core::time::{Span, Time};
use indexmap::{IndexMap, IndexSet};
use std::collections::VecDeque;
use std::sync::Arc;

/// Time after the sending of a batch within which its calls start. Endpoints must not receive requests half a
/// second after their caller has left; the rest is for the way to them.
pub const START_WITHIN: Span = Span::millis(400);
/// Maximum number of batches in progress.
pub const BATCHES_MAX: usize = 4_096;
/// Maximum number of cancellations remembered; the oldest are forgotten first.
pub const CANCELLED_MAX: usize = 4_096;

/// A batch: the host that sent it, and the number that the host gave it.
pub type BatchKey = (Arc<str>, u64);

/// Times of a batch, from now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchTimes {
    /// Time left for the batch.
    pub left: Span,
    /// Time within which its calls start.
    pub start_within: Span,
}

/// Why a batch is not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotStarted {
    /// It came too late.
    Late,
    /// Its cancellation came first.
    Cancelled,
    /// It is in progress already.
    Repeated,
    /// Too many are in progress.
    TooMany,
}

/// Batches in progress, each with what its owner needs to end it, and cancellations.
#[derive(Debug)]
pub struct RemoteBatches<T> {
    running: IndexMap<BatchKey, T>,
    cancelled: IndexSet<BatchKey>,
    /// Until when each cancellation is remembered, oldest first.
    cancelled_until: VecDeque<(Time, BatchKey)>,
}

impl<T> Default for RemoteBatches<T> {
    fn default() -> Self {
        Self {
            running: IndexMap::new(),
            cancelled: IndexSet::new(),
            cancelled_until: VecDeque::new(),
        }
    }
}

impl<T> RemoteBatches<T> {
    /// Whether a batch of this age may start; `left` is the time that was left for it when it was sent.
    ///
    /// # Errors
    ///
    /// Returns why it is not started.
    pub fn admit(
        &mut self,
        now: Time,
        key: &BatchKey,
        left: Span,
        age: Age,
    ) -> Result<BatchTimes, NotStarted> {
        self.forget_cancelled(now);
        if self.cancelled.contains(key) {
            return Err(NotStarted::Cancelled);
        }
        if self.running.contains_key(key) {
            return Err(NotStarted::Repeated);
        }
        let rest = |span: Span| Span(span.0.saturating_sub(age.most.0));
        let (left, start_within) = (rest(left), rest(left.min(START_WITHIN)));
        if start_within == Span::ZERO {
            return Err(NotStarted::Late);
        }
        if self.running.len() >= BATCHES_MAX {
            return Err(NotStarted::TooMany);
        }
        Ok(BatchTimes { left, start_within })
    }

    /// Records that an admitted batch is in progress.
    pub fn record_start(&mut self, key: BatchKey, batch: T) {
        self.running.insert(key, batch);
    }

    /// Records that a batch has ended.
    pub fn record_end(&mut self, key: &BatchKey) {
        self.running.swap_remove(key);
    }

    /// Cancels a batch; returns it if it is in progress.
    pub fn cancel(&mut self, now: Time, key: BatchKey) -> Option<T> {
        self.forget_cancelled(now);
        let running = self.running.swap_remove(&key);
        if running.is_none() && self.cancelled.insert(key.clone()) {
            self.cancelled_until.push_back((now + START_WITHIN, key));
            if self.cancelled_until.len() > CANCELLED_MAX {
                self.forget_oldest();
            }
        }
        running
    }

    /// Number of batches in progress.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of cancellations remembered.
    pub fn cancelled(&self) -> usize {
        self.cancelled.len()
    }

    fn forget_cancelled(&mut self, now: Time) {
        while self.cancelled_until.front().is_some_and(|(until, _)| *until <= now) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, key)) = self.cancelled_until.pop_front() {
            self.cancelled.swap_remove(&key);
        }
    }
}
