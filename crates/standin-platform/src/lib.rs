//! Stand-in for the platform, for development and tests.
//!
//! It serves the table, the object store, the weight store, the VM list, reclaim notices and offers
//! as JSON over HTTP, and injects faults that are set through `/control/…`. Its state is the
//! in-memory platform of `samphiremoor_platform`. It doesn't manage processes: a reclaimed VM gets
//! a notice and is removed from the list when the notice period ends.

pub mod control;
pub mod handler;
pub mod rate;
pub mod settings;
