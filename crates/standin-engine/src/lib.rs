//! Stand-in for a model engine, for development and tests.
//!
//! [`batch`] is the time model of continuous batching, [`cache`] the prefix cache, [`journal`] its
//! late and gappy events, [`orders`] what the engine has loaded: all pure. [`tokens`] makes the
//! deterministic answers that tests compare with. [`runtime`] and [`handler`] are the shell.

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
