//! Runs the checks that every change must pass.

use crate::known_failures;
use crate::packages;
use crate::run;
use crate::specs;
use crate::tests;

/// Runs the formatter, the linter, the tests and the model checker.
pub(crate) fn run_all() -> Result<(), run::TaskError> {
    packages::install_missing()?;
    let skipped_tests = known_failures::read_list()?;
    run::run("cargo", &["fmt", "--all", "--check"])?;
    run::run(
        "cargo",
        &["clippy", "--locked", "--workspace", "--all-targets", "--", "-D", "warnings"],
    )?;
    // The process tests start the programs in the target directory.
    run::run("cargo", &["build", "--locked", "--workspace", "--bins"])?;
    tests::run_all(&skipped_tests)?;
    specs::check_all()
}
