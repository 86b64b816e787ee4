//! Decisions on record revisions, free of sockets, clocks and threads.
//!
//! [`change`] drives an operator's change of the head row through races and lost answers.
//! [`follow`] keeps a daemon at the highest revision that it has heard of, from the table or from
//! its peers, and never lets it go back. [`relay`] makes the differences that peers send one
//! another. `specs/head.pml` is the model of the protocol.

pub mod change;
pub mod follow;
pub mod relay;
