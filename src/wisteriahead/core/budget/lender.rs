//! Lender's side: allocation of the slots of one endpoint by the owner of its bucket, which decides
//! how many slots each lease holder has and who gets the next.

use super::{DRAIN_TIME, Grant, LEASE_TERM, SlotRequest};
use crate::core::time::{Span, Time};
use indexmap::IndexMap;
use std::sync::Arc;

/// Time for which the demand of a holder is kept without being repeated.
const WANT_TERM: Span = Span::millis(250);
/// Minimum time that a holder with more work keeps a slot while others wait.
pub const QUANTUM: Span = Span::millis(20);
/// Minimum time that a holder without more work keeps a slot while others wait: the grant must
/// have time to arrive.
pub const KEEP_MIN: Span = Span::millis(5);
/// Time in which an endpoint ends the requests of a host whose process ended.
const RESTART_GRACE: Span = Span::secs(1);
/// Consecutive slow requests that are taken as a cold start.
pub const SLOW_MAX: u32 = 3;
/// Time for which the limit does not rise above the cold one after slow requests showed a cold
/// start.
pub const COLD_TERM: Span = Span::secs(10);
/// Maximum of that time, which doubles when signs follow each other.
const COLD_TERM_MAX: Span = Span::secs(160);
/// Answers per slot after which the limit of a recovering endpoint rises by one.
const GROWTH_ANSWERS: u32 = 4;

/// Concurrency limits of an endpoint, from its announcement and the rules.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Incarnation of the endpoint.
    pub incarnation: u64,
    /// Maximum concurrent requests.
    pub allowed: u32,
    /// Maximum concurrent requests in cold start.
    pub cold: u32,
}

/// A lease holder: a host and the boot number of its process.
pub type Holder = (Arc<str>, u64);

/// Slots allocated to one holder.
#[derive(Clone, Debug)]
struct Allocation {
    /// Number of the last slot request.
    seq: u64,
    /// Number of the last grant in answer to it.
    turn: u32,
    /// Maximum requests in flight that the holder reported.
    held: u32,
    /// Largest total granted in answer to request `seq`.
    granted: u32,
    /// Total of the last grant.
    total: u32,
    want: u32,
    requested: Time,
    /// When it last got another slot.
    last_granted: Time,
    waiting_since: Time,
    expires: Time,
}

impl Allocation {
    /// Maximum requests that the holder can have in flight.
    fn max_in_flight(&self) -> u32 {
        self.held.max(self.granted)
    }

    fn is_waiting(&self, now: Time) -> bool {
        self.want > 0 && now.since(self.requested) < WANT_TERM && now < self.expires
    }
}

/// Slots of one endpoint and their holders.
#[derive(Clone, Debug, Default)]
pub struct SlotAllocator {
    allocations: IndexMap<Holder, Allocation>,
    capacity: Capacity,
    /// Concurrent requests that the endpoint has proved to sustain, at most those allowed.
    limit: u32,
    /// Number of answers with normal latency since the limit last changed.
    answers: u32,
    /// Consecutive slow requests, until a later one has normal latency.
    slow: u32,
    /// When the limit may rise again.
    cold_until: Time,
    /// Length of the last period in which it could not.
    cold_term: Span,
    /// Slots that holders reported with their first request to this owner.
    reported: u32,
}

impl SlotAllocator {
    /// Maximum requests that all holders together can have in flight.
    pub fn allocated(&self) -> u32 {
        self.allocations.values().map(Allocation::max_in_flight).sum()
    }

    /// Maximum slots leased out now.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Whether nothing is leased or wanted.
    pub fn is_empty(&self) -> bool {
        self.allocations.is_empty()
    }

    /// Whether a holder waits, or more is leased than the limit.
    pub fn needs_rebalance(&self, now: Time) -> bool {
        self.allocations.values().any(|a| a.is_waiting(now))
            || self.allocations.values().map(|a| a.total).sum::<u32>() > self.limit
    }

