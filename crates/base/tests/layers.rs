//! The manifests keep the invariants between crates that `docs/architecture.md` states.

use std::collections;
use std::fs;
use std::path;

const PURE: &[&str] = &[
    "base",
    "claims",
    "head",
    "lease",
    "limits",
    "membership",
    "planner",
    "platform",
    "records",
    "requests",
    "routing",
    "view",
];
const DAEMONS: &[&str] = &["control", "ctl", "entry"];
const DEVELOPMENT: &[&str] = &[
    "demo",
    "load",
    "process-tests",
    "standin",
    "standin-engine",
    "standin-platform",
    "standin-service",
];
const SHELL_LIBRARIES: &[&str] = &["async-std", "async-h1", "nng", "http-types", "prometheus"];

/// Names of the crates that a crate depends on outside its tests, without the workspace's prefix.
fn dependencies(name: &str) -> collections::BTreeSet<String> {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let file = match name {
        "xtask" => root.join("../xtask/Cargo.toml"),
        _ => root.join(name).join("Cargo.toml"),
    };
    let text = fs::read_to_string(&file).unwrap_or_default();
    let manifest: toml::Table = toml::from_str(&text).expect("cargo reads the manifest too");
    let Some(section) = manifest.get("dependencies").and_then(|value| value.as_table()) else {
        return collections::BTreeSet::new();
    };
    section.keys().map(|key| key.trim_start_matches("samphiremoor-").to_owned()).collect()
}

fn workspace_crates() -> collections::BTreeSet<String> {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let entries = fs::read_dir(root).expect("the crates directory exists");
    entries
        .filter_map(|entry| entry.ok()?.file_name().into_string().ok())
        .filter(|name| !dependencies(name).is_empty() || name == "base")
        .collect()
}

/// Fails where one of the crates depends on one of the forbidden.
fn check(names: &[&str], forbidden: &[&str]) {
    for name in names {
        let found = dependencies(name);
        for other in forbidden {
            assert!(!found.contains(*other), "{name} depends on {other}");
        }
    }
}

#[test]
fn base_depends_on_no_crate_of_the_workspace() {
    let others = workspace_crates();
    let found = dependencies("base");
    assert_eq!(found.intersection(&others).count(), 0, "{found:?}");
}

#[test]
fn xtask_depends_on_no_crate_of_the_workspace() {
    let others = workspace_crates();
    let found = dependencies("xtask");
    assert_eq!(found.intersection(&others).count(), 0, "{found:?}");
}

#[test]
fn pure_crates_depend_on_no_shell() {
    let others = workspace_crates();
    let shells: Vec<&str> =
        others.iter().map(String::as_str).filter(|name| !PURE.contains(name)).collect();
    check(PURE, &shells);
    check(PURE, SHELL_LIBRARIES);
}

#[test]
fn daemons_depend_on_no_development_tool() {
    check(DAEMONS, DEVELOPMENT);
}

#[test]
fn stand_ins_depend_on_no_daemon_and_no_decision() {
    let decisions: Vec<&str> = PURE
        .iter()
        .copied()
        .filter(|name| !["base", "platform", "records", "view"].contains(name))
        .chain(DAEMONS.iter().copied())
        .collect();
    check(&["standin", "standin-engine", "standin-platform", "standin-service"], &decisions);
}

/// Source files of a crate, its test files left out.
fn sources(directory: &path::Path) -> Vec<path::PathBuf> {
    let Ok(entries) = fs::read_dir(directory) else { return Vec::new() };
    let paths = entries.filter_map(|entry| Some(entry.ok()?.path()));
    paths.flat_map(|path| if path.is_dir() { sources(&path) } else { vec![path] }).collect()
}

// Libraries and programs are built without a test harness, so a test inside them would never run.
#[test]
fn tests_live_in_test_files() {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let names = workspace_crates();
    let files: Vec<_> =
        names.iter().flat_map(|name| sources(&root.join(name).join("src"))).collect();
    assert!(files.len() > names.len(), "the sources are where this test looks for them");
    for file in files {
        let text = fs::read_to_string(&file).expect("a source file is readable text");
        // An indented attribute is one that the macro for test cases writes.
        let is_test = text.lines().any(|line| line == "#[test]" || line.contains("#[cfg(test)]"));
        assert!(!is_test, "{} holds tests; move them to the crate's tests/", file.display());
    }
}
