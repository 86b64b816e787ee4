//! Tests of transactions, with a `BTreeMap` as the model, and of injected faults.

use std::collections;
use std::sync;

use async_std::task;
use proptest::prelude::*;
use samphiremoor_platform::faults;
use samphiremoor_platform::rows;
use samphiremoor_platform::table;
use samphiremoor_platform::table::TableStore as _;
use samphiremoor_platform_client::memory;

fn key(number: u8) -> table::RowKey {
    table::RowKey::new(&format!("row/{number}"))
}

fn put(number: u8, text: &str) -> table::RowWrite {
    table::RowWrite::Put(key(number), sync::Arc::from(text))
}

fn transaction(
    conditions: Vec<table::RowCondition>,
    writes: Vec<table::RowWrite>,
) -> table::TableTransaction {
    let write_id = "write".parse().expect("the text is an identifier");
    table::TableTransaction { write_id, conditions, writes }
}

proptest! {
    #![proptest_config(samphiremoor_testkit::config(256))]

    #[test]
    fn versions_increase_and_refused_transactions_have_no_effect(
        steps in prop::collection::vec((0_u8..4, 0_u8..4, any::<bool>(), any::<bool>()), 1..60)
    ) {
        let mut rows = rows::RowSet::default();
        let mut model = collections::BTreeMap::new();
        let mut last_version = None;
        for (index, (tested_row, written_row, wants_absent, deletes)) in
            steps.into_iter().enumerate()
        {
            let condition = match (wants_absent, rows.read(&key(tested_row))) {
                (false, Some(row)) => table::RowCondition::VersionIs(key(tested_row), row.version),
                _ => table::RowCondition::Absent(key(tested_row)),
            };
            let condition_holds = !wants_absent || !model.contains_key(&key(tested_row));
            let write = if deletes {
                table::RowWrite::Delete(key(written_row))
            } else {
                put(written_row, &index.to_string())
            };
            match rows.commit(&transaction(vec![condition], vec![write])) {
                table::CommitResponse::Committed(version) => {
                    prop_assert!(condition_holds);
                    prop_assert!(Some(version) > last_version);
                    last_version = Some(version);
                    if deletes {
                        model.remove(&key(written_row));
                    } else {
                        model.insert(key(written_row), index.to_string());
                    }
                }
                table::CommitResponse::Refused(refused_key) => {
                    prop_assert!(!condition_holds);
                    prop_assert_eq!(refused_key, key(tested_row));
                }
            }
            let values: Vec<_> =
                rows.scan("row/", None, 10).into_iter().map(|row| row.value.to_string()).collect();
            let expected_values: Vec<_> = model.values().cloned().collect();
            prop_assert_eq!(values, expected_values);
        }
    }
}

#[test]
fn scan_continues_after_a_key() {
    let mut rows = rows::RowSet::default();
    rows.commit(&transaction(vec![], (0..5).map(|number| put(number, "x")).collect()));
    let page = rows.scan("row/", Some(&key(1)), 2);
    let keys: Vec<_> = page.into_iter().map(|row| row.key).collect();
    assert_eq!(keys, [key(2), key(3)]);
    assert!(rows.scan("other/", None, 10).is_empty());
}

fn check_fault(faults: faults::StoreFaults, takes_effect: bool, is_unknown: bool) {
    let store = memory::MemoryTable::new();
    store.set_faults(faults);
    let failure = task::block_on(store.commit(&transaction(vec![], vec![put(0, "x")])))
        .expect_err("the write gets no response");
    assert_eq!(matches!(failure, table::PlatformError::Unknown(_)), is_unknown);
    store.set_faults(faults::StoreFaults::default());
    let row = task::block_on(store.read(&key(0))).expect("the fault is over");
    assert_eq!(row.is_some(), takes_effect);
}

samphiremoor_base::cases! {
    unavailable_write_is_not_done => check_fault(
        faults::StoreFaults { unavailable: true, ..Default::default() }, false, false);
    lost_response_has_an_effect => check_fault(
        faults::StoreFaults { lost_answers: 1, ..Default::default() }, true, true);
    lost_request_has_no_effect => check_fault(
        faults::StoreFaults { lost_requests: 1, ..Default::default() }, false, true);
}
