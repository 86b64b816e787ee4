//! The audit finds each kind of broken promise.

use samphiremoor_base::outcome;
use samphiremoor_process_tests::audit;
use samphiremoor_process_tests::caller;
use samphiremoor_standin_service::wire;

const KEY: &str = "slot-7";

fn answer(told: &str) -> caller::PlainAnswer {
    let (outcome, receipt) = told.split_once(' ').unwrap_or((told, ""));
    let told = outcome
        .parse::<outcome::CallOutcome>()
        .map_or(caller::ToldOutcome::Nothing, caller::ToldOutcome::Told);
    let body = match receipt {
        "" => String::new(),
        receipt => format!(r#"{{"receipt":"{receipt}"}}"#),
    };
    caller::PlainAnswer { status: 200, told, request_id: None, body }
}

fn check(told: &[&str], runs: &[u64], expect: &[audit::KeyViolation]) {
    let mut ledger = audit::ToldLedger::default();
    told.iter().for_each(|told| ledger.note(KEY, &answer(told)));
    let counts: Vec<_> = runs
        .iter()
        .map(|runs| {
            let count = wire::KeyCount { runs: *runs, bodies: 1 };
            wire::ServiceCounts { total: *runs, keys: [(KEY.to_owned(), count)].into() }
        })
        .collect();
    assert_eq!(ledger.violations(&counts), expect);
}

fn key() -> String {
    KEY.to_owned()
}

samphiremoor_base::cases! {
    one_run_that_was_told_is_right => check(&["unknown", "complete a"], &[1, 0], &[]);
    refused_and_then_run_is_right => check(&["not-run", "complete a", "complete a"], &[1], &[]);
    runs_at_two_services_are_found => check(
        &["complete a"], &[1, 1], &[audit::KeyViolation::RanTwice(key(), 2)]);
    run_that_was_denied_is_found => check(
        &["not-run", "not-run"], &[1], &[audit::KeyViolation::NotRunThatRan(key())]);
    answer_without_a_run_is_found => check(
        &["complete a"], &[0], &[audit::KeyViolation::CompleteThatDidNotRun(key())]);
    silence_is_found => check(&["-", "-"], &[1], &[audit::KeyViolation::NoAnswer(key())]);
    second_receipt_is_found => check(
        &["complete a", "complete b"], &[1], &[audit::KeyViolation::DifferentReceipts(key())]);
}
