//! Test utilities shared by several crates: configuration of property tests, free addresses.

use std::net;

use proptest::test_runner;
use samphiremoor_base::testing;

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

/// Returns a loopback address whose port was free when it was checked. The port isn't reserved, so
/// another process can bind it in the meantime.
///
/// # Panics
///
/// Panics if no port is free.
pub fn free_address() -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    listener.local_addr().expect("the listener has an address")
}
