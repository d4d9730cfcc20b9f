//! What became of a request: the answer to "may it have run?".
//!
//! Every attempt at an endpoint and every answer to a caller ends in a
//! [`Verdict`]. [`Verdict::NotRun`] is claimed only where it is proved: the
//! request was never sent, or the endpoint itself refused that very attempt.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Whether a request has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// It did not run, and will not.
    NotRun,
    /// It ran to its end.
    Ran,
    /// It may have run, in whole or in part.
    MayHaveRun,
}

impl Verdict {
    /// The verdict on a whole whose parts ended in `self` and `other`.
    pub fn join(self, other: Self) -> Self {
        if self == other { self } else { Self::MayHaveRun }
    }

    /// The name used on the wire.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::MayHaveRun => "may-have-run",
        }
    }

    /// The verdict with the given wire name.
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
    /// The request itself is malformed or exceeds a limit.
    BadRequest,
    /// The collection is not known to any endpoint.
    UnknownCollection,
    /// No snapshot is held by enough shards for the asked coverage.
    NoSnapshot,
    /// Fewer shards answered than the caller asked for.
    Coverage,
    /// The deadline passed, or cannot be met.
    Deadline,
    /// The tier or the endpoint is at its limit.
    Busy,
    /// The host or endpoint is shutting down.
    Draining,
    /// The endpoint no longer holds the asked snapshot.
    WrongSnapshot,
    /// Another endpoint answered at the address.
    WrongEndpoint,
    /// The connection failed.
    Connection,
    /// The response does not match the request.
    Mismatch,
    /// The request was cancelled.
    Cancelled,
    /// The request is refused because endpoints failed while running it.
    Quarantined,
    /// The claim on the request's key cannot be made here now.
    NoQuorum,
    /// Another request with the same key is running.
    InProgress,
    /// The key is older than keys are kept, or its home lost its memory.
    ExpiredKey,
    /// The key was used before with another request.
    KeyReused,
    /// Another change was accepted since the one that was edited.
    Conflict,
    /// A part of this host that the request needs does not run.
    Unavailable,
    /// An internal fault of the tier.
    Internal,
}

/// A refusal, with the verdict that a caller may rely on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Why it was refused.
    pub reason: Reason,
    /// The cause in the caller's terms.
    pub detail: String,
}

impl Refusal {
    /// A refusal of a request that did not run.
    pub fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self { verdict: Verdict::NotRun, reason, detail: detail.into() }
    }

    /// Whether the endpoint may have died with the request in flight.
    pub fn suggests_death(&self) -> bool {
        self.verdict == Verdict::MayHaveRun && self.reason == Reason::Connection
    }

    /// A failure of a request that may have run.
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
