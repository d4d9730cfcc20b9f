//! Parts that all changes share: the identifier, which makes a change idempotent, the revision
//! that an accepted change creates, and the decoding of responses.

use super::failure::Failure;
use crate::core::document::Revision;
use crate::prelude::*;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// An accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct AcceptedChange {
    /// Identifier of the change.
    pub id: String,
    /// Revision that the change created.
    pub revision: Revision,
}

/// A host's response to a change.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(super) struct ChangeReply {
    /// Revision that the change created.
    pub revision: Revision,
}

/// The identifier given, or a new random one.
pub(super) fn change_id(given: Option<&str>) -> String {
    given.map_or_else(|| hex::encode(rand::random::<[u8; 16]>()), str::to_owned)
}

/// Decodes a host's response.
pub(super) fn decode<T: DeserializeOwned>(value: Value) -> Result<T, Failure> {
    let decoded = serde_json::from_value(value);
    Ok(decoded
        .context("the host's response is malformed; use a wisteriactl of the host's version")?)
}

/// Decodes a host's response to a change. A malformed one leaves the outcome unknown.
pub(super) fn decode_reply<T: DeserializeOwned>(value: Value) -> Result<T, Failure> {
    decode(value).map_err(|e| Failure::Unknown(e.into()))
}

/// Adds the flags to send the same change again with, if its outcome is unknown.
pub(super) fn with_resend_flags(failure: Failure, flags: &str) -> Failure {
    let advice =
        "the change may be in force or not; to send the same change again, repeat the command with";
    failure.with_advice(|| format!("{advice} {flags}"))
}
