//! Limits on what each host sends while it relays requests: extra attempts at a service, request
//! rates to endpoints in cold start, and the health of zones.
//!
//! The limits hold for the sum over all hosts without coordination: each host keeps to its own
//! share, and the shares add up to less than the whole.

pub mod plan_switch;
pub mod rate;
pub mod retry_budget;
pub mod stale_address;
pub mod zones;
