//! State of one shard of a query: its attempts and what it waits for.

use super::AttemptId;
use crate::core::endpoint::EndpointKey;
use crate::core::routes::Target;
use crate::core::time::{Span, Time};

/// First delay before a shard is retried; it doubles each time.
const BACKOFF_MIN: Span = Span::millis(2);
/// Maximum doublings of [`BACKOFF_MIN`].
const DOUBLINGS_MAX: u32 = 5;
/// Default of the maximum attempts for one shard on one snapshot, not counting those refused as
/// busy.
pub(super) const ATTEMPTS_MAX: u32 = 4;

/// What a shard waits for besides its open attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Wait {
    #[default]
    Nothing,
    /// A free slot at a replica.
    Slot { until: Time },
    /// The delay after an endpoint was busy or died.
    Backoff { until: Time },
    /// The answer of the canary shard, or free slots at enough shards.
    Held,
    /// The time at which the budget of extra attempts is tried again.
    Budget { until: Time },
    /// The time at which its attempt is hedged.
    Hedge { until: Time },
}

impl Wait {
    /// When the wait ends at the latest.
    pub(super) fn until(self) -> Option<Time> {
        match self {
            Self::Nothing | Self::Held => None,
            Self::Slot { until }
            | Self::Backoff { until }
            | Self::Budget { until }
            | Self::Hedge { until } => Some(until),
        }
    }
}

/// Why an attempt was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Shortage {
    /// No untried replica has a free slot.
    Slot,
    /// The budget of extra attempts is used up.
    Budget,
}

/// An attempt that has not ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenAttempt {
    pub(super) shard: u32,
    pub(super) key: EndpointKey,
}

/// State of one shard of a query.
#[derive(Debug)]
pub(super) struct ShardState<T> {
    pub(super) hits: Option<T>,
    pub(super) tried: Vec<EndpointKey>,
    pub(super) sent: u32,
    /// Number of attempts that may have reached an endpoint, including refused ones.
    pub(super) arrivals: u32,
    /// Whether nothing more may be sent: a non-idempotent attempt may have run.
    pub(super) no_resend: bool,
    /// Number of delays so far.
    backoffs: u32,
    /// Why the last attempt due was not sent.
    pub(super) shortage: Option<Shortage>,
    pub(super) open: Vec<AttemptId>,
    pub(super) wait: Wait,
    /// Whether an endpoint no longer holds the snapshot.
    pub(super) snapshot_gone: bool,
    /// Number of endpoints that died with an attempt in flight.
    pub(super) deaths: usize,
}

impl<T> Default for ShardState<T> {
    fn default() -> Self {
        Self {
            hits: None,
            tried: Vec::new(),
            sent: 0,
            arrivals: 0,
            no_resend: false,
            backoffs: 0,
            shortage: None,
            open: Vec::new(),
            wait: Wait::Nothing,
            snapshot_gone: false,
            deaths: 0,
        }
    }
}

impl<T> ShardState<T> {
    /// Whether no answer can come from the shard any more.
    pub(super) fn is_exhausted(&self) -> bool {
        self.hits.is_none() && self.open.is_empty() && self.wait == Wait::Nothing
    }

    /// Whether another attempt is allowed and an untried replica is left.
    pub(super) fn may_send(&self, replicas: &[Target], max: u32) -> bool {
        !self.no_resend && self.sent < max && replicas.iter().any(|r| !self.tried.contains(&r.key))
    }

    /// Delay before the next retry; it doubles each time, up to a limit.
    pub(super) fn next_backoff(&mut self) -> Span {
        let wait = Span(BACKOFF_MIN.0 << self.backoffs.min(DOUBLINGS_MAX));
        self.backoffs += 1;
        wait
    }
}
