//! The borrower's side: the slots of one endpoint that this host may use.

use super::{Ask, Grant, TERM, shortened};
use crate::core::time::{Span, Time};
use std::sync::Arc;

/// Least time between two asks while nothing but the wait has changed.
const RETRY: Span = Span::millis(50);
/// Time after which lent slots are renewed.
const RENEW: Span = Span(TERM.0 / 3);
/// Time without a request after which lent slots are given back.
const IDLE: Span = Span::secs(10);
/// Answers in a row, each much slower than usual, that show a cold start.
const SLOW_ANSWERS: u32 = 3;
/// How many times longer than usual an answer takes that counts as slow.
const SLOW_FACTOR: u64 = 5;
/// Share of a new answer in the usual time, as a divisor.
const USUAL_WEIGHT: u64 = 16;

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
    running: u32,
    want: u32,
    /// Incarnation that the slots are lent for.
    incarnation: u64,
    /// Incarnation that requests would go to.
    target: u64,
    ok: u32,
    cold: bool,
    slow: u32,
    usual: Span,
    due: bool,
}

impl Lease {
    /// Requests in flight.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Slots that are free now for requests to an incarnation.
    pub fn free(&self, now: Time, incarnation: u64, allowed: u32) -> u32 {
        let lent = now < self.until && self.incarnation == incarnation;
        if lent { self.limit.min(allowed).saturating_sub(self.running) } else { 0 }
    }

    /// Takes one slot; notes the demand when there is none.
    pub fn acquire(&mut self, now: Time, incarnation: u64, allowed: u32) -> bool {
        self.used = now;
        if self.target != incarnation {
            (self.target, self.due) = (incarnation, true);
        }
        let free = now < self.until && self.running < self.limit.min(allowed);
        if free && self.incarnation == incarnation {
            self.running += 1;
            return true;
        }
        self.due |= self.want == 0;
        self.want = (self.want + 1).min(allowed);
        false
    }

    /// Gives one slot back.
    pub fn release(&mut self) {
        self.running = self.running.saturating_sub(1);
        // A slot that was asked back is free from now on.
        self.due |= self.running >= self.limit;
    }

    /// Notes an answer of the endpoint and its time.
    pub fn answered(&mut self, took: Span) {
        self.ok = self.ok.saturating_add(1);
        let slow = self.usual.0 > 0 && took.0 > self.usual.0.saturating_mul(SLOW_FACTOR);
        self.slow = if slow { self.slow + 1 } else { 0 };
        if self.slow >= SLOW_ANSWERS {
            self.slow = 0;
            self.chilled();
        }
        let old = if self.usual.0 == 0 { took.0 } else { self.usual.0 };
        self.usual = Span(old - old / USUAL_WEIGHT + took.0 / USUAL_WEIGHT);
    }

    /// Notes a sign that the endpoint is in cold start.
    pub fn chilled(&mut self) {
        (self.cold, self.due) = (true, true);
    }

    /// Most requests that can be in flight until the next grant.
    fn held(&self, now: Time) -> u32 {
        let lent = if now < self.until { self.limit } else { 0 };
        self.running.max(lent)
    }

    /// Whether an ask is due now.
    pub fn is_due(&self, now: Time) -> bool {
        let age = now.since(self.asked);
        let waits = self.want > 0 && age >= RETRY;
        let renews = (self.limit > 0 || self.running > 0) && age >= RENEW;
        self.due || waits || renews
    }

    /// Whether nothing is held, wanted or to be said.
    pub fn is_over(&self, now: Time) -> bool {
        self.running == 0
            && self.limit == 0
            && self.want == 0
            && !self.due
            && now.since(self.used) > IDLE
    }

    /// The ask to send to `owner` now; voids every grant sent before.
    pub fn ask(&mut self, now: Time, owner: &Arc<str>, seq: u64, endpoint: &Arc<str>) -> Ask {
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
            want: std::mem::take(&mut self.want),
            ok: std::mem::take(&mut self.ok),
            cold: std::mem::take(&mut self.cold),
            incarnation: self.target,
        }
    }

    /// Takes a grant if it answers the last ask.
    pub fn take(&mut self, now: Time, from: &str, g: &Grant) {
        let ours = self.owner.as_deref() == Some(from) && g.seq == self.seq && g.turn > self.turn;
        let until = self.asked + shortened(TERM);
        if !ours || now >= until {
            return;
        }
        let before = self.held(now);
        self.turn = g.turn;
        (self.limit, self.until, self.incarnation) = (g.total, until, g.incarnation);
        // Tell at once what is free again.
        self.due |= self.held(now) < before;
    }
}
