//! Checks that each protection is needed: its test passes with the protection and fails without it.
//!
//! `protections/protections.toml` lists the protections. A protection is removed only in a scratch
//! copy of the workspace, so the released programs need no switch that disables it.

mod list;
mod scratch;
mod trial;

use std::collections;
use std::time::Instant;

use crate::run;

/// File with the list of protections.
const LIST_FILE: &str = "protections/protections.toml";

/// Removes each selected protection and checks that its test fails; an empty `only` selects all.
///
/// Prints one line for each protection. Returns an error if a test does not fail as its entry says.
pub(crate) fn check_all(only: &[String]) -> Result<(), run::TaskError> {
    let list = list::ProtectionList::read(LIST_FILE)?;
    let selected = list.select(only)?;
    let workspace = scratch::ScratchWorkspace::prepare()?;
    let mut passed_tests = collections::BTreeSet::new();
    let mut unconfirmed = Vec::new();
    for entry in selected {
        let trial = trial::ProtectionTrial { workspace: &workspace, list: &list, entry };
        if !check_entry(&trial, &mut passed_tests)? {
            unconfirmed.push(entry.name.as_str());
        }
    }
    if unconfirmed.is_empty() {
        return Ok(());
    }
    Err(run::TaskError::Failure(format!(
        "not confirmed: {}; strengthen the test or correct the entry in {LIST_FILE}",
        unconfirmed.join(", ")
    )))
}

/// Checks one entry; `passed_tests` holds the tests that already passed with their protections.
fn check_entry<'a>(
    trial: &trial::ProtectionTrial<'a>,
    passed_tests: &mut collections::BTreeSet<list::TestName<'a>>,
) -> Result<bool, run::TaskError> {
    let entry = trial.entry;
    let start = Instant::now();
    if !passed_tests.contains(&entry.test_name()) {
        let verdict = trial.run_with_protection()?;
        if verdict != trial::TrialVerdict::Passed {
            println!("protection {}: INVALID ENTRY: with the protection, {verdict}", entry.name);
            return Ok(false);
        }
        passed_tests.insert(entry.test_name());
    }
    let verdict = trial.run_without_protection()?;
    let is_confirmed = verdict == trial::TrialVerdict::FailedAsExpected;
    let seconds = start.elapsed().as_secs();
    match is_confirmed {
        true => println!(
            "protection {}: test {} fails without it, as expected ({seconds} s)",
            entry.name, entry.test
        ),
        false => {
            println!("protection {}: NOT CONFIRMED: without the protection, {verdict}", entry.name)
        }
    }
    Ok(is_confirmed)
}
