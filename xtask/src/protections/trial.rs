//! Trial of one protection: runs its test in the scratch copy with and without the protection.

use std::fmt;
use std::process;

use crate::protections::list;
use crate::protections::scratch;
use crate::run;

/// Time limit of one run of a test, in seconds.
const TEST_LIMIT_S: &str = "180";

/// Option of `timeout`: number of seconds between SIGTERM, which it sends at the time limit, and
/// SIGKILL.
const KILL_AFTER_OPTION: &str = "--kill-after=5";

/// Trial of one protection.
pub(super) struct ProtectionTrial<'a> {
    /// Scratch copy of the workspace.
    pub(super) workspace: &'a scratch::ScratchWorkspace,
    /// List of all protections.
    pub(super) list: &'a list::ProtectionList,
    /// Entry of the protection.
    pub(super) entry: &'a list::ProtectionEntry,
}

/// Result of a test run, or the reason why the test was not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum TrialVerdict {
    /// The test passed.
    Passed,
    /// The test failed, and its output contains the entry's `failure` text.
    FailedAsExpected,
    /// The test failed, and its output does not contain the entry's `failure` text.
    FailedOtherwise,
    /// The test did not run, or did not end within the time limit.
    Incomplete,
    /// The scratch copy does not build.
    BuildFailed,
    /// The `find` text of an edit does not occur exactly once in its file.
    EditNotApplicable,
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
            TrialVerdict::EditNotApplicable => {
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

    /// Removes the protection, runs the test, and restores the edited files whatever the verdict.
    pub(super) fn run_without_protection(&self) -> Result<TrialVerdict, run::TaskError> {
        let mut originals = Vec::new();
        let verdict = match self.remove_protection(&mut originals)? {
            true => self.run_until_expected_failure(),
            false => Ok(TrialVerdict::EditNotApplicable),
        };
        for (file, text) in originals.iter().rev() {
            self.workspace.write(file, text)?;
        }
        verdict
    }

    /// Applies the edits of the entry in order, and appends the original text of each file to
    /// `originals`. Returns false if the `find` text of an edit does not occur exactly once in its
    /// file.
    fn remove_protection(
        &self,
        originals: &mut Vec<(&'a str, String)>,
    ) -> Result<bool, run::TaskError> {
        for edit in self.entry.edits() {
            let text = self.workspace.read(&edit.file)?;
            if text.matches(&edit.find).count() != 1 {
                return Ok(false);
            }
            let edited_text = text.replacen(&edit.find, &edit.replace, 1);
            originals.push((&edit.file, text));
            self.workspace.write(&edit.file, &edited_text)?;
        }
        Ok(true)
    }

    /// Builds the edited copy and runs the test until it fails as expected, at most `runs` times.
    fn run_until_expected_failure(&self) -> Result<TrialVerdict, run::TaskError> {
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

    /// Builds the programs that the test starts, and the test itself, before the test is run, so
    /// that a compiler error is not mistaken for a test failure. Returns whether the builds
    /// succeeded.
    fn build(&self, label: &str) -> Result<bool, run::TaskError> {
        let mut build_programs = self.workspace.command("cargo");
        build_programs.args(["build", "--quiet", "--locked", "--bins"]);
        let packages = self.list.programs.get(&self.entry.package).map_or(&[][..], Vec::as_slice);
        for package in packages {
            build_programs.args(["--package", package]);
        }
        let mut build_test = self.workspace.command("cargo");
        build_test.args(["test", "--quiet", "--no-run"]).args(self.test_args());
        if !packages.is_empty() && !self.succeeds(&mut build_programs, label)? {
            return Ok(false);
        }
        self.succeeds(&mut build_test, label)
    }

    fn run_test(&self, label: &str) -> Result<TrialVerdict, run::TaskError> {
        let entry = self.entry;
        // `timeout` signals its process group, which includes cargo and the test program.
        let mut command = self.workspace.command("timeout");
        command.args([KILL_AFTER_OPTION, TEST_LIMIT_S, "cargo", "test"]).args(self.test_args());
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

    /// Runs a command and writes its output to the report `NAME.LABEL.txt`, which replaces the
    /// output of the previous command with this label.
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

/// Standard output and standard error of a command, and whether the command succeeded.
struct CommandOutput {
    text: String,
    is_success: bool,
}
