//! Test utilities shared by several crates: configuration of property tests, free addresses,
//! resets of connections.

use proptest::test_runner;
use samphiremoor_base::testing;

pub use crate::ports::free_address;
pub use crate::resets::ResetTime;

mod ports;
mod resets;

/// Returns a property-test configuration that runs `cases` cases from the seed of
/// [`testing::seed`], so that results are reproducible.
pub fn config(cases: u32) -> test_runner::Config {
    test_runner::Config {
        cases,
        rng_seed: test_runner::RngSeed::Fixed(testing::seed()),
        failure_persistence: None,
        ..test_runner::Config::default()
    }
}
