//! Lists, adds and removes voters: the hosts of the consensus group, whose majority accepts
//! changes.

use super::change::{
    AcceptedChange, ChangeReply, change_id, decode, decode_reply, with_resend_flags,
};
use super::client::{Client, Server};
use super::failure::Failure;
use crate::core::endpoint::check_name;
use anyhow::anyhow;
use serde::{Deserialize, Serialize};
use serde_json::json;

const PATH: &str = "/v1/voters";

/// Members of the group as one host knows them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voters {
    /// Current leader, if the asked host knows one.
    pub leader: Option<String>,
    /// Term of the leader.
    pub term: u64,
    /// Hosts that vote.
    pub voters: Vec<String>,
    /// Hosts without a vote that replicate the log, to become voters once they have caught up.
    #[serde(default)]
    pub learners: Vec<String>,
}

/// Options of [`list`].
#[derive(Clone, Debug)]
pub struct ListOptions {
    /// Host to ask.
    pub server: Server,
}

/// Kind of change to the voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Makes a host a voter once it has caught up.
    Add,
    /// Takes a host out of the voters.
    Remove,
}

impl Action {
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
    /// Whether to add or remove the host.
    pub action: Action,
    /// Name of the host to add or remove.
    pub host: String,
    /// Identifier of the change; a random one if none is given.
    pub id: Option<String>,
}

/// Lists the voters.
///
/// # Errors
///
/// Fails when the host cannot be reached or refuses the request.
pub async fn list(opts: &ListOptions) -> Result<Voters, Failure> {
    decode(Client::new(&opts.server)?.get(PATH).await?)
}

/// Adds or removes one voter.
///
/// # Errors
///
/// Fails when the name is invalid, or the host cannot be reached or refuses the change. When its
/// response is lost, the error names the flags to send the same change again with.
pub async fn change(opts: &ChangeOptions) -> Result<AcceptedChange, Failure> {
    check_name("host", &opts.host).map_err(|e| Failure::Settings(anyhow!(e)))?;
    let id = change_id(opts.id.as_deref());
    let body = json!({ "id": id, opts.action.name(): opts.host });
    let sent = Client::new(&opts.server)?.post(PATH, &body).await;
    let ChangeReply { revision } =
        sent.and_then(decode_reply).map_err(|e| with_resend_flags(e, &format!("--id {id}")))?;
    Ok(AcceptedChange { id, revision })
}
