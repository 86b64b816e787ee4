//! Shared code of the stand-ins: program start, JSON responses and fault injection.
//!
//! The stand-ins replace the platform and the upstreams in development and in tests. They bind
//! loopback addresses only. No daemon depends on this crate.

pub mod fault;
pub mod program;
pub mod response;
