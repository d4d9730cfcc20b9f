//! The owner's side: who holds how many slots of one endpoint, and who gets the next.

use super::{Ask, Grant, HOLD, TERM};
use crate::core::time::{Span, Time};
use indexmap::IndexMap;
use std::sync::Arc;

/// Time for which a borrower's wish is kept without being repeated.
const WANT_TERM: Span = Span::millis(250);
/// Time that a holder with more work keeps a slot while others wait.
pub const QUANTUM: Span = Span::millis(20);
/// Time that a holder without more work keeps a slot while others wait: it must arrive.
pub const KEEP: Span = Span::millis(5);
/// Time in which an endpoint ends the requests of a host whose process ended.
const RESTART_GRACE: Span = Span::secs(1);
/// Requests in a row, each much slower than usual, that show a cold start.
pub const SLOW_MAX: u32 = 3;
/// Time after a sign of a cold start in which no more than the cold limit is lent.
pub const COLD_TERM: Span = Span::secs(10);
/// Longest such time, reached by doubling when signs follow each other.
const COLD_TERM_MAX: Span = Span::secs(160);
/// Answers per slot after which a recovering endpoint gets one slot more.
const GROWTH_ANSWERS: u32 = 4;

/// What an endpoint can bear, as announced and ruled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Incarnation of the endpoint.
    pub incarnation: u64,
    /// Requests at once that it may be sent.
    pub allowed: u32,
    /// Requests at once that it may be sent in cold start.
    pub cold: u32,
}

/// A borrower: a host and its process.
pub type Borrower = (Arc<str>, u64);

#[derive(Clone, Debug)]
struct Loan {
    seq: u64,
    turn: u32,
    /// Slots that the borrower said it holds.
    held: u32,
    /// The most granted in answer to `seq`.
    granted: u32,
    /// The last total granted.
    total: u32,
    want: u32,
    asked: Time,
    /// When it last got a slot more.
    served: Time,
    waits: Time,
    expires: Time,
}

impl Loan {
    /// The most requests that the borrower can have in flight.
    fn bound(&self) -> u32 {
        self.held.max(self.granted)
    }

    fn waiting(&self, now: Time) -> bool {
        self.want > 0 && now.since(self.asked) < WANT_TERM && now < self.expires
    }
}

/// The slots of one endpoint.
#[derive(Clone, Debug, Default)]
pub struct SlotAllocator {
    loans: IndexMap<Borrower, Loan>,
    bearing: Capacity,
    /// Requests at once that the endpoint has proved to bear, at most those allowed.
    limit: u32,
    answers: u32,
    /// Slow requests in a row that nothing has contradicted.
    slow: u32,
    /// When the limit may rise again.
    thaws: Time,
    /// Length of the last time in which it might not.
    term: Span,
    /// Slots that borrowers of an earlier owner have reported.
    adopted: u32,
}

impl SlotAllocator {
    /// Sum of the most that all borrowers can have in flight.
    pub fn lent(&self) -> u32 {
        self.loans.values().map(Loan::bound).sum()
    }

    /// Requests at once that are lent at most now.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Whether nothing is lent or wanted.
    pub fn is_empty(&self) -> bool {
        self.loans.is_empty()
    }

    /// Whether a borrower waits, or more is lent than the limit.
    pub fn is_pressed(&self, now: Time) -> bool {
        self.loans.values().any(|l| l.waiting(now))
            || self.loans.values().map(|l| l.total).sum::<u32>() > self.limit
    }

    /// Sets what the endpoint can bear.
    pub fn set(&mut self, b: Capacity) {
        if b.incarnation != self.bearing.incarnation {
            (self.limit, self.answers) = (b.cold, 0);
            (self.slow, self.thaws, self.term) = (0, Time(0), Span::ZERO);
        }
        self.limit = self.limit.max(b.cold).min(b.allowed);
        self.bearing = b;
    }

    fn judge(&mut self, now: Time, ask: &Ask) {
        if ask.incarnation != self.bearing.incarnation {
            return;
        }
        let before = if ask.fast { 0 } else { self.slow };
        self.slow = before.saturating_add(ask.slow);
        if self.slow >= SLOW_MAX {
            self.fall(now);
        }
        if ask.cold {
            (self.limit, self.answers) = (self.limit.min(self.bearing.cold), 0);
        }
        if ask.cold || now < self.thaws {
            return;
        }
        self.answers = self.answers.saturating_add(ask.ok);
        let step = GROWTH_ANSWERS.saturating_mul(self.limit.max(1));
        if self.limit < self.bearing.allowed && self.answers >= step {
            self.answers = 0;
            self.limit += 1;
        }
    }

    /// Lowers the limit to the cold one for a time.
    fn fall(&mut self, now: Time) {
        (self.limit, self.answers, self.slow) = (self.limit.min(self.bearing.cold), 0, 0);
        // More signs while the limit is low tell nothing new.
        if now < self.thaws {
            return;
        }
        let again = self.term > Span::ZERO && now.since(self.thaws) < self.term;
        let longer = Span(self.term.0.saturating_mul(2)).min(COLD_TERM_MAX);
        self.term = if again { longer } else { COLD_TERM };
        self.thaws = now + self.term;
    }

