//! Claims of calls that may not be repeated, as pure decisions.
//!
//! The keys of such calls are split in shards. The holder of a shard's lease writes a claim before
//! it runs a call, and the result after it; whoever takes the shard over reads both. The shell in
//! the shards crate hands in answers and the time, and carries out the actions.

pub mod copies;
pub mod journal;
pub mod key;
pub mod ledger;
pub mod opening;
pub mod policy;
pub mod shard;
pub mod step;
pub mod writer;
