//! Choice of the replica that serves a request.
//!
//! Pure decisions: the entry daemon hands in the view, the request, the time and a random number,
//! and reports what became of each dispatch. [`picker`] is the border; [`scored`] is the policy
//! that the daemons use, [`baseline`] holds simple ones behind the same trait. [`prefix`] cuts
//! prompts into blocks whose hashes name cached prefixes.
//!
//! The scored policy keeps, for each replica, an estimate of its queue ([`queue`]), of its pace
//! against the others ([`latency`]) and its health ([`health`]), and remembers in bounded memory
//! which replica is likely to hold which block ([`prefix_index`]). [`score`] turns them into terms.

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
