//! Comparison of the outcomes that callers received with the runs that the services counted.

use std::collections;
use std::fmt;

use samphiremoor_base::outcome;
use samphiremoor_standin_service::wire;

use crate::caller;

/// Outcomes that callers received for each key, in order of the responses.
#[derive(Clone, Debug, Default)]
pub struct OutcomeLedger {
    keys: collections::BTreeMap<String, Vec<LedgerEntry>>,
}

#[derive(Clone, Debug)]
struct LedgerEntry {
    outcome: caller::ReportedOutcome,
    receipt: Option<String>,
    request: Option<String>,
}

/// Violation of a guarantee about an idempotency key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyViolation {
    /// The key ran more than once; the number of runs is given.
    RanTwice(String, u64),
    /// Every response for the key reported `not-run`, but the key ran.
    RanDespiteNotRun(String),
    /// The response to this request reported `not-run`, but the request ran.
    RequestRanDespiteNotRun(String, String),
    /// A response reported that the key is complete, but the key never ran.
    CompleteWithoutRun(String),
    /// Two responses for the key have different receipts.
    DifferentReceipts(String),
    /// No send of the key received a response with an outcome.
    NoOutcome(String),
}

impl fmt::Display for KeyViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            KeyViolation::RanTwice(key, runs) => write!(f, "{key}: ran {runs} times"),
            KeyViolation::RanDespiteNotRun(key) => write!(f, "{key}: reported not-run, but ran"),
            KeyViolation::RequestRanDespiteNotRun(key, request) => {
                write!(f, "{key}: request {request} reported not-run, but ran")
            }
            KeyViolation::CompleteWithoutRun(key) => {
                write!(f, "{key}: reported complete, but did not run")
            }
            KeyViolation::DifferentReceipts(key) => write!(f, "{key}: two different receipts"),
            KeyViolation::NoOutcome(key) => write!(f, "{key}: no send received an outcome"),
        }
    }
}

impl OutcomeLedger {
    /// Records the response to a send of the key.
    pub fn record(&mut self, key: &str, response: &caller::PlainResponse) {
        let request = response.request_id.clone();
        let entry = LedgerEntry { outcome: response.outcome, receipt: response.receipt(), request };
        self.keys.entry(key.to_owned()).or_default().push(entry);
    }

    /// Merges the entries of another ledger into this one.
    pub fn merge(&mut self, other: OutcomeLedger) {
        for (key, entries) in other.keys {
            self.keys.entry(key).or_default().extend(entries);
        }
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether the ledger has no keys.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns all violations, judged by the counts of all services.
    pub fn violations(&self, counts: &[wire::ServiceCounts]) -> Vec<KeyViolation> {
        let mut violations = Vec::new();
        for (key, entries) in &self.keys {
            let runs = counts.iter().filter_map(|service_counts| service_counts.keys.get(key));
            check_key(key, entries, runs.map(|count| count.runs).sum(), &mut violations);
            check_requests(key, entries, counts, &mut violations);
        }
        violations
    }
}

fn check_key(key: &str, entries: &[LedgerEntry], runs: u64, violations: &mut Vec<KeyViolation>) {
    let has = |wanted| {
        entries.iter().any(|entry| entry.outcome == caller::ReportedOutcome::Reported(wanted))
    };
    let all_not_run = entries.iter().all(|entry| {
        entry.outcome == caller::ReportedOutcome::Reported(outcome::CallOutcome::NotRun)
    });
    if runs > 1 {
        violations.push(KeyViolation::RanTwice(key.to_owned(), runs));
    }
    if all_not_run && runs > 0 {
        violations.push(KeyViolation::RanDespiteNotRun(key.to_owned()));
    }
    if has(outcome::CallOutcome::Complete) && runs == 0 {
        violations.push(KeyViolation::CompleteWithoutRun(key.to_owned()));
    }
    if entries.iter().all(|entry| entry.outcome == caller::ReportedOutcome::Missing) {
        violations.push(KeyViolation::NoOutcome(key.to_owned()));
    }
    let receipts: collections::BTreeSet<_> =
        entries.iter().filter_map(|entry| entry.receipt.as_ref()).collect();
    if receipts.len() > 1 {
        violations.push(KeyViolation::DifferentReceipts(key.to_owned()));
    }
}

/// Checks that no request with the outcome `not-run` ran at a service. The check is per request,
/// because another request with the same key may have run.
fn check_requests(
    key: &str,
    entries: &[LedgerEntry],
    counts: &[wire::ServiceCounts],
    violations: &mut Vec<KeyViolation>,
) {
    let not_run = caller::ReportedOutcome::Reported(outcome::CallOutcome::NotRun);
    let not_run_entries = entries.iter().filter(|entry| entry.outcome == not_run);
    for request in not_run_entries.filter_map(|entry| entry.request.as_ref()) {
        if counts.iter().any(|service_counts| service_counts.requests.contains(request)) {
            violations.push(KeyViolation::RequestRanDespiteNotRun(key.to_owned(), request.clone()));
        }
    }
}
