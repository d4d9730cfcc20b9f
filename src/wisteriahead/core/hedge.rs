//! When an attempt is hedged, and how many extra attempts may be sent.
//!
//! Extra attempts are hedges and retries of attempts that may have run. They are
//! paid from one budget, which earns a share of each first attempt. Refusals by
//! endpoints drain it, so that an overloaded service is sent no extra work.

use super::latency::Sketch;
use super::time::Span;

/// Extra attempts allowed for each first attempt.
pub const SHARE: f64 = 0.05;
/// Share of attempts that are hedged; the rest of [`SHARE`] is left for retries.
const HEDGED: f64 = 0.045;
/// Quantile of the times that is the lead of a request not seen before.
const LEAD: f64 = 0.25;
/// Most extra attempts saved up.
pub const SAVED_MAX: f64 = 200.0;
/// Extra attempts that one refusal by an endpoint takes away.
const REFUSAL_COST: f64 = 1.0;

/// Extra attempts that may be sent now.
#[derive(Clone, Debug)]
pub struct Extras {
    saved: f64,
}

impl Default for Extras {
    fn default() -> Self {
        Self { saved: SAVED_MAX }
    }
}

impl Extras {
    /// Earns for `n` first attempts.
    pub fn earn(&mut self, n: usize) {
        self.saved = (self.saved + SHARE * n as f64).min(SAVED_MAX);
    }

    /// Takes one extra attempt if there is one.
    pub fn spend(&mut self) -> bool {
        let granted = self.saved >= 1.0;
        if granted {
            self.saved -= 1.0;
        }
        granted
    }

    /// Takes note of a refusal by an endpoint at its limit.
    pub fn refused(&mut self) {
        self.saved = (self.saved - REFUSAL_COST).max(0.0);
    }
}

/// Time after which an attempt of a service is hedged; none before enough is known.
pub fn delay(seen: &Sketch) -> Option<Span> {
    seen.quantile(1.0 - HEDGED)
}

/// Time in which a request that stops endpoints shows it: shorter than nearly all executions.
pub fn lead(seen: &Sketch) -> Option<Span> {
    seen.quantile(LEAD)
}
