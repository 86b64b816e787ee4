//! What the platform's table holds: immutable revisions under one head row.

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

/// Prefix of the keys of revision rows.
pub const REVISION_PREFIX: &str = "records/revision/";

/// Prefix of the keys of rows that mark a VM as leaving.
pub const DRAIN_PREFIX: &str = "records/drain/";

/// Revisions that are kept behind the head; older ones are deleted by the change that passes them.
pub const RETAINED_REVISIONS: u64 = 1_000;

/// Key of a revision's row; keys order as the numbers do.
pub fn revision_key(revision: quantity::RevisionNumber) -> String {
    format!("{REVISION_PREFIX}{:020}", revision.get())
}

/// Key of the row that marks a VM as leaving.
pub fn drain_key(vm: &id::VmId) -> String {
    format!("{DRAIN_PREFIX}{vm}")
}

/// Value of the head row.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HeadRow {
    /// The highest accepted revision.
    pub revision: quantity::RevisionNumber,
    /// Digest of its records.
    pub digest: digest::HexDigest,
    /// The write that made it.
    pub write_id: id::WriteId,
}

/// Value of a revision's row, which never changes.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RevisionRow {
    /// The revision.
    pub revision: quantity::RevisionNumber,
    /// Digest of its records.
    pub digest: digest::HexDigest,
    /// The write that made it.
    pub write_id: id::WriteId,
    /// Who made the change.
    pub author: sync::Arc<str>,
    /// Seconds since 1970 on the operator's clock; for people only.
    pub written_at: u64,
    /// Records that the change added, replaced or withdrew.
    pub changed: Vec<entry::RecordKey>,
    /// Every record of the revision.
    pub entries: Vec<entry::RecordEntry>,
}

/// A row of the table does not hold what it should.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RowError {
    /// The value is not the expected JSON.
    Malformed(String),
    /// The records do not have the digest that the row gives.
    WrongDigest(quantity::RevisionNumber),
}

impl fmt::Display for RowError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RowError::Malformed(cause) => write!(
                f,
                "the table row can't be read ({cause}); run the version that wrote it, or newer"
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
    /// Reads the row's value.
    ///
    /// # Errors
    ///
    /// Refuses a value that is no head.
    pub fn parse(value: &str) -> Result<Self, RowError> {
        serde_json::from_str(value).map_err(|cause| RowError::Malformed(cause.to_string()))
    }

    /// The row's value.
    pub fn to_value(&self) -> String {
        serde_json::to_string(self).expect("a head has only texts and numbers")
    }
}

impl RevisionRow {
    /// Reads the row's value and verifies its digest.
    ///
    /// # Errors
    ///
    /// Refuses a value that is no revision or whose records do not match the digest.
    pub fn parse(value: &str) -> Result<Self, RowError> {
        let row: RevisionRow =
            serde_json::from_str(value).map_err(|cause| RowError::Malformed(cause.to_string()))?;
        row.verify()?;
        Ok(row)
    }

    /// Verifies the digest.
    ///
    /// # Errors
    ///
    /// Refuses records that do not match the digest.
    pub fn verify(&self) -> Result<(), RowError> {
        if self.bundle().digest() == self.digest {
            return Ok(());
        }
        Err(RowError::WrongDigest(self.revision))
    }

    /// The row's value.
    pub fn to_value(&self) -> String {
        serde_json::to_string(self).expect("a revision has only texts and numbers")
    }

    /// The records.
    pub fn bundle(&self) -> bundle::RecordBundle {
        bundle::RecordBundle::new(self.entries.iter().cloned())
    }
}
