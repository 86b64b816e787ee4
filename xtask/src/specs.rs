//! Runs the model checker over every specification.
//!
//! A specification names its checks in its first lines, such as `/* check: ok */` and
//! `/* check: fault -DNO_FENCE */`: the verdict that the checker must reach with these defines.
//! A protection that a define takes out must let the checker find a fault; otherwise the check
//! proves nothing.

use std::fs;
use std::path;
use std::process;

use crate::run;

/// Directory of the specifications.
const SPEC_DIR: &str = "specs";

/// Depth of the checker's search stack.
const SEARCH_DEPTH: &str = "-m10000000";

/// Memory that the checker may take, in MiB.
const MEMORY_LIMIT: &str = "-DMEMLIM=6000";

/// What the checker must find.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SpecVerdict {
    Holds,
    Fails,
}

/// One run of the checker.
#[derive(Debug)]
struct SpecCheck {
    file: path::PathBuf,
    verdict: SpecVerdict,
    defines: Vec<String>,
}

/// Checks every specification and prints the states that were visited.
pub(crate) fn check_all() -> Result<(), run::ChoreError> {
    let checks = find_checks()?;
    if checks.is_empty() {
        return Err(run::ChoreError::Found(format!(
            "no check in {SPEC_DIR}; write `/* check: ok */` at the head of a specification"
        )));
    }
    for check in &checks {
        run_check(check)?;
    }
    println!("specs: {} passed, 0 failed", checks.len());
    Ok(())
}

fn find_checks() -> Result<Vec<SpecCheck>, run::ChoreError> {
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

fn run_check(check: &SpecCheck) -> Result<(), run::ChoreError> {
    let directory = work_directory()?;
    let spec = fs::canonicalize(&check.file)
        .map_err(|cause| not_started(&check.file.display().to_string(), cause))?;
    let mut spin = process::Command::new("spin");
    spin.args(&check.defines).arg("-a").arg(&spec);
    output(&mut spin, &directory)?;
    let mut compiler = process::Command::new("gcc");
    compiler.args(["-O2", "-DSAFETY", "-DCOLLAPSE", "-DNOFAIR", MEMORY_LIMIT, "-w"]);
    output(compiler.args(["-o", "pan", "pan.c"]), &directory)?;
    let mut checker = process::Command::new("./pan");
    let report = output(checker.arg(SEARCH_DEPTH), &directory)?;
    judge(check, &report)
}

fn judge(check: &SpecCheck, report: &str) -> Result<(), run::ChoreError> {
    let name = format!("{} {}", check.file.display(), check.defines.join(" "));
    let truncated = report.contains("max search depth too small");
    let finished = report.contains("State-vector");
    let found = match report.contains("errors: 0") {
        true => SpecVerdict::Holds,
        false => SpecVerdict::Fails,
    };
    if !finished || truncated || found != check.verdict {
        return Err(run::ChoreError::Found(format!(
            "{name}: expected {:?}, found {found:?}, finished {finished}, truncated {truncated}:\n{report}",
            check.verdict
        )));
    }
    let states = report.lines().find(|line| line.contains("states, stored")).unwrap_or("").trim();
    println!("specs: {name}: {found:?} as expected, {states}");
    Ok(())
}

fn work_directory() -> Result<path::PathBuf, run::ChoreError> {
    let target = std::env::var_os("CARGO_TARGET_DIR").unwrap_or_else(|| "target".into());
    let directory = path::PathBuf::from(target).join("specs");
    fs::create_dir_all(&directory)
        .map_err(|cause| not_started(&directory.display().to_string(), cause))?;
    Ok(directory)
}

fn output(
    command: &mut process::Command,
    directory: &path::Path,
) -> Result<String, run::ChoreError> {
    let text = format!("{command:?}");
    let done = command
        .current_dir(directory)
        .stdin(process::Stdio::null())
        .output()
        .map_err(|cause| not_started(&text, cause))?;
    let printed = String::from_utf8_lossy(&done.stdout).into_owned();
    // The checker itself ends with success whether or not it found a fault.
    if done.status.success() {
        return Ok(printed);
    }
    eprintln!("{printed}{}", String::from_utf8_lossy(&done.stderr));
    Err(run::ChoreError::Failed { command: text, status: done.status })
}

fn not_started(command: &str, cause: std::io::Error) -> run::ChoreError {
    run::ChoreError::NotStarted { command: command.to_owned(), cause }
}
