//! Polls for conditions, so that tests do not depend on fixed delays.

use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Longest wait for a condition; long enough for a slow machine, so that only a failure reaches it.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(300);
/// Delay between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls until there is a result and returns it; `None` after [`WAIT_TIMEOUT`].
pub async fn wait_for<T>(mut poll: impl AsyncFnMut() -> Option<T>) -> Option<T> {
    let started = Instant::now();
    loop {
        if let Some(result) = poll().await {
            return Some(result);
        }
        if started.elapsed() > WAIT_TIMEOUT {
            return None;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Polls until a condition holds.
///
/// # Panics
///
/// Panics with `what` after [`WAIT_TIMEOUT`].
pub async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let met = wait_for(async || holds().await.then_some(())).await;
    assert!(met.is_some(), "timed out waiting for {what}");
}
