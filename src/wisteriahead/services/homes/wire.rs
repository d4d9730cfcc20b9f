//! What hosts say to each other about homes.

use crate::core::control::homes::HomeEpoch;
use crate::core::log::{Message, Replica};
use serde::{Deserialize, Serialize};

/// A one-way message of a home's group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Note {
    /// Epoch of the home.
    pub epoch: u64,
    /// Disk of the replica that it is for.
    pub to: u64,
    /// The message.
    pub message: Message,
}

/// A call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Ask {
    /// Which disk the host has, and which epochs of its zone's home it knows.
    Hello,
    /// A command for the leader of an epoch's group.
    Submit {
        /// The epoch.
        epoch: u64,
        /// The stamped command.
        #[serde(with = "serde_bytes")]
        command: Vec<u8>,
    },
}

/// The answer to [`Ask::Hello`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Hello {
    /// The replica that the host is, if it has a disk.
    pub me: Option<Replica>,
    /// Epochs of its zone's home that it knows, oldest first.
    pub homes: Vec<HomeEpoch>,
}

/// The answer to [`Ask::Submit`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Submitted {
    /// It was applied, with this reply.
    Done(#[serde(with = "serde_bytes")] Vec<u8>),
    /// It was not appended: the host does not lead. This one does, as far as it knows.
    Elsewhere(Option<String>),
    /// It was appended, and what became of it is not known.
    Unknown,
}
