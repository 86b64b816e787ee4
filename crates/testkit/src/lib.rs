//! Configuration of the property tests of every crate; a dependency of tests alone.

use proptest::test_runner;
use samphiremoor_base::testing;

/// Runs `cases` cases from the seed of [`testing::seed`], so that a verdict repeats.
pub fn config(cases: u32) -> test_runner::Config {
    test_runner::Config {
        cases,
        rng_seed: test_runner::RngSeed::Fixed(testing::seed()),
        failure_persistence: None,
        ..test_runner::Config::default()
    }
}
