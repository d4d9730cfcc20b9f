//! The report of a run.

use std::fmt;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

const US_PER_MS: f64 = 1_000.0;
/// Decimal digits that the histogram keeps.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Latencies in milliseconds, from the intended arrival.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
    /// Longest.
    pub max_ms: f64,
}

/// What a run showed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Requests that arrived.
    pub requests: u64,
    /// Requests with an answer, complete or not.
    pub answered: u64,
    /// Latency of the answers.
    pub answers: Quantiles,
    /// Latency of all requests, refusals and errors included.
    pub all: Quantiles,
    /// Mean share of shards that the answers cover; none without answers.
    pub coverage: Option<f64>,
    /// Share of all requests that got a complete answer.
    pub complete: f64,
    /// Refusals by `verdict/reason`.
    pub refusals: IndexMap<String, u64>,
    /// Failures without a refusal, by kind.
    pub errors: IndexMap<String, u64>,
    /// Least executions that the answers needed: one for each shard answered.
    pub least: u64,
    /// Executions that the leaves logged, when their control ports are known.
    pub executions: Option<u64>,
    /// Executions over the least needed.
    pub load_ratio: Option<f64>,
    /// The same for each class of callers, when classes were named; executions are not split.
    #[serde(default, skip_serializing_if = "IndexMap::is_empty")]
    pub classes: IndexMap<String, Self>,
}

/// How one request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Ending {
    /// An answer.
    Answered {
        /// Shards of the snapshot.
        shards: u64,
        /// Shards that the answer covers.
        answered: u64,
        /// Snapshot that the answer names.
        snapshot: String,
    },
    /// A refusal, as `verdict/reason`.
    Refused(String),
    /// Neither.
    Failed(&'static str),
}

impl Ending {
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
    /// Number of the request, from 0; a part of its query.
    pub sequence: u64,
    /// Intended arrival since the start of the run.
    pub arrival: Duration,
    /// Time from the intended arrival to the end.
    pub latency: Duration,
    /// How it ended.
    pub ending: Ending,
}

/// Collects endings into a report.
#[derive(Debug)]
struct Collector {
    report: Report,
    answers: Histogram,
    all: Histogram,
    coverage: f64,
    complete: u64,
}

impl Collector {
    fn new() -> anyhow::Result<Self> {
        Ok(Self {
            report: Report::default(),
            answers: Histogram::new()?,
            all: Histogram::new()?,
            coverage: 0.0,
            complete: 0,
        })
    }

    fn add(&mut self, sample: &Sample) -> anyhow::Result<()> {
        self.all.record(sample.latency)?;
        self.report.requests += 1;
        match &sample.ending {
            &Ending::Answered { shards, answered, .. } => {
                self.answers.record(sample.latency)?;
                self.report.answered += 1;
                self.report.least += answered;
                self.coverage += answered as f64 / shards.max(1) as f64;
                self.complete += u64::from(answered == shards);
            }
            Ending::Refused(refusal) => {
                *self.report.refusals.entry(refusal.clone()).or_default() += 1;
            }
            Ending::Failed(kind) => {
                *self.report.errors.entry((*kind).to_owned()).or_default() += 1;
            }
        }
        Ok(())
    }

    fn finish(self, executions: Option<u64>) -> Report {
        let mut report = self.report;
        report.answers = self.answers.quantiles();
        report.all = self.all.quantiles();
        report.coverage = ratio(self.coverage, report.answered);
        report.complete = ratio(self.complete as f64, report.requests).unwrap_or(0.0);
        report.executions = executions;
        report.load_ratio = executions.and_then(|n| ratio(n as f64, report.least));
        report
    }
}

impl Report {
    /// The report on these requests, with the executions that leaves logged meanwhile.
    ///
    /// # Errors
    ///
    /// Fails when no histogram can be made.
    pub fn of(samples: &[Sample], executions: Option<u64>) -> anyhow::Result<Self> {
        let mut collector = Collector::new()?;
        for sample in samples {
            collector.add(sample)?;
        }
        let mut report = collector.finish(executions);
        let classes: IndexSet<&str> = samples.iter().filter_map(|s| s.class.as_deref()).collect();
        for class in classes {
            let of_class = |s: &&Sample| s.class.as_deref() == Some(class);
            let own = samples.iter().filter(of_class).cloned();
            let own: Vec<Sample> = own.map(|s| Sample { class: None, ..s }).collect();
            report.classes.insert(class.to_owned(), Self::of(&own, None)?);
        }
        Ok(report)
    }
}

fn ratio(of: f64, over: u64) -> Option<f64> {
    (over > 0).then(|| of / over as f64)
}

/// A histogram of latencies.
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
        counts(f, "refusals", &self.refusals)?;
        counts(f, "errors", &self.errors)?;
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

fn counts(f: &mut fmt::Formatter<'_>, title: &str, counts: &IndexMap<String, u64>) -> fmt::Result {
    write!(f, "{title:<14}{}", counts.values().sum::<u64>())?;
    for (kind, count) in counts {
        write!(f, ", {kind} {count}")?;
    }
    writeln!(f)
}
