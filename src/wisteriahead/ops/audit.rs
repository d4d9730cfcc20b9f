//! Reads the audit trail.

use super::change::read as decode;
use super::client::{Client, Server};
use super::failure::Failure;
use crate::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::time::sleep;

/// Most entries asked for at once.
pub const LIMIT_MAX: u32 = 1_000;
/// Wait between two looks for new entries.
const LOOK_PERIOD: Span = Span::secs(1);

/// One entry of the audit trail.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Number of the entry.
    pub seq: u64,
    /// Time by the clock of the host that wrote it, in milliseconds since 1970.
    pub time_ms: u64,
    /// Name of the operator.
    pub operator: String,
    /// Identifier of the change.
    pub id: String,
    /// What was asked for.
    pub what: Value,
    /// Revision that was edited.
    #[serde(default)]
    pub base: Value,
    /// Revision of the change, if it was accepted.
    #[serde(default)]
    pub revision: Value,
    /// What became of it.
    pub result: Value,
    /// Hash over this entry and the one before it.
    pub hash: String,
}

/// Options of [`read`] and [`follow`].
#[derive(Clone, Debug)]
pub struct ReadOptions {
    /// Host to ask.
    pub server: Server,
    /// Number of the entry after which to begin.
    pub after: u64,
    /// Most entries to read.
    pub limit: u32,
}

/// Reads entries in their order.
///
/// # Errors
///
/// Fails when the host cannot be reached or refuses.
pub async fn read(opts: &ReadOptions) -> Result<Vec<Entry>, Failure> {
    fetch(&Client::new(&opts.server)?, opts.after, opts.limit).await
}

/// Reads entries as they are written, until `show` returns false.
///
/// # Errors
///
/// Fails when the host cannot be reached or refuses.
pub async fn follow(
    opts: &ReadOptions,
    mut show: impl FnMut(&[Entry]) -> bool,
) -> Result<(), Failure> {
    let client = Client::new(&opts.server)?;
    let mut after = opts.after;
    loop {
        let entries = fetch(&client, after, opts.limit).await?;
        if !entries.is_empty() && !show(&entries) {
            return Ok(());
        }
        match entries.last() {
            Some(last) => after = last.seq,
            None => sleep(LOOK_PERIOD.to_std()).await,
        }
    }
}

async fn fetch(client: &Client, after: u64, limit: u32) -> Result<Vec<Entry>, Failure> {
    let limit = limit.min(LIMIT_MAX);
    decode(client.get(&format!("/v1/audit?after={after}&limit={limit}")).await?)
}
