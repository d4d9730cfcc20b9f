//! A replicated log that follows Raft, as a pure state machine without I/O.
//!
//! [`Node::step`] takes an [`Event`] and returns [`Action`]s, which the driver carries out in
//! order. A write begins with an action that carries a [`WriteId`] and is reported with
//! [`Event::Synced`] once it is durable; later actions do not wait for it. The node itself
//! holds back every message that depends on a write: it announces no term, vote or entry that a
//! power failure could undo, and a leader counts its own copy of an entry only once that copy is
//! durable. Heartbeats and their responses therefore continue while the disk is slow.
//!
//! A replica is identified by its host and the random identifier of its disk. A host that lost
//! its disk returns as a new replica. It has no vote until it has been added as a learner, has
//! caught up and has been promoted, and messages for the old replica do not reach it.

mod change;
mod durable;
mod elect;
mod entries;
mod follow;
mod lead;
mod node;
mod repair;
mod supervisor;

pub use entries::Entries;
pub use node::Node;
pub use repair::{add_voters, keep_voters, replace_disks, replace_voters, voters_tolerating};
pub use supervisor::{STATUS_MAX_AGE, Supervisor, VoterRepair};

use crate::prelude::*;
use serde::{Deserialize, Serialize};

/// Position of an entry in the log, from 1.
pub type Index = u64;
/// Raft term; has at most one leader.
pub type Term = u64;
/// Sequence number of a write; writes become durable in this order.
pub type WriteId = u64;

/// Interval between the heartbeats of a leader.
pub const HEARTBEAT: Span = Span::millis(100);
/// Minimum election timeout, and the time without contact to a quorum after which a leader steps
/// down.
pub const ELECTION_MIN: Span = Span::millis(1_000);
/// Upper bound of the random time added to [`ELECTION_MIN`].
pub const ELECTION_SPREAD: Span = Span::millis(1_000);
/// Maximum bytes of entries in one message.
pub const BATCH_MAX_BYTES: usize = 1 << 20;

/// Size limits of a replica.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum bytes of snapshot data in one message.
    pub chunk_bytes: usize,
    /// Entries kept from before a snapshot, so that a replica slightly behind needs no snapshot.
    pub kept_entries: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { chunk_bytes: 512 << 10, kept_entries: 256 }
    }
}

/// Identity of one replica of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Replica {
    /// Name of the host.
    pub host: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Random identifier of the host's disk.
    pub disk: u64,
}

/// Replicas of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Replicas that vote and count towards a quorum.
    pub voters: Vec<Replica>,
    /// Replicas that receive the log but neither vote nor count towards a quorum.
    pub learners: Vec<Replica>,
}

impl Config {
    /// Number of voters that form a majority.
    pub const fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// All voters and learners.
    pub fn all(&self) -> impl Iterator<Item = &Replica> {
        self.voters.iter().chain(&self.learners)
    }

    /// Whether `holds` is true for a quorum of the voters.
    pub fn has_quorum(&self, holds: impl Fn(&Replica) -> bool) -> bool {
        self.voters.iter().filter(|v| holds(v)).count() >= self.quorum()
    }
}

/// Content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No content; the first entry that a leader appends in its term.
    Noop,
    /// Encoded command for the replicated state machine.
    Data(#[serde(with = "serde_bytes")] Vec<u8>),
    /// Replicas of the log from this entry on.
    Config(Config),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log.
    pub index: Index,
    /// Term of the leader that appended it.
    pub term: Term,
    /// Content.
    pub payload: Payload,
}

impl Entry {
    fn bytes(&self) -> usize {
        match &self.payload {
            Payload::Data(data) => data.len(),
            Payload::Noop | Payload::Config(_) => 0,
        }
    }
}

/// Raft state that a replica keeps on disk besides the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: Term,
    /// Candidate that received this replica's vote in that term.
    pub vote: Option<Replica>,
}

/// State after an entry; replaces all entries up to that one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Position of the last entry included.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// Replicas of the log after that entry.
    pub config: Config,
    /// State of the replicated state machine, in the encoding of the driver.
    #[serde(with = "serde_bytes")]
    pub data: Vec<u8>,
}

/// Complete durable state of a replica; replaces all earlier records on disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// Term and vote.
    pub hard: HardState,
    /// Latest snapshot.
    pub snapshot: Arc<Snapshot>,
    /// Entries after the snapshot.
    pub entries: Vec<Arc<Entry>>,
}

