//! One test, run in the scratch copy with and without a protection.

use std::fmt;
use std::process;

use crate::protections::list;
use crate::protections::scratch;
use crate::run;

/// Longest time of one test, in seconds.
const TEST_LIMIT_S: &str = "180";

/// Time from the signal at the limit until the test is killed, in seconds.
const KILL_GRACE: &str = "--kill-after=5";

/// An entry with what its trials need.
pub(super) struct TrialBench<'a> {
    /// The scratch copy.
    pub(super) workspace: &'a scratch::ScratchWorkspace,
    /// The whole list.
    pub(super) list: &'a list::ProtectionList,
    /// The entry.
    pub(super) entry: &'a list::ProtectionEntry,
}

/// How a trial ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum TrialVerdict {
    /// The test passed.
    Passed,
    /// The test failed and printed what the entry names.
    FailedAsNamed,
    /// The test failed with another text.
    FailedOtherwise,
    /// The test did not run, or did not end in time.
    NotEnded,
    /// The copy can't be built.
    NotBuilt,
    /// The text of the protection is not in the file just once.
    NotInFile,
}

impl fmt::Display for TrialVerdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            TrialVerdict::Passed => "the test passes",
            TrialVerdict::FailedAsNamed => "the test fails as named",
            TrialVerdict::FailedOtherwise => {
                "the test fails in another way; see its report in the target directory"
            }
            TrialVerdict::NotEnded => {
                "the test does not run or does not end in time; see its report"
            }
            TrialVerdict::NotBuilt => "the copy can't be built; see the report",
            TrialVerdict::NotInFile => "the text to find is not in the file just once",
        })
    }
}

impl<'a> TrialBench<'a> {
    /// Runs the test with the protection.
    pub(super) fn try_with(&self) -> Result<TrialVerdict, run::ChoreError> {
        if !self.build("with")? {
            return Ok(TrialVerdict::NotBuilt);
        }
        self.run_test("with")
    }

    /// Runs the test without the protection, which is put back in any case.
    pub(super) fn try_without(&self) -> Result<TrialVerdict, run::ChoreError> {
        let mut originals = Vec::new();
        let verdict = match self.take_out(&mut originals)? {
            true => self.run_without(),
            false => Ok(TrialVerdict::NotInFile),
        };
        for (file, text) in originals.iter().rev() {
            self.workspace.write(file, text)?;
        }
        verdict
    }

    /// Replaces the entry's texts, one after the other, and notes the files as they were before;
    /// false where a text is not in its file just once.
    fn take_out(&self, originals: &mut Vec<(&'a str, String)>) -> Result<bool, run::ChoreError> {
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

    fn run_without(&self) -> Result<TrialVerdict, run::ChoreError> {
        if !self.build("without")? {
            return Ok(TrialVerdict::NotBuilt);
        }
        let mut verdict = TrialVerdict::NotEnded;
        for _ in 0..self.entry.runs {
            verdict = self.run_test("without")?;
            if verdict == TrialVerdict::FailedAsNamed {
                return Ok(verdict);
            }
        }
        Ok(verdict)
    }

    /// Builds the programs and the test, so that an error of the compiler is not taken for a failure.
    fn build(&self, label: &str) -> Result<bool, run::ChoreError> {
        let mut programs = self.workspace.cargo("cargo");
        programs.args(["build", "--quiet", "--locked", "--bins"]);
        let packages = self.list.programs.get(&self.entry.package).map_or(&[][..], Vec::as_slice);
        for package in packages {
            programs.args(["--package", package]);
        }
        let mut test = self.workspace.cargo("cargo");
        test.args(["test", "--quiet", "--no-run"]).args(self.test_args());
        if !packages.is_empty() && !self.is_success(&mut programs, label)? {
            return Ok(false);
        }
        self.is_success(&mut test, label)
    }

    fn run_test(&self, label: &str) -> Result<TrialVerdict, run::ChoreError> {
        let entry = self.entry;
        // The limit ends the test and the programs' harness together, by their process group.
        let mut command = self.workspace.cargo("timeout");
        command.args([KILL_GRACE, TEST_LIMIT_S, "cargo", "test"]).args(self.test_args());
        command.args(["--", "--exact", &entry.test]);
        let printed = self.output(&mut command, label)?;
        let text = printed.text;
        if text.contains(&format!("test {} ... ok", entry.test)) {
            return Ok(TrialVerdict::Passed);
        }
        if !text.contains(&format!("test {} ... FAILED", entry.test)) {
            return Ok(TrialVerdict::NotEnded);
        }
        match text.contains(&entry.failure) {
            true => Ok(TrialVerdict::FailedAsNamed),
            false => Ok(TrialVerdict::FailedOtherwise),
        }
    }

    fn test_args(&self) -> [&str; 5] {
        let entry = self.entry;
        ["--locked", "--package", &entry.package, "--test", &entry.test_file]
    }

    fn is_success(
        &self,
        command: &mut process::Command,
        label: &str,
    ) -> Result<bool, run::ChoreError> {
        Ok(self.output(command, label)?.is_success)
    }

    /// Runs a command and keeps what it prints as the trial's report.
    fn output(
        &self,
        command: &mut process::Command,
        label: &str,
    ) -> Result<PrintedOutput, run::ChoreError> {
        let done = command.output().map_err(|cause| run::ChoreError::NotStarted {
            command: format!("{command:?}"),
            cause,
        })?;
        let printed = [done.stdout, done.stderr].concat();
        let text = String::from_utf8_lossy(&printed).into_owned();
        self.workspace.report(&format!("{}.{label}", self.entry.name), &text)?;
        Ok(PrintedOutput { text, is_success: done.status.success() })
    }
}

/// What a command printed, and whether it was a success.
struct PrintedOutput {
    text: String,
    is_success: bool,
}
