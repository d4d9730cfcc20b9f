//! Plumbing that knows nothing of queries.
