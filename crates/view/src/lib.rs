//! The view that a control daemon gives to the entry daemon beside it: records in force, replicas,
//! daemons.
//!
//! Pure data and the messages that carry it. The control daemon makes a view, the entry daemon
//! serves by the last one that it got, also when the control daemon is gone.

pub mod message;
pub mod zone;
