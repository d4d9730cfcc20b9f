//! Plumbing that knows nothing of queries.

pub mod disk;
pub mod certificate;
pub mod http;
pub mod logging;
pub mod metrics;
pub mod renewal;
pub mod tls;
