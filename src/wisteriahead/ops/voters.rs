//! Shows and changes the voters: the hosts whose majority accepts changes.

use super::change::{Applied, Reply, identifier, read, reply, resend};
use super::client::{Client, Server};
use super::failure::Failure;
use crate::core::endpoint::check_name;
use anyhow::anyhow;
use serde::{Deserialize, Serialize};
use serde_json::json;

const PATH: &str = "/v1/voters";

/// The voters as one host sees them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voters {
    /// Host that leads, if this host knows one.
    pub leader: Option<String>,
    /// Number of the leader's term.
    pub term: u64,
    /// Hosts that vote.
    pub voters: Vec<String>,
    /// Hosts that catch up before they vote.
    #[serde(default)]
    pub learners: Vec<String>,
}

/// Options of [`list`].
#[derive(Clone, Debug)]
pub struct ListOptions {
    /// Host to ask.
    pub server: Server,
}

/// What to change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// A host becomes a voter, once it has caught up.
    Add,
    /// A host is a voter no longer.
    Remove,
}

impl Step {
    const fn name(self) -> &'static str {
        match self {
            Self::Add => "add",
            Self::Remove => "remove",
        }
    }
}

/// Options of [`change`].
#[derive(Clone, Debug)]
pub struct ChangeOptions {
    /// Host to ask.
    pub server: Server,
    /// What to change.
    pub step: Step,
    /// Name of the host that it is about.
    pub host: String,
    /// Identifier of the change; a random one if none is given.
    pub id: Option<String>,
}

/// Lists the voters.
///
/// # Errors
///
/// Fails when the host cannot be reached or refuses.
pub async fn list(opts: &ListOptions) -> Result<Voters, Failure> {
    read(Client::new(&opts.server)?.get(PATH).await?)
}

/// Adds or removes one voter.
///
/// # Errors
///
/// Fails when the host cannot be reached or refuses the change. When its answer is
/// lost, the cause names the identifier to send the change again with.
pub async fn change(opts: &ChangeOptions) -> Result<Applied, Failure> {
    check_name("host", &opts.host).map_err(|e| Failure::Settings(anyhow!(e)))?;
    let id = identifier(opts.id.as_deref());
    let body = json!({ "id": id, opts.step.name(): opts.host });
    let sent = Client::new(&opts.server)?.post(PATH, &body).await;
    let Reply { revision } = sent.and_then(reply).map_err(|e| resend(e, &format!("--id {id}")))?;
    Ok(Applied { id, revision })
}
