//! The platform's services as the daemons use them.
//!
//! [`table`] is the transactional table, [`cloud`] the VMs, their notices and their prices. The
//! traits are the border: the daemons hold trait objects. [`rows`], [`fleet`] and [`faults`] are
//! the state that the platform in memory and the stand-in share. No I/O: the implementations are in
//! `samphiremoor-platform-client`.

pub mod cloud;
pub mod faults;
pub mod fleet;
pub mod rows;
pub mod table;
