//! The journal of a shard: rows of the table that contain its claims and results.

use std::sync;

use samphiremoor_base::digest;
use samphiremoor_base::quantity;
use samphiremoor_platform::table;
use serde::Deserialize;
use serde::Serialize;

use crate::key;

/// Key prefix of journal rows.
const CLAIM_PREFIX: &str = "claim/";

/// An upstream's response to a call, in an encoding chosen by the caller of this crate.
pub type EncodedResult = sync::Arc<str>;

/// A state change of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum JournalEntry {
    /// The call was claimed and may run from now on.
    Claimed {
        /// Key of the call.
        key: key::CallKey,
        /// Digest of the call's content.
        digest: digest::HexDigest,
    },
    /// The upstream responded to the call.
    Finished {
        /// Key of the call.
        key: key::CallKey,
        /// The response; `None` if it was too large to store.
        result: Option<EncodedResult>,
    },
    /// The claim was released because the call is certain not to have run.
    Released {
        /// Key of the call.
        key: key::CallKey,
    },
}

impl JournalEntry {
    /// Returns the size of the entry's result in bytes.
    pub fn result_bytes(&self) -> usize {
        match self {
            JournalEntry::Finished { result: Some(result), .. } => result.len(),
            _ => 0,
        }
    }
}

/// Position of a batch in the journal of its shard.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct BatchId {
    /// Fencing token of the holder that wrote the batch.
    pub fence: quantity::FencingToken,
    /// Sequence number among the batches of this holder.
    pub seq: u64,
}

/// Entries that are written together as one row.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct JournalBatch {
    /// Position in the journal.
    pub id: BatchId,
    /// The entries, in the order of the state changes.
    pub entries: Vec<JournalEntry>,
}

impl JournalBatch {
    /// Returns the total size of the batch's results in bytes.
    pub fn result_bytes(&self) -> usize {
        self.entries.iter().map(JournalEntry::result_bytes).sum()
    }

    /// Encodes the entries as a value of the table.
    pub fn encode(&self) -> sync::Arc<str> {
        let text = serde_json::to_string(&self.entries)
            .expect("entries have string keys and no fallible values");
        sync::Arc::from(text)
    }

    /// Decodes a row of the table; returns `None` if it is not a journal row.
    pub fn decode(row: &table::TableRow) -> Option<JournalBatch> {
        // A key consists of the prefix, the shard, the fencing token and the sequence number.
        let mut key_parts = row.key.as_str().strip_prefix(CLAIM_PREFIX)?.split('/').skip(1);
        let fence = key_parts.next()?.parse().ok()?;
        let seq = key_parts.next()?.parse().ok()?;
        let entries = serde_json::from_str(&row.value).ok()?;
        let id = BatchId { fence: quantity::FencingToken::new(fence), seq };
        Some(JournalBatch { id, entries })
    }
}

/// Returns the key prefix of a shard's journal rows.
pub fn shard_prefix(shard: quantity::ShardNumber) -> String {
    format!("{CLAIM_PREFIX}{shard:04}/")
}

/// Returns the key of a journal row. The keys sort in the order of the journal.
pub fn batch_key(shard: quantity::ShardNumber, batch: BatchId) -> table::RowKey {
    let BatchId { fence, seq } = batch;
    table::RowKey::new(&format!("{}{fence:020}/{seq:020}", shard_prefix(shard)))
}
