//! Data types, and the decisions of the tier as pure state machines.
//!
//! State machines have the form `step(&mut self, now, event) -> actions` and do no I/O. The
//! services feed them events and carry out their actions, so a property test can replay any
//! sequence of events.

pub mod admission;
pub mod budget;
pub mod choice;
pub mod control;
pub mod digest;
pub mod document;
pub mod endpoint;
pub mod gossip;
pub mod hedge;
pub mod hits;
pub mod lag;
pub mod latency;
pub mod limits;
pub mod log;
pub mod log_limiter;
pub mod member;
pub mod message;
pub mod monitors;
pub mod order;
pub mod peers;
pub mod plan;
pub mod quarantine;
pub mod query;
pub mod records;
pub mod registry;
pub mod relay;
pub mod routes;
pub mod time;
pub mod verdict;
pub mod wait_queue;
