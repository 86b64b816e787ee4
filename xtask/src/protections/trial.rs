//! Runs a test in the scratch copy with and without a protection.

use std::fmt;
use std::process;

use crate::protections::list;
use crate::protections::scratch;
use crate::run;

/// Time limit of a test, in seconds.
const TEST_LIMIT_S: &str = "180";

/// Option of `timeout` with the time from SIGTERM at the limit until SIGKILL, in seconds.
const KILL_GRACE: &str = "--kill-after=5";

/// Trial of one protection.
pub(super) struct ProtectionTrial<'a> {
    /// Scratch copy of the workspace.
    pub(super) workspace: &'a scratch::ScratchWorkspace,
    /// List of all protections.
    pub(super) list: &'a list::ProtectionList,
    /// Entry of the protection.
    pub(super) entry: &'a list::ProtectionEntry,
}

/// Result of a trial.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum TrialVerdict {
    /// The test passed.
    Passed,
    /// The test failed with the text of the entry.
    FailedAsExpected,
    /// The test failed with another text.
    FailedOtherwise,
    /// The test did not run, or did not end within the time limit.
    Incomplete,
    /// The copy does not build.
    BuildFailed,
    /// The text of the protection does not occur exactly once in the file.
    TextNotFound,
}

impl fmt::Display for TrialVerdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            TrialVerdict::Passed => "the test passes",
            TrialVerdict::FailedAsExpected => "the test fails as expected",
            TrialVerdict::FailedOtherwise => {
                "the test fails with another text; see its report in the target directory"
            }
            TrialVerdict::Incomplete => {
                "the test does not run or exceeds its time limit; see its report"
            }
            TrialVerdict::BuildFailed => "the copy does not build; see the report",
            TrialVerdict::TextNotFound => {
                "the text of the protection does not occur exactly once in the file"
            }
        })
    }
}

impl<'a> ProtectionTrial<'a> {
    /// Runs the test with the protection.
    pub(super) fn run_with_protection(&self) -> Result<TrialVerdict, run::TaskError> {
        if !self.build("with")? {
            return Ok(TrialVerdict::BuildFailed);
        }
        self.run_test("with")
    }

    /// Runs the test without the protection, and then restores the protection in any case.
    pub(super) fn run_without_protection(&self) -> Result<TrialVerdict, run::TaskError> {
        let mut originals = Vec::new();
        let verdict = match self.remove_protection(&mut originals)? {
            true => self.run_edited(),
            false => Ok(TrialVerdict::TextNotFound),
        };
        for (file, text) in originals.iter().rev() {
            self.workspace.write(file, text)?;
        }
        verdict
    }

    /// Applies the edits of the entry in order, and appends the original text of each file to
    /// `originals`. Returns false if a text does not occur exactly once in its file.
    fn remove_protection(
        &self,
        originals: &mut Vec<(&'a str, String)>,
    ) -> Result<bool, run::TaskError> {
        for edit in self.entry.edits() {
            let text = self.workspace.read(&edit.file)?;
            if text.matches(&edit.find).count() != 1 {
                return Ok(false);
            }
            let changed = text.replacen(&edit.find, &edit.replace, 1);
            originals.push((&edit.file, text));
            self.workspace.write(&edit.file, &changed)?;
        }
        Ok(true)
    }

    fn run_edited(&self) -> Result<TrialVerdict, run::TaskError> {
        if !self.build("without")? {
            return Ok(TrialVerdict::BuildFailed);
        }
        let mut verdict = TrialVerdict::Incomplete;
        for _ in 0..self.entry.runs {
            verdict = self.run_test("without")?;
            if verdict == TrialVerdict::FailedAsExpected {
                return Ok(verdict);
            }
        }
        Ok(verdict)
    }

    /// Builds the programs and the test, so that a compiler error is not mistaken for a test
    /// failure.
    fn build(&self, label: &str) -> Result<bool, run::TaskError> {
        let mut programs = self.workspace.command("cargo");
        programs.args(["build", "--quiet", "--locked", "--bins"]);
        let packages = self.list.programs.get(&self.entry.package).map_or(&[][..], Vec::as_slice);
        for package in packages {
            programs.args(["--package", package]);
        }
        let mut test = self.workspace.command("cargo");
        test.args(["test", "--quiet", "--no-run"]).args(self.test_args());
        if !packages.is_empty() && !self.succeeds(&mut programs, label)? {
            return Ok(false);
        }
        self.succeeds(&mut test, label)
    }

    fn run_test(&self, label: &str) -> Result<TrialVerdict, run::TaskError> {
        let entry = self.entry;
        // `timeout` signals the process group, which includes the test and its harness.
        let mut command = self.workspace.command("timeout");
        command.args([KILL_GRACE, TEST_LIMIT_S, "cargo", "test"]).args(self.test_args());
        command.args(["--", "--exact", &entry.test]);
        let output = self.run_command(&mut command, label)?;
        let text = output.text;
        if text.contains(&format!("test {} ... ok", entry.test)) {
            return Ok(TrialVerdict::Passed);
        }
        if !text.contains(&format!("test {} ... FAILED", entry.test)) {
            return Ok(TrialVerdict::Incomplete);
        }
        match text.contains(&entry.failure) {
            true => Ok(TrialVerdict::FailedAsExpected),
            false => Ok(TrialVerdict::FailedOtherwise),
        }
    }

    fn test_args(&self) -> [&str; 5] {
        let entry = self.entry;
        ["--locked", "--package", &entry.package, "--test", &entry.test_file]
    }

    fn succeeds(
        &self,
        command: &mut process::Command,
        label: &str,
    ) -> Result<bool, run::TaskError> {
        Ok(self.run_command(command, label)?.is_success)
    }

    /// Runs a command and writes its output to the report of the trial.
    fn run_command(
        &self,
        command: &mut process::Command,
        label: &str,
    ) -> Result<CommandOutput, run::TaskError> {
        let output = command.output().map_err(|cause| run::TaskError::NotStarted {
            command: format!("{command:?}"),
            cause,
        })?;
        let bytes = [output.stdout, output.stderr].concat();
        let text = String::from_utf8_lossy(&bytes).into_owned();
        self.workspace.write_report(&format!("{}.{label}", self.entry.name), &text)?;
        Ok(CommandOutput { text, is_success: output.status.success() })
    }
}

/// Output of a command, and whether the command succeeded.
struct CommandOutput {
    text: String,
    is_success: bool,
}
