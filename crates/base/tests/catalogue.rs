//! The catalogue of log events in `docs/EVENTS.md` says what the code logs.

use std::env;
use std::fmt::Write as _;
use std::fs;
use std::path;

use samphiremoor_base::event;

/// Variable that makes the test write the catalogue instead of comparing it.
const UPDATE_VARIABLE: &str = "SAMPHIREMOOR_UPDATE_CATALOGUE";

const HEADING: &str = "\
# Log events

Each line of a log is one event: `TIME PROGRAM LEVEL ENUMBER NAME key=value…`. The number of an event
never changes. This page is checked against the code by a test of `crates/base`; after adding an event,
write it anew with `SAMPHIREMOOR_UPDATE_CATALOGUE=1 cargo test -p samphiremoor-base --test catalogue`.

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
            .expect("a string takes every text");
    }
    page
}

#[test]
fn catalogue_lists_every_event() {
    let file = workspace_file("docs/EVENTS.md");
    if env::var_os(UPDATE_VARIABLE).is_some() {
        fs::write(&file, render()).expect("the docs directory can be written");
    }
    let page = fs::read_to_string(&file).expect("docs/EVENTS.md exists");
    assert_eq!(page, render(), "set {UPDATE_VARIABLE}=1 and run this test to write the page anew");
}
