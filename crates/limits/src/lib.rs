//! Admission of requests at one entry daemon.
//!
//! The crate is pure: it does no I/O and reads no clock. The entry daemon requests admission before
//! it accepts a request and releases the permit once the request has ended. [`gate`] defines the
//! trait of admission policies; [`adaptive`] is the policy that the daemons use, [`baseline`] a
//! fixed limit to compare it with.
//!
//! Admission is decided per pool: [`concurrency`] adapts the number of requests in progress to the
//! observed latency, [`share`] guarantees each workspace its share of the admissions, and
//! [`adaptive`] sheds the least urgent services first.

pub mod adaptive;
pub mod baseline;
pub mod concurrency;
pub mod gate;
pub mod share;
