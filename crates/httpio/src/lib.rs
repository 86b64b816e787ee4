//! HTTP/1.1 server and clients with size limits and timeouts.
//!
//! [`server`] and the requests of [`client`] are built on async-h1; a failed client call reports
//! whether the other end may have received the request. [`message`], [`connection`] and
//! [`persistent`] handle raw messages, for proxies that relay bodies unchanged, and [`relay`] passes whole connections on.
//!
//! The daemons, the command line and the stand-ins use this crate for all HTTP. It contains no
//! logic for records, admission or routing.

pub mod body;
pub mod boot_clock;
pub mod client;
pub mod connection;
pub mod message;
pub mod persistent;
pub mod problem;
pub mod relay;
pub mod request_stream;
mod response_reader;
pub mod server;
pub mod timeout_stream;
mod withdrawal;
