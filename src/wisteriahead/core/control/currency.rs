//! Since when a host may lack changes that others have accepted.
//!
//! The leader states its newest committed revision in the status that it sends to each host in
//! turn. A host that has this revision or a higher one in force knew all changes that were accepted
//! before the status arrived. A leader that was replaced without noticing states a lower term than
//! the highest that the host has heard of, and confirms nothing.

use crate::core::document::Revision;
use crate::core::log::Term;
use crate::core::time::{Span, Time};

/// Last confirmation that a host lacks no change.
#[derive(Clone, Copy, Debug, Default)]
pub struct Currency {
    /// Highest term that any host has stated.
    term: Term,
    confirmed: Option<Time>,
}

impl Currency {
    /// Records the term of a leader, as stated by any host.
    pub fn heard_term(&mut self, term: Term) {
        self.term = self.term.max(term);
    }

    /// Records that the leader of `term` states `newest`, while `own` is in force at this host.
    /// Returns whether this confirms that the host lacks no change.
    pub fn heard_leader(&mut self, now: Time, term: Term, newest: Revision, own: Revision) -> bool {
        let confirms = term >= self.term && newest <= own;
        self.heard_term(term);
        if confirms {
            self.confirmed = Some(now);
        }
        confirms
    }

    /// Time since the last confirmation; `None` if there was none.
    pub fn unconfirmed_for(&self, now: Time) -> Option<Span> {
        self.confirmed.map(|at| now.since(at))
    }
}
