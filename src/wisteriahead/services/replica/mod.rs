//! Runs a replica of a Raft log: connects the state machine of [`core::log`](crate::core::log) to
//! the disk, the clock and the network.

mod driver;
mod store;
mod writer;

pub use driver::{CommitError, Group, MessageSender, ReplicaStatus, StateMachine};
pub use store::{Store, StoredReplica};
