//! Runs stand-in endpoints until SIGTERM or SIGINT.

use std::process::ExitCode;

use anyhow::Result;
use tokio::signal::unix::{SignalKind, signal};
use wisteria_leaf::program::{self, EXIT_BAD_SETTINGS};
use wisteria_leaf::{Group, Settings, settings};

#[tokio::main]
async fn main() -> ExitCode {
    let settings = match program::parse_args(settings()) {
        Ok(settings) => settings,
        Err(status) => return status,
    };
    match run(settings).await {
        Ok(code) => code,
        Err(error) => {
            log::error!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run(settings: Settings) -> Result<ExitCode> {
    program::log_to_stderr()?;
    let profiles = match settings.profiles() {
        Ok(profiles) => profiles,
        Err(error) => {
            log::error!("{error}");
            return Ok(ExitCode::from(EXIT_BAD_SETTINGS));
        }
    };
    let group = Group::start(profiles, settings.control, &settings.announce).await?;
    for leaf in group.leaves() {
        println!("leaf {} {}", leaf.name(), leaf.address());
    }
    println!("control {}", group.control());
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = terminate.recv() => {}
        result = tokio::signal::ctrl_c() => result?,
    }
    Ok(ExitCode::SUCCESS)
}
