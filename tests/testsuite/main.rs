//! Tests of the library through its public interface.
#![allow(clippy::unwrap_used, missing_docs)]

mod admission;
mod bad_clients;
mod bad_input;
mod ctl;
mod ctl_changes;
mod ctl_views;
mod fleet;
mod hedge;
mod keys;
mod log;
mod member;
mod operator;
mod order_entry;
mod peers;
mod promises;
mod props;
mod quarantine;
mod query;
mod renewal;
mod scripted;
mod settings;
mod storage;
mod support;
mod transport;
mod whole;
