//! Interfaces of the platform's services.
//!
//! [`table`] defines the transactional table; [`cloud`] defines the cloud API with its VMs, reclaim
//! notices and prices. The daemons use the services through trait objects. [`rows`], [`fleet`] and
//! [`faults`] hold the state that the in-memory platform and the stand-in platform share. This crate
//! does no I/O; the implementations are in `samphiremoor-platform-client`.

pub mod cloud;
pub mod faults;
pub mod fleet;
pub mod rows;
pub mod table;
