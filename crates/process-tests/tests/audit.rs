//! The audit finds each kind of violation.

use samphiremoor_base::outcome;
use samphiremoor_process_tests::audit;
use samphiremoor_process_tests::caller;
use samphiremoor_standin_service::wire;

const KEY: &str = "slot-7";

fn response(outcome: &str) -> caller::PlainResponse {
    let (outcome, receipt) = outcome.split_once(' ').unwrap_or((outcome, ""));
    let outcome = outcome
        .parse::<outcome::CallOutcome>()
        .map_or(caller::ReportedOutcome::Missing, caller::ReportedOutcome::Reported);
    let body = match receipt {
        "" => String::new(),
        receipt => format!(r#"{{"receipt":"{receipt}"}}"#),
    };
    caller::PlainResponse { status: 200, outcome, request_id: None, body }
}

fn check(outcomes: &[&str], runs: &[u64], expect: &[audit::KeyViolation]) {
    let mut ledger = audit::OutcomeLedger::default();
    outcomes.iter().for_each(|outcome| ledger.record(KEY, &response(outcome)));
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

/// Checks two requests with one key, of which the service ran those whose ids are in `ran`.
fn check_requests(outcomes: [&str; 2], ran: &[&str], expect: &[audit::KeyViolation]) {
    let mut ledger = audit::OutcomeLedger::default();
    for (outcome, id) in outcomes.iter().zip(["first", "second"]) {
        let request_id = Some(id.to_owned());
        ledger.record(KEY, &caller::PlainResponse { request_id, ..response(outcome) });
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
    audit::KeyViolation::RequestRanDespiteNotRun(key(), request.to_owned())
}

fn key() -> String {
    KEY.to_owned()
}

samphiremoor_base::cases! {
    one_reported_run_is_valid => check(&["unknown", "complete a"], &[1, 0], &[]);
    refused_and_then_run_is_valid => check(&["not-run", "complete a", "complete a"], &[1], &[]);
    runs_at_two_services_are_detected => check(
        &["complete a"], &[1, 1], &[audit::KeyViolation::RanTwice(key(), 2)]);
    run_reported_as_not_run_is_detected => check(
        &["not-run", "not-run"], &[1], &[audit::KeyViolation::RanDespiteNotRun(key())]);
    completion_without_a_run_is_detected => check(
        &["complete a"], &[0], &[audit::KeyViolation::CompleteWithoutRun(key())]);
    missing_responses_are_detected => check(&["-", "-"], &[1], &[audit::KeyViolation::NoOutcome(key())]);
    second_receipt_is_detected => check(
        &["complete a", "complete b"], &[1], &[audit::KeyViolation::DifferentReceipts(key())]);
    later_refusal_of_another_request_is_valid => check_requests(
        ["-", "not-run"], &["first"], &[]);
    refused_request_that_ran_is_detected => check_requests(
        ["-", "not-run"], &["second"], &[ran("second")]);
    refused_request_that_ran_is_detected_despite_a_complete_one => check_requests(
        ["not-run", "complete a"], &["first"], &[ran("first")]);
}
