//! Load tool of the workspace, for development only.
//!
//! [`workload`] describes the callers of a deployment, [`plan`] turns it into calls by a seed and
//! [`prompt`] into texts. [`live`] sends the calls to entry daemons and checks every answer;
//! [`experiment`] drives the routing and admission policies against a time model of engines, with
//! simulated time. Both count in [`tally`]; [`compare`] sets two reports side by side.

pub mod compare;
pub mod experiment;
pub mod live;
pub mod plan;
pub mod prompt;
pub mod settings;
pub mod tally;
pub mod workload;
