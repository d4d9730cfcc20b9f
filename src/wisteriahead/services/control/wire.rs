//! What hosts say to each other about the tier's state.

use crate::core::control::changes::ActiveRevision;
use crate::core::document::Revision;
use crate::core::log::{Message, Replica, Term};
use serde::{Deserialize, Serialize};

/// A zone taken out at a host that reached no quorum.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneOverride {
    /// Identifier of the change.
    pub id: String,
    /// Name of the operator.
    pub operator: String,
    /// Name of the zone.
    pub zone: String,
    /// Revision in force at the host that took the call.
    pub base: Revision,
}

/// What a host says of itself again and again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Here {
    /// Its availability zone.
    pub zone: String,
    /// Revision in force there.
    pub revision: Revision,
    /// Random identifier of its disk, if it has one.
    pub disk: Option<u64>,
    /// Name of the leader that it knows, and its term.
    pub leader: Option<(Term, String)>,
    /// Zones that it holds out until the quorum is reached.
    pub marks: Vec<ZoneOverride>,
}

/// A one-way message.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Note {
    /// A message of the log.
    Log {
        /// Name of the group.
        group: String,
        /// Number of the tier that the sender belongs to.
        tier: u64,
        /// Disk of the replica that it is for.
        to: u64,
        /// The message.
        message: Message,
    },
    /// A newer revision.
    Push(ActiveRevision),
    /// How the sender stands.
    Here(Here),
}

/// A call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Ask {
    /// Whether the host belongs to a tier.
    Hello,
    /// What is in force there, if above the given revision.
    InForce(Revision),
    /// A command for the leader of a group.
    Submit {
        /// Name of the group.
        group: String,
        /// The stamped command.
        #[serde(with = "serde_bytes")]
        command: Vec<u8>,
    },
    /// Revision in force there.
    Revision,
    /// Entries of the trail of changes.
    Audit {
        /// Number that they come after.
        after: u64,
        /// Most entries.
        limit: usize,
    },
    /// Who holds the log.
    Voters,
    /// A change of who holds the log.
    Change {
        /// Name of the host.
        host: String,
        /// Whether it is added, or taken out.
        add: bool,
    },
}

/// The answer to [`Ask::Hello`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Hello {
    /// Availability zone of the host.
    pub zone: String,
    /// Random identifier of its disk.
    pub disk: Option<u64>,
    /// Names of its settings that form the first quorum, sorted.
    pub voters: Vec<String>,
    /// The tier that it belongs to.
    pub tier: Option<Founded>,
}

/// A tier and its first voters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Founded {
    /// Random number of the tier.
    pub tier: u64,
    /// Its first voters.
    pub first: Vec<Replica>,
}

/// The answer to [`Ask::Submit`] and [`Ask::Change`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Submitted {
    /// It was committed, with this reply.
    Done(#[serde(with = "serde_bytes")] Vec<u8>),
    /// It was not appended: this host does not lead, or cannot make the change now.
    Refused(String),
    /// It was appended, and what became of it is not known.
    Unknown,
}

/// Who holds the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voters {
    /// The leader, if one is known.
    pub leader: Option<String>,
    /// Its term.
    pub term: Term,
    /// Hosts that vote.
    pub voters: Vec<String>,
    /// Hosts that catch up.
    pub learners: Vec<String>,
}
