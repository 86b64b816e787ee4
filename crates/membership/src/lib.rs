//! Membership of daemons and upstreams as pure state machines, without sockets, clocks or threads.
//!
//! [`state`] is the top-level state machine: results of reads and received messages go in, calls to
//! make come out. [`daemons`] holds the table of daemons and detects failed ones, [`upstreams`]
//! holds the table of upstreams and their states, [`rendezvous`] assigns tasks to the daemons of an
//! availability zone, [`dissemination`] selects the updates for a gossip message of bounded size,
//! and [`gossip`] defines the data that daemons exchange.
//!
//! The other modules are private parts of the state machine. `limits` holds its intervals and
//! sizes, and `action` its messages and actions; [`state`] re-exports both. `peers` selects the
//! daemons to call, `probes` tracks indirect probes, `polls` schedules the polls of upstreams,
//! `reports` decides which poll results are gossiped, `update_source` iterates over everything that
//! can be gossiped, and `known_upstream` holds the state of one upstream.

mod action;
pub mod daemons;
pub mod dissemination;
pub mod gossip;
mod known_upstream;
mod limits;
mod peers;
mod polls;
mod probes;
pub mod rendezvous;
mod reports;
pub mod state;
mod update_source;
pub mod upstreams;
