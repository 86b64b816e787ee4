//! The control thread of the entry daemon.
//!
//! [`state`] holds the control state, a state machine without I/O that a single thread owns.
//! [`action`] defines its inputs and actions. `zone_duties` combines [`duty`], the lease on the
//! duties of the availability zone, with [`capacity`], which executes plans while the lease is held
//! and tracks the `sent_orders`. `join` contacts peers at startup, `platform_schedule` decides when
//! the platform is read, `local_stop` determines why the local VM stops, and `publisher` builds the
//! views.
//!
//! [`service`] starts the thread. `worker` is its main loop and takes its inputs from `input`.
//! `calls` spawns a task for each call of the control state: `platform_read` reads from the
//! platform, [`client_pool`] calls peers, [`upstream`] calls upstreams and [`executor`] executes
//! plan steps, all through the [`ports`]. `change_log` logs changes of daemons and upstreams. Views
//! go to the [`sink`]. [`message`] defines the requests that control threads serve to other daemons
//! and to the command line.

pub mod action;
mod calls;
pub mod capacity;
mod change_log;
pub mod client_pool;
pub mod duty;
pub mod executor;
mod input;
mod join;
mod local_stop;
pub mod message;
pub mod metrics;
mod platform_read;
mod platform_schedule;
pub mod ports;
mod publisher;
mod sent_orders;
pub mod service;
pub mod settings;
pub mod sink;
pub mod state;
pub mod upstream;
mod worker;
mod zone_duties;
