//! Budgets: no endpoint is asked for more than it can bear, in sum over all hosts.
//!
//! The endpoints of an availability zone fall into buckets by their names. One host of the
//! zone owns each bucket, for a short term at a time, by the votes of a majority of the
//! zone's hosts ([`election`]). The owner lends each endpoint's slots to the hosts that ask
//! for them ([`lender`]); a host starts requests only under slots that it holds
//! ([`borrower`]). [`Budgets`] is one host's part in all three.
//!
//! Nothing here relies on a message to arrive. Each ask says all that its sender holds and
//! voids every grant sent before it, so lost, doubled, delayed and reordered messages can
//! only leave a slot unused. A borrower counts its term from the time of its ask, by its
//! own clock and shortened by [`DRIFT_PERCENT`]; the owner counts from the receipt and then
//! waits for the longest request that may still run.

pub mod borrower;
pub mod election;
mod host;
pub mod lender;

pub use self::host::Budgets;
use super::time::Span;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Time for which lent slots may be used to start requests, without renewal.
pub const TERM: Span = Span::secs(3);
/// Longest time that an endpoint works on one attempt.
pub const ATTEMPT_MAX: Span = Span::secs(10);
/// Time after a borrower's term in which its last requests may still run.
pub const HOLD: Span = Span(ATTEMPT_MAX.0 + ATTEMPT_MAX.0 / 10);
/// Least time left for which an attempt is sent: endpoints count in whole milliseconds.
const TIMEOUT_MIN: Span = Span::millis(1);
/// Time for which a vote binds the voter.
pub const VOTE_TERM: Span = Span::secs(2);
/// Most by which the clocks of two hosts may drift apart, with a margin.
pub const DRIFT_PERCENT: u64 = 2;
/// Buckets into which the endpoints of a zone fall.
pub const BUCKETS: u32 = 16;

/// A term as counted by the side that must stop first.
pub const fn shortened(term: Span) -> Span {
    Span(term.0 / 100 * (100 - DRIFT_PERCENT))
}

/// Time that an endpoint may still work on an attempt that has `waited` to be sent.
///
/// `age` is the time since its permit was taken. A host that was stalled, or that waited for
/// a connection, sends nothing that could run after the owner has lent the slot on.
pub fn time_left(timeout: Span, waited: Span, age: Span) -> Option<Span> {
    let wanted = timeout.0.saturating_sub(waited.0);
    let bound = ATTEMPT_MAX.0.saturating_sub(age.0);
    Some(Span(wanted.min(bound))).filter(|left| *left >= TIMEOUT_MIN)
}

/// A set of buckets, one bit each.
pub type BucketSet = u16;

/// The bucket of an endpoint.
pub fn bucket(endpoint: &str) -> u32 {
    u32::try_from(super::digest::hash(&[endpoint]) % u64::from(BUCKETS)).unwrap_or_default()
}

/// What a borrower holds and wants of one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The endpoint.
    pub endpoint: Arc<str>,
    /// Number of the ask; it rises over all asks of one process of the borrower.
    pub seq: u64,
    /// Most requests that the borrower has in flight until a grant answers this ask.
    pub held: u32,
    /// Slots that it would use beyond those.
    pub want: u32,
    /// Requests that the endpoint answered in about the usual time since the last ask.
    pub ok: u32,
    /// Requests that became much slower than usual since the last ask, while none that began
    /// after them was answered in the usual time.
    pub slow: u32,
    /// Whether a request that began after a slow one was answered in about the usual time.
    pub fast: bool,
    /// Whether the endpoint showed a sign of cold start since the last ask.
    pub cold: bool,
    /// Incarnation of the endpoint that it would send to.
    pub incarnation: u64,
}

/// Slots lent to one borrower.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The endpoint.
    pub endpoint: Arc<str>,
    /// The ask that it answers.
    pub seq: u64,
    /// Number of the grant among those that answer the same ask.
    pub turn: u32,
    /// Requests at once that the borrower may have in flight.
    pub total: u32,
    /// Incarnation of the endpoint that they may be sent to.
    pub incarnation: u64,
}

/// What hosts send each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Reports and asks for slots; `boot` names the process of the borrower.
    Asks {
        /// Process of the borrower.
        boot: u64,
        /// One for each endpoint.
        asks: Vec<Ask>,
    },
    /// Lends slots, or asks for some back by a lower total.
    Grants(Vec<Grant>),
    /// Asks for votes.
    Bid {
        /// Process of the bidder.
        boot: u64,
        /// Number of the bid.
        seq: u64,
        /// Buckets bid for.
        buckets: BucketSet,
        /// Digest of the hosts that vote, as the bidder sees them.
        electorate: u64,
    },
    /// Gives votes.
    Vote {
        /// Number of the bid.
        seq: u64,
        /// Buckets voted for.
        buckets: BucketSet,
    },
    /// A new owner asks for all that the receiver holds.
    Poll {
        /// Number of the poll.
        seq: u64,
        /// Buckets newly owned.
        buckets: BucketSet,
    },
    /// Answers a poll.
    Report {
        /// Number of the poll.
        seq: u64,
        /// Process of the borrower.
        boot: u64,
        /// All that it holds in the polled buckets.
        asks: Vec<Ask>,
    },
}
