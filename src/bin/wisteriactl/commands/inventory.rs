//! `wisteriactl inventory`.

use super::{block_on, json, revision};
use crate::cli::{Change, Inventory, Remote};
use crate::shell;
use anyhow::{Context as _, Result, bail};
use std::path::{Path, PathBuf};
use wisteriahead::core::document::Revision;
use wisteriahead::ops::change::AcceptedChange;
use wisteriahead::ops::diff::{DiffOptions, diff};
use wisteriahead::ops::edit::{EditOptions, edit};
use wisteriahead::ops::failure::Failure;
use wisteriahead::ops::inventory::{ApplyOptions, CheckOptions, GetOptions, apply, check, get};

/// Runs a command on the inventory.
pub fn run(inventory: Inventory) -> Result<String, Failure> {
    match inventory {
        Inventory::Get { remote } => show(&remote),
        Inventory::Edit { change, remote } => edit_copy(&remote, &change),
        Inventory::Check { file } => {
            let doc = check(&CheckOptions { file })?;
            let (zones, hosts) = (doc.zones.len(), doc.hosts.len());
            Ok(format!("holds: {zones} availability zones, {hosts} hosts\n"))
        }
        Inventory::Diff { file, remote } => compare(&remote, file),
        Inventory::Apply { file, base, change, remote } => apply_file(&remote, &change, file, base),
    }
}

fn show(remote: &Remote) -> Result<String, Failure> {
    let inv = block_on(get(&GetOptions { server: remote.server() }))?;
    if remote.json {
        return Ok(json(&inv));
    }
    Ok(format!("# revision {}\n{}", inv.revision, inv.text))
}

fn compare(remote: &Remote, file: PathBuf) -> Result<String, Failure> {
    let difference = block_on(diff(&DiffOptions { server: remote.server(), file }))?;
    if remote.json {
        return Ok(json(&difference));
    }
    let (added, removed) = (difference.added, difference.removed);
    let message =
        format!("with revision {}: {added} lines added, {removed} removed", difference.revision);
    shell::status("Compared", &message);
    Ok(difference.text)
}

fn edit_copy(remote: &Remote, change: &Change) -> Result<String, Failure> {
    let (server, id) = (remote.server(), change.id.clone());
    let folder = std::env::temp_dir();
    match block_on(edit(&EditOptions { server, folder, id }, wait_edited))? {
        Some(done) => report_accepted(remote, change, &done),
        None => {
            shell::status("Unchanged", "the copy was not edited; nothing was sent");
            Ok(String::new())
        }
    }
}

/// Waits until the operator presses Enter, after editing the copy.
fn wait_edited(copy: &Path) -> Result<()> {
    shell::status("Waiting", &format!("edit {}, then press Enter here", copy.display()));
    let read = std::io::stdin().read_line(&mut String::new());
    if read.context("could not read from the terminal")? == 0 {
        bail!("the input ended before Enter was pressed");
    }
    Ok(())
}

fn apply_file(
    remote: &Remote,
    change: &Change,
    file: PathBuf,
    base: Option<Revision>,
) -> Result<String, Failure> {
    if base.is_none() {
        shell::warn(
            "no --base is given: the document is taken to be edited from the revision in force \
             now, so a change that another operator made in the meantime is undone",
        );
    }
    let opts = ApplyOptions { server: remote.server(), file, base, id: change.id.clone() };
    report_accepted(remote, change, &block_on(apply(&opts))?)
}

fn report_accepted(
    remote: &Remote,
    change: &Change,
    done: &AcceptedChange,
) -> Result<String, Failure> {
    shell::status("Accepted", &format!("revision {} (change {})", done.revision, done.id));
    revision::wait_if_asked(remote, change, done.revision)?;
    Ok(if remote.json { json(done) } else { String::new() })
}
