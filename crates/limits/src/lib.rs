//! Admission of requests at one entry daemon.
//!
//! Pure decisions: the entry daemon asks before it takes a request and reports when it ended.
//! [`gate`] is the border; [`adaptive`] is the policy that the daemons use, [`baseline`] a simple
//! one behind the same trait.
//!
//! Requests are counted for each pool. [`concurrency`] adapts how many may be in progress to the
//! latency that is met, [`share`] keeps a part for each workspace that asks, and [`adaptive`] sheds
//! the least urgent services first.

pub mod adaptive;
pub mod baseline;
pub mod concurrency;
pub mod gate;
pub mod share;
