//! Log of failed requests: one line per request that failed or whose answer lacks shards, with a
//! summary of its attempts.
//!
//! The lines per second are limited. Lines past the limit are counted, and the count is logged.

use super::protocol::Outcome;
use crate::core::log_limiter::LogLimiter;
use crate::core::plan::Route;
use crate::core::query::{Gather, Shortage};
use crate::core::routes::{Snapshot, Target};
use crate::prelude::*;
use hyper::header::HeaderValue;
use parking_lot::Mutex;
use std::fmt::Write as _;

/// Maximum lines per second for failed requests: the highest rate of failures specified for an entry
/// host while all its endpoints are gone.
const FAILED_LINES_PER_SECOND: u32 = 100;
/// Maximum lines per second for answers that lack shards; a sample is enough to see the cause.
const PARTIAL_LINES_PER_SECOND: u32 = 10;
/// Maximum lines per second for requests that match no route; callers may send any number of them.
const UNKNOWN_LINES_PER_SECOND: u32 = 10;
/// Maximum number of attempts listed one by one in a line.
const ATTEMPTS_MAX: usize = 8;

/// An attempt that failed.
struct FailedAttempt {
    service: Arc<str>,
    endpoint: Arc<str>,
    zone: Arc<str>,
    reason: Reason,
    verdict: Verdict,
    /// Time from the arrival of the request to the end of the attempt.
    after: Span,
}

/// Failed attempts and unanswered shards of one request.
#[derive(Default)]
pub struct AttemptLog {
    failed: Vec<FailedAttempt>,
    sent: usize,
    /// Number of shards that never answered, by attempts sent and what prevented the next one.
    unanswered: IndexMap<(u32, Option<Shortage>), u32>,
}

impl AttemptLog {
    /// Counts an attempt as sent.
    pub fn record_sent(&mut self) {
        self.sent += 1;
    }

    /// Number of attempts sent.
    pub const fn sent(&self) -> usize {
        self.sent
    }

    /// Records an attempt that failed.
    pub fn record_failure(&mut self, to: &Target, refusal: &Refusal, after: Span) {
        self.failed.push(FailedAttempt {
            service: to.service.clone(),
            endpoint: to.name.clone(),
            zone: to.zone.clone(),
            reason: refusal.reason,
            verdict: refusal.verdict,
            after,
        });
    }

    /// Records the shards that have not answered when the request ends.
    pub fn record_unanswered<T>(&mut self, gather: &Gather<T>) {
        for (_, sent, shortage) in gather.unanswered() {
            *self.unanswered.entry((sent, shortage)).or_default() += 1;
        }
    }

    /// Text with the unanswered shards, the failed attempts summed by reason and zone, and the
    /// first failed attempts one by one.
    fn summary(&self) -> String {
        let mut sums: IndexMap<(Reason, &str), usize> = IndexMap::new();
        for f in &self.failed {
            *sums.entry((f.reason, &f.zone)).or_default() += 1;
        }
        let mut text = String::new();
        for ((sent, shortage), n) in &self.unanswered {
            let next = match shortage {
                Some(Shortage::Slot) => ", no room for the next",
                Some(Shortage::Budget) => ", no budget for the next",
                None => "",
            };
            let _ = write!(text, "{n} shards open after {sent} attempts{next}; ");
        }
        for ((reason, zone), n) in sums {
            let _ = write!(text, "{n} {reason:?} in {zone}; ");
        }
        for f in self.failed.iter().take(ATTEMPTS_MAX) {
            let FailedAttempt { service, endpoint, zone, reason, verdict, after } = f;
            let _ = write!(text, "{service}/{endpoint}@{zone} {reason:?} {verdict} at {after}; ");
        }
        text
    }
}

/// Writes a rate-limited log of failed and partial requests.
#[derive(Default)]
pub struct FailureLogger {
    failed: Mutex<LogLimiter>,
    partial: Mutex<LogLimiter>,
    unknown: Mutex<LogLimiter>,
}

