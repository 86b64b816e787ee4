//! Checks that the texts and tests that `protections/protections.toml` names exist.
//! `cargo xtask protections` checks that each test fails when its protection is removed.

use std::collections;
use std::fs;
use std::iter;
use std::path;

use serde::Deserialize;

#[derive(Debug)]
#[derive(Deserialize)]
struct ProtectionList {
    protection: Vec<ProtectionEntry>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct ProtectionEntry {
    name: String,
    #[serde(flatten)]
    edit: SourceEdit,
    #[serde(default)]
    /// Further edits that remove the protection.
    also: Vec<SourceEdit>,
    package: String,
    test_file: String,
    test: String,
    /// Text that the failing test prints.
    failure: String,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct SourceEdit {
    file: String,
    find: String,
    replace: String,
}

fn root() -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn entries() -> Vec<ProtectionEntry> {
    let text = fs::read_to_string(root().join("protections/protections.toml"));
    let list: ProtectionList =
        toml::from_str(&text.expect("the list exists")).expect("the list has the expected form");
    list.protection
}

#[test]
fn each_text_occurs_once_in_its_file() {
    for entry in entries() {
        for edit in iter::once(&entry.edit).chain(&entry.also) {
            let text = fs::read_to_string(root().join(&edit.file));
            let text =
                text.unwrap_or_else(|cause| panic!("{}: {}: {cause}", entry.name, edit.file));
            assert_eq!(text.matches(&edit.find).count(), 1, "{}: occurrences", entry.name);
            assert_ne!(edit.find, edit.replace, "{}: the edit changes nothing", entry.name);
        }
        assert!(!entry.failure.is_empty(), "{}: has no failure text", entry.name);
    }
}

#[test]
fn each_test_is_in_its_file() {
    for entry in entries() {
        let directory = match entry.package.trim_start_matches("samphiremoor-") {
            "adapter" => "platform".to_owned(),
            name => format!("crates/{name}"),
        };
        let file = root().join(format!("{directory}/tests/{}.rs", entry.test_file));
        let text = fs::read_to_string(&file);
        let text =
            text.unwrap_or_else(|cause| panic!("{}: {}: {cause}", entry.name, file.display()));
        let is_function = text.contains(&format!("#[test]\nfn {}()", entry.test));
        let is_case = text.contains(&format!("\n    {} =>", entry.test));
        assert!(is_function || is_case, "{}: no test {} in the file", entry.name, entry.test);
    }
}

#[test]
fn protection_names_are_unique() {
    let mut names = collections::BTreeSet::new();
    for entry in entries() {
        assert!(names.insert(entry.name.clone()), "{} is listed twice", entry.name);
    }
}
