//! Runs each command and renders its result as text or JSON.

mod audit;
mod inventory;
mod keys;
mod revision;
mod show;
mod voters;
mod zone;

use crate::cli::Command;
use anyhow::Context;
use serde::Serialize;
use wisteriahead::ops::failure::Failure;
use wisteriahead::ops::show::View;

/// Runs a command and returns the text for standard output.
///
/// # Errors
///
/// Returns the failure of the operation.
pub fn run(command: Command) -> Result<String, Failure> {
    match command {
        Command::Keys { keys } => keys::run(keys),
        Command::Status { remote } => show::run(&remote, View::Status),
        Command::Zones { remote } => show::run(&remote, View::Zones),
        Command::Zone { zone } => zone::run(zone),
        Command::Endpoints { remote } => show::run(&remote, View::Endpoints),
        Command::Inventory { inventory } => inventory::run(inventory),
        Command::Rules { remote } => show::rules(&remote),
        Command::Revision { revision } => revision::run(revision),
        Command::Revisions { remote } => revision::list(&remote),
        Command::Voters { voters } => voters::run(voters),
        Command::Audit { audit } => audit::run(&audit),
    }
}

fn block_on<T>(task: impl Future<Output = Result<T, Failure>>) -> Result<T, Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.context("could not start the async runtime")?.block_on(task)
}

fn json(value: &impl Serialize) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default() + "\n"
}
