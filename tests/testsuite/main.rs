//! Tests of the library through its public interface.
#![allow(clippy::unwrap_used, missing_docs)]

mod ctl;
mod keys;
mod log;
mod operator;
mod peers;
mod storage;
mod support;
mod whole;