    /// Takes a borrower's ask; nothing from before it counts any more.
    pub fn ask(&mut self, now: Time, from: &Borrower, ask: &Ask) -> bool {
        let known = self.loans.get(from);
        if known.is_some_and(|l| l.seq >= ask.seq) {
            return false;
        }
        let waits = known.filter(|l| l.waiting(now)).map_or(now, |l| l.waits);
        let served = known.map_or(now, |l| l.served);
        if known.is_none() {
            self.adopted = self.adopted.saturating_add(ask.held);
            self.end_older(now, from);
        }
        self.judge(now, ask);
        let loan = Loan {
            seq: ask.seq,
            turn: 0,
            held: ask.held,
            granted: 0,
            total: ask.held,
            want: ask.want,
            asked: now,
            served,
            waits,
            expires: now + TERM,
        };
        self.loans.insert(from.clone(), loan);
        true
    }

    /// A new process of a host shows that its older ones have ended.
    fn end_older(&mut self, now: Time, from: &Borrower) {
        for ((host, boot), loan) in &mut self.loans {
            if *host == from.0 && *boot < from.1 {
                let end = now + RESTART_GRACE;
                loan.want = 0;
                // The sum stays below the time at which the loan is dropped.
                loan.expires = loan.expires.min(end - HOLD);
            }
        }
    }

    /// Drops borrowers that can have nothing in flight any more.
    pub fn expire(&mut self, now: Time) {
        self.loans.retain(|_, l| now.since(l.expires) < HOLD && (now < l.expires || l.bound() > 0));
    }

    /// Lends what is free, and asks for slots back that others wait for.
    ///
    /// While `recovering` from a change of owner, only slots that were reported are lent on.
    pub fn serve(
        &mut self,
        now: Time,
        endpoint: &Arc<str>,
        recovering: bool,
        fresh: Option<&Borrower>,
    ) -> Vec<(Arc<str>, Grant)> {
        let most = if recovering { self.limit.min(self.adopted) } else { self.limit };
        let mut changed = Vec::from_iter(fresh.and_then(|b| self.loans.get_index_of(b)));
        self.lend(now, most, &mut changed);
        self.recall(now, most, &mut changed);
        changed.sort_unstable();
        changed.dedup();
        changed.into_iter().filter_map(|i| self.grant(i, endpoint)).collect()
    }

    fn lend(&mut self, now: Time, most: u32, changed: &mut Vec<usize>) {
        let mut free = most.saturating_sub(self.lent());
        while free > 0 {
            let waiting = self.loans.values().enumerate().filter(|(_, l)| l.waiting(now));
            let Some((i, _)) = waiting.min_by_key(|(_, l)| (l.total, l.waits)) else { return };
            let loan = &mut self.loans[i];
            loan.total = loan.bound() + 1;
            loan.granted = loan.total;
            loan.want -= 1;
            loan.served = now;
            free -= 1;
            changed.push(i);
        }
    }

    /// Asks back what exceeds the limit, and what others wait for.
    fn recall(&mut self, now: Time, most: u32, changed: &mut Vec<usize>) {
        let promised: u32 = self.loans.values().map(|l| l.total).sum();
        // What exceeds the limit is in flight; nothing may join it before it has ended.
        let excess = if self.lent() > most { promised } else { 0 };
        let returning: u32 = self.loans.values().map(|l| l.bound() - l.total.min(l.bound())).sum();
        let count = |only: &dyn Fn(&Loan) -> bool| {
            let waiting = self.loans.values().filter(|l| l.waiting(now) && only(l)).count();
            u32::try_from(waiting).unwrap_or(u32::MAX).saturating_sub(returning)
        };
        let (waiting, starved) = (count(&|_| true), count(&|l| l.total == 0));
        for n in 0..excess.max(waiting) {
            let Some(i) = self.holder(now, n < excess, n < starved) else { return };
            self.loans[i].total -= 1;
            changed.push(i);
        }
    }

    /// The holder that gives one slot back next: one without more work, else, for a borrower
    /// that has none, the one with the most.
    fn holder(&self, now: Time, at_once: bool, for_starved: bool) -> Option<usize> {
        let due = |l: &Loan| {
            let kept = now.since(l.served);
            let busy = l.waiting(now);
            at_once || (!busy && kept >= KEEP) || (busy && for_starved && kept >= QUANTUM)
        };
        let holders = self.loans.values().enumerate();
        let holders = holders.filter(|(_, l)| l.total > 0 && now < l.expires && due(l));
        let first = holders.max_by_key(|(_, l)| (!l.waiting(now), l.total, now.since(l.served)));
        first.map(|(i, _)| i)
    }

    fn grant(&mut self, i: usize, endpoint: &Arc<str>) -> Option<(Arc<str>, Grant)> {
        let ((host, _), loan) = self.loans.get_index_mut(i)?;
        loan.turn += 1;
        let grant = Grant {
            endpoint: endpoint.clone(),
            seq: loan.seq,
            turn: loan.turn,
            total: loan.total,
            incarnation: self.bearing.incarnation,
        };
        Some((host.clone(), grant))
    }
}
