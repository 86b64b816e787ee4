//! The entry daemon: serves callers, dispatches their requests to upstreams and resumes interrupted
//! streams on other replicas.
//!
//! The crate does the I/O around the pure decision logic of the requests, routing and limits
//! crates. [`daemon`] starts and stops the process. [`serve`] handles the callers' HTTP calls,
//! [`run`] dispatches requests to upstreams, and [`kept`] buffers the responses between the two.
//! [`quarantine`] finds messages under which engines crash.
//! [`source`] reads the zone view from a file for development and tests.

pub mod cache;
mod control;
pub mod core;
pub mod daemon;
pub mod finish;
pub mod handover;
pub mod headers;
pub mod kept;
pub mod keyed;
pub mod message_quarantine;
pub mod metrics;
pub mod peer;
pub mod quarantine;
pub mod registry;
pub mod run;
pub mod serve;
pub mod settings;
pub mod signal;
pub mod snapshot;
pub mod source;
mod tunnel_relay;
pub mod upstream_path;
pub mod upstream_state;
pub mod wire;
