//! A change of the records that an operator requests, and its options.

use samphiremoor_base::quantity;
use samphiremoor_records::bundle;
use samphiremoor_records::entry;

use crate::outcome;

/// A change of the records.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RecordChange {
    /// Adds or replaces records.
    Put(Vec<entry::RecordEntry>),
    /// Withdraws records.
    Withdraw(Vec<entry::RecordKey>),
}

/// Options of a change.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ChangeOptions {
    /// Refuses the change if one of its records was changed after this revision.
    pub base: Option<quantity::RevisionNumber>,
    /// Retries the change after a conflict if the concurrent change touched only other records.
    pub rebase: bool,
}

impl RecordChange {
    /// Returns the keys of the changed records.
    pub fn keys(&self) -> Vec<entry::RecordKey> {
        match self {
            RecordChange::Put(entries) => entries.iter().map(|entry| entry.key.clone()).collect(),
            RecordChange::Withdraw(keys) => keys.clone(),
        }
    }

    /// Applies the change to a bundle.
    ///
    /// # Errors
    ///
    /// Returns an error if a record to withdraw does not exist.
    pub fn apply(&self, bundle: &mut bundle::RecordBundle) -> Result<(), outcome::CtlError> {
        match self {
            RecordChange::Put(entries) => {
                entries.iter().for_each(|entry| bundle.put(entry.clone()));
            }
            RecordChange::Withdraw(keys) => {
                for key in keys {
                    bundle.remove(key)?;
                }
            }
        }
        Ok(())
    }
}
