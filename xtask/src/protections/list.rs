//! The list of protections.

use std::collections;
use std::fs;
use std::iter;

use serde::Deserialize;

use crate::run;

/// Every protection that is taken out in turn.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ProtectionList {
    /// Packages whose programs the tests of a package start.
    #[serde(default)]
    pub(super) programs: collections::BTreeMap<String, Vec<String>>,
    /// The protections.
    #[serde(rename = "protection")]
    entries: Vec<ProtectionEntry>,
}

/// One protection, how it is taken out, and the test that must fail then.
#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct ProtectionEntry {
    /// Name of the entry.
    pub(super) name: String,
    /// What the protection is, in one sentence, for readers of the list.
    #[serde(rename = "keeps")]
    _keeps: String,
    /// How it is taken out.
    #[serde(flatten)]
    edit: SourceEdit,
    /// Further edits, where the protection is in more than one file.
    #[serde(default)]
    also: Vec<SourceEdit>,
    /// Package of the test.
    pub(super) package: String,
    /// File of the test below the package's `tests` directory, without its extension.
    pub(super) test_file: String,
    /// The test.
    pub(super) test: String,
    /// Text that the failing test prints: an entry is shown by this failure and no other.
    pub(super) failure: String,
    /// Runs of the test among which one must fail, where the failure hangs on timing.
    #[serde(default = "one_run")]
    pub(super) runs: u32,
}

/// One text that is replaced.
#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct SourceEdit {
    /// File that holds the text.
    pub(super) file: String,
    /// Text of the protection; occurs once in the file.
    pub(super) find: String,
    /// Text without the protection.
    pub(super) replace: String,
}

/// What names one test in the whole workspace.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct TestName<'a> {
    package: &'a str,
    file: &'a str,
    test: &'a str,
}

impl ProtectionList {
    /// Reads the list.
    pub(super) fn read(file: &str) -> Result<ProtectionList, run::ChoreError> {
        let text = fs::read_to_string(file)
            .map_err(|cause| run::ChoreError::NotStarted { command: file.to_owned(), cause })?;
        toml::from_str(&text).map_err(|cause| {
            run::ChoreError::Found(format!("{file}: {cause}; write the entry as the others are"))
        })
    }

    /// Every entry, or those that are named.
    pub(super) fn chosen(&self, only: &[String]) -> Result<Vec<&ProtectionEntry>, run::ChoreError> {
        let names: Vec<_> = self.entries.iter().map(|entry| entry.name.as_str()).collect();
        if let Some(unknown) = only.iter().find(|name| !names.contains(&name.as_str())) {
            let names = names.join(", ");
            return Err(run::ChoreError::Found(format!(
                "no protection has the name {unknown}; name one of: {names}"
            )));
        }
        let is_chosen = |entry: &&ProtectionEntry| only.is_empty() || only.contains(&entry.name);
        Ok(self.entries.iter().filter(is_chosen).collect())
    }
}

impl ProtectionEntry {
    /// Every text that is replaced.
    pub(super) fn edits(&self) -> impl Iterator<Item = &SourceEdit> {
        iter::once(&self.edit).chain(&self.also)
    }

    /// The entry's test.
    pub(super) fn test_name(&self) -> TestName<'_> {
        TestName { package: &self.package, file: &self.test_file, test: &self.test }
    }
}

fn one_run() -> u32 {
    1
}
