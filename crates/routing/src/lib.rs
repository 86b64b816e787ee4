//! Choice of the replica that serves a request.
//!
//! The crate does no I/O and reads no clock: the entry daemon passes in the view, the request, the
//! time and a random seed, and reports the result of each dispatch. [`picker`] defines the
//! interface; [`scored`] is the policy that the daemons use, and [`baseline`] holds simple policies
//! behind the same trait. [`prefix`] splits prompts into blocks whose hashes identify cached
//! prefixes.
//!
//! The scored policy keeps, for each replica, an estimate of its queue ([`queue`]), of its latency
//! relative to its pool ([`latency`]) and its health ([`health`]), and tracks in bounded memory
//! which replica is likely to cache which block ([`prefix_index`]). [`score`] turns them into the
//! terms of a score.

pub mod baseline;
pub mod health;
mod index;
pub mod latency;
pub mod picker;
pub mod prefix;
pub mod prefix_index;
pub mod queue;
pub mod score;
pub mod scored;
