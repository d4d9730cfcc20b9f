//! Drives a replica of the log: its journal, its clock and its messages.

mod driver;
mod store;
mod writer;

pub use driver::{Carrier, Group, Lost, Machine, View};
pub use store::{Kept, Store};
