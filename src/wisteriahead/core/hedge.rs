//! When an attempt is hedged, and the budget of extra attempts.
//!
//! Extra attempts are hedges, and retries of attempts that may have run. Both are taken from one
//! budget, which gains a fraction of an attempt for each first attempt. Refusals by endpoints
//! reduce the budget, so that an overloaded service gets no extra load.

use super::latency::Histogram;
use super::time::Span;

/// Extra attempts that the budget gains for each first attempt.
pub const EXTRA_RATIO: f64 = 0.05;
/// Fraction of attempts that are hedged. The rest of [`EXTRA_RATIO`] is left for retries.
const HEDGE_RATIO: f64 = 0.045;
/// Quantile of the times that [`canary_wait`] returns.
const CANARY_QUANTILE: f64 = 0.25;
/// Maximum budget, and the initial one, in extra attempts.
pub const BALANCE_MAX: f64 = 200.0;
/// Extra attempts by which one refusal by an endpoint reduces the budget.
const REFUSAL_COST: f64 = 1.0;

/// Budget of extra attempts.
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
    /// Adds the gain of `n` first attempts.
    pub fn earn(&mut self, n: usize) {
        self.balance = (self.balance + EXTRA_RATIO * n as f64).min(BALANCE_MAX);
    }

    /// Takes one extra attempt from the budget, if it has one. Returns whether it did.
    pub fn spend(&mut self) -> bool {
        let granted = self.balance >= 1.0;
        if granted {
            self.balance -= 1.0;
        }
        granted
    }

    /// Records a refusal by an endpoint at its limit.
    pub fn record_refusal(&mut self) {
        self.balance = (self.balance - REFUSAL_COST).max(0.0);
    }
}

/// Delay after which an attempt is hedged; `None` while there are too few samples.
pub fn delay(times: &Histogram) -> Option<Span> {
    times.quantile(1.0 - HEDGE_RATIO)
}

/// Time for which a query that was not seen before runs on one shard only, as a canary; `None`
/// while there are too few samples. A request that crashes endpoints does so within this time,
/// which is shorter than most executions.
pub fn canary_wait(times: &Histogram) -> Option<Span> {
    times.quantile(CANARY_QUANTILE)
}
