//! `wisteriactl`: the operators' tool.
//!
//! Results go to standard output, status lines to standard error. Exit status: 0 done,
//! 1 failed with nothing changed, 2 wrong usage or settings, 3 refused by the host with
//! nothing changed, 4 not in force at every host in the time allowed, 5 unknown whether
//! the change was accepted.

mod cli;
mod commands;
mod shell;
mod table;

use std::io::Write;
use std::process::ExitCode;
use wisteriahead::ops::failure::Failure;

const FAILED: u8 = 1;
const USAGE: u8 = 2;
const REFUSED: u8 = 3;
const WAIT_TIMEOUT: u8 = 4;
const UNKNOWN: u8 = 5;
/// Columns that help texts are wrapped at.
const HELP_COLUMNS: usize = 100;

fn main() -> ExitCode {
    let command = match cli::command().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(HELP_COLUMNS);
            return if failure.exit_code() == 0 { ExitCode::SUCCESS } else { USAGE.into() };
        }
    };
    match commands::run(command) {
        Ok(text) => {
            // A reader that closed the pipe has seen enough.
            let _ = std::io::stdout().write_all(text.as_bytes());
            ExitCode::SUCCESS
        }
        Err(failure) => {
            let _ = writeln!(std::io::stderr(), "error: {failure}");
            status(&failure).into()
        }
    }
}

fn status(failure: &Failure) -> u8 {
    match failure {
        Failure::Settings(_) => USAGE,
        Failure::Refused(_) => REFUSED,
        Failure::Failed(_) => FAILED,
        Failure::WaitTimeout(_) => WAIT_TIMEOUT,
        Failure::Unknown(_) => UNKNOWN,
    }
}
