//! Decides which requests a host that is about to stop still takes.
//!
//! Answers the load of a planned stop: the load balancer sends requests for seconds after the host has
//! said that it is not ready, and those that are open at the end would be cut off without an answer.

use crate::core::plan::{Idempotency, Route};
use crate::core::time::{Span, Time};

/// Time before the cut at which a request ends, so that its answer still reaches the caller.
const ANSWER_TIME: Span = Span::millis(150);

/// Time by which a request must end on a host that cuts off requests at `answers_due`.
pub fn last_end(answers_due: Time) -> Time {
    Time(answers_due.0.saturating_sub(ANSWER_TIME.0))
}

/// Whether a request on a route may be sent to an endpoint now. One that may not be repeated must have
/// time for its whole `timeout`, since no caller can learn later whether it ran; another one for the
/// route's objective.
pub fn accepts(now: Time, answers_due: Time, route: &Route, timeout: Span) -> bool {
    let needed = match route.repeat {
        Idempotency::Idempotent => route.objective.min(timeout),
        Idempotency::Once => timeout,
    };
    last_end(answers_due).since(now) >= needed
}
