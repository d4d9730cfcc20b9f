//! `wisteriactl revision` and `revisions`, and the wait of all changes.

use super::{block_on, json};
use crate::cli::{Change, Patience, Remote, RevisionCommand};
use crate::shell;
use crate::table::render;
use anyhow::Context as _;
use wisteriahead::core::document::Revision;
use wisteriahead::ops::failure::Failure;
use wisteriahead::ops::revision::{self, HostRevision, ListOptions, WaitOptions};

const FIELDS: &[&str] = &["host", "zone", "revision", "age_ms"];
/// Most hosts named in one status line.
const NAMED_MAX: usize = 8;

/// Waits for a revision.
pub fn run(command: RevisionCommand) -> Result<String, Failure> {
    let RevisionCommand::Wait { patience, remote, revision } = command;
    let hosts = wait(&remote, &patience, revision)?;
    if remote.json { Ok(json(&hosts)) } else { Ok(String::new()) }
}

/// Lists the revision in force at each host.
pub fn list(remote: &Remote) -> Result<String, Failure> {
    let hosts = block_on(revision::list(&ListOptions { server: remote.server() }))?;
    if remote.json {
        return Ok(json(&hosts));
    }
    let value = serde_json::to_value(&hosts).context("could not show the revisions")?;
    Ok(render(&value, FIELDS))
}

/// Waits for the revision of a change if its `--wait` is given.
pub fn settle(remote: &Remote, change: &Change, revision: Revision) -> Result<(), Failure> {
    if change.wait {
        wait(remote, &change.patience, revision)?;
    }
    Ok(())
}

fn wait(
    remote: &Remote,
    patience: &Patience,
    revision: Revision,
) -> Result<Vec<HostRevision>, Failure> {
    let opts = WaitOptions { server: remote.server(), revision, timeout: patience.timeout };
    let hosts = block_on(revision::wait(&opts, |late| waiting(revision, late)))?;
    shell::status("In force", &format!("revision {revision} at {} hosts", hosts.len()));
    Ok(hosts)
}

fn waiting(revision: Revision, late: &[HostRevision]) {
    let names: Vec<_> = late.iter().take(NAMED_MAX).map(|h| h.host.as_str()).collect();
    let more = late.len().saturating_sub(NAMED_MAX);
    let more = if more > 0 { format!(" and {more} more") } else { String::new() };
    shell::status("Waiting", &format!("for revision {revision} at {}{more}", names.join(", ")));
}
