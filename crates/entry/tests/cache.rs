//! Cache events of engines, as routing gets them.

mod fixture;

use fixture::upstream::FakeEngine;
use samphiremoor_base::cases;
use samphiremoor_entry::cache;

/// Reads published events and prints the runs that they make.
fn check(published: &str, expected: &str) {
    let published: Vec<cache::PublishedEvent> =
        serde_json::from_str(published).expect("the events are published so");
    let runs = cache::runs(&published);
    let found: Vec<String> =
        runs.iter().map(|run| format!("{}+{}", run.first, run.events.len())).collect();
    assert_eq!(found.join(" "), expected);
}

cases! {
    no_events => check("[]", "");
    one_run => check(r#"[{"serial":4,"stored":9},{"serial":5,"evicted":9}]"#, "4+2");
    lost_event => check(
        r#"[{"serial":1,"stored":1},{"serial":3,"stored":2},{"serial":4,"stored":3}]"#, "1+1 3+2");
    repeated_event => check(r#"[{"serial":1,"stored":1},{"serial":1,"stored":1}]"#, "1+1 1+1");
}

#[test]
fn engines_of_the_zone_are_polled_and_others_are_not() {
    let near = FakeEngine::start(1);
    let far = FakeEngine::start(1);
    let view = fixture::SharedView::new(&[near.address(), far.address()], &[]);
    view.change(|view| view.replicas[1].zone = fixture::parsed("zone-b"));
    let _daemon = fixture::TestDaemon::start_with(&view, |settings| {
        settings.upstreams.cache_polls = 200;
    });
    let polls = |engine: &FakeEngine| engine.paths().len();
    fixture::wait_until("the near engine is polled", || polls(&near) >= 5);
    assert!(near.paths().iter().all(|path| path == "/cache/events"));
    assert_eq!(polls(&far), 0);
}
