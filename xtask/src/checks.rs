//! The checks that every change must pass.

use crate::packages;
use crate::run;

/// Runs the formatter, the linter and the tests.
pub(crate) fn run_all() -> Result<(), run::ChoreError> {
    packages::install_missing()?;
    run::run("cargo", &["fmt", "--all", "--check"])?;
    run::run(
        "cargo",
        &["clippy", "--locked", "--workspace", "--all-targets", "--", "-D", "warnings"],
    )?;
    run::run("cargo", &["build", "--locked", "--workspace", "--bins"])?;
    run::run("cargo", &["test", "--locked", "--workspace"])
}
