//! Request-reply messages between the system's own processes, over nng.
//!
//! A message is a `serde` value that postcard encodes. [`server`] answers, [`client`] asks. A link
//! that goes silent is closed and dialled anew once before the other end is blamed.

pub mod client;
pub mod server;
