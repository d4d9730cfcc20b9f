//! Gang start: the query is sent to no shard until enough shards for its minimum coverage have a
//! free slot. Sent earlier, it could find no slot at the other shards, and the work of the first
//! ones would be wasted.
//!
//! Then it may be sent in parts, between which the driver lets other tasks run. Answers the load of a
//! gather over many shards on a slow host: the messages with the first part leave before the endpoints
//! of the last are chosen.

use super::{Environment, Gather, Step, Wait, meets_coverage};
use crate::core::time::Span;

/// Interval at which free slots are checked again.
const GANG_RETRY: Span = Span::millis(5);

impl<T> Gather<T> {
    /// Has a gang start send to these parts of the shards one after the other.
    pub fn with_start_parts(self, start_parts: Vec<Vec<u32>>) -> Self {
        Self { start_parts, ..self }
    }

    /// Whether a gang start has not sent to all shards yet, and goes on with [`Event::Continue`].
    ///
    /// [`Event::Continue`]: super::Event::Continue
    pub fn has_unsent(&self) -> bool {
        !self.finished && self.unsent > 0
    }

    /// Sends to the next part of the shards.
    pub(super) fn send_next_part<E: Environment>(&mut self, step: &mut Step<'_, E>) {
        if self.unsent == 0 || step.now >= self.deadline {
            return;
        }
        let next = self.start_parts.len() - self.unsent;
        self.unsent -= 1;
        for shard in std::mem::take(&mut self.start_parts[next]) {
            self.send(shard as usize, step);
        }
        self.reschedule(step);
    }

    /// Sends to all shards if enough of them have a free slot; otherwise checks again until the
    /// policy's `slot_deadline`, after which the query ends without having been sent.
    pub(super) fn start_gang<E: Environment>(&mut self, step: &mut Step<'_, E>) {
        let ready =
            self.snapshot.shards.iter().filter(|r| step.env.has_free_slot(step.now, r)).count();
        let enough = meets_coverage(ready, self.shards.len(), self.min_coverage);
        let patient = self.may_await_slot(step.now);
        self.gang_retry = (!enough && patient).then_some(step.now + GANG_RETRY);
        let in_parts = enough && !self.start_parts.is_empty();
        let held = in_parts || self.gang_retry.is_some();
        for shard in 0..self.shards.len() {
            self.shards[shard].wait = if held { Wait::Held } else { Wait::Nothing };
            if enough && !in_parts {
                self.send(shard, step);
            }
        }
        if in_parts {
            self.unsent = self.start_parts.len();
            self.send_next_part(step);
        }
    }
}
