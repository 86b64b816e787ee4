//! Settings of the shards.

use samphiremoor_base::time;
use serde::Deserialize;

/// The `shards` table of the entry daemon's settings.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ShardSettings {
    /// Number of shards that the first daemon lays out; kept in the table from then on.
    pub count: u16,
    /// Time without a renewal after which a lease is taken over.
    pub lease_time: time::Millis,
    /// Shortest time between two writes of one shard's journal.
    pub flush_interval: time::Millis,
    /// Time after which the table counts as unavailable for claims, and peers keep them.
    pub table_timeout: time::Millis,
    /// Longest wait of a call for its claim.
    pub claim_timeout: time::Millis,
    /// Time for which ended calls are remembered; the same key can run again after it.
    pub retention: time::Millis,
    /// Most keys that one shard remembers; new ones are refused beyond it.
    pub max_keys: usize,
    /// Largest result that is kept for other sends of the same key, in bytes.
    pub max_result_bytes: usize,
    /// Number of peers that keep claims while the table is unavailable.
    pub copies: usize,
}

impl Default for ShardSettings {
    fn default() -> Self {
        ShardSettings {
            count: 16,
            lease_time: time::Millis::new(3_000),
            flush_interval: time::Millis::new(60),
            table_timeout: time::Millis::new(500),
            claim_timeout: time::Millis::new(3_000),
            retention: time::Millis::new(3_600_000),
            max_keys: 200_000,
            max_result_bytes: 65_536,
            copies: 2,
        }
    }
}
