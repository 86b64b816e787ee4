//! Load tool of the workspace, for development only.
//!
//! [`workload`] describes the callers of a deployment, [`plan`] turns it into calls by a seed.
//! [`experiment`] drives the routing and admission policies against a time model of engines, with
//! simulated time.

pub mod experiment;
pub mod plan;
pub mod prompt;
pub mod workload;
