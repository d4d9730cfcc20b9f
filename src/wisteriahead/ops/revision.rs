//! Shows which revision is in force at each host, and waits for one.

use super::change::read;
use super::client::{Client, Server};
use super::failure::Failure;
use crate::core::document::Revision;
use crate::prelude::*;
use anyhow::anyhow;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

const PATH: &str = "/v1/revisions";
/// Wait between two looks at the hosts' revisions.
const LOOK_PERIOD: Span = Span::millis(200);

/// The revision in force at one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// Name of the host.
    pub host: String,
    /// Its availability zone.
    #[serde(default)]
    pub zone: String,
    /// Revision in force there, as last heard.
    pub revision: Revision,
    /// Time since it was heard of, in milliseconds.
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
/// Fails when the host cannot be reached or refuses.
pub async fn list(opts: &ListOptions) -> Result<Vec<InForce>, Failure> {
    fetch(&Client::new(&opts.server)?).await
}

/// Waits until a revision is in force at every host and returns what is in force there.
/// `watch` is told the hosts where it is not, each time that they change.
///
/// # Errors
///
/// Returns [`Failure::Late`] with the hosts where it is not in force when the time is up;
/// fails when the host cannot be reached or refuses.
pub async fn wait(
    opts: &WaitOptions,
    mut watch: impl FnMut(&[InForce]),
) -> Result<Vec<InForce>, Failure> {
    let client = Client::new(&opts.server)?;
    let end = Instant::now() + opts.timeout.to_std();
    let mut told = Vec::new();
    loop {
        let all = fetch(&client).await?;
        let late = behind(&all, opts.revision);
        if late.is_empty() && !all.is_empty() {
            return Ok(all);
        }
        if Instant::now() >= end {
            return Err(Failure::Late(overdue(opts, &late)));
        }
        let hosts = names(&late);
        if hosts != told {
            watch(&late);
            told = hosts;
        }
        sleep(LOOK_PERIOD.to_std()).await;
    }
}

async fn fetch(client: &Client) -> Result<Vec<InForce>, Failure> {
    read(client.get(PATH).await?)
}

fn behind(all: &[InForce], revision: Revision) -> Vec<InForce> {
    all.iter().filter(|h| h.revision < revision).cloned().collect()
}

fn names(hosts: &[InForce]) -> Vec<String> {
    hosts.iter().map(|h| h.host.clone()).collect()
}

fn overdue(opts: &WaitOptions, late: &[InForce]) -> anyhow::Error {
    let (revision, timeout) = (opts.revision, opts.timeout);
    let hosts: Vec<_> = late.iter().map(|h| format!("{} ({})", h.host, h.revision)).collect();
    let hosts = if hosts.is_empty() { "any host".to_owned() } else { hosts.join(", ") };
    anyhow!("revision {revision} is not in force after {timeout} at {hosts}")
}
