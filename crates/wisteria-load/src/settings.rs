//! Command-line flags and environment variables of the load generator.

use std::net::SocketAddr;
use std::str::FromStr;

use bpaf::Bpaf;

/// Which requests to send, where and how often.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, generate(settings))]
pub struct Settings {
    /// Entry host to send requests to, repeatable; the environment variable takes one
    #[bpaf(
        long,
        env("WISTERIA_LOAD_TARGET"),
        argument("IP:PORT"),
        some("at least one --target is needed")
    )]
    pub target: Vec<SocketAddr>,
    /// Mean requests per second
    #[bpaf(
        long,
        env("WISTERIA_LOAD_RATE"),
        argument("N"),
        fallback(50.0),
        guard(is_positive, "must be above 0 and at most 1000000")
    )]
    pub rate: f64,
    /// Length of the run in seconds
    #[bpaf(
        long,
        env("WISTERIA_LOAD_SECONDS"),
        argument("S"),
        fallback(10.0),
        guard(is_positive, "must be above 0 and at most 1000000")
    )]
    pub seconds: f64,
    /// Seed of the arrival times
    #[bpaf(long, env("WISTERIA_LOAD_SEED"), argument("N"), fallback(1))]
    pub seed: u64,
    /// Collection to search
    #[bpaf(long, env("WISTERIA_LOAD_COLLECTION"), argument("NAME"), fallback("kits".to_owned()))]
    pub collection: String,
    /// Class of callers and its relative weight, repeatable; the environment variable takes one
    #[bpaf(long, env("WISTERIA_LOAD_CLASS"), argument("NAME[:WEIGHT]"))]
    pub class: Vec<Class>,
    /// Timeout of each request
    #[bpaf(long, env("WISTERIA_LOAD_TIMEOUT_MS"), argument("MS"), fallback(1_000))]
    pub timeout_ms: u64,
    /// Minimum coverage that the caller accepts
    #[bpaf(
        long,
        env("WISTERIA_LOAD_MIN_COVERAGE"),
        argument("SHARE"),
        guard(is_share, "must be from 0 to 1"),
        optional
    )]
    pub min_coverage: Option<f64>,
    /// Control port of a leaf process to count executions from, repeatable
    #[bpaf(long, env("WISTERIA_LOAD_LEAF_CONTROL"), argument("IP:PORT"))]
    pub leaf_control: Vec<SocketAddr>,
    /// Send orders instead of searches and check that none runs more than once
    #[bpaf(long, env("WISTERIA_LOAD_ORDERS"))]
    pub orders: bool,
    /// Request a ticket for each order and use it as the idempotency key
    #[bpaf(long, env("WISTERIA_LOAD_TICKETS"))]
    pub tickets: bool,
    /// Number of times that each order is resent, each time to the next host
    #[bpaf(long, env("WISTERIA_LOAD_RESENDS"), argument("N"), fallback(2))]
    pub resends: u32,
    /// Print the report as one JSON object
    #[bpaf(long, env("WISTERIA_LOAD_JSON"))]
    pub json: bool,
}

/// Upper bound of the run's length in seconds and of the requests per second.
const SETTING_MAX: f64 = 1e6;

fn is_positive(x: &f64) -> bool {
    *x > 0.0 && *x <= SETTING_MAX
}

fn is_share(x: &f64) -> bool {
    (0.0..=1.0).contains(x)
}

/// A class of callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Class {
    /// Name, sent in a header of each request.
    pub name: String,
    /// Weight of the class relative to the other classes.
    pub weight: u32,
}

impl FromStr for Class {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (name, weight) = text.split_once(':').unwrap_or((text, "1"));
        match weight.parse() {
            Ok(weight) if weight > 0 && !name.is_empty() => {
                Ok(Self { name: name.to_owned(), weight })
            }
            _ => Err(format!(
                "`{text}` is not a class; write NAME or NAME:WEIGHT with a weight of at least 1, \
                 such as phone:3"
            )),
        }
    }
}
