//! The borrower's side: the slots of one endpoint that this host may use.

use super::lender::SLOW_MAX;
use super::{Ask, Grant, TERM, shortened};
use crate::core::time::{Span, Time};
use std::sync::Arc;

/// Least time between two asks while nothing but the wait has changed.
const RETRY: Span = Span::millis(50);
/// Most slots wanted at once: a request that tries again and again counts each time.
const WANT_MAX: u32 = 2;
/// Wait for a slot after which others are to be tried first.
const STARVED: Span = Span::millis(20);
/// Time after which lent slots are renewed.
const RENEW: Span = Span(TERM.0 / 3);
/// Time without a request after which lent slots are given back.
const IDLE: Span = Span::secs(10);
/// How many times longer than usual an answer takes that counts as slow.
const SLOW_FACTOR: u64 = 5;
/// Share of a new answer in the usual time, as a divisor.
const USUAL_WEIGHT: u64 = 16;
/// Share of a slow answer in the usual time, as a divisor: an endpoint that stays slow is
/// slow by itself, but a cold start must not pass for the usual.
const SLOW_WEIGHT: u64 = 256;
/// Time without a tick after which it is this host that was stalled, not the endpoint.
const STALL: Span = Span::millis(20);

/// A request in flight.
#[derive(Clone, Copy, Debug)]
struct Running {
    begun: Time,
    /// Time of it in which this host was stalled.
    stalled: Span,
    /// Whether it was counted as slow.
    slow: bool,
}

/// The slots of one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    /// The host that lends them.
    owner: Option<Arc<str>>,
    seq: u64,
    turn: u32,
    asked: Time,
    until: Time,
    used: Time,
    limit: u32,
    running: Vec<Running>,
    want: u32,
    /// Since when a slot is wanted that has not come.
    wanted: Option<Time>,
    /// Incarnation that the slots are lent for.
    incarnation: u64,
    /// Incarnation that requests would go to.
    target: u64,
    ok: u32,
    cold: bool,
    slow: u32,
    fast: bool,
    /// Begin of the last slow request that nothing has contradicted.
    doubted: Option<Time>,
    /// Latest begin of a request that was answered in the usual time.
    proved: Time,
    usual: Span,
    due: bool,
    ticked: Time,
}

impl Lease {
    /// Requests in flight.
    pub fn running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Slots that are free now for requests to an incarnation.
    pub fn free(&self, now: Time, incarnation: u64, allowed: u32) -> u32 {
        let lent = now < self.until && self.incarnation == incarnation;
        if lent { self.limit.min(allowed).saturating_sub(self.running()) } else { 0 }
    }

    /// Whether a wanted slot has not come for long: its owner may be lost, or have none to lend.
    pub fn is_starved(&self, now: Time) -> bool {
        self.wanted.is_some_and(|since| now.since(since) >= STARVED)
    }

    /// Takes one slot; notes the demand when there is none.
    pub fn acquire(&mut self, now: Time, incarnation: u64, allowed: u32) -> bool {
        self.used = now;
        if self.target != incarnation {
            (self.target, self.due) = (incarnation, true);
        }
        if self.free(now, incarnation, allowed) > 0 {
            self.running.push(Running { begun: now, stalled: Span::ZERO, slow: false });
            self.wanted = None;
            return true;
        }
        self.wanted = self.wanted.or(Some(now));
        self.due |= self.want == 0;
        self.want = (self.want + 1).min(allowed);
        false
    }

    /// Gives back the slot that was taken at `begun`.
    pub fn release(&mut self, now: Time, begun: Time) {
        self.look(now);
        if let Some(i) = self.running.iter().position(|r| r.begun == begun) {
            self.running.swap_remove(i);
        }
        // A slot that was asked back is free from now on.
        self.due |= self.running() >= self.limit;
    }

