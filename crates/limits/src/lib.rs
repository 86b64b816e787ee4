//! Admission of requests at one entry daemon.
//!
//! Pure decisions: the entry daemon asks before it takes a request and reports when it ended.
//! [`gate`] is the border.

pub mod gate;
