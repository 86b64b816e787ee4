//! Request-response messages between the daemons, over nng.
//!
//! A message is a `serde` value encoded with postcard. [`server`] responds to requests, [`client`]
//! sends them. A client whose connection goes silent closes it and retries once on a new connection
//! before it reports a timeout.

pub mod client;
pub mod server;
