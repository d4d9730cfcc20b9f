//! The experiments by name.

mod baseline;
mod capacity;
mod changes;
mod cold;
mod cost;
mod hosts;
mod orders;
mod overload;
mod sites;
mod snapshots;
mod stragglers;
mod zone;

use anyhow::{Result, bail};
use futures::future::LocalBoxFuture;

use self::hosts::Loss;
use crate::Settings;
use crate::page::{Findings, Origin, version};
use crate::plot::Plot;
use crate::{lab, proc};

/// Seeds and length of an experiment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Plan {
    seeds: u64,
    seconds: Option<f64>,
}

impl Plan {
    fn seeds(self) -> impl Iterator<Item = u64> {
        1..=self.seeds
    }

    /// Length of the load of one run, unless the command line names another.
    fn seconds(self, own: f64) -> f64 {
        self.seconds.unwrap_or(own)
    }
}

/// What an experiment gives: a section and a plot.
#[derive(Clone, Debug)]
pub(crate) struct Output {
    findings: Findings,
    plot: Plot,
}

type Run = fn(Plan) -> LocalBoxFuture<'static, Result<Output>>;

const ALL: &[(&str, Run)] = &[
    ("agency", |plan| Box::pin(sites::run(plan, sites::AGENCY))),
    ("baseline", |plan| Box::pin(baseline::run(plan))),
    ("capacity", |plan| Box::pin(capacity::run(plan))),
    ("changes", |plan| Box::pin(changes::run(plan))),
    ("cold", |plan| Box::pin(cold::run(plan))),
    ("cost", |plan| Box::pin(cost::run(plan))),
    ("frozen", |plan| Box::pin(hosts::run(plan, Loss::Frozen))),
    ("killed", |plan| Box::pin(hosts::run(plan, Loss::Killed))),
    ("orders", |plan| Box::pin(orders::run(plan))),
    ("overload", |plan| Box::pin(overload::run(plan))),
    ("shirakaba", |plan| Box::pin(sites::run(plan, sites::SHIRAKABA))),
    ("snapshots", |plan| Box::pin(snapshots::run(plan))),
    ("stragglers", |plan| Box::pin(stragglers::run(plan))),
    ("zone", |plan| Box::pin(zone::run(plan))),
];

/// Runs the experiment that the settings name and writes its page.
pub(crate) async fn run(settings: &Settings) -> Result<()> {
    if settings.name == "list" {
        ALL.iter().for_each(|(name, _)| println!("{name}"));
        return Ok(());
    }
    let Some((name, run)) = ALL.iter().find(|(name, _)| *name == settings.name) else {
        bail!("no experiment is named `{}`; `list` names all", settings.name);
    };
    if !settings.no_build {
        lab::build()?;
    }
    let before = proc::machine_load();
    let output = run(Plan { seeds: settings.seeds, seconds: settings.seconds }).await?;
    let origin = Origin {
        name,
        version: settings.version.clone().unwrap_or_else(version),
        command: command(settings),
        machine: machine(&before),
    };
    output.findings.save(&settings.out, &origin)?;
    output.plot.save(&settings.out.join(format!("{name}.svg")))
}

fn command(settings: &Settings) -> String {
    let Settings { name, seeds, .. } = settings;
    let mut command = format!("cargo run --release -p wisteria-experiment -- {name}");
    command += &format!(" --seeds {seeds}");
    if let Some(seconds) = settings.seconds {
        command += &format!(" --seconds {seconds}");
    }
    command
}

fn machine(before: &str) -> String {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    format!(
        "{cores} cores, shared with other work; load average {before} at the start, {} at the end.",
        proc::machine_load()
    )
}
