//! Command-line parsing and logging for the programs of tests and measurements.

use std::io::stderr;
use std::process::ExitCode;

use anyhow::Result;
use bpaf::{Args, OptionParser};

/// Exit status for invalid settings.
pub const EXIT_BAD_SETTINGS: u8 = 2;
/// Width of the usage text in columns.
const USAGE_COLUMNS: usize = 100;

/// Parses the command line and environment variables.
///
/// # Errors
///
/// Returns the exit status after printing the usage text or an error.
pub fn parse_args<T>(options: OptionParser<T>) -> Result<T, ExitCode> {
    options.run_inner(Args::current_args()).map_err(|failure| {
        failure.print_message(USAGE_COLUMNS);
        let failed = failure.exit_code() != 0;
        ExitCode::from(if failed { EXIT_BAD_SETTINGS } else { 0 })
    })
}

/// Sets up logging to standard error at level info.
///
/// # Errors
///
/// Fails if a logger is already set.
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
