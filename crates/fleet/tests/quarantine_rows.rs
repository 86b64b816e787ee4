//! Rows in which operators see quarantined segments.

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_fleet::clock_instant;
use samphiremoor_fleet::quarantine;
use samphiremoor_fleet::quarantine_rows;
use samphiremoor_fleet::suspect;
use samphiremoor_platform::table;

/// Number of writes that a transaction takes.
const MAX_WRITES: usize = 100;

fn row(key: &str, value: &str) -> table::TableRow {
    let key = table::RowKey::new(key);
    table::TableRow { key, version: quantity::RowVersion::new(1), value: value.into() }
}

/// Returns a table with verdicts on this many segments.
fn table_with_verdicts(count: u64) -> quarantine::QuarantineTable {
    let mut table = quarantine::QuarantineTable::default();
    let at = |ms: u64| clock_instant::ClockInstant {
        now: time::MonotonicTime::new(1_000 + ms),
        unix_ms: 1_700_000_000_000 + ms,
    };
    let replica: id::ReplicaId = "replica".parse().expect("a valid ID");
    for segment in 0..count {
        for crash in 0..4 {
            let incarnation = quantity::Incarnation::new(segment * 10 + crash + 1);
            let suspects = [suspect::SuspectId::Segment(segment)];
            table.observe_crash(&replica, incarnation, &suspects, at(segment));
        }
    }
    table.evaluate(at(10_000));
    table
}

#[test]
fn row_that_is_unreadable_hides_the_others() {
    let good = r#"{"state":"quarantined","since_ms":5,"next_test_ms":9}"#;
    let rows = [
        row("quarantine/00000000000000ab", good),
        row("quarantine/no-segment", good),
        row("quarantine/00000000000000ac", "released"),
        row("quarantine/00000000000000ad", r#"{"state":"released"}"#),
    ];
    let (segment_rows, unreadable) = quarantine_rows::decode(&rows);
    assert_eq!(segment_rows.len(), 2);
    assert_eq!(quarantine_rows::released(&segment_rows), [suspect::SuspectId::Segment(0xad)]);
    assert_eq!(unreadable, [rows[1].key.clone(), rows[2].key.clone()]);
}

#[test]
fn rows_that_show_the_verdicts_are_written_again() {
    let table = table_with_verdicts(3);
    let writes = quarantine_rows::writes(&quarantine_rows::SuspectRows::new(), &table);
    assert_eq!(writes.len(), 3);
    let written: Vec<_> = writes
        .iter()
        .map(|write| match write {
            table::RowWrite::Put(key, value) => row(key.as_str(), value),
            table::RowWrite::Delete(key) => panic!("row {key} is deleted"),
        })
        .collect();
    let (rows, _) = quarantine_rows::decode(&written);
    assert!(quarantine_rows::writes(&rows, &table).is_empty());
}

#[test]
fn transaction_has_too_many_writes() {
    let rows = (0..300).map(|number| {
        let released = r#"{"state":"released"}"#;
        row(&format!("quarantine/{:016x}", 1_000 + number), released)
    });
    let (rows, _) = quarantine_rows::decode(&rows.collect::<Vec<_>>());
    let writes = quarantine_rows::writes(&rows, &table_with_verdicts(50));
    assert_eq!(writes.len(), MAX_WRITES);
}
