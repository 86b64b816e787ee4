//! Decisions on membership, free of sockets, clocks and threads.
//!
//! [`state`] is the whole machine: what was read and heard goes in, calls to make come out.
//! [`daemons`] holds the daemons and who is suspected, [`upstreams`] the upstreams and their
//! states, [`rendezvous`] divides duties among the daemons of an availability zone,
//! [`dissemination`] decides which news go into a message of bounded size, and [`gossip`] is what
//! is told.
//!
//! The parts of the machine are private: `limits` are its bounds and `action` what it sends and
//! asks for, both shown by [`state`]; `peers` chooses whom to call, `probes` waits for daemons that
//! try others, `polls` chooses whom to poll, `reports` which answers are told, `known` puts all
//! that is known into one order, and `known_upstream` is what [`upstreams`] holds of each.

mod action;
pub mod daemons;
pub mod dissemination;
pub mod gossip;
mod known;
mod known_upstream;
mod limits;
mod peers;
mod polls;
mod probes;
pub mod rendezvous;
mod reports;
pub mod state;
pub mod upstreams;
