//! Reads the list of protections.

use std::collections;
use std::fs;
use std::iter;

use serde::Deserialize;

use crate::run;

/// List of protections.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ProtectionList {
    /// Packages of the programs that the tests of a package start.
    #[serde(default)]
    pub(super) programs: collections::BTreeMap<String, Vec<String>>,
    /// Entries of the list.
    #[serde(rename = "protection")]
    entries: Vec<ProtectionEntry>,
}

/// A protection, the edits that remove it, and the test that must fail without it.
#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct ProtectionEntry {
    /// Name of the entry.
    pub(super) name: String,
    /// Property that the protection ensures, in one sentence, for readers of the list.
    #[serde(rename = "keeps")]
    _keeps: String,
    /// Edit that removes the protection.
    #[serde(flatten)]
    edit: SourceEdit,
    /// Further edits, if the protection is in more than one file.
    #[serde(default)]
    also: Vec<SourceEdit>,
    /// Package of the test.
    pub(super) package: String,
    /// File of the test below the package's `tests` directory, without its extension.
    pub(super) test_file: String,
    /// Name of the test.
    pub(super) test: String,
    /// Text that the failing test prints; a failure with another text does not confirm the entry.
    pub(super) failure: String,
    /// Maximum number of runs of the test, of which one must fail, if the failure depends on
    /// timing.
    #[serde(default = "one_run")]
    pub(super) runs: u32,
}

/// Replacement of a text in a source file.
#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct SourceEdit {
    /// File with the text.
    pub(super) file: String,
    /// Text of the protection, which occurs exactly once in the file.
    pub(super) find: String,
    /// Text without the protection.
    pub(super) replace: String,
}

/// Name of a test, unique in the workspace.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct TestName<'a> {
    package: &'a str,
    file: &'a str,
    test: &'a str,
}

impl ProtectionList {
    /// Reads the list.
    pub(super) fn read(file: &str) -> Result<ProtectionList, run::TaskError> {
        let text = fs::read_to_string(file)
            .map_err(|cause| run::TaskError::NotStarted { command: file.to_owned(), cause })?;
        toml::from_str(&text)
            .map_err(|cause| run::TaskError::Failure(format!("{file}: {cause}; correct the entry")))
    }

    /// Returns the entries with the names, or all entries if no name is given.
    pub(super) fn select(&self, only: &[String]) -> Result<Vec<&ProtectionEntry>, run::TaskError> {
        let names: Vec<_> = self.entries.iter().map(|entry| entry.name.as_str()).collect();
        if let Some(unknown) = only.iter().find(|name| !names.contains(&name.as_str())) {
            let names = names.join(", ");
            return Err(run::TaskError::Failure(format!(
                "no protection has the name {unknown}; use one of: {names}"
            )));
        }
        let is_selected = |entry: &&ProtectionEntry| only.is_empty() || only.contains(&entry.name);
        Ok(self.entries.iter().filter(is_selected).collect())
    }
}

impl ProtectionEntry {
    /// Returns all edits of the entry.
    pub(super) fn edits(&self) -> impl Iterator<Item = &SourceEdit> {
        iter::once(&self.edit).chain(&self.also)
    }

    /// Returns the name of the entry's test.
    pub(super) fn test_name(&self) -> TestName<'_> {
        TestName { package: &self.package, file: &self.test_file, test: &self.test }
    }
}

fn one_run() -> u32 {
    1
}
