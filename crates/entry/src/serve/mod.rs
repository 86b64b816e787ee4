//! HTTP calls of callers and their responses.

pub mod accept;
pub mod access;
pub mod attach;
pub mod events;
pub mod handler;
pub mod model;
pub mod relay;
pub mod response;
pub mod service;
