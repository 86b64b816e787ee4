//! The rows of a table with conditional transactions, without I/O.

use std::collections;
use std::ops;
use std::sync;

use samphiremoor_base::quantity;

use crate::table;

/// The rows of a table, and the version of the last transaction.
///
/// All rows share one version counter, so a row that is deleted and written again gets a greater
/// version than before.
#[derive(Clone, Debug, Default)]
pub struct RowSet {
    rows: collections::BTreeMap<table::RowKey, StoredRow>,
    last_version: quantity::RowVersion,
}

#[derive(Clone, Debug)]
struct StoredRow {
    version: quantity::RowVersion,
    value: sync::Arc<str>,
}

impl RowSet {
    /// Reads one row.
    pub fn read(&self, key: &table::RowKey) -> Option<table::TableRow> {
        self.rows.get(key).map(|stored| table_row(key, stored))
    }

    /// Returns at most `limit` rows whose keys start with `prefix` and follow `after`, ordered by key.
    pub fn scan(
        &self,
        prefix: &str,
        after: Option<&table::RowKey>,
        limit: usize,
    ) -> Vec<table::TableRow> {
        let prefix_key = table::RowKey::new(prefix);
        let start = match after {
            Some(after) if *after >= prefix_key => ops::Bound::Excluded(after.clone()),
            _ => ops::Bound::Included(prefix_key),
        };
        self.rows
            .range((start, ops::Bound::Unbounded))
            .take_while(|(key, _)| key.as_str().starts_with(prefix))
            .take(limit)
            .map(|(key, stored)| table_row(key, stored))
            .collect()
    }

    /// Executes a transaction: applies all writes, or none if a condition does not hold.
    pub fn commit(&mut self, transaction: &table::TableTransaction) -> table::CommitResponse {
        for condition in &transaction.conditions {
            if let Some(key) = self.failed_key(condition) {
                return table::CommitResponse::Refused(key);
            }
        }
        self.last_version = self.last_version.next();
        for write in &transaction.writes {
            self.apply(write);
        }
        table::CommitResponse::Committed(self.last_version)
    }

    /// Returns the key of a condition that does not hold.
    fn failed_key(&self, condition: &table::RowCondition) -> Option<table::RowKey> {
        let (key, holds) = match condition {
            table::RowCondition::Absent(key) => (key, !self.rows.contains_key(key)),
            table::RowCondition::VersionIs(key, version) => {
                (key, self.rows.get(key).is_some_and(|stored| stored.version == *version))
            }
        };
        (!holds).then(|| key.clone())
    }

    fn apply(&mut self, write: &table::RowWrite) {
        match write {
            table::RowWrite::Put(key, value) => {
                let stored = StoredRow { version: self.last_version, value: value.clone() };
                self.rows.insert(key.clone(), stored);
            }
            table::RowWrite::Delete(key) => {
                self.rows.remove(key);
            }
        }
    }
}

fn table_row(key: &table::RowKey, stored: &StoredRow) -> table::TableRow {
    table::TableRow { key: key.clone(), version: stored.version, value: stored.value.clone() }
}
