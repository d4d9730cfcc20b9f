//! One shard of a query: its attempts and what it waits for.

use super::AttemptId;
use crate::core::endpoint::EndpointKey;
use crate::core::routes::Target;
use crate::core::time::{Span, Time};

/// First wait before a shard whose endpoint was busy is tried again; it doubles each time.
const BUSY_WAIT: Span = Span::millis(2);
/// Most doublings of [`BUSY_WAIT`].
const DOUBLINGS_MAX: u32 = 5;
/// Most attempts for one shard on one snapshot, those refused as busy not counted.
pub(super) const ATTEMPTS_MAX: u32 = 4;

/// What a query waits for at one shard besides its open attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Wait {
    #[default]
    Nothing,
    /// Room at a replica.
    Room { until: Time },
    /// The time at which an endpoint that was busy is tried again.
    Later { until: Time },
    /// The end of the lead of another shard, or room at enough shards.
    Held,
    /// The time at which the budget is asked again.
    Extra { until: Time },
    /// The time of its hedge.
    Hedge { until: Time },
}

impl Wait {
    /// When the wait is over at the latest.
    pub(super) fn until(self) -> Option<Time> {
        match self {
            Self::Nothing | Self::Held => None,
            Self::Room { until }
            | Self::Later { until }
            | Self::Extra { until }
            | Self::Hedge { until } => Some(until),
        }
    }
}

/// What an attempt could not be opened for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Shortage {
    /// No replica that was not tried has room.
    Slot,
    /// The budget of extra attempts is spent.
    Budget,
}

/// An attempt that has not ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct Open {
    pub(super) shard: u32,
    pub(super) key: EndpointKey,
}

/// One shard of a query.
#[derive(Debug)]
pub(super) struct Shard<T> {
    pub(super) hits: Option<T>,
    pub(super) tried: Vec<EndpointKey>,
    pub(super) sent: u32,
    /// Attempts that may have reached an endpoint, refused ones included.
    pub(super) arrivals: u32,
    /// Whether nothing more may be sent: an attempt that must not be repeated may have run.
    pub(super) spent: bool,
    busy: u32,
    /// Why the last attempt that it needed was not sent.
    pub(super) lack: Option<Shortage>,
    pub(super) open: Vec<AttemptId>,
    pub(super) wait: Wait,
    /// Whether an endpoint said that it no longer holds the snapshot.
    pub(super) moved: bool,
    /// Endpoints that died with an attempt in flight.
    pub(super) deaths: usize,
}

impl<T> Default for Shard<T> {
    fn default() -> Self {
        Self {
            hits: None,
            tried: Vec::new(),
            sent: 0,
            arrivals: 0,
            spent: false,
            busy: 0,
            lack: None,
            open: Vec::new(),
            wait: Wait::Nothing,
            moved: false,
            deaths: 0,
        }
    }
}

impl<T> Shard<T> {
    /// Whether nothing more can come from the shard.
    pub(super) fn exhausted(&self) -> bool {
        self.hits.is_none() && self.open.is_empty() && self.wait == Wait::Nothing
    }

    /// Whether a replica is left that may be sent another attempt.
    pub(super) fn may_send(&self, replicas: &[Target], max: u32) -> bool {
        !self.spent && self.sent < max && replicas.iter().any(|r| !self.tried.contains(&r.key))
    }

    /// The next wait before another try; it doubles each time.
    pub(super) fn retry_wait(&mut self) -> Span {
        let wait = Span(BUSY_WAIT.0 << self.busy.min(DOUBLINGS_MAX));
        self.busy += 1;
        wait
    }
}
