//! All records of one revision, as they were written.

use std::collections;
use std::error;
use std::fmt;

use samphiremoor_base::digest;
use samphiremoor_base::quantity;

use crate::entry;
use crate::file;
use crate::set;
use crate::validation;

/// All records of a revision, by key.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RecordBundle {
    entries: collections::BTreeMap<entry::RecordKey, entry::RecordEntry>,
}

/// Error that a record to remove does not exist.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NotFoundError(pub entry::RecordKey);

impl fmt::Display for NotFoundError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: no such record; list the records with get", self.0)
    }
}

impl error::Error for NotFoundError {}

impl RecordBundle {
    /// Creates a bundle of the entries. A later entry replaces an earlier one with the same key.
    pub fn new(entries: impl IntoIterator<Item = entry::RecordEntry>) -> Self {
        let mut bundle = RecordBundle::default();
        entries.into_iter().for_each(|entry| bundle.put(entry));
        bundle
    }

    /// Adds or replaces a record.
    pub fn put(&mut self, entry: entry::RecordEntry) {
        self.entries.insert(entry.key.clone(), entry);
    }

    /// Removes a record.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no record with the key.
    pub fn remove(&mut self, key: &entry::RecordKey) -> Result<(), NotFoundError> {
        match self.entries.remove(key) {
            Some(_) => Ok(()),
            None => Err(NotFoundError(key.clone())),
        }
    }

    /// Returns the record with the key.
    pub fn get(&self, key: &entry::RecordKey) -> Option<&entry::RecordEntry> {
        self.entries.get(key)
    }

    /// Iterates over all records in the order of their keys.
    pub fn entries(&self) -> impl Iterator<Item = &entry::RecordEntry> {
        self.entries.values()
    }

    /// Returns the sorted keys of the records that differ between the bundles.
    pub fn changed_keys(&self, other: &RecordBundle) -> Vec<entry::RecordKey> {
        let keys: collections::BTreeSet<_> =
            self.entries.keys().chain(other.entries.keys()).collect();
        keys.into_iter().filter(|key| self.get(key) != other.get(key)).cloned().collect()
    }

    /// Computes the digest over the keys and texts of all records in the order of their keys.
    pub fn digest(&self) -> digest::HexDigest {
        let keys: Vec<String> = self.entries.keys().map(entry::RecordKey::to_string).collect();
        let texts = self.entries.values().map(|entry| entry.text.as_bytes());
        let parts: Vec<&[u8]> =
            keys.iter().zip(texts).flat_map(|(key, text)| [key.as_bytes(), text]).collect();
        digest::HexDigest::of_parts(&parts)
    }

    /// Parses the records into a record set and validates it.
    ///
    /// # Errors
    ///
    /// Returns an error if a record cannot be parsed or the record set is inconsistent.
    pub fn to_set(&self, revision: quantity::RevisionNumber) -> Result<set::RecordSet, SetError> {
        let mut records = set::RecordSet { revision, ..set::RecordSet::default() };
        for entry in self.entries.values() {
            let parsed = file::parse(&entry.text)
                .map_err(|cause| SetError::InvalidRecord(entry.key.clone(), cause))?;
            records.workspaces.extend(parsed.set.workspaces);
            records.services.extend(parsed.set.services);
            records.pools.extend(parsed.set.pools);
        }
        let errors = validation::validate(&records);
        if errors.is_empty() { Ok(records) } else { Err(SetError::Inconsistent(errors)) }
    }
}

/// Reason why records do not form a valid record set.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SetError {
    /// A record cannot be parsed.
    InvalidRecord(entry::RecordKey, file::FileError),
    /// The records are inconsistent.
    Inconsistent(Vec<validation::RecordError>),
}

impl fmt::Display for SetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SetError::InvalidRecord(key, cause) => write!(f, "{key}: {cause}"),
            SetError::Inconsistent(errors) => {
                let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
                f.write_str(&lines.join("\n"))
            }
        }
    }
}

impl error::Error for SetError {}
