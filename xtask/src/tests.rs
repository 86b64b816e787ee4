//! Runs the test programs of the workspace concurrently.
//!
//! Many test programs mostly wait for processes that they started, so running them one after the
//! other takes three times as long. Each program runs in the directory of its package, as with
//! `cargo test`.

use std::collections;
use std::path;
use std::process;
use std::sync;
use std::thread;
use std::time;

use serde::Deserialize;

use crate::run;

/// Number of test programs that run concurrently. The largest ones start a few dozen processes
/// each.
const MAX_CONCURRENT_PROGRAMS: usize = 3;
/// Packages whose test programs are started first, because they take longest.
const LONG_PACKAGES: &[&str] = &["process-tests", "fleet", "adapter", "shards", "demo"];

/// A message of cargo about a built artifact.
#[derive(Debug)]
#[derive(Deserialize)]
struct ArtifactLine {
    reason: String,
    manifest_path: Option<path::PathBuf>,
    executable: Option<path::PathBuf>,
    target: Option<TargetLine>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct TargetLine {
    name: String,
    kind: Vec<String>,
}

/// A test program.
#[derive(Debug)]
struct TestProgram {
    name: String,
    folder: path::PathBuf,
    executable: path::PathBuf,
}

/// Builds and runs all tests except the skipped ones.
pub(crate) fn run_all(skipped_tests: &[String]) -> Result<(), run::TaskError> {
    let start = time::Instant::now();
    let programs = build_programs()?;
    let count = programs.len();
    eprintln!("$ {count} test programs, {MAX_CONCURRENT_PROGRAMS} at a time");
    let queue = sync::Mutex::new(collections::VecDeque::from(programs));
    let failed = sync::Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..MAX_CONCURRENT_PROGRAMS {
            scope.spawn(|| run_queue(&queue, skipped_tests, &failed));
        }
    });
    eprintln!("# {:.0} s", start.elapsed().as_secs_f64());
    let failed = failed.into_inner().unwrap_or_else(sync::PoisonError::into_inner);
    match failed.is_empty() {
        true => Ok(()),
        false => {
            let names = failed.join(", ");
            let text = format!("{} of {count} test programs failed: {names}", failed.len());
            Err(run::TaskError::Failure(text))
        }
    }
}

fn build_programs() -> Result<Vec<TestProgram>, run::TaskError> {
    let args = ["test", "--locked", "--workspace", "--no-run", "--message-format=json"];
    let command = format!("cargo {}", args.join(" "));
    eprintln!("$ {command}");
    let output = process::Command::new("cargo")
        .args(args)
        .stdin(process::Stdio::null())
        .stderr(process::Stdio::inherit())
        .output()
        .map_err(|cause| run::TaskError::NotStarted { command: command.clone(), cause })?;
    if !output.status.success() {
        return Err(run::TaskError::CommandFailed { command, status: output.status });
    }
    let text = String::from_utf8_lossy(&output.stdout);
    let mut programs: Vec<_> = text.lines().filter_map(read_program).collect();
    let is_not_long = |program: &TestProgram| {
        !LONG_PACKAGES.iter().any(|package| program.name.starts_with(package))
    };
    programs.sort_by_key(is_not_long);
    Ok(programs)
}

fn read_program(line: &str) -> Option<TestProgram> {
    let line: ArtifactLine = serde_json::from_str(line).ok()?;
    let (target, executable) = (line.target?, line.executable?);
    let is_test =
        line.reason == "compiler-artifact" && target.kind.iter().any(|kind| kind == "test");
    if !is_test {
        return None;
    }
    let folder = line.manifest_path?.parent()?.to_owned();
    let package = folder.file_name()?.to_string_lossy().replace("platform", "adapter");
    let package = if folder.ends_with("crates/platform") { "platform" } else { &package };
    Some(TestProgram { name: format!("{package}/{}", target.name), folder, executable })
}

fn run_queue(
    queue: &sync::Mutex<collections::VecDeque<TestProgram>>,
    skipped_tests: &[String],
    failed: &sync::Mutex<Vec<String>>,
) {
    let lock = || queue.lock().unwrap_or_else(sync::PoisonError::into_inner);
    loop {
        let Some(program) = lock().pop_front() else { return };
        if !run_program(&program, skipped_tests) {
            failed.lock().unwrap_or_else(sync::PoisonError::into_inner).push(program.name);
        }
    }
}

/// Runs a test program and prints its output; returns whether all its tests passed.
fn run_program(program: &TestProgram, skipped_tests: &[String]) -> bool {
    let start = time::Instant::now();
    let mut command = process::Command::new(&program.executable);
    command.current_dir(&program.folder).stdin(process::Stdio::null());
    if !skipped_tests.is_empty() {
        command.arg("--exact");
    }
    for name in skipped_tests {
        command.args(["--skip", name]);
    }
    let seconds = || start.elapsed().as_secs_f64();
    match command.output() {
        Ok(output) => {
            let text = String::from_utf8_lossy(&output.stdout);
            let errors = String::from_utf8_lossy(&output.stderr);
            println!("== {} ({:.0} s)\n{}{}", program.name, seconds(), text.trim_end(), errors);
            output.status.success()
        }
        Err(cause) => {
            println!("== {} can't be started ({cause}); rebuild it", program.name);
            false
        }
    }
}
