//! Tests of the library through its public interface.
#![allow(clippy::unwrap_used, missing_docs)]

mod admission;
mod ctl;
mod fleet;
mod hedge;
mod keys;
mod operator;
mod peers;
mod props;
mod query;
mod support;
mod transport;
mod whole;
