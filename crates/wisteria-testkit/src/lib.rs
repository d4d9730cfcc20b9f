//! Test support: fake disks, a simulated cluster of log replicas, fault matrices, and tiers of real
//! processes on loopback with their keys and an HTTP client.

pub mod blocking_disk;
pub mod client;
pub mod cluster;
pub mod disk;
pub mod keys;
pub mod matrix;
pub mod process;
pub mod prop;
pub mod tier;
pub mod tier_permit;
pub mod wait;
