//! `wisteriactl revision` and `revisions`, and the wait for a change's revision.

use super::{block_on, json};
use crate::cli::{Change, Remote, RevisionCommand, WaitLimit};
use crate::shell;
use crate::table::render;
use anyhow::Context as _;
use wisteriahead::core::document::Revision;
use wisteriahead::ops::failure::Failure;
use wisteriahead::ops::revision::{self, HostRevision, ListOptions, WaitOptions};

const FIELDS: &[&str] = &["host", "zone", "revision", "age_ms"];
/// Largest number of hosts named in one status line.
const NAMES_MAX: usize = 8;

/// Waits until a revision is in force at every host.
pub fn run(command: RevisionCommand) -> Result<String, Failure> {
    let RevisionCommand::Wait { wait_limit, remote, revision } = command;
    let hosts = wait(&remote, &wait_limit, revision)?;
    if remote.json { Ok(json(&hosts)) } else { Ok(String::new()) }
}

/// Lists the revision in force at each host.
pub fn list(remote: &Remote) -> Result<String, Failure> {
    let hosts = block_on(revision::list(&ListOptions { server: remote.server() }))?;
    if remote.json {
        return Ok(json(&hosts));
    }
    let value = serde_json::to_value(&hosts).context("could not encode the revisions as JSON")?;
    Ok(render(&value, FIELDS))
}

/// Waits until the revision of a change is in force at every host, if `--wait` is given.
pub fn wait_if_asked(remote: &Remote, change: &Change, revision: Revision) -> Result<(), Failure> {
    if change.wait {
        wait(remote, &change.wait_limit, revision)?;
    }
    Ok(())
}

fn wait(
    remote: &Remote,
    wait_limit: &WaitLimit,
    revision: Revision,
) -> Result<Vec<HostRevision>, Failure> {
    let opts = WaitOptions { server: remote.server(), revision, timeout: wait_limit.timeout };
    let hosts = block_on(revision::wait(&opts, |behind| print_waiting(revision, behind)))?;
    shell::status("In force", &format!("revision {revision} at {} hosts", hosts.len()));
    Ok(hosts)
}

fn print_waiting(revision: Revision, behind: &[HostRevision]) {
    let names: Vec<_> = behind.iter().take(NAMES_MAX).map(|h| h.host.as_str()).collect();
    let more = behind.len().saturating_sub(NAMES_MAX);
    let more = if more > 0 { format!(" and {more} more") } else { String::new() };
    shell::status("Waiting", &format!("for revision {revision} at {}{more}", names.join(", ")));
}
