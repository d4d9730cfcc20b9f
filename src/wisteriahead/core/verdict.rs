//! Outcome of a request: whether it ran, did not run, or may have run.
//!
//! Every attempt at an endpoint and every answer to a caller carries a [`Verdict`].
//! [`Verdict::NotRun`] is given only with proof: the request was never sent, or the endpoint
//! refused that attempt.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// Did not run, and will not.
    NotRun,
    /// Ran to completion.
    Ran,
    /// May have run, completely or partly.
    MayHaveRun,
}

impl Verdict {
    /// Verdict on a request whose parts ended in `self` and `other`.
    pub fn combine(self, other: Self) -> Self {
        if self == other { self } else { Self::MayHaveRun }
    }

    /// Wire name.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::MayHaveRun => "may-have-run",
        }
    }

    /// Parses a wire name.
    pub fn parse(name: &str) -> Option<Self> {
        [Self::NotRun, Self::Ran, Self::MayHaveRun].into_iter().find(|v| v.name() == name)
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Why a request was refused or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The request is malformed or exceeds a limit.
    BadRequest,
    /// No endpoint holds the collection.
    UnknownCollection,
    /// No snapshot has replicas of enough shards for the requested coverage.
    NoSnapshot,
    /// Fewer shards answered than the caller requires.
    Coverage,
    /// The deadline passed, or cannot be met.
    Deadline,
    /// The tier or the endpoint is at its concurrency limit.
    Busy,
    /// The host or endpoint is shutting down.
    Draining,
    /// The endpoint no longer holds the requested snapshot.
    WrongSnapshot,
    /// Another endpoint answered at the address.
    WrongEndpoint,
    /// The connection failed.
    Connection,
    /// The response does not match the request.
    Mismatch,
    /// The request was cancelled.
    Cancelled,
    /// Endpoints crashed while running the request.
    Quarantined,
    /// This host currently cannot claim the request's key.
    NoQuorum,
    /// Another request with the same key is running.
    InProgress,
    /// The key is past its retention, or the host that kept it has lost its state.
    ExpiredKey,
    /// The key was already used for a different request.
    KeyReused,
    /// Another change was accepted after the revision that was edited.
    Conflict,
    /// A service on this host that the request needs is not running.
    Unavailable,
    /// Internal error of the tier.
    Internal,
}

/// A refused or failed request, with a verdict that the caller may rely on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Why it was refused.
    pub reason: Reason,
    /// Description of the cause for the caller.
    pub detail: String,
}

impl Refusal {
    /// Creates a refusal of a request that did not run.
    pub fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self { verdict: Verdict::NotRun, reason, detail: detail.into() }
    }

    /// Whether the connection failed in a way that suggests the endpoint died with the request.
    pub fn suggests_death(&self) -> bool {
        self.verdict == Verdict::MayHaveRun && self.reason == Reason::Connection
    }

    /// Creates a failure of a request that may have run.
    pub fn may_have_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self { verdict: Verdict::MayHaveRun, reason, detail: detail.into() }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({:?}): {}", self.verdict, self.reason, self.detail)
    }
}

impl std::error::Error for Refusal {}
