//! Experiments on a complete tier of processes on loopback. It is not part of a release.
//!
//! Each experiment starts its own daemons and stand-in endpoints, repeats its run with several
//! seeds, and writes a page and a plot. A page has one section for each measured version of the
//! project.

mod experiments;
mod metrics;
mod page;
mod plot;
mod proc;
mod stats;
mod testbed;
mod timeline;

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use wisteria_leaf::program;

/// Which experiment to run and where to write its results.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, generate(settings))]
pub(crate) struct Settings {
    /// Number of seeds; each gives one run
    #[bpaf(long, argument("N"), fallback(3))]
    seeds: u64,
    /// Length of each run's load in seconds; the experiment's default without it
    #[bpaf(long, argument("S"))]
    seconds: Option<f64>,
    /// Folder to write the page and the plot to
    #[bpaf(long, argument("FOLDER"), fallback(PathBuf::from("docs/measurements")))]
    out: PathBuf,
    /// Name of the version in the page; the current commit without it
    #[bpaf(long, argument("NAME"))]
    version: Option<String>,
    /// Use the existing programs without building them
    #[bpaf(long)]
    no_build: bool,
    /// Name of the experiment, or `list` to print all names
    #[bpaf(positional("NAME"))]
    name: String,
}

#[tokio::main]
async fn main() -> ExitCode {
    let settings = match program::parse_args(settings()) {
        Ok(settings) => settings,
        Err(status) => return status,
    };
    match experiments::run(&settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}
