//! Reads the audit trail: the hash-chained record of the changes that operators asked for.

use super::change::decode;
use super::client::{Client, Server};
use super::failure::Failure;
use crate::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::time::sleep;

/// Largest number of entries in one request.
pub const LIMIT_MAX: u32 = 1_000;
/// Time between two requests for new entries.
const POLL_PERIOD: Span = Span::secs(1);

/// One entry of the audit trail.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Sequence number.
    pub seq: u64,
    /// Time by the clock of the host that wrote the entry, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Name of the operator.
    pub operator: String,
    /// Identifier of the change.
    pub id: String,
    /// The requested change.
    pub what: Value,
    /// Revision that the change was based on, if it has one.
    #[serde(default)]
    pub base: Value,
    /// Revision that the change created, if it was accepted.
    #[serde(default)]
    pub revision: Value,
    /// Result of the change.
    pub result: Value,
    /// Hash of this entry's other fields and of the previous entry's hash.
    pub hash: String,
}

/// Options of [`read`] and [`follow`].
#[derive(Clone, Debug)]
pub struct ReadOptions {
    /// Host to ask.
    pub server: Server,
    /// Sequence number after which to begin.
    pub after: u64,
    /// Largest number of entries to read in one request.
    pub limit: u32,
}

/// Reads entries in the order of their sequence numbers, at most [`LIMIT_MAX`].
///
/// # Errors
///
/// Fails when the host cannot be reached or refuses the request.
pub async fn read(opts: &ReadOptions) -> Result<Vec<Entry>, Failure> {
    fetch(&Client::new(&opts.server)?, opts.after, opts.limit).await
}

/// Reads entries as they are written, and passes them to `on_entries` until it returns false.
///
/// # Errors
///
/// Fails when the host cannot be reached or refuses the request.
pub async fn follow(
    opts: &ReadOptions,
    mut on_entries: impl FnMut(&[Entry]) -> bool,
) -> Result<(), Failure> {
    let client = Client::new(&opts.server)?;
    let mut after = opts.after;
    loop {
        let entries = fetch(&client, after, opts.limit).await?;
        if !entries.is_empty() && !on_entries(&entries) {
            return Ok(());
        }
        match entries.last() {
            Some(last) => after = last.seq,
            None => sleep(POLL_PERIOD.to_std()).await,
        }
    }
}

async fn fetch(client: &Client, after: u64, limit: u32) -> Result<Vec<Entry>, Failure> {
    let limit = limit.min(LIMIT_MAX);
    decode(client.get(&format!("/v1/audit?after={after}&limit={limit}")).await?)
}
