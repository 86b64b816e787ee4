//! A record as it was written, and the whole of what is written at one revision.

use std::collections;
use std::error;
use std::fmt;
use std::str;
use std::sync;

use samphiremoor_base::digest;
use samphiremoor_base::id;
use samphiremoor_base::quantity;
use serde::Deserialize;
use serde::Serialize;

use crate::check;
use crate::file;
use crate::set;

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
    /// The word of record files and the command line.
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
    /// The kind.
    pub kind: RecordKind,
    /// The id within the kind.
    pub id: id::RecordId,
}

impl fmt::Display for RecordKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind.label(), self.id)
    }
}

/// The text names no record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeyError;

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not the key of a record; write workspace/ID, service/ID or pool/ID")
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
    /// Kind and id.
    pub key: RecordKey,
    /// Schema version.
    pub schema: u32,
    /// A record file that holds this record alone.
    pub text: sync::Arc<str>,
}

/// Every record of a revision, by key.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RecordBundle {
    entries: collections::BTreeMap<RecordKey, RecordEntry>,
}

/// Records are withdrawn that do not exist.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AbsentError(pub RecordKey);

impl fmt::Display for AbsentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: no such record; list the records with get", self.0)
    }
}

impl error::Error for AbsentError {}

impl RecordBundle {
    /// A bundle of the entries; a later entry replaces an earlier one with its key.
    pub fn new(entries: impl IntoIterator<Item = RecordEntry>) -> Self {
        let mut bundle = RecordBundle::default();
        entries.into_iter().for_each(|entry| bundle.put(entry));
        bundle
    }

    /// Adds or replaces a record.
    pub fn put(&mut self, entry: RecordEntry) {
        self.entries.insert(entry.key.clone(), entry);
    }

    /// Removes a record.
    ///
    /// # Errors
    ///
    /// Fails where there is no such record.
    pub fn remove(&mut self, key: &RecordKey) -> Result<(), AbsentError> {
        match self.entries.remove(key) {
            Some(_) => Ok(()),
            None => Err(AbsentError(key.clone())),
        }
    }

    /// The record with the key.
    pub fn get(&self, key: &RecordKey) -> Option<&RecordEntry> {
        self.entries.get(key)
    }

    /// Every record, by key.
    pub fn entries(&self) -> impl Iterator<Item = &RecordEntry> {
        self.entries.values()
    }

    /// Keys whose records differ between the bundles, by key.
    pub fn changed_keys(&self, other: &RecordBundle) -> Vec<RecordKey> {
        let keys: collections::BTreeSet<_> =
            self.entries.keys().chain(other.entries.keys()).collect();
        keys.into_iter().filter(|key| self.get(key) != other.get(key)).cloned().collect()
    }

    /// Digest of every record in the order of their keys.
    pub fn digest(&self) -> digest::HexDigest {
        let keys: Vec<String> = self.entries.keys().map(RecordKey::to_string).collect();
        let texts = self.entries.values().map(|entry| entry.text.as_bytes());
        let parts: Vec<&[u8]> =
            keys.iter().zip(texts).flat_map(|(key, text)| [key.as_bytes(), text]).collect();
        digest::HexDigest::of_parts(&parts)
    }

    /// The set that the records make, checked as a whole.
    ///
    /// # Errors
    ///
    /// Refuses a record that can't be read and a set that does not hold together.
    pub fn to_set(&self, revision: quantity::RevisionNumber) -> Result<set::RecordSet, SetError> {
        let mut records = set::RecordSet { revision, ..set::RecordSet::default() };
        for entry in self.entries.values() {
            let parsed = file::parse(&entry.text)
                .map_err(|cause| SetError::Unreadable(entry.key.clone(), cause))?;
            records.workspaces.extend(parsed.set.workspaces);
            records.services.extend(parsed.set.services);
            records.pools.extend(parsed.set.pools);
        }
        let faults = check::faults(&records);
        if faults.is_empty() { Ok(records) } else { Err(SetError::Inconsistent(faults)) }
    }
}

/// Why records make no set.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SetError {
    /// A record can't be read.
    Unreadable(RecordKey, file::FileError),
    /// The records do not hold together.
    Inconsistent(Vec<check::RecordFault>),
}

impl fmt::Display for SetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SetError::Unreadable(key, cause) => write!(f, "{key}: {cause}"),
            SetError::Inconsistent(faults) => {
                let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
                f.write_str(&lines.join("\n"))
            }
        }
    }
}

impl error::Error for SetError {}
