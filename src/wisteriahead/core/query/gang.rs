//! Gang start: the query is sent to no shard until enough shards for its minimum coverage have a
//! free slot. Sent earlier, it could find no slot at the other shards, and the work of the first
//! ones would be wasted.

use super::{Environment, Gather, Step, Wait, meets_coverage};
use crate::core::time::Span;

/// Interval at which free slots are checked again.
const GANG_RETRY: Span = Span::millis(5);

impl<T> Gather<T> {
    /// Sends to all shards if enough of them have a free slot; otherwise checks again until the
    /// policy's `slot_deadline`, after which the query ends without having been sent.
    pub(super) fn start_gang<E: Environment>(&mut self, step: &mut Step<'_, E>) {
        let ready =
            self.snapshot.shards.iter().filter(|r| step.env.has_free_slot(step.now, r)).count();
        let enough = meets_coverage(ready, self.shards.len(), self.min_coverage);
        let patient = self.may_await_slot(step.now);
        self.gang_retry = (!enough && patient).then_some(step.now + GANG_RETRY);
        for shard in 0..self.shards.len() {
            self.shards[shard].wait =
                if self.gang_retry.is_some() { Wait::Held } else { Wait::Nothing };
            if enough {
                self.send(shard, step);
            }
        }
    }
}
