//! What the programs of tests and experiments have in common: reading the command line, and logs.

use std::io::stderr;
use std::process::ExitCode;

use anyhow::Result;
use bpaf::{Args, OptionParser};

/// Exit status for settings that don't hold.
pub const EXIT_BAD_SETTINGS: u8 = 2;
/// Columns of the usage text.
const USAGE_WIDTH: usize = 100;

/// Reads the command line.
///
/// # Errors
///
/// Returns the exit status after the usage or a fault was printed.
pub fn parse_args<T>(options: OptionParser<T>) -> Result<T, ExitCode> {
    options.run_inner(Args::current_args()).map_err(|failure| {
        failure.print_message(USAGE_WIDTH);
        let failed = failure.exit_code() != 0;
        ExitCode::from(if failed { EXIT_BAD_SETTINGS } else { 0 })
    })
}

/// Writes log lines to standard error.
///
/// # Errors
///
/// Fails when a logger is set already.
pub fn log_to_stderr() -> Result<()> {
    fern::Dispatch::new()
        .level(log::LevelFilter::Info)
        .format(|out, message, record| {
            out.finish(format_args!("{} {message}", record.level()));
        })
        .chain(stderr())
        .apply()?;
    Ok(())
}