impl Checkpoint {
    /// Checkpoint of an empty log with the given voters.
    pub fn empty(voters: Vec<Replica>) -> Self {
        let config = Config { voters, learners: Vec::new() };
        let snapshot = Arc::new(Snapshot { config, ..Snapshot::default() });
        Self { hard: HardState::default(), snapshot, entries: Vec::new() }
    }
}

/// Record in the journal on disk; an entry replaces all entries from its position on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Term and vote.
    Hard(HardState),
    /// Log entry.
    Entry(Arc<Entry>),
}

/// Message between replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Term of the sender; in a pre-vote, the term that the candidate would start.
    pub term: Term,
    /// Sender.
    pub from: Replica,
    /// Content.
    pub body: Body,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Vote request (Raft's `RequestVote`).
    Ask {
        /// Whether this is a pre-vote, which asks if the vote would be granted and commits to
        /// nothing.
        pre: bool,
        /// Position of the last entry of the sender's log.
        index: Index,
        /// Term of that entry.
        last: Term,
    },
    /// Response to [`Body::Ask`].
    Vote {
        /// Whether the request was a pre-vote.
        pre: bool,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Entries from the leader, or a heartbeat without any (Raft's `AppendEntries`).
    Append {
        /// Position of the entry before the first one.
        prev: Index,
        /// Term of the entry at `prev`.
        prev_term: Term,
        /// Entries after `prev`.
        entries: Vec<Arc<Entry>>,
        /// Last position that the leader has committed.
        commit: Index,
    },
    /// Response to [`Body::Append`] and to the last [`Body::Chunk`] of a snapshot.
    Appended {
        /// Whether the logs match up to `index`; if not, they match at most up to `index`.
        matched: bool,
        /// Last position that matches and is durable; without a match, the last that may match.
        index: Index,
    },
    /// Part of a snapshot (Raft's `InstallSnapshot`).
    Chunk {
        /// Position of the last entry in the snapshot.
        index: Index,
        /// Term of that entry.
        last: Term,
        /// Replicas of the log after that entry.
        config: Config,
        /// Offset of this part in the snapshot data, in bytes.
        offset: u64,
        /// Size of the whole snapshot data, in bytes.
        total: u64,
        /// Data of this part.
        #[serde(with = "serde_bytes")]
        data: Vec<u8>,
    },
    /// Request for the next part of a snapshot.
    More {
        /// Position of the last entry in the snapshot.
        index: Index,
        /// Offset of the requested part, in bytes.
        offset: u64,
    },
}

/// Change of one replica in the [`Config`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Adds a replica as a learner.
    AddLearner(Replica),
    /// Makes a learner that has caught up a voter.
    Promote(Replica),
    /// Removes a voter or learner.
    Remove(Replica),
}

/// Input of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time has passed; checks timeouts.
    Tick,
    /// A message for this replica has arrived.
    Receive(Message),
    /// A client proposes a command; [`Action::Proposed`] reports where it was appended.
    Propose {
        /// Identifies the proposal in [`Action::Proposed`].
        token: u64,
        /// Encoded command.
        data: Vec<u8>,
    },
    /// A client proposes a change of the replicas; [`Action::Proposed`] reports where it was
    /// appended.
    Change {
        /// Identifies the proposal in [`Action::Proposed`].
        token: u64,
        /// Change to make.
        change: Change,
    },
    /// All writes up to this one have become durable.
    Synced(WriteId),
    /// Encoded state after the last applied entry; becomes the new snapshot.
    Compact(Vec<u8>),
}

/// Output of a node, for the driver to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Append records to the journal and report [`Event::Synced`] once they are durable.
    Persist(WriteId, Vec<Record>),
    /// Replace the journal with a checkpoint and report [`Event::Synced`] once it is durable.
    Checkpoint(WriteId, Checkpoint),
    /// Send a message; it may be lost.
    Send {
        /// Recipient.
        to: Replica,
        /// Message.
        message: Message,
    },
    /// Apply a committed entry to the replicated state machine.
    Apply(Arc<Entry>),
    /// Replace the applied state with a snapshot from the leader.
    Install(Arc<Snapshot>),
    /// Report where a proposal was appended; it is committed if the entry with this position and
    /// term is applied.
    Proposed {
        /// Token from [`Event::Propose`] or [`Event::Change`].
        token: u64,
        /// Position and term of the entry, or why there is none.
        at: Result<(Index, Term), ProposeError>,
    },
}

/// Reason why a proposal was not appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// This replica is not the leader.
    NotLeader,
    /// An earlier change of the replicas, or the leader's first entry, is not committed yet.
    ChangePending,
    /// The change does not fit the current replicas, or the learner has not caught up.
    InvalidChange,
}
