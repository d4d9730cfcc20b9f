//! Claims on the keys of non-idempotent requests: one home's ledger.
//!
//! A key is granted once. It is granted again only if its claimant has recorded that the
//! request did not run, under another claim number. Records are dropped only when the key
//! itself is refused from then on: a ticket by the time written in it, any other key
//! by a tombstone that is kept for good.

use crate::prelude::*;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Time for which an outcome is kept, in milliseconds.
pub const OUTCOME_TTL_MILLIS: u64 = 24 * 60 * 60 * 1_000;
/// Time after which a claim without outcome is said to may have run, in milliseconds.
pub const RUNNING_MAX_MILLIS: u64 = 30_000;
/// Most records kept; further keys are refused.
pub const RECORDS_MAX: usize = 100_000;
/// Most tombstones kept; further keys without a ticket are refused.
pub const TOMBSTONES_MAX: usize = 500_000;
/// Most bytes of a key.
pub const KEY_MAX_BYTES: usize = 256;
/// Most bytes of an outcome kept; a longer one is kept as "may have run".
pub const OUTCOME_MAX_BYTES: usize = 16 << 10;
/// Most bytes of all outcomes kept; further ones are kept as "may have run".
pub const OUTCOMES_MAX_BYTES: usize = 8 << 20;
/// How far ahead of the home's time a ticket may be, in milliseconds.
const SKEW_MAX_MILLIS: u64 = 60_000;
/// First part of every ticket.
const TICKET: &str = "t1";

/// What is known of a key's request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It ran, with this answer.
    Ran(#[serde(with = "serde_bytes")] Vec<u8>),
    /// It did not run and never will under this claim; the key may be claimed again.
    NotRun,
    /// It may have run.
    MayHaveRun,
}

impl Outcome {
    const fn size(&self) -> usize {
        match self {
            Self::Ran(answer) => answer.len(),
            Self::NotRun | Self::MayHaveRun => 0,
        }
    }
}

/// The answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Claim {
    /// The claimant alone may now send one attempt, once.
    Granted,
    /// The key was claimed before with the same request, and this became of it.
    Known(Outcome),
    /// The key was claimed before with the same request, which may still be running.
    Running,
}

/// A ticket: a key that names its home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Home of the key: a zone, or [`Ticket::TIER`].
    pub home: String,
    /// Epoch of that home.
    pub epoch: u64,
    /// When it was made, in milliseconds since 1970.
    pub time_ms: u64,
    /// A random number.
    pub nonce: u128,
}

impl Ticket {
    /// The home that is held by the voters of all zones.
    pub const TIER: &str = "-";

    /// Reads a key as a ticket.
    pub fn parse(key: &str) -> Option<Self> {
        let mut parts = key.split('.');
        let mut next = || parts.next();
        if next()? != TICKET {
            return None;
        }
        let ticket = Self {
            home: next()?.to_owned(),
            epoch: next()?.parse().ok()?,
            time_ms: next()?.parse().ok()?,
            nonce: u128::from_str_radix(next()?, 16).ok()?,
        };
        // Only what `Display` writes is a ticket, so that no two keys are one.
        (ticket.to_string() == key).then_some(ticket)
    }
}

impl std::fmt::Display for Ticket {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { home, epoch, time_ms, nonce } = self;
        write!(f, "{TICKET}.{home}.{epoch}.{time_ms}.{nonce:032x}")
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Held {
    digest: [u8; 32],
    nonce: u64,
    time_ms: u64,
    outcome: Option<Outcome>,
}

/// All keys of one home.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Ledger {
    held: IndexMap<String, Held>,
    tombstones: IndexSet<u128>,
    /// Bytes of all outcomes.
    bytes: usize,
}

impl Ledger {
    /// Claims a key at the home's time.
    ///
    /// # Errors
    ///
    /// Refuses keys that are too old, too long or used with another request.
    pub fn claim(
        &mut self,
        now_ms: u64,
        key: &str,
        digest: [u8; 32],
        nonce: u64,
    ) -> Result<Claim, Refusal> {
        self.expire(now_ms);
        check_age(now_ms, key)?;
        if self.tombstones.contains(&fold(key)) {
            return Err(expired_key());
        }
        if let Some(held) = self.held.get_mut(key) {
            return held.again(now_ms, digest, nonce);
        }
        let full = self.tombstones.len() >= TOMBSTONES_MAX && Ticket::parse(key).is_none();
        if full || self.held.len() >= RECORDS_MAX {
            let detail = "the home holds as many keys as it can; ask for a ticket, or wait";
            return Err(Refusal::not_run(Reason::Busy, detail));
        }
        self.held.insert(key.to_owned(), Held { digest, nonce, time_ms: now_ms, outcome: None });
        Ok(Claim::Granted)
    }

    /// Records what became of a claim.
    pub fn record(&mut self, key: &str, nonce: u64, outcome: Outcome) {
        let Some(held) = self.held.get_mut(key).filter(|h| h.nonce == nonce) else { return };
        // What ran stays so, whatever a late or doubled record says.
        if matches!(held.outcome, None | Some(Outcome::MayHaveRun)) {
            let size = outcome.size();
            let fits = size <= OUTCOME_MAX_BYTES && self.bytes + size <= OUTCOMES_MAX_BYTES;
            self.bytes += if fits { size } else { 0 };
            held.outcome = Some(if fits { outcome } else { Outcome::MayHaveRun });
        }
    }

    /// Number of keys held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Drops records past their time; the oldest stand first.
    fn expire(&mut self, now_ms: u64) {
        let old =
            |h: &Held| now_ms.saturating_sub(h.time_ms) > OUTCOME_TTL_MILLIS + SKEW_MAX_MILLIS;
        let n = self.held.values().take_while(|h| old(h)).count();
        for (key, held) in self.held.drain(..n) {
            self.bytes -= held.outcome.map_or(0, |o| o.size()).min(self.bytes);
            if Ticket::parse(&key).is_none() {
                self.tombstones.insert(fold(&key));
            }
        }
    }
}

impl Held {
    /// Answers a further claim on the key.
    fn again(&mut self, now_ms: u64, digest: [u8; 32], nonce: u64) -> Result<Claim, Refusal> {
        if self.digest != digest {
            let detail = "the key was used with another request; use a new key";
            return Err(Refusal::not_run(Reason::KeyReused, detail));
        }
        match &self.outcome {
            // The grant itself, sent again by its claimant.
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

/// Refuses tickets that are older than outcomes are kept.
fn check_age(now_ms: u64, key: &str) -> Result<(), Refusal> {
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

/// The refusal of a key whose outcome is no longer known.
pub fn expired_key() -> Refusal {
    let detail = "the key is older than outcomes are kept, so its request may have run before; \
                  this one was not run";
    Refusal::may_have_run(Reason::ExpiredKey, detail)
}

/// A key's digest, short enough to keep for good.
fn fold(key: &str) -> u128 {
    let sha = Sha256::digest(key.as_bytes());
    sha.iter().take(16).fold(0, |n, &b| (n << 8) | u128::from(b))
}
