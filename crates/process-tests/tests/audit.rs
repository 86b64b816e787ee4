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
            let keys = [(KEY.to_owned(), count)].into();
            wire::ServiceCounts { total: *runs, keys, ..Default::default() }
        })
        .collect();
    assert_eq!(ledger.violations(&counts), expect);
}

/// Two requests with one key, of which the service ran those with the ids.
fn check_requests(told: [&str; 2], ran: &[&str], expect: &[audit::KeyViolation]) {
    let mut ledger = audit::ToldLedger::default();
    for (told, id) in told.iter().zip(["first", "second"]) {
        let request_id = Some(id.to_owned());
        ledger.note(KEY, &caller::PlainAnswer { request_id, ..answer(told) });
    }
    let count = wire::KeyCount { runs: ran.len() as u64, bodies: 1 };
    let counts = wire::ServiceCounts {
        total: ran.len() as u64,
        requests: ran.iter().map(|id| (*id).to_owned()).collect(),
        keys: [(KEY.to_owned(), count)].into(),
    };
    assert_eq!(ledger.violations(&[counts]), expect);
}

fn ran(request: &str) -> audit::KeyViolation {
    audit::KeyViolation::RequestThatRan(key(), request.to_owned())
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
    later_refusal_of_another_request_is_right => check_requests(
        ["-", "not-run"], &["first"], &[]);
    refused_request_that_ran_is_found => check_requests(
        ["-", "not-run"], &["second"], &[ran("second")]);
    refused_request_is_found_beside_a_complete_one => check_requests(
        ["not-run", "complete a"], &["first"], &[ran("first")]);
}
