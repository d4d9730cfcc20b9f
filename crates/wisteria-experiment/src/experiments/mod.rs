//! The experiments, registered by name.

mod baseline;
mod capacity;
mod changes;
mod cold;
mod cost;
mod hosts;
mod messages;
mod orders;
mod overload;
mod sites;
mod snapshots;
mod stragglers;
mod zone;

use anyhow::{Result, bail};
use futures::future::LocalBoxFuture;

use self::hosts::HostFault;
use crate::Settings;
use crate::page::{Findings, Origin, version};
use crate::plot::Plot;
use crate::{proc, testbed};

/// Number of seeds and length of an experiment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Plan {
    seeds: u64,
    seconds: Option<f64>,
}

impl Plan {
    /// Seeds of the runs, counted from 1.
    fn seeds(self) -> impl Iterator<Item = u64> {
        1..=self.seeds
    }

    /// Length of one run's load: that of the command line, or else the experiment's default.
    fn seconds(self, default: f64) -> f64 {
        self.seconds.unwrap_or(default)
    }
}

/// Output of an experiment: a section of its page, and a plot.
#[derive(Clone, Debug)]
pub(crate) struct Output {
    findings: Findings,
    plot: Plot,
}

/// Entry function of an experiment.
type RunFn = fn(Plan) -> LocalBoxFuture<'static, Result<Output>>;

/// All experiments by name.
const EXPERIMENTS: &[(&str, RunFn)] = &[
    ("agency", |plan| Box::pin(sites::run(plan, sites::AGENCY))),
    ("baseline", |plan| Box::pin(baseline::run(plan))),
    ("capacity", |plan| Box::pin(capacity::run(plan))),
    ("changes", |plan| Box::pin(changes::run(plan))),
    ("cold", |plan| Box::pin(cold::run(plan))),
    ("cost", |plan| Box::pin(cost::run(plan))),
    ("frozen", |plan| Box::pin(hosts::run(plan, HostFault::Frozen))),
    ("killed", |plan| Box::pin(hosts::run(plan, HostFault::Killed))),
    ("messages", |plan| Box::pin(messages::run(plan))),
    ("orders", |plan| Box::pin(orders::run(plan))),
    ("overload", |plan| Box::pin(overload::run(plan))),
    ("shirakaba", |plan| Box::pin(sites::run(plan, sites::SHIRAKABA))),
    ("snapshots", |plan| Box::pin(snapshots::run(plan))),
    ("stragglers", |plan| Box::pin(stragglers::run(plan))),
    ("zone", |plan| Box::pin(zone::run(plan))),
];

/// Runs the experiment named in the settings and writes its page and plot.
pub(crate) async fn run(settings: &Settings) -> Result<()> {
    if settings.name == "list" {
        EXPERIMENTS.iter().for_each(|(name, _)| println!("{name}"));
        return Ok(());
    }
    let Some((name, run)) = EXPERIMENTS.iter().find(|(name, _)| *name == settings.name) else {
        bail!("no experiment named `{}`; use `list` to print all names", settings.name);
    };
    if !settings.no_build {
        testbed::build()?;
    }
    let load_before = proc::load_average();
    let output = run(Plan { seeds: settings.seeds, seconds: settings.seconds }).await?;
    let origin = Origin {
        name,
        version: settings.version.clone().unwrap_or_else(version),
        command: reproduce_command(settings),
        machine: describe_machine(&load_before),
    };
    output.findings.save(&settings.out, &origin)?;
    output.plot.save(&settings.out.join(format!("{name}.svg")))
}

/// Command line that repeats the experiment with the same settings.
fn reproduce_command(settings: &Settings) -> String {
    let Settings { name, seeds, .. } = settings;
    let mut command = format!("cargo run --release -p wisteria-experiment -- {name}");
    command += &format!(" --seeds {seeds}");
    if let Some(seconds) = settings.seconds {
        command += &format!(" --seconds {seconds}");
    }
    command
}

/// Sentence on the machine's cores and on its load average before and after the experiment.
fn describe_machine(load_before: &str) -> String {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    format!(
        "{cores} cores, shared with other work; load average {load_before} at the start, {} at \
         the end.",
        proc::load_average()
    )
}
