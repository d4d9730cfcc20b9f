//! The trail of changes, each entry with a hash over itself and the one before.

use crate::core::document::Revision;
use crate::core::message::encode;
use anyhow::{Result, bail};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::collections::VecDeque;

/// Most entries kept.
pub const ENTRIES_MAX: usize = 20_000;

/// What an operator asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// Name of the operator.
    pub operator: String,
    /// Identifier of the change.
    pub id: String,
    /// What was to change.
    pub what: String,
    /// Revision that it was based on.
    pub base: Revision,
}

/// One entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Number of the entry; the first has 1.
    pub seq: u64,
    /// When it was noted, in milliseconds since 1970.
    pub time_ms: u64,
    /// What was asked for.
    #[serde(flatten)]
    pub request: ChangeRequest,
    /// Revision in force afterwards.
    pub revision: Revision,
    /// `accepted`, or why it was refused.
    pub result: String,
    /// SHA-256 over the hash before and this entry without it, as hexadecimal digits.
    pub hash: String,
}

/// The trail.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct AuditTrail {
    entries: VecDeque<AuditEntry>,
    /// Number and hash of the last entry that is no longer kept.
    before: (u64, String),
}

impl AuditTrail {
    /// Adds an entry.
    pub fn append(
        &mut self,
        time_ms: u64,
        request: ChangeRequest,
        revision: Revision,
        result: String,
    ) {
        let (seq, before) = self.last();
        let mut entry =
            AuditEntry { seq: seq + 1, time_ms, request, revision, result, hash: String::new() };
        entry.hash = hash(before, &entry);
        self.entries.push_back(entry);
        if self.entries.len() > ENTRIES_MAX
            && let Some(old) = self.entries.pop_front()
        {
            self.before = (old.seq, old.hash);
        }
    }

    /// At most `limit` entries after the one with number `seq`.
    pub fn after(&self, seq: u64, limit: usize) -> Vec<AuditEntry> {
        self.entries.iter().filter(|e| e.seq > seq).take(limit).cloned().collect()
    }

    /// The first entry of a change of the document or of a zone.
    pub fn find(&self, id: &str) -> Option<&AuditEntry> {
        // Changes of the voters are noted under their identifiers, not decided by them.
        self.entries.iter().find(|e| e.request.id == id && !e.request.what.starts_with("voters "))
    }

    /// Checks that every entry follows from the one before.
    ///
    /// # Errors
    ///
    /// Fails with the number of the first entry that does not.
    pub fn verify(&self) -> Result<()> {
        verify(&self.before, self.entries.iter())
    }

    fn last(&self) -> (u64, &str) {
        let last = self.entries.back().map(|e| (e.seq, e.hash.as_str()));
        last.unwrap_or((self.before.0, &self.before.1))
    }
}

/// Checks that entries follow from the given number and hash, and from each other.
///
/// # Errors
///
/// Fails with the number of the first entry that does not.
pub fn verify<'a>(
    before: &(u64, String),
    entries: impl IntoIterator<Item = &'a AuditEntry>,
) -> Result<()> {
    let (mut seq, mut last) = (before.0, before.1.as_str());
    for entry in entries {
        if entry.seq != seq + 1 || entry.hash != hash(last, entry) {
            bail!("the audit trail was altered at entry {}", entry.seq);
        }
        (seq, last) = (entry.seq, &entry.hash);
    }
    Ok(())
}

fn hash(before: &str, entry: &AuditEntry) -> String {
    let AuditEntry { seq, time_ms, request, revision, result, .. } = entry;
    let mut sha = Sha256::new();
    sha.update(encode(&(before, seq, time_ms, request, revision, result)));
    hex::encode(sha.finalize())
}
