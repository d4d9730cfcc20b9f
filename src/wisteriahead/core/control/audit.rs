//! The audit trail of operator changes, a hash chain: each entry's hash covers the entry and the
//! hash of its predecessor, so that altered or missing entries are detected.

use crate::core::document::Revision;
use crate::core::message::encode;
use anyhow::{Result, bail};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::collections::VecDeque;

/// Maximum number of entries kept; the oldest are dropped first.
pub const ENTRIES_MAX: usize = 20_000;

/// A change as an operator requested it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// Name of the operator.
    pub operator: String,
    /// Identifier of the change.
    pub id: String,
    /// Target of the change and the action on it, such as `zone a out`.
    pub what: String,
    /// Revision that the change is based on.
    pub base: Revision,
}

/// One entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Sequence number, starting at 1.
    pub seq: u64,
    /// Time at which the entry was appended, in milliseconds since 1970.
    pub time_ms: u64,
    /// The requested change.
    #[serde(flatten)]
    pub request: ChangeRequest,
    /// Revision in force afterwards.
    pub revision: Revision,
    /// `accepted`, or the reason for the refusal.
    pub result: String,
    /// SHA-256 of the previous hash and all other fields of this entry, in hexadecimal.
    pub hash: String,
}

/// The audit trail.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct AuditTrail {
    entries: VecDeque<AuditEntry>,
    /// Sequence number and hash of the last dropped entry; the chain starts from them.
    before: (u64, String),
}

impl AuditTrail {
    /// Appends an entry; drops the oldest one beyond [`ENTRIES_MAX`].
    pub fn append(
        &mut self,
        time_ms: u64,
        request: ChangeRequest,
        revision: Revision,
        result: String,
    ) {
        let (seq, prev) = self.last();
        let mut entry =
            AuditEntry { seq: seq + 1, time_ms, request, revision, result, hash: String::new() };
        entry.hash = hash(prev, &entry);
        self.entries.push_back(entry);
        if self.entries.len() > ENTRIES_MAX
            && let Some(old) = self.entries.pop_front()
        {
            self.before = (old.seq, old.hash);
        }
    }

    /// Up to `limit` entries with a sequence number above `seq`.
    pub fn after(&self, seq: u64, limit: usize) -> Vec<AuditEntry> {
        self.entries.iter().filter(|e| e.seq > seq).take(limit).cloned().collect()
    }

    /// The first entry with a change's identifier, other than changes of voters.
    pub fn find(&self, id: &str) -> Option<&AuditEntry> {
        // Changes of voters are recorded with their identifiers but not deduplicated by them.
        self.entries.iter().find(|e| e.request.id == id && !e.request.what.starts_with("voters "))
    }

    /// Verifies the hash chain over all entries kept.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first entry that breaks the chain.
    pub fn verify(&self) -> Result<()> {
        verify(&self.before, self.entries.iter())
    }

    fn last(&self) -> (u64, &str) {
        let last = self.entries.back().map(|e| (e.seq, e.hash.as_str()));
        last.unwrap_or((self.before.0, &self.before.1))
    }
}

/// Verifies that entries continue the chain from the given sequence number and hash.
///
/// # Errors
///
/// Returns an error that names the first entry that breaks the chain.
pub fn verify<'a>(
    before: &(u64, String),
    entries: impl IntoIterator<Item = &'a AuditEntry>,
) -> Result<()> {
    let (mut seq, mut prev) = (before.0, before.1.as_str());
    for entry in entries {
        if entry.seq != seq + 1 || entry.hash != hash(prev, entry) {
            bail!("the audit trail was altered at entry {}", entry.seq);
        }
        (seq, prev) = (entry.seq, &entry.hash);
    }
    Ok(())
}

fn hash(prev: &str, entry: &AuditEntry) -> String {
    let AuditEntry { seq, time_ms, request, revision, result, .. } = entry;
    let mut sha = Sha256::new();
    sha.update(encode(&(prev, seq, time_ms, request, revision, result)));
    hex::encode(sha.finalize())
}
