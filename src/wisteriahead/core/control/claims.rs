//! Claims on the idempotency keys of non-idempotent requests: the records of one home.
//!
//! A key is granted to one claim. It is granted again only after its claimant has recorded that
//! the request did not run, and then under another claim number. A record is dropped only if its
//! key is refused from then on: a ticket because of the time written in it, any other key because
//! a tombstone is kept for good.

use crate::prelude::*;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Minimum time for which an outcome is kept, in milliseconds.
pub const OUTCOME_TTL_MILLIS: u64 = 24 * 60 * 60 * 1_000;
/// Time after which a claim without an outcome is reported as `MayHaveRun`, in milliseconds.
pub const RUNNING_MAX_MILLIS: u64 = 30_000;
/// Maximum number of records; further keys are refused.
pub const RECORDS_MAX: usize = 100_000;
/// Maximum number of tombstones; beyond it, new keys other than tickets are refused.
pub const TOMBSTONES_MAX: usize = 500_000;
/// Maximum length of a key, in bytes.
pub const KEY_MAX_BYTES: usize = 256;
/// Maximum size of an outcome, in bytes; a larger one is stored as `MayHaveRun`.
pub const OUTCOME_MAX_BYTES: usize = 16 << 10;
/// Maximum size of all outcomes, in bytes; further ones are stored as `MayHaveRun`.
pub const OUTCOMES_MAX_BYTES: usize = 8 << 20;
/// Clock skew by which a ticket's time may be ahead of the home's, in milliseconds.
const SKEW_MAX_MILLIS: u64 = 60_000;
/// Prefix of every ticket, with the version of the format.
const TICKET_PREFIX: &str = "t1";

/// The known outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It ran, with this response.
    Ran(#[serde(with = "serde_bytes")] Vec<u8>),
    /// It did not run and will not run under this claim; the key may be claimed again.
    NotRun,
    /// It may have run.
    MayHaveRun,
}

impl Outcome {
    const fn size(&self) -> usize {
        match self {
            Self::Ran(response) => response.len(),
            Self::NotRun | Self::MayHaveRun => 0,
        }
    }
}

/// The response to a claim on a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Claim {
    /// This claimant, and no other, may send the request once.
    Granted,
    /// The key was claimed before for the same request, which had this outcome.
    Known(Outcome),
    /// The key was claimed before for the same request, which may still be running.
    Running,
}

/// A ticket: a key issued by the tier that names its home, its epoch and its time of issue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Home of the key: the name of a zone, or [`Ticket::TIER`].
    pub home: String,
    /// Epoch of that home.
    pub epoch: u64,
    /// Time of issue, in milliseconds since 1970.
    pub time_ms: u64,
    /// Random number that makes the ticket unique.
    pub nonce: u128,
}

impl Ticket {
    /// Name of the tier-wide home, kept by the voters of all zones.
    pub const TIER: &str = "-";

    /// Parses a key as a ticket; `None` for any other key.
    pub fn parse(key: &str) -> Option<Self> {
        let mut parts = key.split('.');
        let mut next = || parts.next();
        if next()? != TICKET_PREFIX {
            return None;
        }
        let ticket = Self {
            home: next()?.to_owned(),
            epoch: next()?.parse().ok()?,
            time_ms: next()?.parse().ok()?,
            nonce: u128::from_str_radix(next()?, 16).ok()?,
        };
        // Only the canonical form, as `Display` writes it, is a ticket: no two keys may parse as
        // the same ticket.
        (ticket.to_string() == key).then_some(ticket)
    }
}

impl std::fmt::Display for Ticket {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { home, epoch, time_ms, nonce } = self;
        write!(f, "{TICKET_PREFIX}.{home}.{epoch}.{time_ms}.{nonce:032x}")
    }
}

/// The claims made on a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    /// Digest of the request.
    digest: [u8; 32],
    /// Number of the claim granted last.
    nonce: u64,
    /// Time of the first claim.
    time_ms: u64,
    /// Outcome of the claim granted last, once it is recorded.
    outcome: Option<Outcome>,
}

/// The claims on all keys of one home.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Ledger {
    /// Records by key, in the order of their first claim.
    #[serde(rename = "held")]
    records: IndexMap<String, Record>,
    /// Digests of dropped keys that are not tickets.
    tombstones: IndexSet<u128>,
    /// Size of all outcomes, in bytes.
    bytes: usize,
}

