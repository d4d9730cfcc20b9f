//! The report of a run of searches.

use std::fmt;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

const US_PER_MS: f64 = 1_000.0;
/// Precision of the histogram, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Quantiles of latency in milliseconds, measured from the intended arrival.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
    /// Maximum.
    pub max_ms: f64,
}

/// Results of a run of searches.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Requests of the run.
    pub requests: u64,
    /// Requests with an answer, complete or not.
    pub answered: u64,
    /// Latency of the answers.
    pub answers: Quantiles,
    /// Latency of all requests, refusals and errors included.
    pub all: Quantiles,
    /// Mean share of shards that an answer covers; `None` without answers.
    pub coverage: Option<f64>,
    /// Share of all requests that got an answer from all shards.
    pub complete: f64,
    /// Refusals by `verdict/reason`.
    pub refusals: IndexMap<String, u64>,
    /// Requests that failed with neither an answer nor a refusal, by kind.
    pub errors: IndexMap<String, u64>,
    /// Fewest executions that the answers need: one for each shard answered.
    pub least: u64,
    /// Executions that the leaves logged; `None` when no control port is set.
    pub executions: Option<u64>,
    /// `executions` divided by `least`.
    pub load_ratio: Option<f64>,
    /// Report of each class of callers, when classes are set; executions are not split by class.
    #[serde(default, skip_serializing_if = "IndexMap::is_empty")]
    pub classes: IndexMap<String, Self>,
}

/// Outcome of one request.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// An answer.
    Answered {
        /// Number of shards in the snapshot.
        shards: u64,
        /// Number of shards that the answer covers.
        answered: u64,
        /// Snapshot that the answer names.
        snapshot: String,
    },
    /// A refusal, written as `verdict/reason`.
    Refused(String),
    /// A failure with neither an answer nor a refusal, by kind.
    Failed(&'static str),
}

impl Outcome {
    /// Whether this is an answer from all shards.
    pub fn is_complete(&self) -> bool {
        matches!(self, Self::Answered { shards, answered, .. } if shards == answered)
    }
}

/// One request of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// Class of the caller.
    pub class: Option<String>,
    /// Number of the request, counted from 0 and sent in its query.
    pub sequence: u64,
    /// Intended arrival, measured from the start of the run.
    pub arrival: Duration,
    /// Time from the intended arrival to the outcome.
    pub latency: Duration,
    /// Outcome of the request.
    pub outcome: Outcome,
}

/// Adds up samples into a report.
#[derive(Debug)]
struct Collector {
    report: Report,
    answers: Histogram,
    all: Histogram,
    /// Sum of the coverage of all answers.
    coverage_sum: f64,
    complete: u64,
}

impl Collector {
    fn new() -> anyhow::Result<Self> {
        Ok(Self {
            report: Report::default(),
            answers: Histogram::new()?,
            all: Histogram::new()?,
            coverage_sum: 0.0,
            complete: 0,
        })
    }

    fn add(&mut self, sample: &Sample) -> anyhow::Result<()> {
        self.all.record(sample.latency)?;
        self.report.requests += 1;
        match &sample.outcome {
            &Outcome::Answered { shards, answered, .. } => {
                self.answers.record(sample.latency)?;
                self.report.answered += 1;
                self.report.least += answered;
                self.coverage_sum += answered as f64 / shards.max(1) as f64;
                self.complete += u64::from(answered == shards);
            }
            Outcome::Refused(refusal) => {
                *self.report.refusals.entry(refusal.clone()).or_default() += 1;
            }
            Outcome::Failed(kind) => {
                *self.report.errors.entry((*kind).to_owned()).or_default() += 1;
            }
        }
        Ok(())
    }

    fn finish(self, executions: Option<u64>) -> Report {
        let mut report = self.report;
        report.answers = self.answers.quantiles();
        report.all = self.all.quantiles();
        report.coverage = ratio(self.coverage_sum, report.answered);
        report.complete = ratio(self.complete as f64, report.requests).unwrap_or(0.0);
        report.executions = executions;
        report.load_ratio = executions.and_then(|n| ratio(n as f64, report.least));
        report
    }
}

