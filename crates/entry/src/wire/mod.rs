//! Wire types of the chat and completion calls.

pub mod answer;
pub mod chunk;
pub mod request;
