//! Plumbing that knows nothing of queries.

pub mod certificate;
pub mod disk;
pub mod http;
pub mod logging;
pub mod metrics;
pub mod renewal;
pub mod secret;
pub mod stall;
pub mod tls;
