//! Concurrency budgets: all hosts together send no endpoint more requests at once than its limit.
//!
//! The endpoints of an availability zone are hashed by name into buckets. Each bucket is owned by
//! one host of the zone, for a short term at a time, elected by a majority of the zone's hosts
//! ([`election`]). The owner leases the slots of each endpoint to the hosts that request them
//! ([`lender`]); a host starts requests only in slots that it holds ([`borrower`]). [`Budgets`]
//! combines the three roles for one host.
//!
//! Nothing relies on the delivery of a message. Each slot request states all that its sender holds
//! and voids every earlier grant, so that lost, duplicated, delayed or reordered messages can only
//! leave slots unused. A holder counts the term of its lease from the time of its request, by its
//! own clock and shortened by [`DRIFT_PERCENT`]; the owner counts from the receipt and then waits
//! for the longest request that may still run.

pub mod borrower;
pub mod election;
mod host;
pub mod lender;

pub use self::host::Budgets;
use super::time::Span;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Time for which leased slots may be used to start requests without renewal.
pub const LEASE_TERM: Span = Span::secs(3);
/// Maximum time that an endpoint works on one attempt.
pub const ATTEMPT_MAX: Span = Span::secs(10);
/// Time after the end of a lease in which its last requests may still run.
pub const DRAIN_TIME: Span = Span(ATTEMPT_MAX.0 + ATTEMPT_MAX.0 / 10);
/// Minimum time left for which an attempt is sent: endpoints count in whole milliseconds.
const TIMEOUT_MIN: Span = Span::millis(1);
/// Time for which a vote binds the voter.
pub const VOTE_TERM: Span = Span::secs(2);
/// Maximum drift between the clocks of two hosts, with a margin.
pub const DRIFT_PERCENT: u64 = 2;
/// Number of buckets that the endpoints of a zone are hashed into.
pub const BUCKETS: u32 = 16;

/// A term as counted by the side that must stop first, allowing for clock drift.
pub const fn shorten_for_drift(term: Span) -> Span {
    Span(term.0 / 100 * (100 - DRIFT_PERCENT))
}

/// Time that an endpoint may still work on an attempt that has `waited` to be sent; none if it is
/// too late to send.
///
/// `age` is the time since its permit was taken. A host that stalled or waited for a connection
/// thus sends nothing that could still run after the owner has granted the slot to another host.
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

/// Request for slots of one endpoint: what its holder has, wants and observed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// The endpoint.
    pub endpoint: Arc<str>,
    /// Number of the request; it rises over all requests of one process of the holder.
    pub seq: u64,
    /// Maximum requests that the holder has in flight until a grant answers this request.
    pub held: u32,
    /// Number of slots wanted beyond those.
    pub want: u32,
    /// Number of requests answered with normal latency since the last slot request.
    pub ok: u32,
    /// Number of requests that became slow since the last slot request, while none that started
    /// after them was answered with normal latency.
    pub slow: u32,
    /// Whether a request that started after a slow one was answered with normal latency.
    pub fast: bool,
    /// Whether the endpoint showed a sign of cold start since the last slot request.
    pub cold: bool,
    /// Incarnation of the endpoint that requests would be sent to.
    pub incarnation: u64,
}

/// Slots leased to one holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The endpoint.
    pub endpoint: Arc<str>,
    /// Number of the slot request that it answers.
    pub seq: u64,
    /// Number of the grant among those that answer the same request.
    pub turn: u32,
    /// Maximum requests that the holder may have in flight.
    pub total: u32,
    /// Incarnation of the endpoint that requests may be sent to.
    pub incarnation: u64,
}

/// Message between hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Slot requests of a holder.
    Asks {
        /// Boot number of the holder's process.
        boot: u64,
        /// One request for each endpoint.
        asks: Vec<SlotRequest>,
    },
    /// Grants slots, or reclaims some by a lower total.
    Grants(Vec<Grant>),
    /// Requests votes.
    Bid {
        /// Boot number of the bidder's process.
        boot: u64,
        /// Number of the bid.
        seq: u64,
        /// Buckets bid for.
        buckets: BucketSet,
        /// Digest of the voters as known to the bidder.
        electorate: u64,
    },
    /// Answers a bid with the votes.
    Vote {
        /// Number of the bid.
        seq: u64,
        /// Buckets voted for.
        buckets: BucketSet,
    },
    /// A new owner requests a report of all that the receiver holds.
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
        /// Boot number of the holder's process.
        boot: u64,
        /// All that it holds in the polled buckets.
        asks: Vec<SlotRequest>,
    },
}
