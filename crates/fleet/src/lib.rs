//! Decision logic of the gateway, free of sockets, clocks and random numbers.
//!
//! The `gateway` crate is the I/O shell around this crate: it passes in policies, replica entries,
//! digests of peers and the current time, and carries out the decisions.
//!
//! - [`policy`] holds the configuration that operators declare.
//! - [`replica`] tracks the replicas and [`selection`] chooses one for each request. [`entry_copy`] tells
//!   when a daemon copies the entries that another one has read.
//! - [`send_gate`] answers whether a replica may get a request now, and [`send_state`] what it was
//!   seen to keep away.
//! - [`reachability`] tells which replicas are reached directly, and chooses the daemons that relay
//!   connections to the others.
//! - [`body_budget`] limits the received bytes and the connections of all callers.
//! - [`admission`] refuses requests that can't be served in time.
//! - [`dispatch`] tracks the attempts of a request and whether it may have run.
//! - [`attempt_record`] remembers the version at which streams began, and [`attempt_message`] encodes
//!   what daemons tell each other about it.
//! - [`version_history`] tells since when a service has only one version.
//! - [`rollout`] moves the traffic of a service to another version and back if that one is bad.
//! - [`quota`] enforces the quotas of workspaces across all daemons.
//! - [`limit`] divides the limits that replicas name among the daemons.
//! - [`document`] and [`document_fetch`] pass large documents from daemon to daemon.
//! - [`quarantine`] finds the requests and prompt segments under which replicas crash, each a
//!   [`suspect`]; [`quarantine_rows`] shows them to operators.
//! - [`usage`] counts runs in windows of [`wall_clock`] time.
//! - [`duty`] holds the lease on singleton tasks, and [`capacity`] plans orders for replicas.
//! - [`digest`] and [`load`] define the state that daemons exchange.
//! - [`decay`] provides exponentially decayed sums for measured rates.

pub mod admission;
pub mod attempt_message;
pub mod attempt_record;
pub mod body_budget;
pub mod capacity;
pub mod clock_instant;
pub mod decay;
pub mod digest;
pub mod dispatch;
pub mod document;
pub mod document_fetch;
pub mod duty;
pub mod entry_copy;
pub mod limit;
pub mod load;
pub mod policy;
pub mod quarantine;
pub mod quarantine_rows;
pub mod quota;
pub mod reachability;
pub mod read_budget;
pub mod replica;
pub mod rollout;
pub mod selection;
pub mod send_gate;
pub mod send_state;
pub mod suspect;
pub mod transit;
pub mod usage;
pub mod version_history;
pub mod wall_clock;
