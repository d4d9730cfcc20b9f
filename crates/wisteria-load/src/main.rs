//! Sends open-loop load and prints the report.

use std::fmt::Display;
use std::io::stderr;
use std::process::ExitCode;

use anyhow::Result;
use bpaf::Args;
use serde::Serialize;
use wisteria_load::{Settings, run, run_orders, settings};

/// Exit status for settings that don't hold.
const BAD_SETTINGS: u8 = 2;
/// Columns of the usage text.
const USAGE_WIDTH: usize = 100;

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
    match report(&settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn report(settings: &Settings) -> Result<()> {
    fern::Dispatch::new()
        .level(log::LevelFilter::Info)
        .format(|out, message, record| {
            out.finish(format_args!("{} {message}", record.level()));
        })
        .chain(stderr())
        .apply()?;
    if settings.orders {
        show(settings, &run_orders(settings).await?)
    } else {
        show(settings, &run(settings).await?)
    }
}

fn show<R: Serialize + Display>(settings: &Settings, report: &R) -> Result<()> {
    if settings.json {
        println!("{}", serde_json::to_string(report)?);
    } else {
        print!("{report}");
    }
    Ok(())
}
