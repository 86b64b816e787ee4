//! Runs each call with an idempotency key at most once.
//!
//! [`service::ShardService`] accepts such a call on any daemon and forwards it to the daemon that
//! holds the lease of the key's shard. That daemon claims the call, runs it with a
//! [`call::CallRunner`] and stores its result. The state machines are in the claims and lease
//! crates. This crate executes their actions: a control thread owns their state, and the tasks that
//! serve calls communicate with it over channels.

pub mod call;
mod contacts;
pub mod context;
mod control;
mod copy_peers;
mod effects;
mod event;
mod forward;
mod layout;
mod map;
pub mod message;
mod metrics;
pub mod peer;
pub mod service;
pub mod settings;
mod state;
mod stored;
mod timed_table;
