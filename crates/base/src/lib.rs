//! Vocabulary of the workspace: identifiers, quantities, outcomes, reasons and log events.
//!
//! Every other crate depends on this one; it depends on none of them, and it does no I/O.

pub mod digest;
pub mod event;
pub mod id;
pub mod outcome;
pub mod quantity;
pub mod reason;
pub mod testing;
pub mod time;
