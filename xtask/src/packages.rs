//! Installs the Debian packages that the build and the tests need.

use crate::run;

/// A program, the argument that shows its version, and the package that brings it.
struct NeededPackage {
    program: &'static str,
    probe: &'static str,
    package: &'static str,
}

const NEEDED: &[NeededPackage] = &[
    NeededPackage { program: "cmake", probe: "--version", package: "cmake" },
    NeededPackage { program: "spin", probe: "-V", package: "spin" },
    NeededPackage { program: "gcc", probe: "--version", package: "gcc" },
];

/// Installs the packages that are missing; does nothing where all are present.
pub(crate) fn install_missing() -> Result<(), run::ChoreError> {
    let missing: Vec<&str> = NEEDED
        .iter()
        .filter(|needed| !run::is_installed(needed.program, needed.probe))
        .map(|needed| needed.package)
        .collect();
    if missing.is_empty() {
        return Ok(());
    }
    run::run("apt-get", &["update", "--quiet"])?;
    let mut args = vec!["install", "--quiet", "--yes", "--no-install-recommends"];
    args.extend(missing);
    run::run("apt-get", &args)
}
