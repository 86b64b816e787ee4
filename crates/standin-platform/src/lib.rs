//! Stand-in for the platform, for development and tests.
//!
//! It serves the table, the object store, the weight store, the VM list, notices and offers over
//! HTTP and JSON, and takes faults through `/control/…`. Its state is that of
//! `samphiremoor_platform`'s platform in memory. It starts and ends no processes: a VM that is
//! reclaimed gets a notice and later leaves the list.

pub mod control;
pub mod handler;
pub mod rate;
pub mod settings;
