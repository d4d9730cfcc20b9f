//! Builders for tests and demonstrations: keys, daemons and stand-in endpoints as
//! processes on loopback, and a small HTTP client.

pub mod blocking_disk;
pub mod client;
pub mod cluster;
pub mod disk;
pub mod keys;
pub mod matrix;
pub mod process;
pub mod prop;
pub mod seat;
pub mod tier;
pub mod wait;
