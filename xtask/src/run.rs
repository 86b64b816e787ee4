//! Runs external commands and reports their failures.

use std::error;
use std::fmt;
use std::io;
use std::os::unix::process::CommandExt as _;
use std::process;
use std::time;

/// Reason why a task failed.
#[derive(Debug)]
pub(crate) enum TaskError {
    /// The command could not be started.
    NotStarted { command: String, cause: io::Error },
    /// The command exited with a failure.
    CommandFailed { command: String, status: process::ExitStatus },
    /// The task found a problem, which the message describes.
    Failure(String),
}

impl fmt::Display for TaskError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TaskError::NotStarted { command, cause } => {
                write!(f, "`{command}` can't be started ({cause}); install the program")
            }
            TaskError::CommandFailed { command, status } => {
                write!(f, "`{command}` failed with {status}; see its output above")
            }
            TaskError::Failure(message) => f.write_str(message),
        }
    }
}

impl error::Error for TaskError {}

/// Runs a command with inherited output, prints its duration, and checks that it succeeds.
pub(crate) fn run(program: &str, args: &[&str]) -> Result<(), TaskError> {
    let text = format!("{program} {}", args.join(" "));
    eprintln!("$ {text}");
    let start = time::Instant::now();
    let status = process::Command::new(program)
        .args(args)
        .stdin(process::Stdio::null())
        .status()
        .map_err(|cause| TaskError::NotStarted { command: text.clone(), cause })?;
    eprintln!("# {:.0} s", start.elapsed().as_secs_f64());
    if status.success() {
        return Ok(());
    }
    Err(TaskError::CommandFailed { command: text, status })
}

/// Replaces this process by the command, so that the command receives its signals and sets its exit
/// code.
///
/// Returns only if the command could not be started.
pub(crate) fn exec_command(program: &str, args: &[&str]) -> TaskError {
    let text = format!("{program} {}", args.join(" "));
    eprintln!("$ {text}");
    let cause = process::Command::new(program).args(args).stdin(process::Stdio::null()).exec();
    TaskError::NotStarted { command: text, cause }
}

/// Returns whether the program can be started.
pub(crate) fn is_installed(program: &str, version_argument: &str) -> bool {
    process::Command::new(program)
        .arg(version_argument)
        .stdin(process::Stdio::null())
        .stdout(process::Stdio::null())
        .stderr(process::Stdio::null())
        .status()
        .is_ok()
}
