//! Stand-in for a model engine, for development and tests.
//!
//! [`batch`] models the timing of continuous batching, [`cache`] is the prefix cache, [`journal`]
//! publishes cache events with a delay and with gaps, and [`orders`] tracks the loaded models.
//! These modules are pure. [`tokens`] generates the deterministic responses that tests compare
//! with. [`runtime`] and [`handler`] connect the pure modules to the clock and to HTTP.

pub mod batch;
pub mod blocks;
pub mod cache;
pub mod handler;
pub mod journal;
pub mod orders;
pub mod runtime;
pub mod settings;
mod stream;
pub mod tokens;
pub mod wire;
