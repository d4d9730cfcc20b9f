//! Runs stand-in leaves until the process is told to stop.

use std::io::stderr;
use std::process::ExitCode;

use anyhow::Result;
use bpaf::Args;
use tokio::signal::unix::{SignalKind, signal};
use wisteria_leaf::{Group, Settings, settings};

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
    match start(settings).await {
        Ok(code) => code,
        Err(error) => {
            log::error!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn start(settings: Settings) -> Result<ExitCode> {
    fern::Dispatch::new()
        .level(log::LevelFilter::Info)
        .format(|out, message, record| {
            out.finish(format_args!("{} {message}", record.level()));
        })
        .chain(stderr())
        .apply()?;
    let profiles = match settings.profiles() {
        Ok(profiles) => profiles,
        Err(fault) => {
            log::error!("{fault}");
            return Ok(ExitCode::from(BAD_SETTINGS));
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
