//! Wire types of the chat and completion calls.

pub mod chunk;
pub mod request;
pub mod response;
