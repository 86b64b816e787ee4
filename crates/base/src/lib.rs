//! Types that all crates share: identifiers, quantities, outcomes, reasons and log events.
//!
//! Every other crate depends on this crate. This crate depends on none of them and does no I/O.

pub mod digest;
pub mod event;
pub mod id;
pub mod outcome;
pub mod pause_watch;
pub mod position;
pub mod quantity;
pub mod rate;
pub mod reason;
pub mod testing;
pub mod time;
