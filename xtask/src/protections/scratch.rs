//! Scratch copy of the workspace, with its own target directory, which is kept between runs.

use std::collections;
use std::fs;
use std::path;
use std::process;

use crate::run;

/// Scratch copy of the workspace.
#[derive(Debug)]
pub(super) struct ScratchWorkspace {
    root: path::PathBuf,
    target: path::PathBuf,
    reports: path::PathBuf,
}

impl ScratchWorkspace {
    /// Updates the copy from the workspace.
    ///
    /// Unchanged files are not written, so that cargo rebuilds only changed crates.
    pub(super) fn prepare() -> Result<ScratchWorkspace, run::TaskError> {
        let target = std::env::var_os("CARGO_TARGET_DIR").unwrap_or_else(|| "target".into());
        let base = path::absolute(path::PathBuf::from(target).join("protections"))
            .map_err(|cause| failed("target directory", cause))?;
        let workspace = ScratchWorkspace {
            root: base.join("workspace"),
            target: base.join("target"),
            reports: base.join("reports"),
        };
        make_directory(&workspace.reports)?;
        let files = listed_files()?;
        for file in &files {
            workspace.copy(file)?;
        }
        workspace.remove_unlisted(&files)?;
        Ok(workspace)
    }

    /// Creates a command that runs in the copy with its target directory.
    pub(super) fn command(&self, program: &str) -> process::Command {
        let mut command = process::Command::new(program);
        command.current_dir(&self.root).env("CARGO_TARGET_DIR", &self.target);
        command.stdin(process::Stdio::null());
        command
    }

    /// Reads a file of the copy.
    pub(super) fn read(&self, file: &str) -> Result<String, run::TaskError> {
        fs::read_to_string(self.root.join(file)).map_err(|cause| failed(file, cause))
    }

    /// Writes a file of the copy.
    pub(super) fn write(&self, file: &str, text: &str) -> Result<(), run::TaskError> {
        fs::write(self.root.join(file), text).map_err(|cause| failed(file, cause))
    }

    /// Writes the output of a trial to a report file.
    pub(super) fn write_report(&self, name: &str, text: &str) -> Result<(), run::TaskError> {
        let file = self.reports.join(format!("{name}.txt"));
        fs::write(&file, text).map_err(|cause| failed(&file.display().to_string(), cause))
    }

    fn copy(&self, file: &path::Path) -> Result<(), run::TaskError> {
        let name = file.display().to_string();
        let bytes = fs::read(file).map_err(|cause| failed(&name, cause))?;
        let copy = self.root.join(file);
        if fs::read(&copy).is_ok_and(|present| present == bytes) {
            return Ok(());
        }
        if let Some(directory) = copy.parent() {
            make_directory(directory)?;
        }
        fs::write(&copy, bytes).map_err(|cause| failed(&name, cause))
    }

    /// Removes the files of the copy that are not in the workspace.
    fn remove_unlisted(
        &self,
        files: &collections::BTreeSet<path::PathBuf>,
    ) -> Result<(), run::TaskError> {
        let mut directories = vec![self.root.clone()];
        while let Some(directory) = directories.pop() {
            let name = directory.display().to_string();
            let entries = fs::read_dir(&directory).map_err(|cause| failed(&name, cause))?;
            for entry in entries {
                let found = entry.map_err(|cause| failed(&name, cause))?.path();
                if found.is_dir() {
                    directories.push(found);
                    continue;
                }
                let is_listed =
                    found.strip_prefix(&self.root).is_ok_and(|file| files.contains(file));
                if !is_listed {
                    fs::remove_file(&found).map_err(|cause| failed(&name, cause))?;
                }
            }
        }
        Ok(())
    }
}

/// Lists the files of the workspace that are tracked by git or are not ignored.
fn listed_files() -> Result<collections::BTreeSet<path::PathBuf>, run::TaskError> {
    const COMMAND: &str = "git ls-files";
    let listed = process::Command::new("git")
        .args(["ls-files", "-z", "--cached", "--others", "--exclude-standard"])
        .output()
        .map_err(|cause| failed(COMMAND, cause))?;
    if !listed.status.success() {
        let command = COMMAND.to_owned();
        return Err(run::TaskError::CommandFailed { command, status: listed.status });
    }
    let text = String::from_utf8_lossy(&listed.stdout).into_owned();
    let files = text.split('\0').map(path::PathBuf::from);
    Ok(files.filter(|file| file.is_file()).collect())
}

fn make_directory(directory: &path::Path) -> Result<(), run::TaskError> {
    fs::create_dir_all(directory).map_err(|cause| failed(&directory.display().to_string(), cause))
}

fn failed(command: &str, cause: std::io::Error) -> run::TaskError {
    run::TaskError::NotStarted { command: command.to_owned(), cause }
}
