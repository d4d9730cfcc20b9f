//! Borrower's side: the lease of this host, its holder, on slots of one endpoint.

use super::lender::SLOW_MAX;
use super::{Grant, LEASE_TERM, SlotRequest, shorten_for_drift};
use crate::core::time::{Span, Time};
use std::sync::Arc;

/// Minimum time between two slot requests while only the wait has changed.
const REQUEST_GAP: Span = Span::millis(50);
/// Maximum slots wanted at once. Each failed try to take a slot counts as demand, so a query that
/// keeps trying would otherwise ask for ever more slots.
const WANT_MAX: u32 = 2;
/// Wait for a slot after which other endpoints are to be tried first.
const STARVED_AFTER: Span = Span::millis(20);
/// Time after which a lease is renewed.
const RENEW_AFTER: Span = Span(LEASE_TERM.0 / 3);
/// Time without use after which leased slots are returned.
const IDLE_AFTER: Span = Span::secs(10);
/// Multiple of the average latency above which an answer is slow.
const SLOW_FACTOR: u64 = 5;
/// Divisor of the weight of a new answer in the average latency.
const LATENCY_WEIGHT: u64 = 16;
/// Divisor of the weight of a slow answer in the average latency. Slow answers count, since an
/// endpoint may stay slow, but only little, so that a cold start does not become the average.
const SLOW_WEIGHT: u64 = 256;
/// Time without a tick from which this host, not the endpoint, is taken to have stalled.
const STALL_MIN: Span = Span::millis(20);

/// A request in flight.
#[derive(Clone, Copy, Debug)]
struct Running {
    started: Time,
    /// Time since then in which this host was stalled.
    stalled: Span,
    /// Whether it has been counted as slow.
    slow: bool,
}

/// Lease of this host on slots of one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    /// Host that the last request was sent to.
    owner: Option<Arc<str>>,
    /// Number of the last slot request.
    seq: u64,
    /// Number of the last grant in answer to it.
    turn: u32,
    requested: Time,
    expires: Time,
    last_used: Time,
    /// Slots leased.
    limit: u32,
    running: Vec<Running>,
    /// Slots to be requested.
    want: u32,
    /// Since when a slot has been wanted but not granted.
    waiting_since: Option<Time>,
    /// Incarnation of the endpoint that the slots are leased for.
    incarnation: u64,
    /// Incarnation of the endpoint that requests would be sent to.
    target: u64,
    // Reported with the next slot request, see `SlotRequest`.
    ok: u32,
    cold: bool,
    slow: u32,
    fast: bool,
    /// Start of the last slow request, until a later one has normal latency.
    slow_start: Option<Time>,
    /// Latest start of a request with normal latency.
    normal_start: Time,
    /// Average latency of the endpoint; 0 before the first answer.
    latency: Span,
    /// Whether there is something to report to the owner.
    due: bool,
    last_tick: Time,
}

impl Lease {
    /// Number of requests in flight.
    pub fn running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Slots that are free now for requests to an incarnation of the endpoint.
    pub fn free(&self, now: Time, incarnation: u64, allowed: u32) -> u32 {
        let leased = now < self.expires && self.incarnation == incarnation;
        if leased { self.limit.min(allowed).saturating_sub(self.running()) } else { 0 }
    }

    /// Whether a slot has been wanted for long: the owner may be unreachable, or have none free.
    pub fn is_starved(&self, now: Time) -> bool {
        self.waiting_since.is_some_and(|since| now.since(since) >= STARVED_AFTER)
    }

    /// Takes one slot; records the demand if none is free.
    pub fn acquire(&mut self, now: Time, incarnation: u64, allowed: u32) -> bool {
        self.last_used = now;
        if self.target != incarnation {
            (self.target, self.due) = (incarnation, true);
        }
        if self.free(now, incarnation, allowed) > 0 {
            self.running.push(Running { started: now, stalled: Span::ZERO, slow: false });
            self.waiting_since = None;
            return true;
        }
        self.waiting_since = self.waiting_since.or(Some(now));
        self.due |= self.want == 0;
        self.want = (self.want + 1).min(allowed);
        false
    }

    /// Returns the slot that was taken at `started`.
    pub fn release(&mut self, now: Time, started: Time) {
        self.detect_slow(now);
        if let Some(i) = self.running.iter().position(|r| r.started == started) {
            self.running.swap_remove(i);
        }
        // The owner may have reclaimed this slot and waits to learn that it is free.
        self.due |= self.running() >= self.limit;
    }

