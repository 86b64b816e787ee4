//! The journal of a shard: rows of the table that hold its claims and results.

use std::sync;

use samphiremoor_base::digest;
use samphiremoor_base::quantity;
use samphiremoor_platform::table;
use serde::Deserialize;
use serde::Serialize;

use crate::key;

/// Prefix of the keys of journal rows.
const CLAIM_PREFIX: &str = "claim/";

/// A call's answer, encoded by the shell.
pub type EncodedResult = sync::Arc<str>;

/// One step in the life of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum JournalEntry {
    /// The call may run from now on.
    Claimed {
        /// The call's key.
        key: key::CallKey,
        /// Digest of the call.
        digest: digest::HexDigest,
    },
    /// The call ended with an answer.
    Finished {
        /// The call's key.
        key: key::CallKey,
        /// The answer; absent where it was too large to keep.
        result: Option<EncodedResult>,
    },
    /// The claim was given back: it is certain that the call was not run.
    Released {
        /// The call's key.
        key: key::CallKey,
    },
}

impl JournalEntry {
    /// Size of the result in the entry.
    pub fn result_bytes(&self) -> usize {
        match self {
            JournalEntry::Finished { result: Some(result), .. } => result.len(),
            _ => 0,
        }
    }
}

/// Place of a batch in the journal of its shard.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct BatchId {
    /// Fencing number of the holder that made it.
    pub fence: quantity::FencingToken,
    /// Number within the fencing number.
    pub seq: u64,
}

/// Entries that are written together, as one row.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct JournalBatch {
    /// Place in the journal.
    pub id: BatchId,
    /// The entries, in order.
    pub entries: Vec<JournalEntry>,
}

impl JournalBatch {
    /// Size of the results in the batch.
    pub fn result_bytes(&self) -> usize {
        self.entries.iter().map(JournalEntry::result_bytes).sum()
    }

    /// The row's value in the table.
    pub fn encode(&self) -> sync::Arc<str> {
        let text = serde_json::to_string(&self.entries)
            .expect("entries have string keys and no fallible values");
        sync::Arc::from(text)
    }

    /// Reads a journal row; absent where it is none.
    pub fn decode(row: &table::TableRow) -> Option<JournalBatch> {
        let mut parts = row.key.as_str().strip_prefix(CLAIM_PREFIX)?.split('/').skip(1);
        let fence = parts.next()?.parse().ok()?;
        let seq = parts.next()?.parse().ok()?;
        let entries = serde_json::from_str(&row.value).ok()?;
        let id = BatchId { fence: quantity::FencingToken::new(fence), seq };
        Some(JournalBatch { id, entries })
    }
}

/// Prefix of the keys of a shard's journal rows.
pub fn shard_prefix(shard: quantity::ShardNumber) -> String {
    format!("{CLAIM_PREFIX}{shard:04}/")
}

/// Key of a journal row. Keys sort in the order of the journal.
pub fn batch_key(shard: quantity::ShardNumber, batch: BatchId) -> table::RowKey {
    let BatchId { fence, seq } = batch;
    table::RowKey::new(&format!("{}{fence:020}/{seq:020}", shard_prefix(shard)))
}
