//! Why an operation did not do what it was asked.

use crate::prelude::*;
use std::fmt;

/// Why an operation did not do what it was asked.
#[derive(Debug)]
pub enum Failure {
    /// The settings cannot be used.
    Settings(anyhow::Error),
    /// The host refused it.
    Refused(Refusal),
    /// It failed for another cause.
    Failed(anyhow::Error),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settings(e) | Self::Failed(e) => write!(f, "{e:#}"),
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
