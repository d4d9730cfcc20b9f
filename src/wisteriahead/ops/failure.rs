//! Why an operation did not do what it was asked.

use crate::prelude::*;
use std::fmt;

/// Why an operation did not do what it was asked.
#[derive(Debug)]
pub enum Failure {
    /// The settings cannot be used.
    Settings(anyhow::Error),
    /// The host refused it; nothing was changed.
    Refused(Refusal),
    /// It failed for another cause; nothing was changed.
    Failed(anyhow::Error),
    /// The change may have been accepted or not.
    Unknown(anyhow::Error),
    /// The revision was not in force everywhere in the time allowed.
    Late(anyhow::Error),
}

impl Failure {
    /// Adds what is to be done next when the outcome is unknown.
    pub fn advise(self, advice: impl FnOnce() -> String) -> Self {
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
            Self::Settings(e) | Self::Failed(e) | Self::Unknown(e) | Self::Late(e) => {
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
