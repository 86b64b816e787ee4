//! Rows of the platform's table: immutable revisions, and the head row that points to the newest
//! one.

use std::error;
use std::fmt;
use std::sync;

use samphiremoor_base::digest;
use samphiremoor_base::id;
use samphiremoor_base::quantity;
use serde::Deserialize;
use serde::Serialize;

use crate::bundle;
use crate::entry;

/// Key of the head row.
pub const HEAD_KEY: &str = "records/head";

/// Key prefix of the revision rows.
pub const REVISION_PREFIX: &str = "records/revision/";

/// Key prefix of the drain marks on VMs.
pub const DRAIN_PREFIX: &str = "records/drain/";

/// Number of revisions that are retained behind the head. Each change deletes the revision that
/// falls out of this range.
pub const RETAINED_REVISIONS: u64 = 1_000;

/// Returns the key of a revision row. Keys sort in the order of the revision numbers.
pub fn revision_key(revision: quantity::RevisionNumber) -> String {
    format!("{REVISION_PREFIX}{:020}", revision.get())
}

/// Returns the key of the drain mark on a VM.
pub fn drain_key(vm: &id::VmId) -> String {
    format!("{DRAIN_PREFIX}{vm}")
}

/// Value of the head row.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HeadRow {
    /// The highest committed revision.
    pub revision: quantity::RevisionNumber,
    /// Digest of all records of the revision.
    pub digest: digest::HexDigest,
    /// Id of the write that created the revision.
    pub write_id: id::WriteId,
}

/// Value of a revision row, which is immutable.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RevisionRow {
    /// Number of the revision.
    pub revision: quantity::RevisionNumber,
    /// Digest of all records of the revision.
    pub digest: digest::HexDigest,
    /// Id of the write that created the revision.
    pub write_id: id::WriteId,
    /// Operator who made the change.
    pub author: sync::Arc<str>,
    /// Seconds since the Unix epoch on the operator's clock. The value is only shown to operators.
    pub written_at: u64,
    /// Keys of the records that the change added, replaced or removed.
    pub changed: Vec<entry::RecordKey>,
    /// All records of the revision.
    pub entries: Vec<entry::RecordEntry>,
}

/// Error that the value of a table row is invalid.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RowError {
    /// The value is not the expected JSON.
    Malformed(String),
    /// The records do not match the digest of the row.
    WrongDigest(quantity::RevisionNumber),
}

impl fmt::Display for RowError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RowError::Malformed(cause) => write!(
                f,
                "the table row cannot be parsed ({cause}); run the version that wrote it or a newer one"
            ),
            RowError::WrongDigest(revision) => write!(
                f,
                "the records of revision {revision} do not match their digest; apply the records \
                 again to write a new revision"
            ),
        }
    }
}

impl error::Error for RowError {}

impl HeadRow {
    /// Parses the value of the row.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not a head row.
    pub fn parse(value: &str) -> Result<Self, RowError> {
        serde_json::from_str(value).map_err(|cause| RowError::Malformed(cause.to_string()))
    }

    /// Serializes the value of the row.
    pub fn to_value(&self) -> String {
        serde_json::to_string(self).expect("a head row can be serialized")
    }
}

impl RevisionRow {
    /// Parses the value of the row and verifies the digest.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not a revision row or its records do not match the digest.
    pub fn parse(value: &str) -> Result<Self, RowError> {
        let row: RevisionRow =
            serde_json::from_str(value).map_err(|cause| RowError::Malformed(cause.to_string()))?;
        row.verify()?;
        Ok(row)
    }

    /// Verifies that the records match the digest.
    ///
    /// # Errors
    ///
    /// Returns an error if the records do not match the digest.
    pub fn verify(&self) -> Result<(), RowError> {
        if self.bundle().digest() == self.digest {
            return Ok(());
        }
        Err(RowError::WrongDigest(self.revision))
    }

    /// Serializes the value of the row.
    pub fn to_value(&self) -> String {
        serde_json::to_string(self).expect("a revision row can be serialized")
    }

    /// Returns the records of the revision as a bundle.
    pub fn bundle(&self) -> bundle::RecordBundle {
        bundle::RecordBundle::new(self.entries.iter().cloned())
    }
}
