//! Checks that the tests, scenarios and defines that `docs/PROOFS.md` names exist.

use std::fs;
use std::path;

fn root() -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the concatenated texts of all files below a directory that have the extension.
fn texts(directory: &path::Path, extension: &str) -> String {
    let Ok(entries) = fs::read_dir(directory) else { return String::new() };
    let mut all = String::new();
    for file in entries.filter_map(|entry| Some(entry.ok()?.path())) {
        if file.is_dir() {
            all.push_str(&texts(&file, extension));
        } else if file.extension().is_some_and(|found| found == extension) {
            all.push_str(&fs::read_to_string(&file).expect("the file is text"));
        }
    }
    all
}

/// Returns the texts between backticks in `docs/PROOFS.md`.
fn marked_words() -> Vec<String> {
    let page = fs::read_to_string(root().join("docs/PROOFS.md")).expect("the page exists");
    page.split('`').skip(1).step_by(2).map(str::to_owned).collect()
}

#[test]
fn named_tests_exist() {
    let mut code = texts(&root().join("crates"), "rs");
    code.push_str(&texts(&root().join("platform"), "rs"));
    let is_test_name = |word: &&String| {
        word.contains('_') && word.chars().all(|found| found.is_ascii_lowercase() || found == '_')
    };
    let words = marked_words();
    let names: Vec<_> =
        words.iter().filter(is_test_name).filter(|word| *word != "in_force").collect();
    assert!(names.len() > 20, "{names:?}");
    for name in names {
        assert!(code.contains(name.as_str()), "no test is named {name}");
    }
}

#[test]
fn named_scenarios_exist() {
    let scenarios = root().join("scenarios");
    for word in marked_words() {
        let Some((directory, name)) = word.split_once('/') else { continue };
        if !scenarios.join(directory).is_dir() {
            continue;
        }
        assert!(scenarios.join(directory).join(name).is_file(), "no scenario is named {word}");
    }
}

#[test]
fn named_defines_exist() {
    let specs = texts(&root().join("specs"), "pml");
    for word in marked_words().iter().filter(|word| word.starts_with("-D")) {
        assert!(specs.contains(word.as_str()), "no specification contains {word}");
    }
}
