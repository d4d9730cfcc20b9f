//! Messages between hosts about the tier's state.

use crate::core::control::changes::ActiveRevision;
use crate::core::control::plan_change::RevisionChange;
use crate::core::document::Revision;
use crate::core::log::{Message, Replica, Term};
use serde::{Deserialize, Serialize};

/// Local override that takes a zone out at a host that reached no quorum.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneOverride {
    /// Identifier of the change.
    pub id: String,
    /// Name of the operator.
    pub operator: String,
    /// Name of the zone.
    pub zone: String,
    /// Revision in force at the host that received the operator's call.
    pub base: Revision,
}

/// Status that a host sends periodically.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostStatus {
    /// Availability zone of the sender.
    pub zone: String,
    /// Revision in force at the sender.
    pub revision: Revision,
    /// Random identifier of the sender's disk, if it has one and its replica runs.
    pub disk: Option<u64>,
    /// Term and name of the leader that the sender knows.
    pub leader: Option<(Term, String)>,
    /// Zones taken out locally at the sender, each until the log has accepted or refused the change.
    pub marks: Vec<ZoneOverride>,
    /// Newest committed revision, if the sender leads; older releases omit the field.
    #[serde(default)]
    pub newest: Option<Revision>,
}

/// One-way message.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Notification {
    /// Raft message between replicas.
    Log {
        /// Name of the group.
        group: String,
        /// Identifier of the tier that the sender belongs to.
        tier: u64,
        /// Disk of the receiving replica.
        to: u64,
        /// The message.
        message: Message,
    },
    /// Revision in force at the sender, for a host with an older one.
    Push(ActiveRevision),
    /// What differs from an older revision, for hosts that have that one; others ask for the whole. Older
    /// releases do not know it and drop the message.
    Change(Box<RevisionChange>),
    /// Status of the sender.
    Here(HostStatus),
}

/// Call to another host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// Gets what a host needs to join or create a tier, [`Hello`].
    Hello,
    /// Gets the document in force if its revision is above the given one.
    InForce(Revision),
    /// Submits a command to the leader of a group.
    Submit {
        /// Name of the group.
        group: String,
        /// Encoded [`StampedCommand`](crate::core::control::StampedCommand).
        #[serde(with = "serde_bytes")]
        command: Vec<u8>,
    },
    /// Gets the revision in force.
    Revision,
    /// Gets entries of the audit log.
    Audit {
        /// Number of the entry before the first one.
        after: u64,
        /// Maximum number of entries.
        limit: usize,
    },
    /// Gets the replicas of the log, [`Voters`].
    Voters,
    /// Adds or removes a replica of the log.
    Change {
        /// Name of the host.
        host: String,
        /// Whether the host is added; otherwise it is removed.
        add: bool,
    },
}

/// Answer to [`Request::Hello`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Hello {
    /// Availability zone of the host.
    pub zone: String,
    /// Random identifier of its disk, if it has one.
    pub disk: Option<u64>,
    /// Initial voters of a new tier according to its settings: names, sorted.
    pub voters: Vec<String>,
    /// Tier that it belongs to.
    pub tier: Option<TierInfo>,
}

/// Identity of a tier.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TierInfo {
    /// Random identifier of the tier.
    pub tier: u64,
    /// Initial voters of the tier.
    pub first: Vec<Replica>,
}

/// Answer to [`Request::Submit`] and [`Request::Change`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum SubmitResult {
    /// Committed, with this reply.
    Done(#[serde(with = "serde_bytes")] Vec<u8>),
    /// Not appended: the host is not the leader, or cannot make the change now.
    Refused(String),
    /// Possibly appended; the outcome is unknown.
    Unknown,
}

/// Replicas of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voters {
    /// Name of the leader, if known.
    pub leader: Option<String>,
    /// Current term.
    pub term: Term,
    /// Names of the hosts that vote.
    pub voters: Vec<String>,
    /// Names of the hosts that receive the log without a vote.
    pub learners: Vec<String>,
}
