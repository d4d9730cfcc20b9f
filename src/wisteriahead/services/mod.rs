//! The services of the daemon: thin drivers around the state machines of
//! [`core`](crate::core).
//!
//! The traits here are the borders between services. Each is published in the
//! kernel under the name given as its `NAME`.

use crate::core::document::{Document, Revision};
use crate::core::message::Topic;
use crate::core::verdict::Refusal;
use anyhow::Result;
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use tokio::sync::watch;

pub mod control;
pub mod operator;
pub mod peers;

/// Handles the messages of one topic.
pub trait Handler: Send + Sync {
    /// Handles a one-way message.
    fn receive(&self, from: &str, body: &[u8]);

    /// Answers a call; the default refuses all calls.
    ///
    /// # Errors
    ///
    /// Fails when the topic takes no calls or the call cannot be answered.
    fn answer<'a>(&'a self, from: &'a str, body: &'a [u8]) -> BoxFuture<'a, Result<Vec<u8>>> {
        let _ = (from, body);
        Box::pin(async { anyhow::bail!("this topic takes no calls") })
    }
}

/// Carries messages between the tier's own hosts.
pub trait Peers: Send + Sync {
    /// Name of this host.
    fn host(&self) -> &str;

    /// Availability zone of this host.
    fn zone(&self) -> &str;

    /// Names of the other hosts known now, without regard to their health.
    fn others(&self) -> Vec<String>;

    /// Sets the handler of a topic.
    fn handle(&self, topic: Topic, handler: Arc<dyn Handler>);

    /// Sends a one-way message; it may be lost.
    fn send(&self, to: &str, topic: Topic, body: Vec<u8>);

    /// Calls a host and waits for its answer.
    ///
    /// # Errors
    ///
    /// Fails when the host is unknown or unreachable, or refuses the call.
    fn call<'a>(
        &'a self,
        to: &'a str,
        topic: Topic,
        body: Vec<u8>,
    ) -> BoxFuture<'a, Result<Vec<u8>>>;
}

impl dyn Peers {
    /// Name in the kernel.
    pub const NAME: &'static str = "peers";
}

/// The accepted document and its revision.
#[derive(Clone, Debug, Default)]
pub struct Accepted {
    /// Revision of the document.
    pub revision: Revision,
    /// The document.
    pub document: Arc<Document>,
}

/// A change asked for by an operator.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Change {
    /// Identifier that makes a resend recognisable.
    pub id: String,
    /// Name of the operator.
    pub operator: String,
    /// Revision that the operator edited; the change is refused if another is in force.
    pub base: Revision,
    /// The new document as TOML.
    pub text: String,
}

/// Holds the operators' document and accepts changes to it.
pub trait Control: Send + Sync {
    /// The document in force at this host.
    fn watch(&self) -> watch::Receiver<Accepted>;

    /// Proposes a change and waits until it is accepted or refused.
    ///
    /// # Errors
    ///
    /// Returns a refusal whose verdict says whether the change may be accepted still.
    fn propose(&self, change: Change) -> BoxFuture<'_, Result<Revision, Refusal>>;
}

impl dyn Control {
    /// Name in the kernel.
    pub const NAME: &'static str = "control";
}

/// Shows what this host knows, for operators.
pub trait Views: Send + Sync {
    /// The view of the given name, such as `endpoints` or `zones`; none if there is no such view.
    fn view(&self, what: &str) -> Option<serde_json::Value>;
}

impl dyn Views {
    /// Name in the kernel.
    pub const NAME: &'static str = "views";
}
