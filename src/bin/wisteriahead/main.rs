//! `wisteriahead`: the daemon. Reads its settings and serves until a signal stops it.
//!
//! Exit status: 0 stopped by a signal, or done with `--help`, `--version` or `--check`; 1 failed;
//! 2 wrong usage or invalid settings.

mod cli;

use std::process::ExitCode;
use wisteriahead::ops::serve;

/// Exit status for wrong usage or invalid settings.
const EXIT_USAGE: u8 = 2;
/// Width at which help texts are wrapped, in columns.
const HELP_COLUMNS: usize = 100;

fn main() -> ExitCode {
    let args = match cli::options().run_inner(bpaf::Args::current_args()) {
        Ok(args) => args,
        Err(failure) => {
            failure.print_message(HELP_COLUMNS);
            let help = failure.exit_code() == 0;
            return if help { ExitCode::SUCCESS } else { ExitCode::from(EXIT_USAGE) };
        }
    };
    let settings = match args.raw.check() {
        Ok(settings) => settings,
        Err(errors) => {
            for error in errors {
                eprintln!("error: {error}");
            }
            return ExitCode::from(EXIT_USAGE);
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
