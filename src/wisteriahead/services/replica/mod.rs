//! Drives a replica of the log: its journal, its clock and its messages.

mod driver;
mod store;
mod writer;

pub use driver::{CommitError, Group, MessageSender, ReplicaStatus, StateMachine};
pub use store::{Store, StoredReplica};
