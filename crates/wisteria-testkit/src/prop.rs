//! Settings of property tests: the same cases in each run, unless the environment asks
//! for others.

use proptest::test_runner::{Config, RngSeed};

/// Seed of all property tests; `PROPTEST_RNG_SEED` sets another.
pub const SEED: u64 = 7;

/// Settings of a property test with this many cases; `PROPTEST_CASES` sets another number.
pub fn config(cases: u32) -> Config {
    let set = |name| std::env::var_os(name).is_some();
    // The library reads both variables into its defaults.
    let mut config = Config { failure_persistence: None, ..Config::default() };
    if !set("PROPTEST_CASES") {
        config.cases = cases;
    }
    if !set("PROPTEST_RNG_SEED") {
        config.rng_seed = RngSeed::Fixed(SEED);
    }
    config
}
