//! Open-loop load for experiments; it is not shipped.
//!
//! Requests arrive as a Poisson process from a seed, whether or not earlier ones are answered,
//! and each latency counts from the intended arrival. The report also reads how many executions
//! the leaves logged, to tell the extra load.

mod arrivals;
mod client;
mod orders;
mod report;
mod run;
mod settings;

pub use crate::orders::{OrderReport, run_orders};
pub use crate::report::{Ending, Quantiles, Report, Sample};
pub use crate::run::{query, run, samples, total};
pub use crate::settings::{Class, Settings, settings};
