//! Rows in which operators see what is quarantined and lift verdicts.

use std::collections;

use samphiremoor_platform::table;
use serde::Deserialize;
use serde::Serialize;

use crate::quarantine;
use crate::suspect;

/// Key prefix of the rows.
pub const ROW_PREFIX: &str = "quarantine/";
/// Largest number of rows that one transaction writes.
const MAX_WRITES: usize = 100;

/// State of a suspect in its row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum SuspectState {
    /// Requests with the suspect are refused.
    Quarantined,
    /// An operator has lifted the verdict.
    Released,
}

/// Row of a suspect. Its key is the suspect's ID.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SuspectRow {
    /// State of the suspect.
    pub state: SuspectState,
    /// Since when the suspect is quarantined, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub since_ms: u64,
    /// When one request may test the verdict, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub next_test_ms: u64,
}

impl SuspectRow {
    /// Returns the notice of the verdict, unless it was lifted.
    pub fn notice(&self, suspect: suspect::SuspectId) -> Option<quarantine::QuarantineNotice> {
        let SuspectRow { state, since_ms, next_test_ms } = *self;
        let verdict = quarantine::QuarantineNotice::Verdict { suspect, since_ms, next_test_ms };
        (state == SuspectState::Quarantined).then_some(verdict)
    }
}

/// Rows by suspect.
pub type SuspectRows = collections::BTreeMap<suspect::SuspectId, SuspectRow>;

/// Decodes the rows of a scan of [`ROW_PREFIX`]. Also returns the keys of those that are not rows of
/// suspects.
pub fn decode(rows: &[table::TableRow]) -> (SuspectRows, Vec<table::RowKey>) {
    let (mut suspect_rows, mut unreadable) = (SuspectRows::new(), Vec::new());
    for row in rows {
        let name = row.key.as_str().strip_prefix(ROW_PREFIX).unwrap_or_default();
        match (name.parse(), serde_json::from_str(&row.value)) {
            (Ok(suspect), Ok(suspect_row)) => {
                suspect_rows.insert(suspect, suspect_row);
            }
            _ => unreadable.push(row.key.clone()),
        }
    }
    (suspect_rows, unreadable)
}

/// Returns the suspects whose verdicts an operator has lifted.
pub fn released(rows: &SuspectRows) -> Vec<suspect::SuspectId> {
    let released = rows.iter().filter(|(_, row)| row.state == SuspectState::Released);
    released.map(|(suspect, _)| *suspect).collect()
}

/// Returns the writes that make the rows show the verdicts of a table, as many as one transaction
/// takes.
pub fn writes(rows: &SuspectRows, table: &quarantine::QuarantineTable) -> Vec<table::RowWrite> {
    let row = |verdict: &quarantine::SuspectVerdict| SuspectRow {
        state: SuspectState::Quarantined,
        since_ms: verdict.since_ms,
        next_test_ms: verdict.next_test_ms,
    };
    let wanted: SuspectRows =
        table.verdicts().map(|(suspect, verdict)| (*suspect, row(verdict))).collect();
    let key = |suspect: &suspect::SuspectId| table::RowKey::new(&format!("{ROW_PREFIX}{suspect}"));
    let changed = wanted.iter().filter(|(suspect, row)| rows.get(suspect) != Some(row));
    let put = changed.map(|(suspect, row)| {
        let value = serde_json::to_string(row).unwrap_or_default();
        table::RowWrite::Put(key(suspect), value.as_str().into())
    });
    let ended = rows.keys().filter(|suspect| !wanted.contains_key(suspect));
    let delete = ended.map(|suspect| table::RowWrite::Delete(key(suspect)));
    put.chain(delete).take(MAX_WRITES).collect()
}
