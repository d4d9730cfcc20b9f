//! Experiments on a whole tier of processes on loopback; it is not shipped.
//!
//! Each experiment starts its own daemons and stand-in endpoints, runs them from several seeds,
//! and writes a page and a plot. A page keeps one section for each version of the project.

mod experiments;
mod lab;
mod meter;
mod page;
mod plot;
mod proc;
mod stats;
mod timeline;

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use wisteria_leaf::program;

/// What to run and where to write.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, generate(settings))]
pub(crate) struct Settings {
    /// Seeds, one run each
    #[bpaf(long, argument("N"), fallback(3))]
    seeds: u64,
    /// Length of the load of each run, in place of the experiment's own
    #[bpaf(long, argument("S"))]
    seconds: Option<f64>,
    /// Folder of the pages
    #[bpaf(long, argument("FOLDER"), fallback(PathBuf::from("docs/measurements")))]
    out: PathBuf,
    /// Name of the version in the page; the commit without it
    #[bpaf(long, argument("NAME"))]
    version: Option<String>,
    /// Use the programs that are built already
    #[bpaf(long)]
    no_build: bool,
    /// Experiment, or `list`
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
