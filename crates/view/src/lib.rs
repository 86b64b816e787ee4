//! Snapshot of the system that the control thread provides to the traffic of its daemon: records in
//! force, replicas and daemons.
//!
//! The crate holds data types only. The control thread publishes views. Traffic is served by the
//! latest view, even while neither the platform nor any peer responds.

pub mod zone;
