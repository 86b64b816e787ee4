//! Implementations of the platform's traits: over HTTP for the daemons, in memory for tests.
//!
//! The traits and the state that both ends share are in `samphiremoor-platform`, which does no I/O.

pub mod http;
pub mod memory;
pub mod settings;
