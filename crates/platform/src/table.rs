//! The transactional table service.

use std::error;
use std::fmt;
use std::sync;

use async_trait::async_trait;
use samphiremoor_base::id;
use samphiremoor_base::quantity;
use serde::Deserialize;
use serde::Serialize;

/// Key of a row, such as `lease/shard/7`.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(transparent)]
pub struct RowKey(sync::Arc<str>);

impl RowKey {
    /// Wraps a key.
    pub fn new(text: &str) -> Self {
        RowKey(sync::Arc::from(text))
    }

    /// The key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for RowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A row as it was read.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct TableRow {
    /// The row's key.
    pub key: RowKey,
    /// Version of the row: greater after each write of it, over deletions too.
    pub version: quantity::RowVersion,
    /// The value, most often JSON.
    pub value: sync::Arc<str>,
}

/// What must hold of a row for a transaction to take effect.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum RowCondition {
    /// The row does not exist.
    Absent(RowKey),
    /// The row exists with this version.
    VersionIs(RowKey, quantity::RowVersion),
}

impl RowCondition {
    /// The row that it is about.
    pub fn key(&self) -> &RowKey {
        match self {
            RowCondition::Absent(key) | RowCondition::VersionIs(key, _) => key,
        }
    }
}

/// What a transaction does to a row.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum RowWrite {
    /// Sets the value.
    Put(RowKey, sync::Arc<str>),
    /// Deletes the row.
    Delete(RowKey),
}

/// Conditions and writes that take effect together or not at all.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct TableTransaction {
    /// Names the transaction in logs.
    pub write_id: id::WriteId,
    /// What must hold.
    pub conditions: Vec<RowCondition>,
    /// What is written.
    pub writes: Vec<RowWrite>,
}

/// The table's answer to a transaction.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum CommitResponse {
    /// It took effect; every written row has this version.
    Committed(quantity::RowVersion),
    /// It had no effect: the condition on this row does not hold.
    Refused(RowKey),
}

/// Why a call to the platform has no answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformError {
    /// The call had no effect: the platform was not reached, or it said so.
    NotDone(sync::Arc<str>),
    /// The call may have taken effect.
    Unknown(sync::Arc<str>),
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlatformError::NotDone(cause) => {
                write!(f, "the platform did not do it ({cause}); try again later")
            }
            PlatformError::Unknown(cause) => {
                write!(f, "not known whether the platform did it ({cause}); read it back")
            }
        }
    }
}

impl error::Error for PlatformError {}

/// The table.
#[async_trait]
pub trait TableStore: Send + Sync {
    /// Reads one row.
    async fn read(&self, key: &RowKey) -> Result<Option<TableRow>, PlatformError>;

    /// Reads rows whose keys start with `prefix` and come after `after`, in order of their keys.
    async fn scan(
        &self,
        prefix: &str,
        after: Option<&RowKey>,
        limit: usize,
    ) -> Result<Vec<TableRow>, PlatformError>;

    /// Carries out a transaction.
    async fn commit(&self, transaction: &TableTransaction)
    -> Result<CommitResponse, PlatformError>;
}
