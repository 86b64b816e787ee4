//! Polling of engines' cache events.

mod fixture;

use fixture::upstream::FakeEngine;
use samphiremoor_base::cases;
use samphiremoor_entry::cache;

/// Expects these contiguous runs, each printed as `FIRST_SERIAL+LENGTH`, for the published events.
fn check(published: &str, expected: &str) {
    let published: Vec<cache::PublishedEvent> =
        serde_json::from_str(published).expect("the events have the published form");
    let runs = cache::contiguous_runs(&published);
    let printed: Vec<String> =
        runs.iter().map(|run| format!("{}+{}", run.first_serial, run.events.len())).collect();
    assert_eq!(printed.join(" "), expected);
}

cases! {
    no_events => check("[]", "");
    contiguous_events => check(r#"[{"serial":4,"stored":9},{"serial":5,"evicted":9}]"#, "4+2");
    lost_event => check(
        r#"[{"serial":1,"stored":1},{"serial":3,"stored":2},{"serial":4,"stored":3}]"#, "1+1 3+2");
    repeated_event => check(r#"[{"serial":1,"stored":1},{"serial":1,"stored":1}]"#, "1+1 1+1");
}

/// Expects this number of events from a response.
fn check_parsed(bytes: &str, expected_count: usize) {
    assert_eq!(cache::parse_events(bytes.as_bytes()).len(), expected_count);
}

cases! {
    empty_array => check_parsed("[]", 0);
    whole_array => check_parsed(r#" [{"serial":4,"stored":9}, {"serial":5,"evicted":9}] "#, 2);
    array_truncated_in_event => check_parsed(r#"[{"serial":4,"stored":9},{"serial":5,"ev"#, 1);
    array_truncated_after_comma => check_parsed(r#"[{"serial":4,"stored":9},"#, 1);
    no_array => check_parsed(r#"{"serial":4,"stored":9}"#, 0);
}

#[test]
fn only_engines_of_local_zone_are_polled() {
    let local = FakeEngine::start(1);
    let remote = FakeEngine::start(1);
    let view = fixture::SharedView::new(&[local.address(), remote.address()], &[]);
    view.change(|view| view.replicas[1].zone = fixture::parsed("zone-b"));
    let _daemon = fixture::TestDaemon::start_with(&view, |settings| {
        settings.upstreams.cache_polls = 200;
    });
    let poll_count = |engine: &FakeEngine| engine.paths().len();
    fixture::wait_until("the local engine is polled", || poll_count(&local) >= 5);
    assert!(local.paths().iter().all(|path| path == "/cache/events"));
    assert_eq!(poll_count(&remote), 0);
}

#[test]
fn events_over_size_limit_are_polled_in_parts() {
    const EVENT_COUNT: usize = 20_000;
    let events: Vec<String> =
        (1..=EVENT_COUNT).map(|serial| format!(r#"{{"serial":{serial},"stored":9}}"#)).collect();
    let engine = FakeEngine::start(1);
    engine.set_other_body(format!("[{}]", events.join(",")));
    let view = fixture::SharedView::new(&[engine.address()], &[]);
    let _daemon = fixture::TestDaemon::start_with(&view, |settings| {
        settings.upstreams.cache_polls = 200;
    });
    fixture::wait_until("the engine is polled twice", || engine.queries().len() >= 2);
    assert_ne!(engine.queries()[1], "after=0", "the first part of the events is lost");
}
