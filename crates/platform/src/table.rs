//! The platform's transactional table.

use std::error;
use std::fmt;
use std::sync;

use async_trait::async_trait;
use samphiremoor_base::id;
use samphiremoor_base::quantity;
use serde::Deserialize;
use serde::Serialize;

/// Number of rows in one page of [`scan_all`].
const SCAN_PAGE_ROWS: usize = 500;

/// Key of a row, such as `lease/shard/7`.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(transparent)]
pub struct RowKey(sync::Arc<str>);

impl RowKey {
    /// Creates a key from its text.
    pub fn new(text: &str) -> Self {
        RowKey(sync::Arc::from(text))
    }

    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for RowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A row of the table.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct TableRow {
    /// Key of the row.
    pub key: RowKey,
    /// Version of the row, which increases with each write, even if the row was deleted in between.
    pub version: quantity::RowVersion,
    /// Value of the row, usually JSON.
    pub value: sync::Arc<str>,
}

/// Precondition of a transaction on one row.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum RowCondition {
    /// The row does not exist.
    Absent(RowKey),
    /// The row exists with this version.
    VersionIs(RowKey, quantity::RowVersion),
}

impl RowCondition {
    /// Returns the key of the row that the condition applies to.
    pub fn key(&self) -> &RowKey {
        match self {
            RowCondition::Absent(key) | RowCondition::VersionIs(key, _) => key,
        }
    }
}

/// Write of a transaction to one row.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum RowWrite {
    /// Sets the value of the row.
    Put(RowKey, sync::Arc<str>),
    /// Deletes the row.
    Delete(RowKey),
}

/// A transaction: all writes are applied atomically if all conditions hold, otherwise none.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct TableTransaction {
    /// Identifies the transaction in logs.
    pub write_id: id::WriteId,
    /// Conditions that must all hold.
    pub conditions: Vec<RowCondition>,
    /// Writes to apply.
    pub writes: Vec<RowWrite>,
}

/// Response to a transaction.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum CommitResponse {
    /// The transaction took effect; every written row has this version.
    Committed(quantity::RowVersion),
    /// The transaction had no effect: the condition on this row does not hold.
    Refused(RowKey),
}

/// Error of a call to the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformError {
    /// The call had no effect: the platform was unreachable, or reported that it did not run the call.
    NotDone(sync::Arc<str>),
    /// The call may have taken effect.
    Unknown(sync::Arc<str>),
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlatformError::NotDone(cause) => {
                write!(f, "the platform did not run the call ({cause}); try again later")
            }
            PlatformError::Unknown(cause) => {
                write!(f, "the platform may have run the call ({cause}); read the state back")
            }
        }
    }
}

impl error::Error for PlatformError {}

/// The API of the table.
#[async_trait]
pub trait TableStore: Send + Sync {
    /// Returns the era of the table as of its last answer; `None` if it reports none. It increases each
    /// time that the table returns from an older copy of itself.
    fn era(&self) -> Option<quantity::StoreEra> {
        None
    }

    /// Reads one row.
    async fn read(&self, key: &RowKey) -> Result<Option<TableRow>, PlatformError>;

    /// Reads at most `limit` rows whose keys start with `prefix` and follow `after`, ordered by key.
    /// Returns fewer only if there are no more.
    async fn scan(
        &self,
        prefix: &str,
        after: Option<&RowKey>,
        limit: usize,
    ) -> Result<Vec<TableRow>, PlatformError>;

    /// Executes a transaction.
    async fn commit(&self, transaction: &TableTransaction)
    -> Result<CommitResponse, PlatformError>;
}

/// Reads all rows whose keys start with `prefix`, page by page, ordered by key.
///
/// # Errors
///
/// Fails if the read of any page fails.
pub async fn scan_all(
    store: &dyn TableStore,
    prefix: &str,
) -> Result<Vec<TableRow>, PlatformError> {
    let mut rows: Vec<TableRow> = Vec::new();
    loop {
        let after = rows.last().map(|row| row.key.clone());
        let page = store.scan(prefix, after.as_ref(), SCAN_PAGE_ROWS).await?;
        let is_last = page.len() < SCAN_PAGE_ROWS;
        rows.extend(page);
        if is_last {
            return Ok(rows);
        }
    }
}
