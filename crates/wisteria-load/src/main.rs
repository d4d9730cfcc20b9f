//! Command line of the load generator: sends the load and prints the report.

use std::fmt::Display;
use std::process::ExitCode;

use anyhow::Result;
use serde::Serialize;
use wisteria_leaf::program;
use wisteria_load::{Settings, run_orders, run_searches, settings};

#[tokio::main]
async fn main() -> ExitCode {
    let settings = match program::parse_args(settings()) {
        Ok(settings) => settings,
        Err(status) => return status,
    };
    match run(&settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run(settings: &Settings) -> Result<()> {
    program::log_to_stderr()?;
    if settings.orders {
        print_report(settings, &run_orders(settings).await?)
    } else {
        print_report(settings, &run_searches(settings).await?)
    }
}

fn print_report<R: Serialize + Display>(settings: &Settings, report: &R) -> Result<()> {
    if settings.json {
        println!("{}", serde_json::to_string(report)?);
    } else {
        print!("{report}");
    }
    Ok(())
}
