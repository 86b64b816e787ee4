//! Tasks that run requests: shells round the request's state machine.

pub mod attempt;
pub mod model;
pub mod plain;
pub mod shell;
pub mod transfer;
