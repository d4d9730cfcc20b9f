//! Takes an availability zone out of service and brings it back.

use super::change::{change_id, decode_reply, with_resend_flags};
use super::client::{Client, Server};
use super::failure::Failure;
use crate::core::document::{Revision, ZoneState};
use crate::core::endpoint::check_name;
use anyhow::anyhow;
use serde::{Deserialize, Serialize};
use serde_json::json;

/// Options of [`set_state`].
#[derive(Clone, Debug)]
pub struct SetStateOptions {
    /// Host to ask.
    pub server: Server,
    /// Name of the availability zone.
    pub zone: String,
    /// State to set.
    pub state: ZoneState,
    /// Identifier of the change; a random one if none is given.
    pub id: Option<String>,
}

/// Outcome of a change of an availability zone's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ZoneOutcome {
    /// Identifier of the change.
    pub id: String,
    /// Revision that the change created; none if the change is local.
    pub revision: Option<Revision>,
    /// Whether the change is local: no quorum was reached, so it holds at the asked host and at the
    /// zone's hosts that this one reaches, and everywhere once there is a quorum again.
    pub local: bool,
}

#[derive(Deserialize)]
struct Reply {
    #[serde(default)]
    revision: Option<Revision>,
    #[serde(default)]
    local: bool,
}

/// Takes an availability zone out of service, or brings it back.
///
/// # Errors
///
/// Fails when the name is invalid, or the host cannot be reached or refuses the change. When its
/// response is lost, the error names the flags to send the same change again with.
pub async fn set_state(opts: &SetStateOptions) -> Result<ZoneOutcome, Failure> {
    check_name("zone", &opts.zone).map_err(|e| Failure::Settings(anyhow!(e)))?;
    let verb = match opts.state {
        ZoneState::In => "in",
        ZoneState::Out => "out",
    };
    let id = change_id(opts.id.as_deref());
    let path = format!("/v1/zones/{}/{verb}", opts.zone);
    let sent = Client::new(&opts.server)?.post(&path, &json!({ "id": id })).await;
    let Reply { revision, local } =
        sent.and_then(decode_reply).map_err(|e| with_resend_flags(e, &format!("--id {id}")))?;
    Ok(ZoneOutcome { id, revision, local })
}
