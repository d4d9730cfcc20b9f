//! Interface through which a query uses the rest of its host.

use crate::core::endpoint::EndpointKey;
use crate::core::quarantine::SuspectRun;
use crate::core::routes::{Snapshot, Target};
use crate::core::time::{Span, Time};
use std::sync::Arc;

/// What a query needs from its host: permits, budget, hedge delays, snapshots, quarantine.
pub trait Environment {
    /// Permission to have one request in flight at an endpoint; dropping it releases it.
    type Permit;

    /// Takes a permit for one of `replicas` that is not in `tried` and has a free slot.
    fn acquire(
        &mut self,
        now: Time,
        replicas: &[Target],
        tried: &[EndpointKey],
    ) -> Option<(Target, Self::Permit)>;

    /// Whether one of `replicas` has a free slot now. The default is `true`: where slots are
    /// leased, only [`Self::acquire`] can tell.
    fn has_free_slot(&self, _now: Time, _replicas: &[Target]) -> bool {
        true
    }

    /// Takes one attempt at `replicas` from the budget of extra attempts; false if it is used up.
    fn take_extra(&mut self, replicas: &[Target]) -> bool;

    /// Delay after which an attempt at one of `replicas` is hedged; none for no hedge.
    fn hedge_delay(&self, replicas: &[Target]) -> Option<Span>;

    /// Best snapshot of the collection now, except those in `discarded`.
    fn next_snapshot(&self, discarded: &[Arc<Snapshot>]) -> Option<Arc<Snapshot>>;

    /// Whether the query may run again after an endpoint died while running it on `shard`, which is
    /// none while the query has been sent to one shard only.
    fn try_suspect(&mut self, now: Time, shard: Option<u32>) -> SuspectRun;
}
