//! A replicated log after Raft, as a pure state machine.
//!
//! [`Node`] takes events and returns actions, to be carried out in their order. A write is
//! begun by an action with a [`WriteId`] and reported by [`Event::Synced`] once it is durable;
//! the other actions do not wait for it. The node itself holds back what a loss of power
//! could take back: it promises no term, vote or entry that is not durable, and a leader
//! does not count its own copy of an entry before. So heartbeats and their answers go on
//! while a disk is slow.
//!
//! A replica is named by its host and by the random identifier of its disk. A host that
//! lost its disk comes back as another replica and has no vote until it was added, caught
//! up and was promoted; messages for the old one do not reach it.

mod durable;
mod elect;
mod entries;
mod follow;
mod lead;
mod member;
mod node;
mod repair;

pub use entries::Entries;
pub use node::Node;
pub use repair::{add_voters, replace_disks, replace_voters, voters_tolerating};

use crate::prelude::*;
use serde::{Deserialize, Serialize};

/// Position in the log; the first entry has 1.
pub type Index = u64;
/// Number of an election; at most one leader has it.
pub type Term = u64;
/// Number of a write; writes become durable in their order.
pub type WriteId = u64;

/// Time between two messages of an idle leader.
pub const HEARTBEAT: Span = Span::millis(100);
/// Shortest silence of a leader before an election, and the time in which a leader must
/// hear from a quorum.
pub const ELECTION_MIN: Span = Span::millis(1_000);
/// Random time added to [`ELECTION_MIN`].
pub const ELECTION_SPREAD: Span = Span::millis(1_000);
/// Most bytes of entries in one message.
pub const BATCH_MAX_BYTES: usize = 1 << 20;

/// Sizes that a replica works with.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of a snapshot in one message.
    pub chunk_bytes: usize,
    /// Entries kept before a snapshot for replicas that are a little behind.
    pub kept_entries: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { chunk_bytes: 512 << 10, kept_entries: 256 }
    }
}

/// One holder of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Replica {
    /// Name of the host.
    pub host: String,
    /// Its availability zone.
    pub zone: String,
    /// Random identifier of its disk.
    pub disk: u64,
}

/// Who holds the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Replicas that vote and count.
    pub voters: Vec<Replica>,
    /// Replicas that are sent the log and do not count.
    pub learners: Vec<Replica>,
}

impl Config {
    /// Votes that decide.
    pub const fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// All replicas.
    pub fn all(&self) -> impl Iterator<Item = &Replica> {
        self.voters.iter().chain(&self.learners)
    }

    /// Whether a quorum satisfies the condition.
    pub fn has_quorum(&self, holds: impl Fn(&Replica) -> bool) -> bool {
        self.voters.iter().filter(|v| holds(v)).count() >= self.quorum()
    }
}

/// What an entry carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing: the first entry of a leader.
    Noop,
    /// A command.
    Data(#[serde(with = "serde_bytes")] Vec<u8>),
    /// From here on these replicas hold the log.
    Config(Config),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its position.
    pub index: Index,
    /// Term of the leader that appended it.
    pub term: Term,
    /// What it carries.
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

/// What a replica must remember besides the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: Term,
    /// Who got this replica's vote in that term.
    pub vote: Option<Replica>,
}

/// The state after an entry, in place of all entries up to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Position of the entry.
    pub index: Index,
    /// Its term.
    pub term: Term,
    /// Who holds the log after it.
    pub config: Config,
    /// The state, encoded by its owner.
    #[serde(with = "serde_bytes")]
    pub data: Vec<u8>,
}

/// All that a replica holds at one time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// Term and vote.
    pub hard: HardState,
    /// The snapshot.
    pub snapshot: Arc<Snapshot>,
    /// The entries after it.
    pub entries: Vec<Arc<Entry>>,
}

