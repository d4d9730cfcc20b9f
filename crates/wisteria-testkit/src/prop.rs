//! Configuration of property tests: a fixed seed, so that every run tests the same cases unless
//! environment variables say otherwise.

use proptest::test_runner::{Config, RngSeed};

/// Seed of all property tests; `PROPTEST_RNG_SEED` overrides it.
pub const SEED: u64 = 7;

/// Configuration with the given number of cases; `PROPTEST_CASES` overrides the number.
pub fn config(cases: u32) -> Config {
    let is_set = |name| std::env::var_os(name).is_some();
    // `Config::default()` already applies both variables.
    let mut config = Config { failure_persistence: None, ..Config::default() };
    if !is_set("PROPTEST_CASES") {
        config.cases = cases;
    }
    if !is_set("PROPTEST_RNG_SEED") {
        config.rng_seed = RngSeed::Fixed(SEED);
    }
    config
}
