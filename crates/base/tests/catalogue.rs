//! Checks that the catalogue in `docs/EVENTS.md` matches the log events that the code defines.

use std::env;
use std::fmt::Write as _;
use std::fs;
use std::path;

use samphiremoor_base::event;

/// Environment variable that makes the test write the catalogue before it compares it.
const UPDATE_VARIABLE: &str = "SAMPHIREMOOR_UPDATE_CATALOGUE";

const HEADING: &str = "\
# Log events

Each line of a log is one event: `TIME PROGRAM LEVEL ENUMBER NAME key=value…`. The number of an event
never changes. A test of `crates/base` checks this page against the code; after adding an event,
regenerate it with `SAMPHIREMOOR_UPDATE_CATALOGUE=1 cargo test -p samphiremoor-base --test catalogue`.

| number | name | level | meaning |
| --- | --- | --- | --- |
";

fn workspace_file(name: &str) -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").join(name)
}

fn render() -> String {
    let mut events = event::LogEvent::ALL.to_vec();
    events.sort_by_key(|event| event.number());
    let mut page = HEADING.to_owned();
    for event in events {
        let level = event.level().as_str().to_ascii_lowercase();
        let meaning = event.meaning().trim();
        writeln!(page, "| E{:04} | {} | {level} | {meaning} |", event.number(), event.name())
            .expect("writing to a string does not fail");
    }
    page
}

#[test]
fn catalogue_lists_every_event() {
    let file = workspace_file("docs/EVENTS.md");
    if env::var_os(UPDATE_VARIABLE).is_some() {
        fs::write(&file, render()).expect("the docs directory is writable");
    }
    let page = fs::read_to_string(&file).expect("docs/EVENTS.md exists");
    assert_eq!(page, render(), "set {UPDATE_VARIABLE}=1 and run this test to regenerate the page");
}
