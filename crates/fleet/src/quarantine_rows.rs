//! Rows in which operators see quarantined segments and lift verdicts.

use std::collections;

use samphiremoor_platform::table;
use serde::Deserialize;
use serde::Serialize;

use crate::quarantine;

/// Key prefix of the rows.
pub const ROW_PREFIX: &str = "quarantine/";
/// Largest number of rows that one transaction writes.
const MAX_WRITES: usize = 100;

/// State of a segment in its row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum SegmentState {
    /// Requests with the segment are refused.
    Quarantined,
    /// An operator has lifted the verdict.
    Released,
}

/// Row of a segment. Its key is the segment's ID.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SegmentRow {
    /// State of the segment.
    pub state: SegmentState,
    /// Since when the segment is quarantined, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub since_ms: u64,
    /// When one request may test the verdict, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub next_test_ms: u64,
}

impl SegmentRow {
    /// Returns the notice of the verdict, unless it was lifted.
    pub fn notice(&self, segment: quarantine::SegmentId) -> Option<quarantine::QuarantineNotice> {
        let SegmentRow { state, since_ms, next_test_ms } = *self;
        let verdict = quarantine::QuarantineNotice::Verdict { segment, since_ms, next_test_ms };
        (state == SegmentState::Quarantined).then_some(verdict)
    }
}

/// Rows by segment.
pub type SegmentRows = collections::BTreeMap<quarantine::SegmentId, SegmentRow>;

/// Decodes the rows of a scan of [`ROW_PREFIX`]. Also returns the keys of those that are not rows of
/// segments.
pub fn decode(rows: &[table::TableRow]) -> (SegmentRows, Vec<table::RowKey>) {
    let (mut segment_rows, mut unreadable) = (SegmentRows::new(), Vec::new());
    for row in rows {
        let name = row.key.as_str().strip_prefix(ROW_PREFIX).unwrap_or_default();
        match (name.parse(), serde_json::from_str(&row.value)) {
            (Ok(segment), Ok(segment_row)) => {
                segment_rows.insert(segment, segment_row);
            }
            _ => unreadable.push(row.key.clone()),
        }
    }
    (segment_rows, unreadable)
}

/// Returns the segments whose verdicts an operator has lifted.
pub fn released(rows: &SegmentRows) -> Vec<quarantine::SegmentId> {
    let released = rows.iter().filter(|(_, row)| row.state == SegmentState::Released);
    released.map(|(segment, _)| *segment).collect()
}

/// Returns the writes that make the rows show the verdicts of a table, as many as one transaction
/// takes.
pub fn writes(rows: &SegmentRows, table: &quarantine::QuarantineTable) -> Vec<table::RowWrite> {
    let row = |verdict: &quarantine::SegmentVerdict| SegmentRow {
        state: SegmentState::Quarantined,
        since_ms: verdict.since_ms,
        next_test_ms: verdict.next_test_ms,
    };
    let wanted: SegmentRows =
        table.verdicts().map(|(segment, verdict)| (*segment, row(verdict))).collect();
    let key =
        |segment: &quarantine::SegmentId| table::RowKey::new(&format!("{ROW_PREFIX}{segment}"));
    let changed = wanted.iter().filter(|(segment, row)| rows.get(segment) != Some(row));
    let put = changed.map(|(segment, row)| {
        let value = serde_json::to_string(row).unwrap_or_default();
        table::RowWrite::Put(key(segment), value.as_str().into())
    });
    let ended = rows.keys().filter(|segment| !wanted.contains_key(segment));
    let delete = ended.map(|segment| table::RowWrite::Delete(key(segment)));
    put.chain(delete).take(MAX_WRITES).collect()
}
