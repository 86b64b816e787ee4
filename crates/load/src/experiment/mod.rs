//! Experiments: the daemons' routing and admission code against a time model of engines.
//!
//! Time is simulated and every draw comes from a seed, so a run gives the same figures anywhere.
//! There is no network but a delay, no membership and no platform: [`situation`] changes what the
//! view shows, and [`capacity`] is a cloud for the planner. [`world`] is the event loop, [`replica`] the upstreams.

pub mod capacity;
pub mod deployment;
pub mod policy;
pub mod replica;
pub mod situation;
pub mod table;
pub mod world;
