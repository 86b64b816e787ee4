//! Checks that the modules that log filters name in `docs/OPERATIONS.md` and in the annotated
//! settings exist and write log lines.

use std::fs;
use std::path;

const PAGES: [&str; 4] = [
    "docs/OPERATIONS.md",
    "deploy/examples/samphiremoor-entry.toml",
    "deploy/examples/samphiremoor-gateway.toml",
    "deploy/platform/gateway.toml",
];

fn root() -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the crates and modules that a page names in the form `samphiremoor_crate::module`.
fn named_modules(page: &str) -> Vec<(String, String)> {
    let text = fs::read_to_string(root().join(page)).expect("the page exists");
    let words = text.split(|found: char| !found.is_ascii_alphanumeric() && !"_:".contains(found));
    let targets = words.filter_map(|word| word.strip_prefix("samphiremoor_")?.split_once("::"));
    targets.map(|(name, module)| (name.replace('_', "-"), module.to_owned())).collect()
}

#[test]
fn modules_of_log_filters_exist() {
    let modules: Vec<_> = PAGES.iter().flat_map(|page| named_modules(page)).collect();
    assert!(modules.len() >= 3, "{modules:?}");
    for (name, module) in modules {
        let path = module.replace("::", "/");
        let file = root().join(format!("crates/{name}/src/{path}.rs"));
        let code = fs::read_to_string(&file)
            .unwrap_or_else(|cause| panic!("{name}::{module} is no module: {cause}"));
        let has_lines = ["debug", "info", "warn", "error", "trace"]
            .iter()
            .any(|level| code.contains(&format!("log::{level}!")));
        assert!(has_lines, "{name}::{module} writes no log lines");
    }
}
