//! Experiments on a whole tier of processes on loopback; it is not shipped.
//!
//! Each experiment starts its own daemons and stand-in endpoints, runs them from several seeds,
//! and writes a page and a plot. A page keeps one section for each version of the project.

mod experiments;
mod lab;
mod page;
mod plot;
mod proc;
mod stats;
mod timeline;

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{Args, Bpaf};

/// Exit status for settings that don't hold.
const BAD_SETTINGS: u8 = 2;
/// Columns of the usage text.
const USAGE_WIDTH: usize = 100;

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
    let settings = match settings().run_inner(Args::current_args()) {
        Ok(settings) => settings,
        Err(failure) => {
            failure.print_message(USAGE_WIDTH);
            let failed = failure.exit_code() != 0;
            return ExitCode::from(if failed { BAD_SETTINGS } else { 0 });
        }
    };
    match experiments::run(&settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}
