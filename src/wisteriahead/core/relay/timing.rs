//! Times of one request of the relay: when its answer has to leave, when its attempts are hedged, and
//! when the hosts that relay a batch of its calls return results.

use crate::core::plan::{Destination, Idempotency, Route};
use crate::core::query::Policy;
use crate::core::time::{Span, Time};

/// Inverse of the largest fraction of a time limit that the margin may take.
const MARGIN_DIVISOR: u64 = 2;
/// Inverse of the largest fraction of an objective that counts as late.
const LATENESS_DIVISOR: u64 = 8;
/// Inverse of the weight of a sample above the estimate, and of one below it. The former is greater, so that
/// most samples do not exceed the estimate.
const LATENESS_RISE_DIVISOR: u64 = 2;
const LATENESS_FALL_DIVISOR: u64 = 8;
/// Divisor of the latency objective that gives the time a request waits for a free slot.
const SLOT_WAIT_DIVISOR: u64 = 4;
/// Divisor of the hedge delay, a high quantile, that gives the usual time of a call.
pub const USUAL_DIVISOR: u64 = 2;
/// Time that a message to another host takes, with what both hosts do for it.
const MESSAGE_TIME: Span = Span::millis(3);
/// Divisor of the hedge delay that gives the time after the objective for which results that are on their
/// way are waited for, before all shards without an answer are hedged.
const OVERDUE_DIVISOR: u64 = 2;
/// Fraction of the hedge delay after which a host that relays a batch returns the answers it has, so
/// that they arrive before the missing ones are hedged.
const FLUSH_FRACTION: (u64, u64) = (3, 5);

/// How late a host ends gathers that wait for more shards until the last moment.
///
/// Answers the load of a slow host that is busy with messages or hedges when a timer is due: each answer that
/// waits until the last moment would leave too late by as much, and reach its caller past the objective for
/// the sake of one more shard.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lateness(Span);

impl Lateness {
    /// Records that a gather with this objective ended late by `late`.
    pub fn record(&mut self, late: Span, objective: Span) {
        let late = late.0.min(objective.0 / LATENESS_DIVISOR);
        self.0 = Span(if late > self.0.0 {
            self.0.0 + (late - self.0.0) / LATENESS_RISE_DIVISOR
        } else {
            self.0.0 - (self.0.0 - late) / LATENESS_FALL_DIVISOR
        });
    }

    /// Lateness that most gathers do not exceed.
    pub const fn get(self) -> Span {
        self.0
    }
}

/// Time by which the shards of an answer must be in for it to reach the caller within `span`, of
/// which `margin` is needed for the rest of its way.
pub fn subtract_margin(span: Span, margin: Span) -> Span {
    Span(span.0.saturating_sub(margin.0.min(span.0 / MARGIN_DIVISOR)))
}

/// When the answer to a request that arrived at `started` has to be in to meet the objective.
pub fn answer_by(route: &Route, started: Time, margin: Span) -> Time {
    started + subtract_margin(route.objective, margin)
}

/// Policy of a request on a route whose attempts are hedged after `hedge_delay`.
///
/// A gather is hedged while a hedge can still be answered before its answer leaves, and again when the
/// answer lacks shards after that. Hedges in between would delay the results that are on their way.
pub fn policy(route: &Route, started: Time, margin: Span, hedge_delay: Span) -> Policy {
    let gathers = matches!(route.destination, Destination::Gather { .. });
    let answer_by = answer_by(route, started, margin);
    let hedge_time = Span(hedge_delay.0 / USUAL_DIVISOR + 2 * MESSAGE_TIME.0);
    let overdue = answer_by + Span(hedge_delay.0 / OVERDUE_DIVISOR);
    Policy {
        max_attempts: route.attempts,
        idempotent: route.repeat == Idempotency::Idempotent,
        strict_budget: true,
        may_restart: false,
        gang_start: gathers,
        hedge_few_until: gathers.then_some(answer_by),
        hedges_useless: gathers.then_some((answer_by - hedge_time, overdue)),
        detect_deaths: true,
        partial_after: Some(answer_by),
        slot_deadline: Some(started + Span(route.objective.0 / SLOT_WAIT_DIVISOR)),
    }
}

/// When the results of a batch are returned, from its arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlushTimes {
    /// First results.
    pub first: Span,
    /// Latest time at which results reach the answer before it has to leave.
    pub useful: Span,
}

impl FlushTimes {
    /// Times of a batch that is sent at `now`.
    pub fn new(now: Time, answer_by: Time, hedge_delay: Span) -> Self {
        let (numerator, denominator) = FLUSH_FRACTION;
        let first = Span(hedge_delay.0 / denominator * numerator);
        let useful = Span(answer_by.since(now).0.saturating_sub(2 * MESSAGE_TIME.0));
        Self { first, useful }
    }

    /// The same times at the receiver of a message that was late by `span`.
    pub fn after(self, span: Span) -> Self {
        let rest = |of: Span| Span(of.0.saturating_sub(span.0));
        Self { first: rest(self.first), useful: rest(self.useful) }
    }
}
