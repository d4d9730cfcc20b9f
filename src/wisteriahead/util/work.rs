//! Processor time by kind of work, and how long the longest piece of each kept its thread busy.
//!
//! A host with a small share of a processor stands still while it does one piece. Reported once a second as
//! metrics and, at level `debug`, as log lines; without either nothing is measured.

use crate::kernel::Context;
use crate::prelude::*;
use crate::util::metrics::Metrics;
use rustix::time::{ClockId, clock_gettime};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::MissedTickBehavior;

/// Time between two reports.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Kind of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// A step of the membership.
    Members,
    /// An announcement, a message or a tick of the registry.
    Registry,
    /// Putting a plan in force here.
    Plan,
    /// Applying changed members to the relay.
    Hosts,
    /// Building the table of routes.
    Table,
    /// A message of the relay: a batch of calls, results or a cancellation.
    Relay,
    /// One step of a request: choosing endpoints, handing calls over, taking results.
    Request,
    /// Merging the answer of a gather.
    Merge,
}

impl Work {
    /// All kinds, in the order of their discriminants.
    pub const ALL: [Self; 8] = [
        Self::Members,
        Self::Registry,
        Self::Plan,
        Self::Hosts,
        Self::Table,
        Self::Relay,
        Self::Request,
        Self::Merge,
    ];

    /// Name in log lines and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Members => "members",
            Self::Registry => "registry",
            Self::Plan => "plan",
            Self::Hosts => "hosts",
            Self::Table => "table",
            Self::Relay => "relay",
            Self::Request => "request",
            Self::Merge => "merge",
        }
    }
}

/// Work of one kind since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkTime {
    /// Number of pieces.
    pub count: u64,
    /// Processor time of all.
    pub total: Span,
    /// Processor time of the longest.
    pub longest: Span,
}

#[derive(Default)]
struct Counter {
    count: AtomicU64,
    total_us: AtomicU64,
    longest_us: AtomicU64,
}

impl Counter {
    const fn new() -> Self {
        Self {
            count: AtomicU64::new(0),
            total_us: AtomicU64::new(0),
            longest_us: AtomicU64::new(0),
        }
    }

    fn record(&self, span: Span) {
        self.count.fetch_add(1, Ordering::Relaxed);
        self.total_us.fetch_add(span.0, Ordering::Relaxed);
        self.longest_us.fetch_max(span.0, Ordering::Relaxed);
    }

    fn take(&self) -> WorkTime {
        let swap = |value: &AtomicU64| value.swap(0, Ordering::Relaxed);
        WorkTime {
            count: swap(&self.count),
            total: Span(swap(&self.total_us)),
            longest: Span(swap(&self.longest_us)),
        }
    }
}

static COUNTERS: [Counter; Work::ALL.len()] = [const { Counter::new() }; Work::ALL.len()];
static ENABLED: AtomicBool = AtomicBool::new(false);

/// Starts or stops measuring.
pub fn set_enabled(enabled: bool) {
    ENABLED.store(enabled, Ordering::Relaxed);
}

/// Runs a piece of work, and counts the processor time that this thread spends on it.
pub fn measure<T>(kind: Work, work: impl FnOnce() -> T) -> T {
    if !ENABLED.load(Ordering::Relaxed) {
        return work();
    }
    let started = thread_time();
    let result = work();
    COUNTERS[kind as usize].record(Span(thread_time().0.saturating_sub(started.0)));
    result
}

/// Work of a kind since the last call.
pub fn take(kind: Work) -> WorkTime {
    COUNTERS[kind as usize].take()
}

fn thread_time() -> Span {
    let t = clock_gettime(ClockId::ThreadCPUTime);
    Span::micros(t.tv_sec.unsigned_abs() * 1_000_000 + t.tv_nsec.unsigned_abs() / 1_000)
}

/// Reports the work of each second until the daemon stops; returns at once if nobody reads it.
pub async fn report(ctx: Context, metrics: Metrics) {
    let enabled = metrics.is_enabled() || log::log_enabled!(log::Level::Debug);
    set_enabled(enabled);
    if !enabled {
        return;
    }
    let mut tick = tokio::time::interval(REPORT_PERIOD);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut stopped = std::pin::pin!(ctx.stopped());
    loop {
        tokio::select! {
            () = &mut stopped => return,
            _ = tick.tick() => Work::ALL.into_iter().for_each(|kind| report_kind(&metrics, kind)),
        }
    }
}

fn report_kind(metrics: &Metrics, kind: Work) {
    let WorkTime { count, total, longest } = take(kind);
    if count == 0 {
        return;
    }
    let total_us = i64::try_from(total.0).unwrap_or(i64::MAX);
    metrics.count(
        match kind {
            Work::Members => "work.members.us",
            Work::Registry => "work.registry.us",
            Work::Plan => "work.plan.us",
            Work::Hosts => "work.hosts.us",
            Work::Table => "work.table.us",
            Work::Relay => "work.relay.us",
            Work::Request => "work.request.us",
            Work::Merge => "work.merge.us",
        },
        total_us,
    );
    metrics.gauge(
        match kind {
            Work::Members => "work.members.longest_us",
            Work::Registry => "work.registry.longest_us",
            Work::Plan => "work.plan.longest_us",
            Work::Hosts => "work.hosts.longest_us",
            Work::Table => "work.table.longest_us",
            Work::Relay => "work.relay.longest_us",
            Work::Request => "work.request.longest_us",
            Work::Merge => "work.merge.longest_us",
        },
        longest.0,
    );
    let name = kind.name();
    log::debug!(
        event = "work", kind = name, count, total_us = total.0, longest_us = longest.0;
        "{count} pieces of work of kind {name} took {total}, the longest {longest}"
    );
}
