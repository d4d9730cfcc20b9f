//! Newest revision that this host has known for a while.
//!
//! Answers this load pattern: a host stands still or is cut off, its caller leaves it and gives the same
//! order to another host, and the host carries out its copy when it goes on. The changes that were made
//! meanwhile reach it at about the same time as the copy, so it can't tell from the newest revision
//! that the copy is older.

use crate::core::document::Revision;
use crate::core::time::{Span, Time};
use std::collections::VecDeque;

/// Time for which a host must have known a revision before it takes orders to have been given with
/// regard to it. Longer than a host takes to handle what has arrived while it stood still.
pub const SETTLE_TIME: Span = Span::secs(1);
/// Maximum number of revisions that are not settled yet; of further ones, only the latest counts.
const PENDING_MAX: usize = 256;

/// Revisions known to this host, with the time at which it learnt each.
#[derive(Clone, Debug, Default)]
pub struct SettledRevision {
    settled: Revision,
    pending: VecDeque<(Time, Revision)>,
}

impl SettledRevision {
    /// Records that a revision is known.
    pub fn record(&mut self, now: Time, revision: Revision) {
        self.advance(now);
        if self.pending.len() >= PENDING_MAX {
            self.pending.pop_back();
        }
        self.pending.push_back((now, revision));
    }

    /// Newest revision that has been known for [`SETTLE_TIME`].
    pub fn get(&mut self, now: Time) -> Revision {
        self.advance(now);
        self.settled
    }

    fn advance(&mut self, now: Time) {
        while let Some(&(at, revision)) = self.pending.front()
            && now.since(at) >= SETTLE_TIME
        {
            self.settled = self.settled.max(revision);
            self.pending.pop_front();
        }
    }
}
