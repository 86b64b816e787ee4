//! Runs external commands and reports how they failed.

use std::error;
use std::fmt;
use std::io;
use std::os::unix::process::CommandExt as _;
use std::process;
use std::time;

/// Why a chore failed.
#[derive(Debug)]
pub(crate) enum ChoreError {
    /// The command could not be started.
    NotStarted { command: String, cause: io::Error },
    /// The command ended with a failure.
    Failed { command: String, status: process::ExitStatus },
    /// The chore found something wrong.
    Found(String),
}

impl fmt::Display for ChoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChoreError::NotStarted { command, cause } => {
                write!(f, "`{command}` can't be started ({cause}); install the program it names")
            }
            ChoreError::Failed { command, status } => {
                write!(f, "`{command}` failed with {status}; its output above says why")
            }
            ChoreError::Found(what) => f.write_str(what),
        }
    }
}

impl error::Error for ChoreError {}

/// Runs a command with inherited output, waits for its success, and prints the seconds that it took.
pub(crate) fn run(program: &str, args: &[&str]) -> Result<(), ChoreError> {
    let text = format!("{program} {}", args.join(" "));
    eprintln!("$ {text}");
    let start = time::Instant::now();
    let status = process::Command::new(program)
        .args(args)
        .stdin(process::Stdio::null())
        .status()
        .map_err(|cause| ChoreError::NotStarted { command: text.clone(), cause })?;
    eprintln!("# {:.0} s", start.elapsed().as_secs_f64());
    if status.success() {
        return Ok(());
    }
    Err(ChoreError::Failed { command: text, status })
}

/// Becomes the command: signals for this process reach it, and its exit code is this one's.
///
/// Returns only where the command could not be started.
pub(crate) fn become_command(program: &str, args: &[&str]) -> ChoreError {
    let text = format!("{program} {}", args.join(" "));
    eprintln!("$ {text}");
    let cause = process::Command::new(program).args(args).stdin(process::Stdio::null()).exec();
    ChoreError::NotStarted { command: text, cause }
}

/// Whether a program can be started with the argument.
pub(crate) fn is_installed(program: &str, probe: &str) -> bool {
    process::Command::new(program)
        .arg(probe)
        .stdin(process::Stdio::null())
        .stdout(process::Stdio::null())
        .stderr(process::Stdio::null())
        .status()
        .is_ok()
}
