//! A seat for each test that runs many processes, so that tests do not starve each other.

use std::sync::{Condvar, Mutex, PoisonError};
use std::thread::available_parallelism;

/// Processors for each seat.
const PROCESSORS: usize = 3;

static TAKEN: Mutex<usize> = Mutex::new(0);
static FREED: Condvar = Condvar::new();

/// The right to run a tier; dropping it lets the next test go on.
pub struct Seat(());

impl Seat {
    /// Waits for a seat.
    pub fn take() -> Self {
        let most = available_parallelism().map_or(1, |n| (n.get() / PROCESSORS).max(1));
        let taken = TAKEN.lock().unwrap_or_else(PoisonError::into_inner);
        let wait = FREED.wait_while(taken, |taken| *taken >= most);
        *wait.unwrap_or_else(PoisonError::into_inner) += 1;
        Self(())
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        *TAKEN.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        FREED.notify_one();
    }
}
