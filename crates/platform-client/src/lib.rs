//! Implementations of the platform's interfaces: over HTTP for the daemons, in memory for tests.
//!
//! The traits, and the state that client and stand-in share, are in `samphiremoor-platform`, which
//! does no I/O.

pub mod http;
pub mod memory;
pub mod settings;
