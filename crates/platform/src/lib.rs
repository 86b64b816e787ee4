//! The platform's services as the daemons use them.
//!
//! [`table`] is the transactional table, [`cloud`] the VMs, their notices and their prices. The
//! traits are the border: the daemons hold trait objects, and tests put fakes behind them.

pub mod cloud;
pub mod table;
