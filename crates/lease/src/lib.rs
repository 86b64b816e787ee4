//! Leases in the platform's table, as a state machine without I/O.
//!
//! Each daemon that holds leases periodically renews a single row of its own. A lease row names its
//! holder and changes only when the lease does. Writes that require the lease are conditional on
//! the version of the lease row, so renewals never conflict with them. The caller passes in rows,
//! commit outcomes and the time, and carries out the returned actions.

pub mod commit_outcome;
mod held_leases;
pub mod manager;
pub mod policy;
pub mod rendezvous;
pub mod renewals;
pub mod row;
mod transactions;
