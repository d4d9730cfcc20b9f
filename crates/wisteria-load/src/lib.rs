//! Open-loop load generator for experiments. It is not part of a release.
//!
//! Requests arrive as a seeded Poisson process, whether or not earlier ones are answered. Latency
//! is measured from the intended arrival, so that a stalled server doesn't hide the time that
//! requests waited. The report compares the executions that the leaves logged with the fewest that
//! the answers needed, which shows the extra load of hedging and retries.

mod arrivals;
mod client;
mod orders;
mod report;
mod run;
mod settings;

pub use crate::orders::{OrderReport, run_orders};
pub use crate::report::{Outcome, Quantiles, Report, Sample};
pub use crate::run::{encode_query, run_searches, send_searches, total_executions};
pub use crate::settings::{Class, Settings, settings};
