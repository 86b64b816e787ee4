//! The platform's services as the daemons use them.
//!
//! [`table`] is the transactional table, [`cloud`] the VMs, their notices and their prices. The
//! traits are the border: the daemons hold trait objects. [`http`] reaches a platform over HTTP,
//! [`memory`] is one in memory for tests; [`rows`], [`fleet`] and [`faults`] are the state that
//! the latter shares with the stand-in.

pub mod cloud;
pub mod faults;
pub mod fleet;
pub mod http;
pub mod memory;
pub mod rows;
pub mod table;
