//! Waits for a condition, never for a span of time.

use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Longest wait. Generous: only what never comes runs into it.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(300);
/// Pause between two looks at a condition.
const LOOK: Duration = Duration::from_millis(20);

/// Looks again and again until there is a result, and returns it; `None` when none ever came.
pub async fn wait_for<T>(mut look: impl AsyncFnMut() -> Option<T>) -> Option<T> {
    let begun = Instant::now();
    loop {
        if let Some(result) = look().await {
            return Some(result);
        }
        if begun.elapsed() > WAIT_TIMEOUT {
            return None;
        }
        sleep(LOOK).await;
    }
}

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics with `what` when it never does.
pub async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let met = wait_for(async || holds().await.then_some(())).await;
    assert!(met.is_some(), "never came: {what}");
}