impl Report {
    /// Reports on these samples and the executions that the leaves logged during the run.
    ///
    /// # Errors
    ///
    /// Fails when a histogram can't be created or can't record a latency.
    pub fn from_samples(samples: &[Sample], executions: Option<u64>) -> anyhow::Result<Self> {
        let mut collector = Collector::new()?;
        for sample in samples {
            collector.add(sample)?;
        }
        let mut report = collector.finish(executions);
        let classes: IndexSet<&str> = samples.iter().filter_map(|s| s.class.as_deref()).collect();
        for class in classes {
            let in_class = |s: &&Sample| s.class.as_deref() == Some(class);
            let class_samples = samples.iter().filter(in_class).cloned();
            let class_samples: Vec<Sample> =
                class_samples.map(|s| Sample { class: None, ..s }).collect();
            report.classes.insert(class.to_owned(), Self::from_samples(&class_samples, None)?);
        }
        Ok(report)
    }
}

/// The quotient, or nothing when the denominator is zero.
fn ratio(numerator: f64, denominator: u64) -> Option<f64> {
    (denominator > 0).then(|| numerator / denominator as f64)
}

/// A histogram of latencies in microseconds.
#[derive(Debug)]
pub(crate) struct Histogram(hdrhistogram::Histogram<u64>);

impl Histogram {
    pub(crate) fn new() -> anyhow::Result<Self> {
        Ok(Self(hdrhistogram::Histogram::new(SIGNIFICANT_DIGITS)?))
    }

    pub(crate) fn record(&mut self, latency: Duration) -> anyhow::Result<()> {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        Ok(self.0.record(micros)?)
    }

    pub(crate) fn quantiles(&self) -> Quantiles {
        let at = |quantile| self.0.value_at_quantile(quantile) as f64 / US_PER_MS;
        Quantiles {
            p50_ms: at(0.5),
            p99_ms: at(0.99),
            p999_ms: at(0.999),
            max_ms: self.0.max() as f64 / US_PER_MS,
        }
    }
}

impl fmt::Display for Quantiles {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { p50_ms, p99_ms, p999_ms, max_ms } = self;
        write!(f, "p50 {p50_ms:.1} ms, p99 {p99_ms:.1} ms, p99.9 {p999_ms:.1} ms, ")?;
        write!(f, "max {max_ms:.1} ms")
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "requests      {}, answered {}", self.requests, self.answered)?;
        writeln!(f, "answers       {}", self.answers)?;
        writeln!(f, "all requests  {}", self.all)?;
        match self.coverage {
            Some(coverage) => write!(f, "coverage      {coverage:.4} of shards in answers, ")?,
            None => write!(f, "coverage      no answers, ")?,
        }
        writeln!(f, "{:.4} of requests complete", self.complete)?;
        write_counts(f, "refusals", &self.refusals)?;
        write_counts(f, "errors", &self.errors)?;
        match (self.executions, self.load_ratio) {
            (Some(n), Some(ratio)) => {
                writeln!(f, "load          {n} executions, least {}, ratio {ratio:.3}", self.least)
            }
            (Some(n), None) => writeln!(f, "load          {n} executions, no answers"),
            (None, _) => writeln!(f, "load          unknown, least {}", self.least),
        }?;
        for (class, report) in &self.classes {
            writeln!(f, "class {class}: answered {} of {}", report.answered, report.requests)?;
            writeln!(f, "  answers     {}", report.answers)?;
        }
        Ok(())
    }
}

fn write_counts(
    f: &mut fmt::Formatter<'_>,
    title: &str,
    counts: &IndexMap<String, u64>,
) -> fmt::Result {
    write!(f, "{title:<14}{}", counts.values().sum::<u64>())?;
    for (kind, count) in counts {
        write!(f, ", {kind} {count}")?;
    }
    writeln!(f)
}
