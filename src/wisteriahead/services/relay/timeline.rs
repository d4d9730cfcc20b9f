//! Log of the steps of single gathers, which shows where the time of a late answer was spent.
//!
//! Written at level `debug`, for a sample of the requests; at other levels nothing is measured.

use crate::core::log_limiter::LogLimiter;
use crate::prelude::*;
use log::Level;
use parking_lot::Mutex;

/// Maximum lines per second of each kind.
const LINES_PER_SECOND: u32 = 10;

/// Picks the gathers and batches that are logged.
#[derive(Default)]
pub struct TimelineSampler {
    gathers: Mutex<LogLimiter>,
    batches: Mutex<LogLimiter>,
}

impl TimelineSampler {
    /// Starts the timeline of a gather that arrived at `started`, if it is in the sample.
    pub fn gather(&self, started: Time) -> Option<GatherTimeline> {
        admit(&self.gathers, started)
            .then(|| GatherTimeline { started, ..GatherTimeline::default() })
    }

    /// Starts the timeline of a batch of calls for another host, if it is in the sample.
    pub fn batch(&self, now: Time, from: &Arc<str>, calls: usize) -> Option<BatchTimeline> {
        admit(&self.batches, now).then(|| {
            let from = from.clone();
            BatchTimeline { started: now, from, calls, first: None, messages: Vec::new() }
        })
    }
}

fn admit(limiter: &Mutex<LogLimiter>, now: Time) -> bool {
    log::log_enabled!(Level::Debug) && limiter.lock().admit(now, LINES_PER_SECOND).is_some()
}

/// Times of the steps of one gather, from its arrival.
#[derive(Debug, Default)]
pub struct GatherTimeline {
    started: Time,
    /// When the request was read and the first attempts were about to be chosen.
    pub read: Time,
    /// When the endpoints of the first attempts were chosen.
    pub chosen: Option<Time>,
    /// When the first attempts were handed over.
    pub sent: Option<Time>,
    /// When results first arrived.
    pub first: Option<Time>,
    /// When the minimum coverage was reached.
    pub enough: Option<Time>,
    /// When the timer that ended the gather was due, if one did.
    pub timer: Option<Time>,
    /// Number of messages with results, direct answers included.
    pub messages: u32,
    /// Number of attempts that ended.
    pub ended: u32,
}

/// What is known of a gather when its answer is ready.
pub struct GatherEnd {
    /// When the last answer that counts was in.
    pub decided: Time,
    /// When the answer was merged.
    pub merged: Time,
    /// Time reserved before the objective.
    pub margin: Span,
    /// Number of attempts sent.
    pub sent: usize,
    /// Number of shards without an answer.
    pub missing: u32,
}

impl GatherTimeline {
    /// Writes the line of a gather.
    pub fn log(&self, id: &str, route: &str, end: &GatherEnd) {
        let at = |t: Time| t.since(self.started).0;
        let opt = |t: Option<Time>| t.map(at);
        log::debug!(
            event = "gather-timeline", request = id, route, read_us = at(self.read),
            chosen_us = opt(self.chosen), sent_us = opt(self.sent), first_us = opt(self.first),
            enough_us = opt(self.enough), timer_us = opt(self.timer), decided_us = at(end.decided),
            merged_us = at(end.merged), margin_us = end.margin.0, messages = self.messages,
            ended = self.ended, sent = end.sent, missing = end.missing;
            "request {id}: merged after {}", end.merged.since(self.started)
        );
    }
}

/// Times of the messages with results of one batch; logged when it is dropped, since most batches are
/// cancelled when their gather ends.
#[derive(Debug)]
pub struct BatchTimeline {
    started: Time,
    from: Arc<str>,
    calls: usize,
    /// When the first call ended.
    first: Option<Time>,
    /// When each message was sent, and the number of its results.
    messages: Vec<(Time, usize)>,
}

impl BatchTimeline {
    /// Records that a call ended.
    pub fn record_end(&mut self, now: Time) {
        self.first.get_or_insert(now);
    }

    /// Records a message with so many results.
    pub fn record_message(&mut self, now: Time, results: usize) {
        self.messages.push((now, results));
    }
}

impl Drop for BatchTimeline {
    fn drop(&mut self) {
        let at = |t: Time| t.since(self.started).0;
        let list: Vec<_> = self.messages.iter().map(|(t, n)| format!("{n}@{}", at(*t))).collect();
        log::debug!(
            event = "batch-timeline", from = *self.from, calls = self.calls,
            first_us = self.first.map(at), messages = list.join(" ");
            "batch of {} calls for host {}: {} messages with results",
            self.calls, self.from, list.len()
        );
    }
}
