//! Plumbing that knows nothing of queries.
pub mod tls;
