//! A stand-in endpoint for tests and experiments; it is not shipped.
//!
//! One process hosts many leaves. Each leaf has its own listener, slots, connection limit and
//! cold start, announces itself to the entry hosts and serves `POST /v1/run` as docs/API.md says.
//! All leaves of a process share one log of executions, so that a test can count what really ran,
//! and one control port, which injects faults.

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
