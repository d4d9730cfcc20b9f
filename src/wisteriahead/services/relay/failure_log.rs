//! What became of the attempts of one request, told in one log line when the request fails or its
//! answer leaves shards out.
//!
//! Lines are bounded: past a number in a second they are counted and the count is told.

use super::protocol::Outcome;
use crate::core::log_limiter::LogLimiter;
use crate::core::plan::Route;
use crate::core::query::{Gather, Shortage};
use crate::core::routes::{Snapshot, Target};
use crate::prelude::*;
use parking_lot::Mutex;
use std::fmt::Write as _;

/// Lines of failed requests a second: what an entry host of the users' sheets fails at most while all
/// its endpoints are gone.
const FAILED_LINES_MAX: u32 = 100;
/// Lines of answers that leave shards out a second: a sample is enough to tell why.
const PARTIAL_LINES_MAX: u32 = 10;
/// Most attempts told of one request.
const ATTEMPTS_MAX: usize = 8;

/// An attempt that failed.
struct FailedAttempt {
    service: Arc<str>,
    endpoint: Arc<str>,
    zone: Arc<str>,
    reason: Reason,
    verdict: Verdict,
    /// Time from the request's arrival to the end of the attempt.
    after: Span,
}

/// The attempts of one request that failed so far.
#[derive(Default)]
pub struct AttemptLog {
    failed: Vec<FailedAttempt>,
    sent: usize,
    /// Shards that had not answered at the end, by attempts sent and what the next lacked.
    unanswered: IndexMap<(u32, Option<Shortage>), u32>,
}

impl AttemptLog {
    /// Notes that an attempt is sent.
    pub fn record_sent(&mut self) {
        self.sent += 1;
    }

    /// Notes an attempt that failed.
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

    /// Notes the shards that have not answered.
    pub fn record_unanswered<T>(&mut self, gather: &Gather<T>) {
        for (_, sent, shortage) in gather.unanswered() {
            *self.unanswered.entry((sent, shortage)).or_default() += 1;
        }
    }

    /// The failed attempts by reason and zone, then the first of them one by one.
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

/// Writes the lines of failed requests.
#[derive(Default)]
pub struct FailureLogger {
    failed: Mutex<LogLimiter>,
    partial: Mutex<LogLimiter>,
}

impl FailureLogger {
    /// Tells of a request, if it failed.
    pub fn log(
        &self,
        now: Time,
        id: &str,
        route: &Route,
        snapshot: &Snapshot,
        attempt_log: &AttemptLog,
        outcome: &Outcome,
    ) {
        let (verdict, reason) = match outcome {
            Outcome::Refused { refusal, .. } => (refusal.verdict, refusal.reason),
            Outcome::Forwarded(part) if !part.status.is_success() => {
                (Verdict::Ran, Reason::Internal)
            }
            Outcome::Merged { missing, .. } if *missing > 0 => (Verdict::Ran, Reason::Coverage),
            Outcome::Forwarded(_) | Outcome::Merged { .. } => return,
        };
        let partial = matches!(outcome, Outcome::Merged { .. });
        let dropped = if partial {
            self.partial.lock().admit(now, PARTIAL_LINES_MAX)
        } else {
            self.failed.lock().admit(now, FAILED_LINES_MAX)
        };
        let Some(dropped) = dropped else { return };
        if dropped > 0 {
            log::info!(event = "lines-dropped", dropped; "{dropped} lines like the next were left out");
        }
        let (route, sent, shards) = (&route.name, attempt_log.sent, snapshot.shards.len());
        let (known, faults) = (snapshot.shards_held(), attempt_log.summary());
        let (verdict, reason) = (verdict.name(), format!("{reason:?}"));
        let answer = match outcome {
            Outcome::Refused { refusal, .. } => refusal.detail.clone(),
            Outcome::Forwarded(part) => format!("the endpoint's own answer {}", part.status),
            Outcome::Merged { missing, .. } => format!("{missing} shards are left out"),
        };
        let event = if partial { "answer-partial" } else { "request-failed" };
        log::info!(
            event, request = id, route = **route, plan = *snapshot.name, verdict, reason,
            shards, known, sent, faults;
            "request {id}: {answer}"
        );
    }
}