    /// Notes an answer of the endpoint and its time.
    pub fn note_answer(&mut self, now: Time, took: Span) {
        let most = self.usual.0.saturating_mul(SLOW_FACTOR);
        let slow = self.usual.0 > 0 && took.0 > most;
        self.ok = self.ok.saturating_add(u32::from(!slow));
        let old = if self.usual.0 == 0 { took.0 } else { self.usual.0 };
        let weight = if slow { SLOW_WEIGHT } else { USUAL_WEIGHT };
        let new = if slow { most } else { took.0 };
        self.usual = Span(old - old / weight + new / weight);
        if !slow {
            self.prove(now - took);
        }
    }

    /// A request that began at `begun` took the usual time: one slow before it was a straggler.
    fn prove(&mut self, begun: Time) {
        self.proved = self.proved.max(begun);
        if self.doubted.is_some_and(|d| d < begun) {
            self.doubted = None;
            (self.fast, self.due) = (true, true);
        }
    }

    /// Notes that the endpoint refused a request as busy: it bears less than was lent.
    pub fn note_busy(&mut self) {
        (self.slow, self.due) = (SLOW_MAX, true);
    }

    /// Counts requests in flight that have become slow; to be called every few milliseconds.
    pub fn look(&mut self, now: Time) {
        let gap = now.since(self.ticked);
        self.ticked = now;
        let stalled = if gap >= STALL { gap } else { Span::ZERO };
        let most = Span(self.usual.0.saturating_mul(SLOW_FACTOR));
        for r in &mut self.running {
            r.stalled = Span(r.stalled.0 + stalled.0.min(now.since(r.begun).0));
            let age = Span(now.since(r.begun).0.saturating_sub(r.stalled.0));
            if !r.slow && self.usual > Span::ZERO && age > most {
                r.slow = true;
                if self.proved <= r.begun {
                    self.slow = self.slow.saturating_add(1);
                    self.doubted = self.doubted.max(Some(r.begun));
                    self.due = true;
                }
            }
        }
    }

    /// Notes a sign that the endpoint is in cold start.
    pub fn note_cold_start(&mut self) {
        (self.cold, self.due) = (true, true);
    }

    /// Most requests that can be in flight until the next grant.
    fn held(&self, now: Time) -> u32 {
        let lent = if now < self.until { self.limit } else { 0 };
        self.running().max(lent)
    }

    /// Whether an ask is due now.
    pub fn is_due(&self, now: Time) -> bool {
        let age = now.since(self.asked);
        let waits = self.want > 0 && age >= RETRY;
        let renews = (self.limit > 0 || !self.running.is_empty()) && age >= RENEW;
        // An ask voids the grants before it: sent too often, none would ever count.
        let heard = self.turn > 0 || age >= RETRY;
        (self.due && heard) || waits || renews
    }

    /// Whether nothing is held, wanted or to be said.
    pub fn is_over(&self, now: Time) -> bool {
        self.running.is_empty()
            && self.limit == 0
            && self.want == 0
            && !self.due
            && now.since(self.used) > IDLE
    }

    /// The ask to send to `owner` now; voids every grant sent before.
    pub fn request(&mut self, now: Time, owner: &Arc<str>, seq: u64, endpoint: &Arc<str>) -> Ask {
        if now.since(self.used) > IDLE {
            self.limit = 0;
        }
        let held = self.held(now);
        self.limit = self.limit.min(held);
        self.owner = Some(owner.clone());
        (self.seq, self.turn, self.asked, self.due) = (seq, 0, now, false);
        Ask {
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

    /// Takes a grant if it answers the last ask.
    pub fn apply(&mut self, now: Time, from: &str, g: &Grant) {
        let ours = self.owner.as_deref() == Some(from) && g.seq == self.seq && g.turn > self.turn;
        let until = self.asked + shortened(TERM);
        if !ours || now >= until {
            return;
        }
        let before = self.held(now);
        self.turn = g.turn;
        (self.limit, self.until, self.incarnation) = (g.total, until, g.incarnation);
        if g.total > self.running() {
            self.wanted = None;
        }
        // Tell at once what is free again.
        self.due |= self.held(now) < before;
    }
}
