//! Lists the revision in force at each host, and waits until a revision is in force at all of them.
//! A revision is in force at a host once the host has applied it or a later one.

use super::change::decode;
use super::client::{Client, Server};
use super::failure::Failure;
use crate::core::document::Revision;
use crate::prelude::*;
use anyhow::anyhow;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

const PATH: &str = "/v1/revisions";
/// Time between two requests for the hosts' revisions while waiting.
const POLL_PERIOD: Span = Span::millis(200);

/// The revision in force at one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRevision {
    /// Name of the host.
    pub host: String,
    /// Its availability zone.
    #[serde(default)]
    pub zone: String,
    /// Revision in force at the host, as last reported.
    pub revision: Revision,
    /// Time since that report, in milliseconds.
    #[serde(default)]
    pub age_ms: u64,
}

/// Options of [`list`].
#[derive(Clone, Debug)]
pub struct ListOptions {
    /// Host to ask.
    pub server: Server,
}

/// Options of [`wait`].
#[derive(Clone, Debug)]
pub struct WaitOptions {
    /// Host to ask.
    pub server: Server,
    /// Revision to wait for.
    pub revision: Revision,
    /// Longest wait.
    pub timeout: Span,
}

/// Lists the revision in force at each host.
///
/// # Errors
///
/// Fails when the host cannot be reached or refuses the request.
pub async fn list(opts: &ListOptions) -> Result<Vec<HostRevision>, Failure> {
    fetch(&Client::new(&opts.server)?).await
}

/// Waits until a revision is in force at every host and returns the revision of each.
/// `on_change` is called with the hosts that are behind, each time that this list changes.
///
/// # Errors
///
/// Returns [`Failure::WaitTimeout`] with the hosts that are still behind when the time is up;
/// fails when the host cannot be reached or refuses the request.
pub async fn wait(
    opts: &WaitOptions,
    mut on_change: impl FnMut(&[HostRevision]),
) -> Result<Vec<HostRevision>, Failure> {
    let client = Client::new(&opts.server)?;
    let end = Instant::now() + opts.timeout.to_std();
    let mut reported = Vec::new();
    loop {
        let all = fetch(&client).await?;
        let behind = hosts_behind(&all, opts.revision);
        if behind.is_empty() && !all.is_empty() {
            return Ok(all);
        }
        if Instant::now() >= end {
            return Err(Failure::WaitTimeout(timeout_error(opts, &behind)));
        }
        let hosts = host_names(&behind);
        if hosts != reported {
            on_change(&behind);
            reported = hosts;
        }
        sleep(POLL_PERIOD.to_std()).await;
    }
}

async fn fetch(client: &Client) -> Result<Vec<HostRevision>, Failure> {
    decode(client.get(PATH).await?)
}

fn hosts_behind(all: &[HostRevision], revision: Revision) -> Vec<HostRevision> {
    all.iter().filter(|h| h.revision < revision).cloned().collect()
}

fn host_names(hosts: &[HostRevision]) -> Vec<String> {
    hosts.iter().map(|h| h.host.clone()).collect()
}

fn timeout_error(opts: &WaitOptions, behind: &[HostRevision]) -> anyhow::Error {
    let (revision, timeout) = (opts.revision, opts.timeout);
    let hosts: Vec<_> = behind.iter().map(|h| format!("{} ({})", h.host, h.revision)).collect();
    let hosts = if hosts.is_empty() { "any host".to_owned() } else { hosts.join(", ") };
    anyhow!("revision {revision} is not in force after {timeout} at {hosts}")
}
