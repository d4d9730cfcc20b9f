//! Types and decision logic of the tier, without input or output.
//!
//! State machines have the form `step(&mut self, now, event) -> actions`. Services pass them their
//! events, so a property test can replay any sequence of events.

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
pub mod latency;
pub mod limits;
pub mod lines;
pub mod log;
pub mod member;
pub mod message;
pub mod order;
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