impl Checkpoint {
    /// The base of an empty log with the given voters.
    pub fn empty(voters: Vec<Replica>) -> Self {
        let config = Config { voters, learners: Vec::new() };
        let snapshot = Arc::new(Snapshot { config, ..Snapshot::default() });
        Self { hard: HardState::default(), snapshot, entries: Vec::new() }
    }
}

/// One durable record; an entry replaces all that stood at its position and after it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Term and vote.
    Hard(HardState),
    /// An entry.
    Entry(Arc<Entry>),
}

/// One message between replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Term of the sender; of a pre-vote, the term that it would begin.
    pub term: Term,
    /// The sender.
    pub from: Replica,
    /// What it says.
    pub body: Body,
}

/// Kinds of messages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks for a vote; with `pre`, only whether it would be given.
    Ask {
        /// Whether nothing is promised yet.
        pre: bool,
        /// Last position in the sender's log.
        index: Index,
        /// Its term.
        last: Term,
    },
    /// Answers [`Body::Ask`].
    Vote {
        /// Whether the question was of a pre-vote.
        pre: bool,
        /// Whether the vote is given.
        granted: bool,
    },
    /// Entries of the leader.
    Append {
        /// Position before the entries.
        prev: Index,
        /// Its term.
        prev_term: Term,
        /// The entries.
        entries: Vec<Arc<Entry>>,
        /// Last committed position.
        commit: Index,
    },
    /// Answers [`Body::Append`] and the last [`Body::Chunk`].
    Appended {
        /// Whether the logs match up to `index`; otherwise they may match there at most.
        matched: bool,
        /// The position.
        index: Index,
    },
    /// A part of a snapshot.
    Chunk {
        /// Position of the snapshot.
        index: Index,
        /// Its term.
        last: Term,
        /// Who holds the log after it.
        config: Config,
        /// Where the part begins, in bytes.
        offset: u64,
        /// Bytes of the whole.
        total: u64,
        /// The part.
        #[serde(with = "serde_bytes")]
        data: Vec<u8>,
    },
    /// Asks for the next part of a snapshot.
    More {
        /// Position of the snapshot.
        index: Index,
        /// Where the part begins, in bytes.
        offset: u64,
    },
}

/// A change of who holds the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Adds a replica without a vote.
    AddLearner(Replica),
    /// Gives a learner that has caught up its vote.
    Promote(Replica),
    /// Takes a replica out.
    Remove(Replica),
}

/// What happens to a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message for this replica has come.
    Receive(Message),
    /// A command is to be appended; `token` returns in [`Action::Proposed`].
    Propose {
        /// Names the proposal.
        token: u64,
        /// The command.
        data: Vec<u8>,
    },
    /// The replicas are to change; `token` returns in [`Action::Proposed`].
    Change {
        /// Names the proposal.
        token: u64,
        /// The change.
        change: Change,
    },
    /// All writes up to this one are durable.
    Synced(WriteId),
    /// The state after the last applied entry, to take the place of the entries.
    Compact(Vec<u8>),
}

/// What a node wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Make records durable, then report the mark.
    Persist(WriteId, Vec<Record>),
    /// Make all that the replica holds durable, in place of what is there, then report the
    /// mark.
    Checkpoint(WriteId, Checkpoint),
    /// Send a message; it may be lost.
    Send {
        /// To whom.
        to: Replica,
        /// The message.
        message: Message,
    },
    /// Apply a committed entry.
    Apply(Arc<Entry>),
    /// Put a snapshot in place of the applied state.
    Install(Arc<Snapshot>),
    /// Where a proposal was appended; it is accepted if that entry is applied.
    Proposed {
        /// Names the proposal.
        token: u64,
        /// Position and term, or why it was not appended.
        at: Result<(Index, Term), ProposeError>,
    },
}

/// Why a proposal was not appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// This replica does not lead.
    NotLeader,
    /// A change of the replicas is not committed yet.
    ChangePending,
    /// The change fits no replica, or the learner has not caught up.
    InvalidChange,
}
