//! Decisions on membership, free of sockets, clocks and threads.
//!
//! [`state`] is the whole machine: what was read and heard goes in, calls to make come out.
//! [`daemons`] holds the daemons and who is suspected, [`upstreams`] the upstreams and their
//! states, [`share`] divides duties among the daemons of an availability zone, [`spread`] decides
//! which news go into a message of bounded size, and [`news`] is what is told.

pub mod daemons;
pub mod news;
pub mod share;
pub mod spread;
pub mod state;
pub mod upstreams;
