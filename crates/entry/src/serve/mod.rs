//! The callers' side: HTTP calls and their answers.

pub mod accept;
pub mod access;
pub mod attach;
pub mod events;
pub mod handler;
pub mod model;
pub mod relay;
pub mod reply;
pub mod service;
