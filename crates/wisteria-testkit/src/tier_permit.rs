//! Limits how many tiers run at once in this process, so that tests do not starve each other of
//! processor time.

use std::sync::{Condvar, Mutex, PoisonError};
use std::thread::available_parallelism;

/// Processors for each running tier.
const PROCESSORS_PER_TIER: usize = 3;

static TAKEN: Mutex<usize> = Mutex::new(0);
static RELEASED: Condvar = Condvar::new();

/// Permit to run a tier, released when dropped.
pub struct TierPermit(());

impl TierPermit {
    /// Waits for a free permit and takes it.
    pub fn acquire() -> Self {
        let limit = available_parallelism().map_or(1, |n| (n.get() / PROCESSORS_PER_TIER).max(1));
        let taken = TAKEN.lock().unwrap_or_else(PoisonError::into_inner);
        let wait = RELEASED.wait_while(taken, |taken| *taken >= limit);
        *wait.unwrap_or_else(PoisonError::into_inner) += 1;
        Self(())
    }
}

impl Drop for TierPermit {
    fn drop(&mut self) {
        *TAKEN.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        RELEASED.notify_one();
    }
}
