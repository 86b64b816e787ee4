//! Runs the test programs of the workspace, several at a time.
//!
//! Many of them wait most of the time for processes that they started, so one after the other takes
//! three times as long. Each runs as cargo would run it: in the folder of its package.

use std::collections;
use std::path;
use std::process;
use std::sync;
use std::thread;
use std::time;

use serde::Deserialize;

use crate::run;

/// Test programs that run at the same time: the longest ones start a few dozen processes each.
const AT_ONCE: usize = 3;
/// Packages whose test programs are begun first, since they take longest.
const LONG_PACKAGES: &[&str] = &["process-tests", "fleet", "adapter", "shards", "demo"];

/// A line of cargo's messages that names a test program.
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

/// Builds and runs all tests but those that are passed over.
pub(crate) fn run_all(passed_over: &[String]) -> Result<(), run::ChoreError> {
    let start = time::Instant::now();
    let programs = build_programs()?;
    let count = programs.len();
    eprintln!("$ {count} test programs, {AT_ONCE} at a time");
    let queue = sync::Mutex::new(collections::VecDeque::from(programs));
    let failed = sync::Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..AT_ONCE {
            scope.spawn(|| run_queue(&queue, passed_over, &failed));
        }
    });
    eprintln!("# {:.0} s", start.elapsed().as_secs_f64());
    let failed = failed.into_inner().unwrap_or_else(sync::PoisonError::into_inner);
    match failed.is_empty() {
        true => Ok(()),
        false => {
            let names = failed.join(", ");
            let text = format!("{} of {count} test programs failed: {names}", failed.len());
            Err(run::ChoreError::Found(text))
        }
    }
}

fn build_programs() -> Result<Vec<TestProgram>, run::ChoreError> {
    let args = ["test", "--locked", "--workspace", "--no-run", "--message-format=json"];
    let command = format!("cargo {}", args.join(" "));
    eprintln!("$ {command}");
    let built = process::Command::new("cargo")
        .args(args)
        .stdin(process::Stdio::null())
        .stderr(process::Stdio::inherit())
        .output()
        .map_err(|cause| run::ChoreError::NotStarted { command: command.clone(), cause })?;
    if !built.status.success() {
        return Err(run::ChoreError::Failed { command, status: built.status });
    }
    let text = String::from_utf8_lossy(&built.stdout);
    let mut programs: Vec<_> = text.lines().filter_map(read_program).collect();
    let is_short = |program: &TestProgram| {
        !LONG_PACKAGES.iter().any(|package| program.name.starts_with(package))
    };
    programs.sort_by_key(is_short);
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
    passed_over: &[String],
    failed: &sync::Mutex<Vec<String>>,
) {
    let lock = || queue.lock().unwrap_or_else(sync::PoisonError::into_inner);
    loop {
        let Some(program) = lock().pop_front() else { return };
        if !run_program(&program, passed_over) {
            failed.lock().unwrap_or_else(sync::PoisonError::into_inner).push(program.name);
        }
    }
}

/// Runs one program and prints its output as a whole; false where a test failed.
fn run_program(program: &TestProgram, passed_over: &[String]) -> bool {
    let start = time::Instant::now();
    let mut command = process::Command::new(&program.executable);
    command.current_dir(&program.folder).stdin(process::Stdio::null());
    if !passed_over.is_empty() {
        command.arg("--exact");
    }
    for name in passed_over {
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
            println!("== {} can't be started ({cause}); build it anew", program.name);
            false
        }
    }
}
