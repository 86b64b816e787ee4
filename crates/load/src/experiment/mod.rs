//! Runs the daemons' routing and admission code against a time model of engines.
//!
//! Time is simulated and all random numbers come from a seed, so a run gives the same results on
//! every machine. The network is modelled as a constant delay; membership and the platform are not
//! modelled. [`situation`] injects faults into the replicas and the views, and [`capacity`]
//! simulates a cloud for the planner. [`world`] is the event loop, and [`replica`] simulates the
//! upstreams.

pub mod capacity;
pub mod deployment;
pub mod policy;
pub mod replica;
pub mod situation;
pub mod table;
pub mod world;
