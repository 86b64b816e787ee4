//! Load generator and policy simulator of the workspace, for development only.
//!
//! [`workload`] describes the callers of a deployment. [`plan`] generates calls from a workload and
//! a seed, and [`prompt`] generates their prompts. [`live`] sends the calls to entry daemons and
//! verifies every response. [`experiment`] runs the routing and admission policies against a time
//! model of engines, in simulated time. Both collect their results in [`tally`]; [`compare`] prints
//! the differences between two reports.

pub mod compare;
pub mod experiment;
pub mod live;
pub mod plan;
pub mod prompt;
pub mod settings;
pub mod tally;
pub mod workload;
