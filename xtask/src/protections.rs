//! Shows that each protection is needed: its test passes with it and fails without it.
//!
//! `protections/protections.toml` lists the protections. Each is taken out of a scratch copy of the
//! workspace, never of the workspace itself, so no switch for it exists in what is shipped.

mod list;
mod scratch;
mod trial;

use std::collections;
use std::time::Instant;

use crate::run;

/// File with the list of protections.
const LIST_FILE: &str = "protections/protections.toml";

/// Takes out each protection, or those that are named, and expects its test to fail.
///
/// Prints one line for each; fails where a test does not fail as its entry says.
pub(crate) fn show_all(only: &[String]) -> Result<(), run::ChoreError> {
    let list = list::ProtectionList::read(LIST_FILE)?;
    let chosen = list.chosen(only)?;
    let workspace = scratch::ScratchWorkspace::prepare()?;
    let mut sound = collections::BTreeSet::new();
    let mut missed = Vec::new();
    for entry in chosen {
        let bench = trial::TrialBench { workspace: &workspace, list: &list, entry };
        if !show_one(&bench, &mut sound)? {
            missed.push(entry.name.as_str());
        }
    }
    if missed.is_empty() {
        return Ok(());
    }
    Err(run::ChoreError::Found(format!(
        "not shown: {}; strengthen the test or correct the entry in {LIST_FILE}",
        missed.join(", ")
    )))
}

/// Tries one entry; `sound` holds the tests that passed with their protections already.
fn show_one<'a>(
    bench: &trial::TrialBench<'a>,
    sound: &mut collections::BTreeSet<list::TestName<'a>>,
) -> Result<bool, run::ChoreError> {
    let entry = bench.entry;
    let start = Instant::now();
    if !sound.contains(&entry.test_name()) {
        let verdict = bench.try_with()?;
        if verdict != trial::TrialVerdict::Passed {
            println!("protection {}: WRONG ENTRY: with it, {verdict}", entry.name);
            return Ok(false);
        }
        sound.insert(entry.test_name());
    }
    let verdict = bench.try_without()?;
    let is_shown = verdict == trial::TrialVerdict::FailedAsNamed;
    let seconds = start.elapsed().as_secs();
    match is_shown {
        true => println!(
            "protection {}: test {} fails without it, as expected ({seconds} s)",
            entry.name, entry.test
        ),
        false => println!("protection {}: NOT FOUND: without it, {verdict}", entry.name),
    }
    Ok(is_shown)
}
