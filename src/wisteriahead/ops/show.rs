//! Shows what a host knows.

use super::client::{Client, Server};
use super::failure::Failure;
use serde_json::Value;

/// View to show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum View {
    /// The host itself.
    Status,
    /// Availability zones.
    Zones,
    /// Endpoints.
    Endpoints,
}

impl View {
    const fn path(self) -> &'static str {
        match self {
            Self::Status => "/v1/status",
            Self::Zones => "/v1/zones",
            Self::Endpoints => "/v1/endpoints",
        }
    }
}

/// Options of [`show`].
#[derive(Clone, Debug)]
pub struct ShowOptions {
    /// Host to ask.
    pub server: Server,
    /// View to show.
    pub view: View,
}

/// Asks a host for one of its views.
///
/// # Errors
///
/// Fails when the host cannot be reached or refuses.
pub async fn show(opts: &ShowOptions) -> Result<Value, Failure> {
    Client::new(&opts.server)?.get(opts.view.path()).await
}
