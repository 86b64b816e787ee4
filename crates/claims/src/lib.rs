//! Claims of calls that run at most once, as a state machine without I/O.
//!
//! The keys of such calls are divided into shards. The holder of a shard's lease writes a claim to
//! the shard's journal before it runs a call, and the result afterwards. The next holder of the
//! shard reads both. The `samphiremoor-shards` crate passes in events and the time, and carries out
//! the returned actions.

pub mod copies;
pub mod index;
pub mod journal;
pub mod key;
pub mod policy;
pub mod recovery;
pub mod shard;
pub mod transition;
pub mod writer;
