//! HTTP/1.1 shells over async-h1: a server with limits, a client that says what was sent; and raw
//! messages for connections on which bodies pass through ([`message`], [`connection`], [`persistent`]).
//!
//! The daemons, the command line and the stand-ins use this crate for all HTTP. It knows nothing
//! of requests, records or routing.

pub mod body;
pub mod client;
pub mod connection;
pub mod message;
pub mod persistent;
pub mod problem;
pub mod request_stream;
pub mod server;
pub mod timeout_stream;
