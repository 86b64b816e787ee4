//! Holds what callers were told against what the services ran.

use std::collections;
use std::fmt;

use samphiremoor_base::outcome;
use samphiremoor_standin_service::wire;

use crate::caller;

/// What was told of each key, in order of the answers.
#[derive(Clone, Debug, Default)]
pub struct ToldLedger {
    keys: collections::BTreeMap<String, Vec<ToldAnswer>>,
}

#[derive(Clone, Debug)]
struct ToldAnswer {
    told: caller::ToldOutcome,
    receipt: Option<String>,
    request: Option<String>,
}

/// Something that must never happen.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyViolation {
    /// The key ran so many times.
    RanTwice(String, u64),
    /// Every send of the key was said not to have run, but it ran.
    NotRunThatRan(String),
    /// The request was said not to have run, but it ran.
    RequestThatRan(String, String),
    /// The key was said to be complete, but it never ran.
    CompleteThatDidNotRun(String),
    /// Two answers to the key have different receipts.
    DifferentReceipts(String),
    /// No send of the key was ever answered.
    NoAnswer(String),
}

impl fmt::Display for KeyViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            KeyViolation::RanTwice(key, runs) => write!(f, "{key}: ran {runs} times"),
            KeyViolation::NotRunThatRan(key) => write!(f, "{key}: told not-run, but it ran"),
            KeyViolation::RequestThatRan(key, request) => {
                write!(f, "{key}: request {request} was told not-run, but it ran")
            }
            KeyViolation::CompleteThatDidNotRun(key) => {
                write!(f, "{key}: told complete, but it did not run")
            }
            KeyViolation::DifferentReceipts(key) => write!(f, "{key}: two different receipts"),
            KeyViolation::NoAnswer(key) => write!(f, "{key}: no send was answered"),
        }
    }
}

impl ToldLedger {
    /// Notes an answer to a send of the key.
    pub fn note(&mut self, key: &str, answer: &caller::PlainAnswer) {
        let request = answer.request_id.clone();
        let told = ToldAnswer { told: answer.told, receipt: answer.receipt(), request };
        self.keys.entry(key.to_owned()).or_default().push(told);
    }

    /// Takes in what another ledger noted.
    pub fn merge(&mut self, other: ToldLedger) {
        for (key, answers) in other.keys {
            self.keys.entry(key).or_default().extend(answers);
        }
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key was noted.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Everything that must not have happened, by the counts of all services.
    pub fn violations(&self, counts: &[wire::ServiceCounts]) -> Vec<KeyViolation> {
        let mut violations = Vec::new();
        for (key, answers) in &self.keys {
            let runs = counts.iter().filter_map(|counted| counted.keys.get(key));
            check_key(key, answers, runs.map(|count| count.runs).sum(), &mut violations);
            check_requests(key, answers, counts, &mut violations);
        }
        violations
    }
}

fn check_key(key: &str, answers: &[ToldAnswer], runs: u64, violations: &mut Vec<KeyViolation>) {
    let has =
        |wanted| answers.iter().any(|answer| answer.told == caller::ToldOutcome::Told(wanted));
    let all_not_run = answers
        .iter()
        .all(|answer| answer.told == caller::ToldOutcome::Told(outcome::CallOutcome::NotRun));
    if runs > 1 {
        violations.push(KeyViolation::RanTwice(key.to_owned(), runs));
    }
    if all_not_run && runs > 0 {
        violations.push(KeyViolation::NotRunThatRan(key.to_owned()));
    }
    if has(outcome::CallOutcome::Complete) && runs == 0 {
        violations.push(KeyViolation::CompleteThatDidNotRun(key.to_owned()));
    }
    if answers.iter().all(|answer| answer.told == caller::ToldOutcome::Nothing) {
        violations.push(KeyViolation::NoAnswer(key.to_owned()));
    }
    let receipts: collections::BTreeSet<_> =
        answers.iter().filter_map(|answer| answer.receipt.as_ref()).collect();
    if receipts.len() > 1 {
        violations.push(KeyViolation::DifferentReceipts(key.to_owned()));
    }
}

/// A request that was told not-run is not among those that a service ran. This holds for each
/// request, also where another request with the key ran.
fn check_requests(
    key: &str,
    answers: &[ToldAnswer],
    counts: &[wire::ServiceCounts],
    violations: &mut Vec<KeyViolation>,
) {
    let not_run = caller::ToldOutcome::Told(outcome::CallOutcome::NotRun);
    let denied = answers.iter().filter(|answer| answer.told == not_run);
    for request in denied.filter_map(|answer| answer.request.as_ref()) {
        if counts.iter().any(|counted| counted.requests.contains(request)) {
            violations.push(KeyViolation::RequestThatRan(key.to_owned(), request.clone()));
        }
    }
}
