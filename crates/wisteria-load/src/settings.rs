//! Flags and environment variables.

use std::net::SocketAddr;
use std::str::FromStr;

use bpaf::Bpaf;

/// What to send, where and how often.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, generate(settings))]
pub struct Settings {
    /// Entry host to send to, repeatable; the environment takes one
    #[bpaf(
        long,
        env("WISTERIA_LOAD_TARGET"),
        argument("IP:PORT"),
        some("at least one --target is needed")
    )]
    pub target: Vec<SocketAddr>,
    /// Mean arrivals per second
    #[bpaf(
        long,
        env("WISTERIA_LOAD_RATE"),
        argument("N"),
        fallback(50.0),
        guard(is_positive, "must be above 0 and at most 1000000")
    )]
    pub rate: f64,
    /// Length of the run
    #[bpaf(
        long,
        env("WISTERIA_LOAD_SECONDS"),
        argument("S"),
        fallback(10.0),
        guard(is_positive, "must be above 0 and at most 1000000")
    )]
    pub seconds: f64,
    /// Seed of the arrivals
    #[bpaf(long, env("WISTERIA_LOAD_SEED"), argument("N"), fallback(1))]
    pub seed: u64,
    /// Collection to search
    #[bpaf(long, env("WISTERIA_LOAD_COLLECTION"), argument("NAME"), fallback("kits".to_owned()))]
    pub collection: String,
    /// Class of callers and its share of the requests, repeatable; the environment takes one
    #[bpaf(long, env("WISTERIA_LOAD_CLASS"), argument("NAME[:WEIGHT]"))]
    pub class: Vec<Class>,
    /// Time allowed for each answer
    #[bpaf(long, env("WISTERIA_LOAD_TIMEOUT_MS"), argument("MS"), fallback(1_000))]
    pub timeout_ms: u64,
    /// Least coverage that the caller accepts
    #[bpaf(
        long,
        env("WISTERIA_LOAD_MIN_COVERAGE"),
        argument("SHARE"),
        guard(is_share, "must be from 0 to 1"),
        optional
    )]
    pub min_coverage: Option<f64>,
    /// Control port of leaves, to count their executions, repeatable
    #[bpaf(long, env("WISTERIA_LOAD_LEAF_CONTROL"), argument("IP:PORT"))]
    pub leaf_control: Vec<SocketAddr>,
    /// Send orders in place of searches and count what ran
    #[bpaf(long, env("WISTERIA_LOAD_ORDERS"))]
    pub orders: bool,
    /// Get a ticket for each order and use it as its key
    #[bpaf(long, env("WISTERIA_LOAD_TICKETS"))]
    pub tickets: bool,
    /// Times that each order is sent again, at the next host
    #[bpaf(long, env("WISTERIA_LOAD_RESENDS"), argument("N"), fallback(2))]
    pub resends: u32,
    /// Report as one JSON object
    #[bpaf(long, env("WISTERIA_LOAD_JSON"))]
    pub json: bool,
}

/// Longest run and highest rate.
const MAX: f64 = 1e6;

fn is_positive(x: &f64) -> bool {
    *x > 0.0 && *x <= MAX
}

fn is_share(x: &f64) -> bool {
    (0.0..=1.0).contains(x)
}

/// A class of callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Class {
    /// Name, sent with each request.
    pub name: String,
    /// Share of the requests, against those of the other classes.
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
            _ => Err(format!("`{text}`: a name is allowed, with a weight from 1, such as phone:3")),
        }
    }
}
