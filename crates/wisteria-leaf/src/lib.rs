//! Stand-in endpoints (leaves) for tests and measurements; not part of a release.
//!
//! A process runs many leaves. Each leaf has its own listener, execution slots, connection limit
//! and cold start, announces itself to the entry hosts and serves `POST /v1/run` as docs/API.md
//! specifies. The leaves of a process share an execution log, in which a test can count what really
//! ran, and a control port that injects faults.

mod announce;
mod control;
mod executions;
mod faults;
mod group;
mod hits;
mod latency;
mod leaf;
mod message;
mod profile;
pub mod program;
mod run;
mod server;
mod settings;

pub use crate::announce::{Announcement, Holding, State};
pub use crate::executions::{Counters, Execution, Executions, Outcome};
pub use crate::faults::{Fault, Kind, Target};
pub use crate::group::Group;
pub use crate::hits::{HITS_PER_SHARD, Hit, shard_hits};
pub use crate::latency::Latency;
pub use crate::leaf::Leaf;
pub use crate::profile::Profile;
pub use crate::settings::{Settings, settings};
