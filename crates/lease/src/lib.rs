//! Leases in the platform's table, as pure decisions.
//!
//! A daemon that holds leases renews one row of its own; each lease row names its holder and
//! changes only when the holder does. Writes that need the lease are conditional on the version of
//! the lease row, so that renewals never clash with them. The shells hand in rows, answers and the
//! time, and carry out the actions.

mod commit;
pub mod commit_outcome;
mod holdings;
pub mod keeper;
pub mod policy;
pub mod row;
pub mod spread;
pub mod watch;
