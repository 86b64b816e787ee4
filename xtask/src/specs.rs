//! Runs the model checker on every specification.
//!
//! The first lines of a specification list its checks, such as `/* check: ok */` and
//! `/* check: fault -DNO_FENCE */`: the expected verdict and the defines of the run. A define that
//! expects a fault removes a protection; if the checker finds no fault without the protection, the
//! specification proves nothing about it.

use std::fs;
use std::path;
use std::process;

use crate::run;

/// Directory of the specifications.
const SPEC_DIR: &str = "specs";

/// Maximum depth of the checker's search.
const SEARCH_DEPTH: &str = "-m10000000";

/// Memory limit of the checker, in MiB.
const MEMORY_LIMIT: &str = "-DMEMLIM=6000";

/// Verdict of the checker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SpecVerdict {
    Holds,
    Fails,
}

/// A run of the checker.
#[derive(Debug)]
struct SpecCheck {
    file: path::PathBuf,
    verdict: SpecVerdict,
    defines: Vec<String>,
}

/// Checks every specification and prints the number of visited states.
pub(crate) fn check_all() -> Result<(), run::TaskError> {
    let checks = find_checks()?;
    if checks.is_empty() {
        return Err(run::TaskError::Failure(format!(
            "no check in {SPEC_DIR}; write `/* check: ok */` at the start of a specification"
        )));
    }
    for check in &checks {
        run_check(check)?;
    }
    println!("specs: {} passed, 0 failed", checks.len());
    Ok(())
}

fn find_checks() -> Result<Vec<SpecCheck>, run::TaskError> {
    let entries = fs::read_dir(SPEC_DIR).map_err(|cause| not_started(SPEC_DIR, cause))?;
    let mut files: Vec<path::PathBuf> = entries
        .filter_map(|entry| entry.ok().map(|entry| entry.path()))
        .filter(|file| file.extension().is_some_and(|extension| extension == "pml"))
        .collect();
    files.sort();
    let mut checks = Vec::new();
    for file in files {
        let text = fs::read_to_string(&file)
            .map_err(|cause| not_started(&file.display().to_string(), cause))?;
        checks.extend(text.lines().filter_map(|line| parse_check(&file, line)));
    }
    Ok(checks)
}

fn parse_check(file: &path::Path, line: &str) -> Option<SpecCheck> {
    let body = line.trim().strip_prefix("/* check:")?.strip_suffix("*/")?;
    let mut words = body.split_whitespace();
    let verdict = match words.next()? {
        "ok" => SpecVerdict::Holds,
        "fault" => SpecVerdict::Fails,
        _ => return None,
    };
    let defines = words.map(str::to_owned).collect();
    Some(SpecCheck { file: file.to_owned(), verdict, defines })
}

fn run_check(check: &SpecCheck) -> Result<(), run::TaskError> {
    let directory = work_directory()?;
    let spec = fs::canonicalize(&check.file)
        .map_err(|cause| not_started(&check.file.display().to_string(), cause))?;
    let mut spin = process::Command::new("spin");
    spin.args(&check.defines).arg("-a").arg(&spec);
    run_captured(&mut spin, &directory)?;
    let mut compiler = process::Command::new("gcc");
    compiler.args(["-O2", "-DSAFETY", "-DCOLLAPSE", "-DNOFAIR", MEMORY_LIMIT, "-w"]);
    run_captured(compiler.args(["-o", "pan", "pan.c"]), &directory)?;
    let mut checker = process::Command::new("./pan");
    let report = run_captured(checker.arg(SEARCH_DEPTH), &directory)?;
    compare_verdict(check, &report)
}

fn compare_verdict(check: &SpecCheck, report: &str) -> Result<(), run::TaskError> {
    let name = format!("{} {}", check.file.display(), check.defines.join(" "));
    let truncated = report.contains("max search depth too small");
    let finished = report.contains("State-vector");
    let found = match report.contains("errors: 0") {
        true => SpecVerdict::Holds,
        false => SpecVerdict::Fails,
    };
    if !finished || truncated || found != check.verdict {
        return Err(run::TaskError::Failure(format!(
            "{name}: expected {:?}, found {found:?}, finished {finished}, truncated {truncated}:\n{report}",
            check.verdict
        )));
    }
    let states = report.lines().find(|line| line.contains("states, stored")).unwrap_or("").trim();
    println!("specs: {name}: {found:?} as expected, {states}");
    Ok(())
}

fn work_directory() -> Result<path::PathBuf, run::TaskError> {
    let target = std::env::var_os("CARGO_TARGET_DIR").unwrap_or_else(|| "target".into());
    let directory = path::PathBuf::from(target).join("specs");
    fs::create_dir_all(&directory)
        .map_err(|cause| not_started(&directory.display().to_string(), cause))?;
    Ok(directory)
}

fn run_captured(
    command: &mut process::Command,
    directory: &path::Path,
) -> Result<String, run::TaskError> {
    let text = format!("{command:?}");
    let output = command
        .current_dir(directory)
        .stdin(process::Stdio::null())
        .output()
        .map_err(|cause| not_started(&text, cause))?;
    let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
    // The checker exits with success whether or not it found a fault.
    if output.status.success() {
        return Ok(stdout);
    }
    eprintln!("{stdout}{}", String::from_utf8_lossy(&output.stderr));
    Err(run::TaskError::CommandFailed { command: text, status: output.status })
}

fn not_started(command: &str, cause: std::io::Error) -> run::TaskError {
    run::TaskError::NotStarted { command: command.to_owned(), cause }
}
