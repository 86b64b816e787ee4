//! Distribution of record revisions as pure state machines, without sockets, clocks or threads.
//!
//! [`change`] drives the compare-and-set of the head row by an operator through races and lost
//! responses. [`follow`] moves a daemon to the highest revision that it learns of, from the table
//! or from its peers, and never to a lower one. [`relay`] computes the deltas that peers send to
//! one another. `specs/head.pml` is the model of the protocol.

pub mod change;
pub mod follow;
pub mod relay;