    /// Sets the endpoint's capacity; a new incarnation starts at its cold limit.
    pub fn set_capacity(&mut self, capacity: Capacity) {
        if capacity.incarnation != self.capacity.incarnation {
            (self.limit, self.answers) = (capacity.cold, 0);
            (self.slow, self.cold_until, self.cold_term) = (0, Time(0), Span::ZERO);
        }
        self.limit = self.limit.max(capacity.cold).min(capacity.allowed);
        self.capacity = capacity;
    }

    /// Adjusts the limit to the latencies and the cold start signs that a holder reports.
    fn update_limit(&mut self, now: Time, request: &SlotRequest) {
        if request.incarnation != self.capacity.incarnation {
            return;
        }
        let before = if request.fast { 0 } else { self.slow };
        self.slow = before.saturating_add(request.slow);
        if self.slow >= SLOW_MAX {
            self.limit_to_cold(now);
        }
        if request.cold {
            (self.limit, self.answers) = (self.limit.min(self.capacity.cold), 0);
        }
        if request.cold || now < self.cold_until {
            return;
        }
        self.answers = self.answers.saturating_add(request.ok);
        let step = GROWTH_ANSWERS.saturating_mul(self.limit.max(1));
        if self.limit < self.capacity.allowed && self.answers >= step {
            self.answers = 0;
            self.limit += 1;
        }
    }

    /// Lowers the limit to the cold one and keeps it there for a time.
    fn limit_to_cold(&mut self, now: Time) {
        (self.limit, self.answers, self.slow) = (self.limit.min(self.capacity.cold), 0, 0);
        // Further signs while the limit is low carry no new information.
        if now < self.cold_until {
            return;
        }
        let again = self.cold_term > Span::ZERO && now.since(self.cold_until) < self.cold_term;
        let longer = Span(self.cold_term.0.saturating_mul(2)).min(COLD_TERM_MAX);
        self.cold_term = if again { longer } else { COLD_TERM };
        self.cold_until = now + self.cold_term;
    }

    /// Records a slot request, which replaces all earlier ones of the holder; false if it is
    /// outdated.
    pub fn record(&mut self, now: Time, from: &Holder, request: &SlotRequest) -> bool {
        let known = self.allocations.get(from);
        if known.is_some_and(|a| a.seq >= request.seq) {
            return false;
        }
        let waiting_since = known.filter(|a| a.is_waiting(now)).map_or(now, |a| a.waiting_since);
        let last_granted = known.map_or(now, |a| a.last_granted);
        if known.is_none() {
            self.reported = self.reported.saturating_add(request.held);
            self.expire_older(now, from);
        }
        self.update_limit(now, request);
        let alloc = Allocation {
            seq: request.seq,
            turn: 0,
            held: request.held,
            granted: 0,
            total: request.held,
            want: request.want,
            requested: now,
            last_granted,
            waiting_since,
            expires: now + LEASE_TERM,
        };
        self.allocations.insert(from.clone(), alloc);
        true
    }

    /// Expires the leases of a host's older processes, which have ended if a new one has started.
    fn expire_older(&mut self, now: Time, from: &Holder) {
        for ((host, boot), alloc) in &mut self.allocations {
            if *host == from.0 && *boot < from.1 {
                let end = now + RESTART_GRACE;
                alloc.want = 0;
                // `expire` drops the allocation when `DRAIN_TIME` has passed after this, at `end`.
                alloc.expires = alloc.expires.min(end - DRAIN_TIME);
            }
        }
    }

    /// Drops holders that can have nothing in flight any more.
    pub fn expire(&mut self, now: Time) {
        self.allocations.retain(|_, a| {
            now.since(a.expires) < DRAIN_TIME && (now < a.expires || a.max_in_flight() > 0)
        });
    }