    /// Records an answer of the endpoint and its latency.
    pub fn note_answer(&mut self, now: Time, took: Span) {
        let threshold = self.latency.0.saturating_mul(SLOW_FACTOR);
        let slow = self.latency.0 > 0 && took.0 > threshold;
        self.ok = self.ok.saturating_add(u32::from(!slow));
        let old = if self.latency.0 == 0 { took.0 } else { self.latency.0 };
        let weight = if slow { SLOW_WEIGHT } else { LATENCY_WEIGHT };
        let new = if slow { threshold } else { took.0 };
        self.latency = Span(old - old / weight + new / weight);
        if !slow {
            self.note_normal(now - took);
        }
    }

    /// Records that a request started at `started` had normal latency: an earlier slow one was an
    /// outlier.
    fn note_normal(&mut self, started: Time) {
        self.normal_start = self.normal_start.max(started);
        if self.slow_start.is_some_and(|d| d < started) {
            self.slow_start = None;
            (self.fast, self.due) = (true, true);
        }
    }

    /// Records that the endpoint refused a request as busy: its capacity is less than was leased.
    pub fn note_busy(&mut self) {
        (self.slow, self.due) = (SLOW_MAX, true);
    }

    /// Counts requests in flight that have become slow; to be called every few milliseconds.
    pub fn detect_slow(&mut self, now: Time) {
        let gap = now.since(self.last_tick);
        self.last_tick = now;
        let stalled = if gap >= STALL_MIN { gap } else { Span::ZERO };
        let threshold = Span(self.latency.0.saturating_mul(SLOW_FACTOR));
        for r in &mut self.running {
            r.stalled = Span(r.stalled.0 + stalled.0.min(now.since(r.started).0));
            let age = Span(now.since(r.started).0.saturating_sub(r.stalled.0));
            if !r.slow && self.latency > Span::ZERO && age > threshold {
                r.slow = true;
                if self.normal_start <= r.started {
                    self.slow = self.slow.saturating_add(1);
                    self.slow_start = self.slow_start.max(Some(r.started));
                    self.due = true;
                }
            }
        }
    }

    /// Records a sign that the endpoint is in cold start.
    pub fn note_cold_start(&mut self) {
        (self.cold, self.due) = (true, true);
    }

    /// Maximum requests that can be in flight until the next grant.
    fn held(&self, now: Time) -> u32 {
        let leased = if now < self.expires { self.limit } else { 0 };
        self.running().max(leased)
    }

    /// Whether a slot request is due now.
    pub fn is_due(&self, now: Time) -> bool {
        let age = now.since(self.requested);
        let waits = self.want > 0 && age >= REQUEST_GAP;
        let renews = (self.limit > 0 || !self.running.is_empty()) && age >= RENEW_AFTER;
        // A slot request voids the grants before it: sent too often, no grant would ever be valid.
        let answered = self.turn > 0 || age >= REQUEST_GAP;
        (self.due && answered) || waits || renews
    }

    /// Whether nothing is held, wanted or to be reported.
    pub fn is_idle(&self, now: Time) -> bool {
        self.running.is_empty()
            && self.limit == 0
            && self.want == 0
            && !self.due
            && now.since(self.last_used) > IDLE_AFTER
    }

    /// Creates the slot request to send to `owner` now; voids every grant sent before.
    pub fn request(
        &mut self,
        now: Time,
        owner: &Arc<str>,
        seq: u64,
        endpoint: &Arc<str>,
    ) -> SlotRequest {
        if now.since(self.last_used) > IDLE_AFTER {
            self.limit = 0;
        }
        let held = self.held(now);
        self.limit = self.limit.min(held);
        self.owner = Some(owner.clone());
        (self.seq, self.turn, self.requested, self.due) = (seq, 0, now, false);
        SlotRequest {
            endpoint: endpoint.clone(),
            seq,
            held,
            want: std::mem::take(&mut self.want).min(WANT_MAX),
            ok: std::mem::take(&mut self.ok),
            slow: std::mem::take(&mut self.slow),
            fast: std::mem::take(&mut self.fast),
            cold: std::mem::take(&mut self.cold),
            incarnation: self.target,
        }
    }

    /// Applies a grant if it answers the last slot request.
    pub fn apply(&mut self, now: Time, from: &str, grant: &Grant) {
        let ours =
            self.owner.as_deref() == Some(from) && grant.seq == self.seq && grant.turn > self.turn;
        let expires = self.requested + shorten_for_drift(LEASE_TERM);
        if !ours || now >= expires {
            return;
        }
        let before = self.held(now);
        self.turn = grant.turn;
        (self.limit, self.expires, self.incarnation) = (grant.total, expires, grant.incarnation);
        if grant.total > self.running() {
            self.waiting_since = None;
        }
        // Report slots that are free again without delay.
        self.due |= self.held(now) < before;
    }
}
