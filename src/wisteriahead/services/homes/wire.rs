//! Messages between hosts about homes.

use crate::core::control::homes::HomeEpoch;
use crate::core::log::{Message, Replica};
use serde::{Deserialize, Serialize};

/// A one-way message between the replicas of an epoch.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GroupMessage {
    /// Identifier of the epoch.
    pub epoch: u64,
    /// Identifier of the recipient's disk.
    pub to: u64,
    /// Message of the replicated log.
    pub message: Message,
}

/// A call to another host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum HomeCall {
    /// Asks for the host's replica and the known epochs of its zone's home; answered by
    /// [`HelloReply`].
    Hello,
    /// Proposes a command to the leader of an epoch's replicas; answered by [`SubmitReply`].
    Submit {
        /// Identifier of the epoch.
        epoch: u64,
        /// Encoded [`StampedCommand`](crate::core::control::StampedCommand).
        #[serde(with = "serde_bytes")]
        command: Vec<u8>,
    },
}

/// The answer to [`HomeCall::Hello`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct HelloReply {
    /// Identity of the host as a replica, if it has a disk.
    pub me: Option<Replica>,
    /// Known epochs of the home of the host's zone, oldest first.
    pub homes: Vec<HomeEpoch>,
}

/// The answer to [`HomeCall::Submit`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum SubmitReply {
    /// The command was applied; contains the encoded reply.
    Done(#[serde(with = "serde_bytes")] Vec<u8>),
    /// The command was not appended, as the host is not the leader; contains the leader if known.
    Elsewhere(Option<String>),
    /// The command may have been appended, and may or may not be applied.
    Unknown,
}
