//! Builds the programs and runs the demonstration.

use crate::packages;
use crate::run;

/// Runs the demonstration; with `keep` it runs until a signal.
pub(crate) fn run_demo(keep: bool) -> Result<(), run::TaskError> {
    packages::install_missing()?;
    run::run("cargo", &["build", "--locked", "--workspace", "--bins"])?;
    let mut args = vec!["run", "--quiet", "--locked", "--package", "samphiremoor-demo"];
    if keep {
        args.extend(["--", "--keep"]);
    }
    Err(run::exec_command("cargo", &args))
}
