//! A record as it was written.

use std::error;
use std::fmt;
use std::str;
use std::sync;

use samphiremoor_base::id;
use serde::Deserialize;
use serde::Serialize;

/// Kind of a record.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub enum RecordKind {
    /// A workspace.
    Workspace,
    /// A service.
    Service,
    /// A pool.
    Pool,
}

impl RecordKind {
    /// Returns the name of the kind in record files and on the command line.
    pub const fn label(self) -> &'static str {
        match self {
            RecordKind::Workspace => "workspace",
            RecordKind::Service => "service",
            RecordKind::Pool => "pool",
        }
    }
}

/// Kind and id of a record, such as `service/drafts`.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct RecordKey {
    /// Kind of the record.
    pub kind: RecordKind,
    /// Id of the record, unique within its kind.
    pub id: id::RecordId,
}

impl fmt::Display for RecordKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind.label(), self.id)
    }
}

/// Error that a text is not a record key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeyError;

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a record key; write workspace/ID, service/ID or pool/ID")
    }
}

impl error::Error for KeyError {}

impl str::FromStr for RecordKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        let (kind, id) = text.split_once('/').ok_or(KeyError)?;
        let kind = match kind {
            "workspace" => RecordKind::Workspace,
            "service" => RecordKind::Service,
            "pool" => RecordKind::Pool,
            _ => return Err(KeyError),
        };
        let id = id.parse().map_err(|_| KeyError)?;
        Ok(RecordKey { kind, id })
    }
}

/// One record in the schema version in which it was written.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct RecordEntry {
    /// Kind and id of the record.
    pub key: RecordKey,
    /// Schema version of the text.
    pub schema: u32,
    /// Record file that contains only this record.
    pub text: sync::Arc<str>,
}
