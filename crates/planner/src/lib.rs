//! Placement of models and purchase of VMs.
//!
//! The crate does no I/O and reads no clock: the control thread that holds the lease of an
//! availability zone passes in the records, the replicas, the offers and the time, and carries out
//! the actions of the plan. [`planner`] is the entry point; [`purchase`] decides which VMs are
//! bought and released, [`placement`] which models are loaded, [`backoff`] delays offers that were
//! refused, [`demand`] tracks the demand of pools, and [`plan`] holds the plan with its reasons.

pub mod backoff;
pub mod demand;
pub mod fleet;
pub mod placement;
pub mod plan;
pub mod planner;
pub mod purchase;
