//! Runs each call that may not be repeated at most once.
//!
//! [`service::ShardService`] takes such a call on any daemon, forwards it to the daemon that holds
//! the lease of the key's shard, and there claims it, runs it through a [`call::CallRunner`] and
//! keeps its result. The decisions are in the claims and lease crates; this crate drives them: one
//! thread owns their state, and traffic talks to it by channels.

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
mod shared;
mod stored;
