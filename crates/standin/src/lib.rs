//! What the stand-ins share: the start of the program, JSON answers and faults on order.
//!
//! The stand-ins take the place of the platform and of the upstreams in development and in tests.
//! They bind loopback addresses only. No daemon depends on this crate.

pub mod answer;
pub mod fault;
pub mod program;
