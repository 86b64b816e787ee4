//! Client of the operators' command-line tool.

use std::fs;
use std::path;
use std::process;
use std::sync::atomic;
use std::time::Duration;

use crate::child;
use crate::wait;

/// Exit code of a successful command.
pub const EXIT_OK: i32 = 0;

/// Exit code of a refused command.
pub const EXIT_REFUSED: i32 = 1;

/// Exit code if the change isn't confirmed to be in force everywhere.
pub const EXIT_UNCONFIRMED: i32 = 3;

/// Operator with a settings file for one cluster.
#[derive(Clone, Debug)]
pub struct TestOperator {
    settings: path::PathBuf,
    directory: path::PathBuf,
}

/// Result of a command.
#[derive(Clone, Debug)]
pub struct CommandResult {
    /// Exit code.
    pub code: i32,
    /// Standard output.
    pub output: String,
    /// Standard error.
    pub errors: String,
}

/// Running command; the process is killed when the value is dropped.
#[derive(Debug)]
pub struct RunningCommand {
    child: process::Child,
    output: path::PathBuf,
    errors: path::PathBuf,
}

static COMMAND_COUNT: atomic::AtomicU32 = atomic::AtomicU32::new(0);

impl TestOperator {
    /// Creates an operator whose files are in the directory.
    pub fn new(settings_text: &str, directory: &path::Path) -> Self {
        let settings = directory.join("ctl.toml");
        fs::write(&settings, settings_text).expect("the test's directory is writable");
        TestOperator { settings, directory: directory.to_owned() }
    }

    /// Returns the same operator with a limit on the time to wait for a change to be in force.
    pub fn with_wait(&self, wait: Duration) -> Self {
        let text = fs::read_to_string(&self.settings).expect("the settings were written");
        let settings = self.directory.join("ctl-wait.toml");
        fs::write(&settings, format!("wait_ms = {}\n{text}", wait.as_millis()))
            .expect("the test's directory is writable");
        TestOperator { settings, directory: self.directory.clone() }
    }

    /// Writes a record file and returns its path.
    pub fn write_file(&self, name: &str, text: &str) -> String {
        let file = self.directory.join(name);
        fs::write(&file, text).expect("the test's directory is writable");
        file.display().to_string()
    }

    /// Starts a command.
    pub fn start(&self, args: &[&str]) -> RunningCommand {
        let number = COMMAND_COUNT.fetch_add(1, atomic::Ordering::Relaxed);
        let output = self.directory.join(format!("ctl-{number}.out"));
        let errors = self.directory.join(format!("ctl-{number}.err"));
        let child = process::Command::new(child::profile_directory().join("samphiremoorctl"))
            .arg("--settings")
            .arg(&self.settings)
            .args(args)
            .stdin(process::Stdio::null())
            .stdout(fs::File::create(&output).expect("the test's directory is writable"))
            .stderr(fs::File::create(&errors).expect("the test's directory is writable"))
            .spawn()
            .expect("samphiremoorctl can be started; if it is missing, run cargo build --workspace --bins");
        RunningCommand { child, output, errors }
    }

    /// Runs a command until it exits.
    pub fn run(&self, args: &[&str]) -> CommandResult {
        self.start(args).wait()
    }

    /// Applies a record file repeatedly until it is in force everywhere.
    pub fn apply_until_in_force(&self, file: &str) {
        wait::until("the records are in force", || self.run(&["apply", file]).code == EXIT_OK);
    }
}

impl RunningCommand {
    /// Waits until the command exits.
    ///
    /// # Panics
    ///
    /// Panics if the command doesn't exit within [`wait::WAIT_TIMEOUT`].
    pub fn wait(mut self) -> CommandResult {
        wait::until("the command ends", || matches!(self.child.try_wait(), Ok(Some(_))));
        let status = self.child.wait().expect("the command was started by this process");
        CommandResult {
            code: status.code().unwrap_or(-1),
            output: fs::read_to_string(&self.output).unwrap_or_default(),
            errors: fs::read_to_string(&self.errors).unwrap_or_default(),
        }
    }
}

impl Drop for RunningCommand {
    fn drop(&mut self) {
        // Fails only if the command has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
