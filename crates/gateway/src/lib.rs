//! The gateway daemon: takes callers' requests as they are and hands them to replicas.
//!
//! A shell round the decisions of the `fleet` crate, on one thread. [`adapter`] is what an adapter to a
//! deployment's protocols implements; [`daemon`] starts everything. [`caller`] serves connections,
//! [`forward`] carries one request through its sends, [`attempt`] does one of them, [`upstream`] and
//! [`stream`] talk to replicas over connections that [`idle`] keeps. [`table_sync`] follows the table,
//! [`digest_exchange`] and [`peer_records`] the peers, [`duties`] does what one daemon does for all.

pub mod adapter;
pub mod attempt;
pub mod caller;
pub mod core;
pub mod daemon;
pub mod digest_exchange;
pub mod duties;
pub mod events;
pub mod forward;
pub mod idle;
pub mod metrics;
pub mod peer_records;
pub mod settings;
pub mod stream;
pub mod table_sync;
pub mod upstream;
