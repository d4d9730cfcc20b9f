//! Whether a query begins: one that is sent to some shards and then finds no room at the others
//! has cost those their work for nothing.

use super::{Environment, Gather, Step, Wait, meets_coverage};
use crate::core::time::Span;

/// Wait before room is looked for again.
const ENTER_WAIT: Span = Span::millis(5);

impl<T> Gather<T> {
    /// Sends to all shards if enough of them have room, or waits for that; past its patience the
    /// query ends without having been sent anywhere.
    pub(super) fn enter<F: Environment>(&mut self, step: &mut Step<'_, F>) {
        let room =
            self.snapshot.shards.iter().filter(|r| step.fleet.has_free_slot(step.now, r)).count();
        let enough = meets_coverage(room, self.shards.len(), self.least);
        let patient = self.is_patient(step.now);
        self.enters = (!enough && patient).then_some(step.now + ENTER_WAIT);
        for shard in 0..self.shards.len() {
            self.shards[shard].wait =
                if self.enters.is_some() { Wait::Held } else { Wait::Nothing };
            if enough {
                self.send(shard, step);
            }
        }
    }
}
