//! Flags and environment variables.

use std::net::SocketAddr;

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
    /// Class of caller
    #[bpaf(long, env("WISTERIA_LOAD_CLASS"), argument("NAME"))]
    pub class: Option<String>,
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
