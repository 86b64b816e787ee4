//! State machine of one request, from its acceptance to its final result.
//!
//! The crate does no I/O and reads no clock: its user passes in inputs with the current time and
//! carries out the returned actions. The entry daemon runs one [`machine::RequestMachine`] for each
//! request in progress; the scenario tests and the property tests drive the same code.

pub mod action;
pub mod backoff;
pub mod budget;
pub mod input;
pub mod machine;
pub mod policy;
pub mod stream;
