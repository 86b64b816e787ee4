//! Stand-in for a plain service, for development and tests.
//!
//! It takes any method on any path, counts how often it ran each idempotency key and with how many
//! bodies, and answers with a receipt that is unique for each run. Tests hold these counts against
//! what callers were told.

pub mod handler;
pub mod ledger;
pub mod settings;
pub mod wire;
