//! Sends open-loop load and prints the report.

use std::fmt::Display;
use std::process::ExitCode;

use anyhow::Result;
use serde::Serialize;
use wisteria_leaf::program;
use wisteria_load::{Settings, run, run_orders, settings};

#[tokio::main]
async fn main() -> ExitCode {
    let settings = match program::parse_args(settings()) {
        Ok(settings) => settings,
        Err(status) => return status,
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
    program::log_to_stderr()?;
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
