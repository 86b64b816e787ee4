//! The control thread of the entry daemon.
//!
//! [`state`] is the control state: one thread owns it, and it does no I/O; [`action`] is what goes
//! in and comes out. In it, `zone_duties` has [`duty`], the lease on the zone's duties, and
//! [`capacity`], which says what is carried out while it is held and keeps the `sent_orders`; `join`
//! looks for peers at the start, `platform_schedule` says when the platform is read, and `publisher`
//! makes the views.
//!
//! [`service`] starts that thread, which is `worker` and takes `input`. `calls` starts the tasks that
//! make its calls: to the platform through `platform_read`, to peers through [`client_pool`], to
//! upstreams through [`upstream`], and [`executor`] for plans, all by the [`ports`]. `change_log` logs
//! what changed. Views go to the [`sink`]. [`message`] is what daemons and the command line ask control
//! threads.

pub mod action;
mod calls;
pub mod capacity;
mod change_log;
pub mod client_pool;
pub mod duty;
pub mod executor;
mod input;
mod join;
pub mod message;
pub mod metrics;
mod own_stop;
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
