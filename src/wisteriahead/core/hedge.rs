//! When an attempt is hedged, and how many extra attempts may be sent.
//!
//! Extra attempts are hedges and retries of attempts that may have run. They are
//! paid from one budget, which earns a share of each first attempt. Refusals by
//! endpoints drain it, so that an overloaded service is sent no extra work.

use super::latency::Histogram;
use super::time::Span;

/// Extra attempts allowed for each first attempt.
pub const EXTRA_RATIO: f64 = 0.05;
/// Share of attempts that are hedged; the rest of [`EXTRA_RATIO`] is left for retries.
const HEDGED: f64 = 0.045;
/// Quantile of the times that is the lead of a request not seen before.
const LEAD: f64 = 0.25;
/// Most extra attempts that the budget accumulates.
pub const BALANCE_MAX: f64 = 200.0;
/// Extra attempts that one refusal by an endpoint takes away.
const REFUSAL_COST: f64 = 1.0;

/// Extra attempts that may be sent now.
#[derive(Clone, Debug)]
pub struct AttemptBudget {
    balance: f64,
}

impl Default for AttemptBudget {
    fn default() -> Self {
        Self { balance: BALANCE_MAX }
    }
}

impl AttemptBudget {
    /// Earns for `n` first attempts.
    pub fn earn(&mut self, n: usize) {
        self.balance = (self.balance + EXTRA_RATIO * n as f64).min(BALANCE_MAX);
    }

    /// Takes one extra attempt if there is one.
    pub fn spend(&mut self) -> bool {
        let granted = self.balance >= 1.0;
        if granted {
            self.balance -= 1.0;
        }
        granted
    }

    /// Takes note of a refusal by an endpoint at its limit.
    pub fn record_refusal(&mut self) {
        self.balance = (self.balance - REFUSAL_COST).max(0.0);
    }
}

/// Time after which an attempt of a service is hedged; none before enough is known.
pub fn delay(seen: &Histogram) -> Option<Span> {
    seen.quantile(1.0 - HEDGED)
}

/// Time in which a request that stops endpoints shows it: shorter than nearly all executions.
pub fn canary_wait(seen: &Histogram) -> Option<Span> {
    seen.quantile(LEAD)
}
