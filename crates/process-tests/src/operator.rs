//! The operators' command line.

use std::fs;
use std::path;
use std::process;
use std::sync::atomic;
use std::time::Duration;

use crate::child;
use crate::wait;

/// Exit code of a command that was done.
pub const DONE: i32 = 0;

/// Exit code of a refusal.
pub const REFUSED: i32 = 1;

/// Exit code where a change is not known to be in force everywhere.
pub const NOT_KNOWN: i32 = 3;

/// An operator with settings for one cluster.
#[derive(Clone, Debug)]
pub struct TestOperator {
    settings: path::PathBuf,
    directory: path::PathBuf,
}

/// How one command ended.
#[derive(Clone, Debug)]
pub struct CommandEnd {
    /// Exit code.
    pub code: i32,
    /// Standard output.
    pub output: String,
    /// Standard error.
    pub errors: String,
}

/// A command that runs; it is killed when the value is dropped.
#[derive(Debug)]
pub struct RunningCommand {
    child: process::Child,
    output: path::PathBuf,
    errors: path::PathBuf,
}

static COMMAND_COUNT: atomic::AtomicU32 = atomic::AtomicU32::new(0);

impl TestOperator {
    /// An operator whose files lie in the directory.
    pub fn new(settings_text: &str, directory: &path::Path) -> Self {
        let settings = directory.join("ctl.toml");
        fs::write(&settings, settings_text).expect("the test's directory takes files");
        TestOperator { settings, directory: directory.to_owned() }
    }

    /// The same operator, who awaits a change no longer than this.
    pub fn with_wait(&self, wait: Duration) -> Self {
        let text = fs::read_to_string(&self.settings).expect("the settings were written");
        let settings = self.directory.join("ctl-wait.toml");
        fs::write(&settings, format!("wait_ms = {}\n{text}", wait.as_millis()))
            .expect("the test's directory takes files");
        TestOperator { settings, directory: self.directory.clone() }
    }

    /// Writes a record file and returns its path.
    pub fn write_file(&self, name: &str, text: &str) -> String {
        let file = self.directory.join(name);
        fs::write(&file, text).expect("the test's directory takes files");
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
            .stdout(fs::File::create(&output).expect("the test's directory takes files"))
            .stderr(fs::File::create(&errors).expect("the test's directory takes files"))
            .spawn()
            .expect("samphiremoorctl can be started; run cargo build --workspace --bins");
        RunningCommand { child, output, errors }
    }

    /// Runs a command to its end.
    pub fn run(&self, args: &[&str]) -> CommandEnd {
        self.start(args).wait()
    }

    /// Applies a record file, again and again until it is in force everywhere.
    pub fn apply_until_in_force(&self, file: &str) {
        wait::until("the records are in force", || self.run(&["apply", file]).code == DONE);
    }
}

impl RunningCommand {
    /// Waits for the end of the command.
    ///
    /// # Panics
    ///
    /// Panics where it does not end in time.
    pub fn wait(mut self) -> CommandEnd {
        wait::until("the command ends", || matches!(self.child.try_wait(), Ok(Some(_))));
        let status = self.child.wait().expect("the command was started by this process");
        CommandEnd {
            code: status.code().unwrap_or(-1),
            output: fs::read_to_string(&self.output).unwrap_or_default(),
            errors: fs::read_to_string(&self.errors).unwrap_or_default(),
        }
    }
}

impl Drop for RunningCommand {
    fn drop(&mut self) {
        // A command that has ended already is as good as killed.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
