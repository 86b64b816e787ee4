//! Checks the dependency rules between crates that `docs/architecture.md` states.

use std::collections;
use std::fs;
use std::path;

/// Crates that do no I/O.
const PURE_CRATES: &[&str] = &[
    "base",
    "claims",
    "fleet",
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
/// Daemons, the command line and their programs.
const DAEMON_CRATES: &[&str] = &["control", "ctl", "entry", "gateway", "gatewayd"];
/// Crates that are used in development only.
const DEVELOPMENT_CRATES: &[&str] = &[
    "demo",
    "load",
    "process-tests",
    "standin",
    "standin-engine",
    "standin-platform",
    "standin-service",
];
/// External libraries that only crates with I/O may use.
const IO_LIBRARIES: &[&str] = &["async-std", "async-h1", "nng", "http-types", "prometheus"];

/// Returns the normal dependencies of a crate, without the prefix `samphiremoor-` in their names.
fn dependencies(name: &str) -> collections::BTreeSet<String> {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let file = match name {
        "xtask" => root.join("../xtask/Cargo.toml"),
        _ => root.join(name).join("Cargo.toml"),
    };
    let text = fs::read_to_string(&file).unwrap_or_default();
    let manifest: toml::Table = toml::from_str(&text).expect("the manifest is valid TOML");
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

/// Asserts that none of the crates depends on a forbidden one.
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
fn pure_crates_depend_on_no_io() {
    let others = workspace_crates();
    let io_crates: Vec<&str> =
        others.iter().map(String::as_str).filter(|name| !PURE_CRATES.contains(name)).collect();
    check(PURE_CRATES, &io_crates);
    check(PURE_CRATES, IO_LIBRARIES);
}

#[test]
fn daemons_depend_on_no_development_tool() {
    check(DAEMON_CRATES, DEVELOPMENT_CRATES);
}

#[test]
fn stand_ins_depend_on_no_daemon_logic() {
    let daemon_logic: Vec<&str> = PURE_CRATES
        .iter()
        .copied()
        .filter(|name| !["base", "platform", "records", "view"].contains(name))
        .chain(DAEMON_CRATES.iter().copied())
        .collect();
    check(&["standin", "standin-engine", "standin-platform", "standin-service"], &daemon_logic);
}

/// Returns all files in a directory and its subdirectories.
fn sources(directory: &path::Path) -> Vec<path::PathBuf> {
    let Ok(entries) = fs::read_dir(directory) else { return Vec::new() };
    let paths = entries.filter_map(|entry| Some(entry.ok()?.path()));
    paths.flat_map(|path| if path.is_dir() { sources(&path) } else { vec![path] }).collect()
}

// Libraries and binaries are built without a test harness, so a test inside them would never run.
#[test]
fn tests_are_in_test_files() {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let names = workspace_crates();
    let files: Vec<_> =
        names.iter().flat_map(|name| sources(&root.join(name).join("src"))).collect();
    assert!(files.len() > names.len(), "too few source files found");
    for file in files {
        let text = fs::read_to_string(&file).expect("a source file is readable text");
        // The macro `cases!` contains an indented `#[test]` and is not a test.
        let is_test = text.lines().any(|line| line == "#[test]" || line.contains("#[cfg(test)]"));
        assert!(!is_test, "{} contains tests; move them to the crate's tests/", file.display());
    }
}

/// Headers, paths, tables and fields of the users' platform. Only the adapter may contain them.
const PLATFORM_WORDS: &[&str] = &[
    "x-request-id",
    "x-deadline-ms",
    "x-tenant",
    "x-expect-instance",
    "x-expect-version",
    "x-not-executed",
    "x-response-signature",
    "x-token-usage",
    "x-prompt-prefix",
    "x-request-priority",
    "x-length-hint",
    "x-duty-holder",
    "x-fencing-token",
    "x-kv-backup",
    "kv-from",
    "kv-fetch",
    "x-hold",
    "x-pin-ms",
    "/rows-",
    "/blob-",
    "rows-tx",
    "rows-feed",
    "op/config",
    "servers/",
    "traffic_split",
    "plain_tokens\"",
    "desired\"",
    "fleetbench",
    "samphiremoor_node_file",
];

fn all_sources() -> Vec<path::PathBuf> {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let names = workspace_crates();
    let mut files: Vec<_> =
        names.iter().flat_map(|name| sources(&root.join(name).join("src"))).collect();
    files.extend(sources(&root.join("../xtask/src")));
    files
}

#[test]
fn only_the_adapter_contains_platform_words() {
    for file in all_sources() {
        let text = fs::read_to_string(&file).expect("a source file is readable text");
        let text = text.to_ascii_lowercase();
        for word in PLATFORM_WORDS {
            assert!(
                !text.contains(word),
                "{} contains {word}; move it to platform/",
                file.display()
            );
        }
    }
}

#[test]
fn the_adapter_depends_on_allowed_crates_only() {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let text =
        fs::read_to_string(root.join("platform/Cargo.toml")).expect("the adapter has a manifest");
    let manifest: toml::Table = toml::from_str(&text).expect("the manifest is valid TOML");
    let section = manifest["dependencies"].as_table().expect("the adapter has dependencies");
    let allowed = ["adapter", "base", "fleet", "gateway", "httpio", "platform"];
    for name in section.keys().filter_map(|name| name.strip_prefix("samphiremoor-")) {
        assert!(allowed.contains(&name), "platform/ depends on {name}");
    }
}

/// Upper bound on the number of source lines of the adapter.
const ADAPTER_LINES: usize = 3_000;

#[test]
fn the_adapter_is_below_its_line_limit() {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../platform/src");
    let lines: usize = sources(&root)
        .iter()
        .map(|file| fs::read_to_string(file).expect("sources are text").lines().count())
        .sum();
    assert!((500..ADAPTER_LINES).contains(&lines), "{lines} lines");
}

// Daemons use the adapter only through trait objects that their binary hands to them.
#[test]
fn only_the_program_depends_on_the_adapter() {
    for name in workspace_crates() {
        let is_program = name == "gatewayd";
        assert!(
            is_program || !dependencies(&name).contains("adapter"),
            "{name} depends on the adapter"
        );
    }
}

/// Returns the modules of a crate by name, each with the modules that it imports.
fn module_imports(source: &path::Path) -> collections::BTreeMap<String, Vec<String>> {
    let mut texts = collections::BTreeMap::new();
    collect_modules(source, "", &mut texts);
    let imports = |text: &String| -> Vec<String> {
        let lines = text.lines().filter_map(|line| line.trim().strip_prefix("use crate::"));
        lines.filter_map(|path| longest_module(path.trim_end_matches(';'), &texts)).collect()
    };
    texts.iter().map(|(name, text)| (name.clone(), imports(text))).collect()
}

fn collect_modules(
    directory: &path::Path,
    prefix: &str,
    texts: &mut collections::BTreeMap<String, String>,
) {
    for entry in fs::read_dir(directory).into_iter().flatten().flatten() {
        let name = entry.file_name().to_string_lossy().into_owned();
        if entry.path().is_dir() {
            collect_modules(&entry.path(), &format!("{prefix}{name}::"), texts);
        } else if let Some(stem) = name.strip_suffix(".rs") {
            let module = match stem {
                "mod" => prefix.trim_end_matches("::").to_owned(),
                _ => format!("{prefix}{stem}"),
            };
            texts.insert(module, fs::read_to_string(entry.path()).expect("sources are text"));
        }
    }
}

/// Returns the longest prefix of an import path that is a module.
fn longest_module(path: &str, texts: &collections::BTreeMap<String, String>) -> Option<String> {
    let mut path = path;
    while !texts.contains_key(path) {
        path = path.rsplit_once("::")?.0;
    }
    Some(path.to_owned())
}

/// Whether a chain of imports leads from a module back to itself.
fn is_in_cycle(start: &str, imports: &collections::BTreeMap<String, Vec<String>>) -> bool {
    let mut seen = collections::BTreeSet::new();
    let mut stack: Vec<&str> = vec![start];
    while let Some(module) = stack.pop() {
        for next in imports.get(module).into_iter().flatten() {
            if next == start {
                return true;
            }
            if seen.insert(next) {
                stack.push(next);
            }
        }
    }
    false
}

#[test]
fn module_imports_have_no_cycles() {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let crates = fs::read_dir(&root).expect("the crates directory exists");
    let mut directories: Vec<_> = crates.flatten().map(|entry| entry.path()).collect();
    directories.extend([root.join("../platform"), root.join("../xtask")]);
    for directory in directories {
        let imports = module_imports(&directory.join("src"));
        let cycle: Vec<_> = imports.keys().filter(|module| is_in_cycle(module, &imports)).collect();
        assert!(cycle.is_empty(), "{}: {cycle:?}", directory.display());
    }
}
