//! `wisteriactl voters`.

use super::{block_on, json, revision};
use crate::cli::{Change, Remote, Voters};
use crate::shell;
use wisteriahead::ops::failure::Failure;
use wisteriahead::ops::voters::{self, Action, ChangeOptions, ListOptions};

/// Runs a command on the voters.
pub fn run(voters: Voters) -> Result<String, Failure> {
    match voters {
        Voters::List { remote } => list(&remote),
        Voters::Add { change, remote, host } => apply(&remote, &change, host, Action::Add),
        Voters::Remove { change, remote, host } => apply(&remote, &change, host, Action::Remove),
    }
}

fn list(remote: &Remote) -> Result<String, Failure> {
    let seen = block_on(voters::list(&ListOptions { server: remote.server() }))?;
    if remote.json {
        return Ok(json(&seen));
    }
    let leader = seen.leader.as_deref().unwrap_or("-");
    let line = |field: &str, value: &str| {
        format!("{field:10}{}\n", if value.is_empty() { "-" } else { value })
    };
    Ok([
        line("leader", leader),
        line("term", &seen.term.to_string()),
        line("voters", &seen.voters.join(",")),
        line("learners", &seen.learners.join(",")),
    ]
    .concat())
}

fn apply(
    remote: &Remote,
    change: &Change,
    host: String,
    action: Action,
) -> Result<String, Failure> {
    let what = match action {
        Action::Add => format!("voter {host}"),
        Action::Remove => format!("removal of voter {host}"),
    };
    let opts = ChangeOptions { server: remote.server(), action, host, id: change.id.clone() };
    let done = block_on(voters::change(&opts))?;
    shell::status(
        "Accepted",
        &format!("{what} by revision {} (change {})", done.revision, done.id),
    );
    revision::wait_if_asked(remote, change, done.revision)?;
    Ok(if remote.json { json(&done) } else { String::new() })
}
