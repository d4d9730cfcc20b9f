//! Runs with something that happens on the way, told by phases.

use std::time::Duration;

use anyhow::Result;
use wisteria_load::{Report, Sample};

use crate::page::Table;
use crate::plot::{Plot, Series};
use crate::stats::Spread;

/// Width of a point in a plot over time.
const STEP: f64 = 0.5;

/// A part of a run, in seconds since its start.
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

    fn of(self, samples: &[Sample]) -> Vec<Sample> {
        let within = |at: Duration| (self.from..self.to).contains(&at.as_secs_f64());
        samples.iter().filter(|s| within(s.arrival)).cloned().collect()
    }
}

/// The figures of each phase over all runs.
pub(crate) fn table(runs: &[Vec<Sample>], phases: &[Phase]) -> Result<Table> {
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
        let reports = runs.iter().map(|samples| Report::of(&phase.of(samples), None));
        let reports = reports.collect::<Result<Vec<Report>>>()?;
        let of =
            |f: fn(&Report) -> f64, decimals| Spread::new(reports.iter().map(f)).show(decimals);
        table.row([
            phase.name.to_owned(),
            format!("{:.1} to {:.1}", phase.from, phase.to),
            of(|r| r.requests as f64, 0),
            of(|r| r.complete, 4),
            of(|r| r.answers.p50_ms, 1),
            of(|r| r.answers.p99_ms, 1),
            counts(&reports, |r| r.refusals.iter().map(|(k, n)| (k.as_str(), *n)).collect()),
            counts(&reports, |r| r.errors.iter().map(|(k, n)| (k.as_str(), *n)).collect()),
        ]);
    }
    Ok(table)
}

/// Counts by kind, summed over the reports.
pub(crate) fn counts(reports: &[Report], of: fn(&Report) -> Vec<(&str, u64)>) -> String {
    let mut sums: Vec<(&str, u64)> = Vec::new();
    for (kind, n) in reports.iter().flat_map(of) {
        match sums.iter_mut().find(|(k, _)| *k == kind) {
            Some((_, sum)) => *sum += n,
            None => sums.push((kind, n)),
        }
    }
    let shown: Vec<String> = sums.iter().map(|(kind, n)| format!("{kind} {n}")).collect();
    if shown.is_empty() { "none".to_owned() } else { shown.join(", ") }
}

/// A plot of the share of complete answers over the time of all runs.
pub(crate) fn plot(title: String, runs: &[Vec<Sample>]) -> Plot {
    Plot {
        title,
        across: "seconds",
        up: "per cent of requests",
        series: vec![complete_over_time("all seeds", runs)],
    }
}

/// The share of requests with a complete answer over time, in per cent.
fn complete_over_time(name: &str, runs: &[Vec<Sample>]) -> Series {
    let all: Vec<&Sample> = runs.iter().flatten().collect();
    let end = all.iter().map(|s| s.arrival.as_secs_f64()).fold(0.0, f64::max);
    let steps = (end / STEP) as usize;
    let point = |step: usize| {
        let from = step as f64 * STEP;
        let within = |s: &&&Sample| (from..from + STEP).contains(&s.arrival.as_secs_f64());
        let here: Vec<_> = all.iter().filter(within).collect();
        let complete = here.iter().filter(|s| s.ending.is_complete()).count();
        (from, 100.0 * complete as f64 / here.len().max(1) as f64)
    };
    Series::new(name, (0..steps).map(point).collect())
}