    /// Grants free slots, and reclaims slots that others wait for; returns the grants to send.
    ///
    /// While `recovering` from a change of owner, only slots that holders reported are granted.
    pub fn rebalance(
        &mut self,
        now: Time,
        endpoint: &Arc<str>,
        recovering: bool,
        sender: Option<&Holder>,
    ) -> Vec<(Arc<str>, Grant)> {
        let limit = if recovering { self.limit.min(self.reported) } else { self.limit };
        let mut changed = Vec::from_iter(sender.and_then(|h| self.allocations.get_index_of(h)));
        self.allocate(now, limit, &mut changed);
        self.reclaim(now, limit, &mut changed);
        changed.sort_unstable();
        changed.dedup();
        changed.into_iter().filter_map(|i| self.grant(i, endpoint)).collect()
    }

    fn allocate(&mut self, now: Time, limit: u32, changed: &mut Vec<usize>) {
        let mut free = limit.saturating_sub(self.allocated());
        while free > 0 {
            let waiting = self.allocations.values().enumerate().filter(|(_, a)| a.is_waiting(now));
            let Some((i, _)) = waiting.min_by_key(|(_, a)| (a.total, a.waiting_since)) else {
                return;
            };
            let alloc = &mut self.allocations[i];
            alloc.total = alloc.max_in_flight() + 1;
            alloc.granted = alloc.total;
            alloc.want -= 1;
            alloc.last_granted = now;
            free -= 1;
            changed.push(i);
        }
    }

    /// Reclaims slots above the limit, and slots that others wait for.
    fn reclaim(&mut self, now: Time, limit: u32, changed: &mut Vec<usize>) {
        let granted: u32 = self.allocations.values().map(|a| a.total).sum();
        // If more requests may be in flight than the limit allows, all slots are reclaimed: no
        // request may start before enough of them have ended.
        let excess = if self.allocated() > limit { granted } else { 0 };
        let returning: u32 = self
            .allocations
            .values()
            .map(|a| a.max_in_flight() - a.total.min(a.max_in_flight()))
            .sum();
        let count = |only: &dyn Fn(&Allocation) -> bool| {
            let waiting =
                self.allocations.values().filter(|a| a.is_waiting(now) && only(a)).count();
            u32::try_from(waiting).unwrap_or(u32::MAX).saturating_sub(returning)
        };
        let (waiting, starved) = (count(&|_| true), count(&|a| a.total == 0));
        for n in 0..excess.max(waiting) {
            let Some(i) = self.next_to_reclaim(now, n < excess, n < starved) else { return };
            self.allocations[i].total -= 1;
            changed.push(i);
        }
    }

    /// Index of the holder that the next slot is reclaimed from; none if no holder has to give one
    /// up yet.
    ///
    /// Holders without more work come first, then those with the most slots. With `at_once`, every
    /// holder has to give up slots, however new; a holder with more work otherwise only if the slot
    /// is `for_starved`, a holder that has none.
    fn next_to_reclaim(&self, now: Time, at_once: bool, for_starved: bool) -> Option<usize> {
        let due = |a: &Allocation| {
            let kept = now.since(a.last_granted);
            let busy = a.is_waiting(now);
            at_once || (!busy && kept >= KEEP_MIN) || (busy && for_starved && kept >= QUANTUM)
        };
        let holders = self.allocations.values().enumerate();
        let holders = holders.filter(|(_, a)| a.total > 0 && now < a.expires && due(a));
        let first =
            holders.max_by_key(|(_, a)| (!a.is_waiting(now), a.total, now.since(a.last_granted)));
        first.map(|(i, _)| i)
    }

    fn grant(&mut self, i: usize, endpoint: &Arc<str>) -> Option<(Arc<str>, Grant)> {
        let ((host, _), alloc) = self.allocations.get_index_mut(i)?;
        alloc.turn += 1;
        let grant = Grant {
            endpoint: endpoint.clone(),
            seq: alloc.seq,
            turn: alloc.turn,
            total: alloc.total,
            incarnation: self.capacity.incarnation,
        };
        Some((host.clone(), grant))
    }
}
