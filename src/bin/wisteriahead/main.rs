//! The daemon: reads its settings and serves until it is told to stop.
//!
//! Exit status: 0 stopped as it was told to, 1 failed, 2 wrong usage or settings.

mod cli;

use std::process::ExitCode;
use wisteriahead::ops::serve;

/// Exit status for settings that do not hold.
const EXIT_SETTINGS: u8 = 2;
/// Columns that help texts are wrapped at.
const HELP_COLUMNS: usize = 100;

fn main() -> ExitCode {
    let args = match cli::options().run_inner(bpaf::Args::current_args()) {
        Ok(args) => args,
        Err(failure) => {
            failure.print_message(HELP_COLUMNS);
            let help = failure.exit_code() == 0;
            return if help { ExitCode::SUCCESS } else { ExitCode::from(EXIT_SETTINGS) };
        }
    };
    let settings = match args.raw.check() {
        Ok(settings) => settings,
        Err(faults) => {
            for fault in faults {
                eprintln!("error: {fault}");
            }
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if args.check {
        println!("settings hold");
        return ExitCode::SUCCESS;
    }
    match serve::run(&settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("error: {e:#}");
            ExitCode::FAILURE
        }
    }
}
