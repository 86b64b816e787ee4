//! The list of protections.

use std::collections;
use std::fs;

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
#[serde(deny_unknown_fields)]
pub(super) struct ProtectionEntry {
    /// Name of the entry.
    pub(super) name: String,
    /// What the protection is, in one sentence, for readers of the list.
    #[serde(rename = "keeps")]
    _keeps: String,
    /// File that holds the protection.
    pub(super) file: String,
    /// Text of the protection; occurs once in the file.
    pub(super) find: String,
    /// Text without the protection.
    pub(super) replace: String,
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

    /// Every entry, or the one that is named.
    pub(super) fn chosen(
        &self,
        only: Option<&str>,
    ) -> Result<Vec<&ProtectionEntry>, run::ChoreError> {
        let is_chosen = |entry: &&ProtectionEntry| only.is_none_or(|name| name == entry.name);
        let chosen: Vec<_> = self.entries.iter().filter(is_chosen).collect();
        if chosen.is_empty() {
            let names: Vec<_> = self.entries.iter().map(|entry| entry.name.as_str()).collect();
            let names = names.join(", ");
            return Err(run::ChoreError::Found(format!(
                "no such protection; name one of: {names}"
            )));
        }
        Ok(chosen)
    }
}

impl ProtectionEntry {
    /// The entry's test.
    pub(super) fn test_name(&self) -> TestName<'_> {
        TestName { package: &self.package, file: &self.test_file, test: &self.test }
    }
}

fn one_run() -> u32 {
    1
}
