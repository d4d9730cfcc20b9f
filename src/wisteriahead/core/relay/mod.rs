//! Decisions of a host that relays requests: the budget of extra attempts, the rate to endpoints
//! in cold start, which endpoints and zones to avoid, which to connect to early, through which hosts
//! to send, when to switch plans, and what to take before a stop.
//!
//! The budget and the rate are limits on the sum over all hosts. They hold without coordination:
//! each host keeps to its own share, and the shares add up to less than the whole.

pub mod cold;
pub mod cover;
pub mod early;
pub mod flush;
pub mod groups;
pub mod notices;
pub mod plan_switch;
pub mod rate;
pub mod remote;
pub mod retry_budget;
pub mod stale_address;
pub mod stop;
pub mod timing;
pub mod zones;
