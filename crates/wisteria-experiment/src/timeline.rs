//! Tables and plots over time, for runs in which events divide the time into phases.

use std::time::Duration;

use anyhow::Result;
use wisteria_load::{Report, Sample};

use crate::page::Table;
use crate::plot::{Plot, Series};
use crate::stats::Spread;

/// Interval of a plot over time that each point summarizes.
const STEP_SECONDS: f64 = 0.5;

/// A named interval of a run, in seconds since its start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Phase {
    pub(crate) name: &'static str,
    pub(crate) from: f64,
    pub(crate) to: f64,
}

impl Phase {
    pub(crate) fn new(name: &'static str, from: f64, to: f64) -> Self {
        Self { name, from, to }
    }

    /// The samples whose requests arrived in this phase.
    fn filter(self, samples: &[Sample]) -> Vec<Sample> {
        let within = |at: Duration| (self.from..self.to).contains(&at.as_secs_f64());
        samples.iter().filter(|s| within(s.arrival)).cloned().collect()
    }
}

/// A table of the figures of each phase, over all runs.
pub(crate) fn phase_table(runs: &[Vec<Sample>], phases: &[Phase]) -> Result<Table> {
    let mut table = Table::new(&[
        "phase",
        "seconds",
        "requests",
        "complete",
        "p50 ms of answers",
        "p99 ms of answers",
        "refusals, all runs",
        "errors, all runs",
    ]);
    for phase in phases {
        let reports = runs.iter().map(|samples| Report::from_samples(&phase.filter(samples), None));
        let reports = reports.collect::<Result<Vec<Report>>>()?;
        let spread =
            |f: fn(&Report) -> f64, decimals| Spread::new(reports.iter().map(f)).format(decimals);
        table.add_row([
            phase.name.to_owned(),
            format!("{:.1} to {:.1}", phase.from, phase.to),
            spread(|r| r.requests as f64, 0),
            spread(|r| r.complete, 4),
            spread(|r| r.answers.p50_ms, 1),
            spread(|r| r.answers.p99_ms, 1),
            sum_counts(&reports, |r| r.refusals.iter().map(|(k, n)| (k.as_str(), *n)).collect()),
            sum_counts(&reports, |r| r.errors.iter().map(|(k, n)| (k.as_str(), *n)).collect()),
        ]);
    }
    Ok(table)
}

/// Counts by kind, summed over the reports.
pub(crate) fn sum_counts(reports: &[Report], counts: fn(&Report) -> Vec<(&str, u64)>) -> String {
    let mut sums: Vec<(&str, u64)> = Vec::new();
    for (kind, n) in reports.iter().flat_map(counts) {
        match sums.iter_mut().find(|(k, _)| *k == kind) {
            Some((_, sum)) => *sum += n,
            None => sums.push((kind, n)),
        }
    }
    let shown: Vec<String> = sums.iter().map(|(kind, n)| format!("{kind} {n}")).collect();
    if shown.is_empty() { "none".to_owned() } else { shown.join(", ") }
}

/// A plot of the share of complete answers over time, with all runs together.
pub(crate) fn completeness_plot(title: String, runs: &[Vec<Sample>]) -> Plot {
    Plot {
        title,
        x_label: "seconds",
        y_label: "per cent of requests",
        series: vec![complete_over_time("all seeds", runs)],
    }
}

/// Percentage of requests with a complete answer, over time.
fn complete_over_time(name: &str, runs: &[Vec<Sample>]) -> Series {
    let all: Vec<&Sample> = runs.iter().flatten().collect();
    let end = all.iter().map(|s| s.arrival.as_secs_f64()).fold(0.0, f64::max);
    let steps = (end / STEP_SECONDS) as usize;
    let point = |step: usize| {
        let from = step as f64 * STEP_SECONDS;
        let within = |s: &&&Sample| (from..from + STEP_SECONDS).contains(&s.arrival.as_secs_f64());
        let in_step: Vec<_> = all.iter().filter(within).collect();
        let complete = in_step.iter().filter(|s| s.outcome.is_complete()).count();
        (from, 100.0 * complete as f64 / in_step.len().max(1) as f64)
    };
    Series::new(name, (0..steps).map(point).collect())
}
