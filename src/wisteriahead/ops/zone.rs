//! Takes an availability zone out and brings it back in.

use super::change::{identifier, reply, resend};
use super::client::{Client, Server};
use super::failure::Failure;
use crate::core::document::{Revision, ZoneState};
use crate::core::endpoint::check_name;
use anyhow::anyhow;
use serde::{Deserialize, Serialize};
use serde_json::json;

/// Options of [`turn`].
#[derive(Clone, Debug)]
pub struct TurnOptions {
    /// Host to ask.
    pub server: Server,
    /// Name of the availability zone.
    pub zone: String,
    /// State that it is to have.
    pub state: ZoneState,
    /// Identifier of the change; a random one if none is given.
    pub id: Option<String>,
}

/// An availability zone that was taken out or brought back in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Turned {
    /// Identifier of the change.
    pub id: String,
    /// Revision of the change; none while it holds only at the asked host.
    pub revision: Option<Revision>,
    /// Whether it holds only at the asked host until a quorum is reached again.
    pub local: bool,
}

#[derive(Deserialize)]
struct Reply {
    #[serde(default)]
    revision: Option<Revision>,
    #[serde(default)]
    local: bool,
}

/// Takes an availability zone out, or brings it back in.
///
/// # Errors
///
/// Fails when the host cannot be reached or refuses the change. When its answer is
/// lost, the cause names the identifier to send the change again with.
pub async fn turn(opts: &TurnOptions) -> Result<Turned, Failure> {
    check_name("zone", &opts.zone).map_err(|e| Failure::Settings(anyhow!(e)))?;
    let verb = match opts.state {
        ZoneState::In => "in",
        ZoneState::Out => "out",
    };
    let id = identifier(opts.id.as_deref());
    let path = format!("/v1/zones/{}/{verb}", opts.zone);
    let sent = Client::new(&opts.server)?.post(&path, &json!({ "id": id })).await;
    let Reply { revision, local } =
        sent.and_then(reply).map_err(|e| resend(e, &format!("--id {id}")))?;
    Ok(Turned { id, revision, local })
}