impl Ledger {
    /// Claims a key at the home's time.
    ///
    /// # Errors
    ///
    /// Refuses invalid or expired keys, keys used with another request, and new keys when full.
    pub fn claim(
        &mut self,
        now_ms: u64,
        key: &str,
        digest: [u8; 32],
        nonce: u64,
    ) -> Result<Claim, Refusal> {
        self.expire(now_ms);
        check_key(now_ms, key)?;
        if self.tombstones.contains(&key_digest(key)) {
            return Err(expired_key());
        }
        if let Some(record) = self.records.get_mut(key) {
            return record.reclaim(now_ms, digest, nonce);
        }
        let full = self.tombstones.len() >= TOMBSTONES_MAX && Ticket::parse(key).is_none();
        if full || self.records.len() >= RECORDS_MAX {
            let detail = "the home holds as many keys as it can; ask for a ticket, or wait";
            return Err(Refusal::not_run(Reason::Busy, detail));
        }
        self.records
            .insert(key.to_owned(), Record { digest, nonce, time_ms: now_ms, outcome: None });
        Ok(Claim::Granted)
    }

    /// Records the outcome of a claim.
    pub fn record(&mut self, key: &str, nonce: u64, outcome: Outcome) {
        let Some(record) = self.records.get_mut(key).filter(|r| r.nonce == nonce) else { return };
        // `Ran` and `NotRun` are final: a late or duplicate command does not overwrite them.
        if matches!(record.outcome, None | Some(Outcome::MayHaveRun)) {
            let size = outcome.size();
            let fits = size <= OUTCOME_MAX_BYTES && self.bytes + size <= OUTCOMES_MAX_BYTES;
            self.bytes += if fits { size } else { 0 };
            record.outcome = Some(if fits { outcome } else { Outcome::MayHaveRun });
        }
    }

    /// Number of keys on record.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no key is on record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Drops expired records. Insertion order is by time, so only a prefix can be expired.
    fn expire(&mut self, now_ms: u64) {
        let old =
            |r: &Record| now_ms.saturating_sub(r.time_ms) > OUTCOME_TTL_MILLIS + SKEW_MAX_MILLIS;
        let n = self.records.values().take_while(|r| old(r)).count();
        for (key, record) in self.records.drain(..n) {
            self.bytes -= record.outcome.map_or(0, |o| o.size()).min(self.bytes);
            if Ticket::parse(&key).is_none() {
                self.tombstones.insert(key_digest(&key));
            }
        }
    }
}

impl Record {
    /// Responds to another claim on a key already on record.
    fn reclaim(&mut self, now_ms: u64, digest: [u8; 32], nonce: u64) -> Result<Claim, Refusal> {
        if self.digest != digest {
            let detail = "the key was used with another request; use a new key";
            return Err(Refusal::not_run(Reason::KeyReused, detail));
        }
        match &self.outcome {
            // The granted claim itself, resent by its claimant.
            None if self.nonce == nonce => Ok(Claim::Granted),
            None if now_ms.saturating_sub(self.time_ms) > RUNNING_MAX_MILLIS => {
                Ok(Claim::Known(Outcome::MayHaveRun))
            }
            None => Ok(Claim::Running),
            Some(Outcome::NotRun) if self.nonce != nonce => {
                (self.nonce, self.outcome) = (nonce, None);
                Ok(Claim::Granted)
            }
            Some(outcome) => Ok(Claim::Known(outcome.clone())),
        }
    }
}

/// Refuses keys of an invalid length, and tickets that are expired or from the future.
fn check_key(now_ms: u64, key: &str) -> Result<(), Refusal> {
    if key.is_empty() || key.len() > KEY_MAX_BYTES {
        let detail = format!("a key has 1 to {KEY_MAX_BYTES} bytes");
        return Err(Refusal::not_run(Reason::BadRequest, detail));
    }
    let Some(ticket) = Ticket::parse(key) else { return Ok(()) };
    if ticket.time_ms > now_ms.saturating_add(SKEW_MAX_MILLIS) {
        let detail = "the ticket is of a time to come; ask for a ticket, do not make one";
        return Err(Refusal::not_run(Reason::BadRequest, detail));
    }
    if now_ms.saturating_sub(ticket.time_ms) > OUTCOME_TTL_MILLIS {
        return Err(expired_key());
    }
    Ok(())
}

/// The refusal of a key so old that its outcome is no longer known.
pub fn expired_key() -> Refusal {
    let detail = "the key is older than outcomes are kept, so its request may have run before; \
                  this one was not run";
    Refusal::may_have_run(Reason::ExpiredKey, detail)
}

/// A 128-bit digest of a key, short enough to be kept for good.
fn key_digest(key: &str) -> u128 {
    let sha = Sha256::digest(key.as_bytes());
    sha.iter().take(16).fold(0, |n, &b| (n << 8) | u128::from(b))
}
