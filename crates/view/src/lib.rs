//! The view that a control daemon gives to the entry daemon beside it: records in force, replicas,
//! daemons.
//!
//! Pure data, its changes and the messages that carry them. The control daemon makes a view, the
//! entry daemon serves by the last one that it got, also when the control daemon is gone.

pub mod delta;
pub mod list;
pub mod message;
pub mod zone;
