//! Stand-in for a plain service, for development and tests.
//!
//! It accepts any method on any path, counts the runs and the distinct bodies of each idempotency
//! key, and responds with a receipt that is unique to each run. Tests compare these counts with the
//! outcomes that callers received.

pub mod handler;
pub mod ledger;
pub mod settings;
pub mod wire;
