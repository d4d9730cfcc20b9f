//! Utilities for storage, TLS, HTTP, logging and metrics; they know nothing of queries.

pub mod certificate;
pub mod clock;
pub mod disk;
pub mod http;
pub mod logging;
pub mod metrics;
pub mod renewal;
pub mod secret;
pub mod tls;
pub mod work;
pub mod write_timeout;
