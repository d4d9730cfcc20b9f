//! Decisions on the connections between hosts: what waits for them and for how long, when they are
//! opened again, and which inbound ones are let in.

pub mod admission;
pub mod clock;
pub mod outbox;
pub mod reconnect;
pub mod silence;

use super::time::Span;

/// A one-way message that is of use for a limited time, and whose receiver learns its age.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimedMessage {
    /// Body, encoded by the topic's service.
    pub body: Vec<u8>,
    /// Time from now after which it is of no use and is dropped, here or at the receiver.
    pub useful: Span,
    /// What it does.
    pub role: Role,
}

/// What a timed message does. Numbers are unique among the requests of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Requests work.
    Work(u64),
    /// Cancels the work of this number: takes the request back if it was not sent yet. It may arrive twice, or
    /// before the request.
    Cancel(u64),
    /// Returns results.
    Reply,
}

/// Size from which a message takes the bulk connection of its host.
pub const BULK_MIN_BYTES: usize = 64 << 10;

/// One of the two connections to a host. A large message does not hold up those behind it, since they
/// take the other one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Lane {
    /// Messages and calls below [`BULK_MIN_BYTES`].
    Small,
    /// Larger ones: documents, parts of snapshots.
    Bulk,
}

impl Lane {
    /// Both lanes.
    pub const ALL: [Self; 2] = [Self::Small, Self::Bulk];

    /// Lane of a message of this size.
    pub const fn of_size(bytes: usize) -> Self {
        if bytes < BULK_MIN_BYTES { Self::Small } else { Self::Bulk }
    }
}
