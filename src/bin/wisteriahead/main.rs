//! The daemon: reads its settings and serves until it is told to stop.

mod cli;

use std::process::ExitCode;
use wisteriahead::ops::serve;

/// Exit status for settings that do not hold.
const EXIT_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let args = cli::options().run();
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
