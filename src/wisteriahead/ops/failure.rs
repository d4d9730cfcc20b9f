//! Reasons why an operation failed, told apart by whether the tier may have been changed.

use crate::prelude::*;
use std::fmt;

/// Why an operation failed. `wisteriactl` has an exit status for each variant.
#[derive(Debug)]
pub enum Failure {
    /// An option, file or certificate given by the operator cannot be used; nothing was sent.
    Settings(anyhow::Error),
    /// The host refused the request; nothing was changed.
    Refused(Refusal),
    /// Failed for another reason; nothing was changed.
    Failed(anyhow::Error),
    /// The outcome is unknown: the change may have been accepted.
    Unknown(anyhow::Error),
    /// The revision was not in force at every host within the time allowed.
    WaitTimeout(anyhow::Error),
}

impl Failure {
    /// Adds advice on what to do next if the change may have been accepted. This includes a refusal
    /// whose verdict does not rule out that the change ran, which becomes [`Failure::Unknown`].
    pub fn with_advice(self, advice: impl FnOnce() -> String) -> Self {
        match self {
            Self::Unknown(e) => Self::Unknown(e.context(advice())),
            Self::Refused(r) if r.verdict != Verdict::NotRun => {
                Self::Unknown(anyhow::Error::from(r).context(advice()))
            }
            other => other,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settings(e) | Self::Failed(e) | Self::Unknown(e) | Self::WaitTimeout(e) => {
                write!(f, "{e:#}")
            }
            Self::Refused(refusal) => write!(f, "refused: {}", refusal.detail),
        }
    }
}

impl std::error::Error for Failure {}

impl From<anyhow::Error> for Failure {
    fn from(e: anyhow::Error) -> Self {
        Self::Failed(e)
    }
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}
