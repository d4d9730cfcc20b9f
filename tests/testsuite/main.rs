//! Tests of the library through its public interface.
#![allow(clippy::unwrap_used, missing_docs)]

mod control;
mod ctl;
mod ctl_changes;
mod ctl_views;
mod fleet;
mod hedge;
mod keys;
mod log;
mod operator;
mod peers;
mod props;
mod query;
mod renewal;
mod scripted;
mod settings;
mod storage;
mod support;
mod transport;
mod whole;
