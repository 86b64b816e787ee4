//! The checks that every change must pass.

use crate::known_red;
use crate::packages;
use crate::run;
use crate::specs;
use crate::tests;

/// Runs the formatter, the linter, the tests and the model checker.
pub(crate) fn run_all() -> Result<(), run::ChoreError> {
    packages::install_missing()?;
    let passed_over = known_red::read_list()?;
    run::run("cargo", &["fmt", "--all", "--check"])?;
    run::run(
        "cargo",
        &["clippy", "--locked", "--workspace", "--all-targets", "--", "-D", "warnings"],
    )?;
    // Process tests start the programs from the target directory.
    run::run("cargo", &["build", "--locked", "--workspace", "--bins"])?;
    tests::run_all(&passed_over)?;
    specs::check_all()
}
