//! What a query asks of the rest of its host.

use crate::core::endpoint::EndpointKey;
use crate::core::quarantine::Trial;
use crate::core::routes::{Snapshot, Target};
use crate::core::time::{Span, Time};
use std::sync::Arc;

/// What a query asks of the rest of its host.
pub trait Environment {
    /// The right to have one request in flight at an endpoint; dropping it gives it back.
    type Permit;

    /// Chooses one of `replicas` that is not in `tried` and has room.
    fn acquire(
        &mut self,
        now: Time,
        replicas: &[Target],
        tried: &[EndpointKey],
    ) -> Option<(Target, Self::Permit)>;

    /// Whether one of `replicas` has room for a request now; where rights are lent, asking for one
    /// is the only way to know.
    fn has_free_slot(&self, _now: Time, _replicas: &[Target]) -> bool {
        true
    }

    /// Takes one extra attempt at one of `replicas` from the budget.
    fn take_extra(&mut self, replicas: &[Target]) -> bool;

    /// Time after which an attempt at one of `replicas` is hedged.
    fn hedge_delay(&self, replicas: &[Target]) -> Option<Span>;

    /// The best snapshot of the collection now, without those in `lost`.
    fn next_snapshot(&self, lost: &[Arc<Snapshot>]) -> Option<Arc<Snapshot>>;

    /// Whether this query may run again on a shard where an endpoint died with it in flight; no
    /// shard means that it ran nowhere else.
    fn try_suspect(&mut self, now: Time, shard: Option<u32>) -> Trial;
}
