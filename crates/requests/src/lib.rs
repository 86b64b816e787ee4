//! State machine of one request, from its acceptance to its single answer.
//!
//! Pure decisions: the shell hands in inputs with the time and carries out the actions that come
//! back. The entry daemon runs one [`machine::RequestMachine`] for each request in progress; the
//! scenarios and the property tests drive the same code.

pub mod action;
pub mod backoff;
pub mod budget;
pub mod input;
pub mod machine;
pub mod policy;
pub mod stream;
