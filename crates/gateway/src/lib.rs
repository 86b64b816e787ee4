//! The gateway daemon: a reverse proxy that forwards callers' requests unchanged to replicas.
//!
//! This crate does the I/O on one thread; the decisions are made in the `fleet` crate. [`adapter`]
//! holds the traits that a deployment's adapter implements, and [`daemon`] starts all tasks, those that
//! it needs as [`vital_task`]s. [`caller`] serves callers' connections, and [`response`] writes to them.
//! [`forward`] takes one request through its attempts: [`context`] is what they share, [`attempt`]
//! makes one of them, [`pending`] waits for several, and [`relay`] and [`stream`] pass a response on.
//! [`upstream`] talks to replicas over the connections that [`dialer`] opens and [`idle`] pools. [`tunnel`]
//! opens those by way of other daemons, which `tunnel_relay` serves, and `path_probe` finds out when they
//! are needed. `migration` moves KV caches between replicas. [`resumption`] and [`attempt_exchange`] let
//! callers resume streams at any daemon.
//! [`table_sync`] follows the policy and the replica entries in the platform's table,
//! [`digest_exchange`] and [`peer_records`] exchange state with the other daemons, which `known_peer` has, `document_exchange`
//! reads the policy from those that have it, and [`duties`] performs the tasks that one daemon does for
//! all. [`crash`] finds requests under which replicas crash, and `quarantine_records` shows operators
//! what is refused for that. [`rollouts`] carries out orders to move a service to another version, which
//! [`rollout_states`] keeps.

pub mod adapter;
pub mod attempt;
pub mod attempt_exchange;
pub mod caller;
pub mod caller_slot;
pub mod context;
pub mod core;
pub mod crash;
pub mod crash_probe;
pub mod daemon;
mod daemon_rows;
pub mod dialer;
pub mod digest_exchange;
mod document_exchange;
pub mod duties;
pub mod events;
pub mod forward;
pub mod guard;
pub mod idle;
pub mod internal_response;
mod known_peer;
pub mod lease_state;
pub mod metrics;
mod migration;
mod path_probe;
pub mod peer_records;
pub mod pending;
mod quarantine_records;
pub mod relay;
pub mod relay_directory;
pub mod response;
mod response_end;
mod response_memory;
pub mod resumption;
pub mod rollout_states;
pub mod rollouts;
pub mod served_document;
pub mod settings;
pub mod shutdown;
pub mod steady_clock;
pub mod stream;
pub mod table_sync;
pub mod tunnel;
mod tunnel_relay;
pub mod upstream;
pub mod vital_task;