/// What a host knew when it refused a request that matches no route.
pub struct UnknownRoute<'a> {
    /// Identifier of the request, if it has one.
    pub request: Option<HeaderValue>,
    /// Path of the request.
    pub path: &'a str,
    /// Plan that requests follow.
    pub plan: u64,
    /// Newer plan that is in force but not followed here yet.
    pub pending: Option<u64>,
    /// Time since the leader last confirmed that this host lacks no change.
    pub unconfirmed: Option<Span>,
}

impl FailureLogger {
    /// Logs a request that was refused because it matches no route.
    pub fn log_unknown_route(&self, now: Time, refusal: &Refusal, at: &UnknownRoute<'_>) {
        let Some(dropped) = self.unknown.lock().admit(now, UNKNOWN_LINES_PER_SECOND) else {
            return;
        };
        let request = at.request.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default();
        let unconfirmed_ms = at.unconfirmed.map(Span::as_millis);
        log::info!(
            event = "route-unknown", request, path = at.path, plan = at.plan, pending = at.pending,
            unconfirmed_ms, reason = format!("{:?}", refusal.reason), dropped;
            "request {request}: {}", refusal.detail
        );
    }

    /// Line about a request if it failed or its answer lacks shards; `None` if it did not, or is
    /// left out by the rate limit.
    pub fn line(
        &self,
        now: Time,
        id: &str,
        route: &Route,
        snapshot: &Arc<Snapshot>,
        attempt_log: AttemptLog,
        outcome: &Outcome,
    ) -> Option<FailureLine> {
        let (verdict, reason) = match outcome {
            Outcome::Refused { refusal, .. } => (refusal.verdict, refusal.reason),
            Outcome::Forwarded(part) if !part.status.is_success() => {
                (Verdict::Ran, Reason::Internal)
            }
            Outcome::Merged { missing, .. } if *missing > 0 => (Verdict::Ran, Reason::Coverage),
            Outcome::Forwarded(_) | Outcome::Merged { .. } => return None,
        };
        let partial = matches!(outcome, Outcome::Merged { .. });
        let dropped = if partial {
            self.partial.lock().admit(now, PARTIAL_LINES_PER_SECOND)
        } else {
            self.failed.lock().admit(now, FAILED_LINES_PER_SECOND)
        }?;
        let answer = match outcome {
            Outcome::Refused { refusal, .. } => refusal.detail.clone(),
            Outcome::Forwarded(part) => {
                format!("the endpoint answered with status {}", part.status)
            }
            Outcome::Merged { missing, .. } => {
                format!("{missing} shards are missing from the answer")
            }
        };
        Some(FailureLine {
            event: if partial { "answer-partial" } else { "request-failed" },
            request: id.to_owned(),
            route: route.name.clone(),
            snapshot: snapshot.clone(),
            attempt_log,
            verdict,
            reason,
            answer,
            dropped,
        })
    }
}

/// A line that is written once the caller has its answer, since that takes a slow host a millisecond.
pub struct FailureLine {
    event: &'static str,
    request: String,
    route: Arc<str>,
    snapshot: Arc<Snapshot>,
    attempt_log: AttemptLog,
    verdict: Verdict,
    reason: Reason,
    answer: String,
    dropped: u64,
}

impl FailureLine {
    /// Writes the line.
    pub fn write(&self) {
        let Self { event, request, route, snapshot, attempt_log, answer, dropped, .. } = self;
        if *dropped > 0 {
            log::info!(event = "lines-dropped", dropped = *dropped; "{dropped} lines like the next one were dropped by the rate limit");
        }
        let (sent, shards) = (attempt_log.sent, snapshot.shards.len());
        let (known, faults) = (snapshot.shards_held(), attempt_log.summary());
        let (verdict, reason) = (self.verdict.name(), format!("{:?}", self.reason));
        log::info!(
            event = *event, request = **request, route = **route, plan = *snapshot.name, verdict,
            reason, shards, known, sent, faults;
            "request {request}: {answer}"
        );
    }
}
