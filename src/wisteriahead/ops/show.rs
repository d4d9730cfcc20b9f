//! Requests a read-only view from a host.

use super::client::{Client, Server};
use super::failure::Failure;
use serde_json::Value;

/// A view that a host serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum View {
    /// The host, its revision and the other hosts.
    Status,
    /// The availability zones.
    Zones,
    /// The endpoints.
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
    /// View to request.
    pub view: View,
}

/// Requests a view from a host, as the JSON that the host sends.
///
/// # Errors
///
/// Fails when the host cannot be reached or refuses the request.
pub async fn show(opts: &ShowOptions) -> Result<Value, Failure> {
    Client::new(&opts.server)?.get(opts.view.path()).await
}
