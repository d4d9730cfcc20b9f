//! What all changes have in common: an identifier, and the revision that they end in.

use super::failure::Failure;
use crate::core::document::Revision;
use crate::prelude::*;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// An accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Applied {
    /// Identifier of the change.
    pub id: String,
    /// Its revision.
    pub revision: Revision,
}

/// A host's answer to a change.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(super) struct Reply {
    /// Revision of the change.
    pub revision: Revision,
}

/// The identifier given, or a new one that no other change has.
pub(super) fn identifier(given: Option<&str>) -> String {
    given.map_or_else(|| hex::encode(rand::random::<[u8; 16]>()), str::to_owned)
}

/// Reads a host's answer.
pub(super) fn read<T: DeserializeOwned>(value: Value) -> Result<T, Failure> {
    let read = serde_json::from_value(value);
    Ok(read.context("the host's answer is malformed; use a wisteriactl of its version")?)
}

/// Reads a host's answer to a change, whose outcome is unknown when it cannot be read.
pub(super) fn reply<T: DeserializeOwned>(value: Value) -> Result<T, Failure> {
    read(value).map_err(|e| Failure::Unknown(e.into()))
}

/// Says how to send a change again when its outcome is unknown.
pub(super) fn resend(failure: Failure, flags: &str) -> Failure {
    let advice = "the change may be in force or not; send the same one again with";
    failure.advise(|| format!("{advice} {flags}"))
}
