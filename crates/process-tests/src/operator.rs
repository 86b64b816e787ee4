//! The operators' command line.

use std::net;
use std::path;
use std::process;

use crate::child;
use crate::wait;

/// Exit code of the command line for a change that was accepted.
const ACCEPTED: i32 = 0;

/// How one run of the command line ended.
#[derive(Clone, Debug)]
pub struct CommandEnd {
    /// Exit code.
    pub code: i32,
    /// Standard output.
    pub output: String,
    /// Standard error.
    pub errors: String,
}

/// Runs `samphiremoorctl` against a control daemon.
pub fn run(control: net::SocketAddr, args: &[&str]) -> CommandEnd {
    let program = child::profile_directory().join("samphiremoorctl");
    let done = process::Command::new(program)
        .args(["--control", &control.to_string()])
        .args(args)
        .stdin(process::Stdio::null())
        .output()
        .expect("samphiremoorctl can be started; run cargo build --workspace --bins");
    CommandEnd {
        code: done.status.code().unwrap_or(-1),
        output: String::from_utf8_lossy(&done.stdout).into_owned(),
        errors: String::from_utf8_lossy(&done.stderr).into_owned(),
    }
}

/// Applies a record file, again and again until it is accepted.
pub fn apply_until_accepted(control: net::SocketAddr, file: &path::Path) {
    let file = file.display().to_string();
    wait::until("the records are accepted", || run(control, &["apply", &file]).code == ACCEPTED);
}
