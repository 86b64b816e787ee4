//! Stand-in for a model engine, for development and tests.
//!
//! [`batch`] models the timing of continuous batching, [`cache`] is the prefix cache, [`journal`]
//! publishes cache events with a delay and with gaps, and [`orders`] tracks the loaded models.
//! These modules do no I/O and read no clock. [`tokens`] generates the deterministic responses that
//! tests compare with. [`runtime`] and [`handler`] connect the other modules to the clock and to
//! HTTP.

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
