//! Installs the Debian packages that the build and the tests need.

use crate::run;

/// A required program, the argument that prints its version, and the Debian package that contains
/// it.
struct RequiredPackage {
    program: &'static str,
    version_argument: &'static str,
    package: &'static str,
}

const REQUIRED_PACKAGES: &[RequiredPackage] = &[
    RequiredPackage { program: "cmake", version_argument: "--version", package: "cmake" },
    RequiredPackage { program: "spin", version_argument: "-V", package: "spin" },
    RequiredPackage { program: "gcc", version_argument: "--version", package: "gcc" },
];

/// Installs the missing packages; does nothing if all programs are installed.
pub(crate) fn install_missing() -> Result<(), run::TaskError> {
    let missing: Vec<&str> = REQUIRED_PACKAGES
        .iter()
        .filter(|required| !run::is_installed(required.program, required.version_argument))
        .map(|required| required.package)
        .collect();
    if missing.is_empty() {
        return Ok(());
    }
    run::run("apt-get", &["update", "--quiet"])?;
    let mut args = vec!["install", "--quiet", "--yes", "--no-install-recommends"];
    args.extend(missing);
    run::run("apt-get", &args)
}
