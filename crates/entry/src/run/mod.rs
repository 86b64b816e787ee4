//! Tasks that run requests: they do the I/O that the request's state machine commands.

pub mod attempt;
pub mod dial;
pub mod executor;
pub mod model;
pub mod plain;
pub mod transfer;
