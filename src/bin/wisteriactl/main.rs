//! `wisteriactl`: the command-line tool for operators.
//!
//! Results go to standard output, status lines, warnings and errors to standard error. Exit status:
//! 0 done, 1 failed with nothing changed, 2 wrong usage or settings, 3 refused by the host with
//! nothing changed, 4 not in force at every host within the time allowed, 5 unknown whether the
//! change was accepted.

mod cli;
mod commands;
mod shell;
mod table;

use std::io::Write;
use std::process::ExitCode;
use wisteriahead::ops::failure::Failure;

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;
const EXIT_REFUSED: u8 = 3;
const EXIT_WAIT_TIMEOUT: u8 = 4;
const EXIT_UNKNOWN: u8 = 5;
/// Width at which help texts are wrapped, in columns.
const HELP_COLUMNS: usize = 100;

fn main() -> ExitCode {
    let command = match cli::command().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(HELP_COLUMNS);
            return if failure.exit_code() == 0 { ExitCode::SUCCESS } else { EXIT_USAGE.into() };
        }
    };
    match commands::run(command) {
        Ok(text) => {
            // A closed pipe is no failure: the reader, such as `head`, has what it wants.
            let _ = std::io::stdout().write_all(text.as_bytes());
            ExitCode::SUCCESS
        }
        Err(failure) => {
            let _ = writeln!(std::io::stderr(), "error: {failure}");
            exit_status(&failure).into()
        }
    }
}

fn exit_status(failure: &Failure) -> u8 {
    match failure {
        Failure::Settings(_) => EXIT_USAGE,
        Failure::Refused(_) => EXIT_REFUSED,
        Failure::Failed(_) => EXIT_FAILED,
        Failure::WaitTimeout(_) => EXIT_WAIT_TIMEOUT,
        Failure::Unknown(_) => EXIT_UNKNOWN,
    }
}
