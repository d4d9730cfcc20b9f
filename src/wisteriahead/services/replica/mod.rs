//! Drives a replica of the log: its journal, its clock and its messages.

mod store;

pub use store::{Kept, Store};
