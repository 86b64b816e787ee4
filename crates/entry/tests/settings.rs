//! The annotated example, and refusals of invalid settings.

use std::path;

use samphiremoor_base::cases;
use samphiremoor_entry::settings;
use samphiremoor_settings::load;
use samphiremoor_shards::settings as shard_settings;

const EXAMPLE: &str = include_str!("../../../deploy/examples/samphiremoor-entry.toml");

fn parse(text: &str) -> Result<settings::EntrySettings, load::SettingsError> {
    load::parse(path::Path::new("entry.toml"), text)
}

#[test]
fn example_matches_defaults() {
    let example = parse(EXAMPLE).expect("the example is valid");
    assert_eq!(example.shards, shard_settings::ShardSettings::default());
    assert_eq!(example.callers, settings::CallerSettings::default());
    assert_eq!(example.upstreams, settings::UpstreamSettings::default());
    assert_eq!(example.retries, settings::RetrySettings::default());
    assert_eq!(example.kept, settings::KeptSettings::default());
    assert_eq!(example.stop, settings::StopSettings::default());
}

/// Replaces one line of the example and expects an error that contains this text.
fn check(line: &str, replacement: &str, expected: &str) {
    assert!(EXAMPLE.contains(line), "the example has no line {line}");
    let error = parse(&EXAMPLE.replace(line, replacement)).expect_err("the value is invalid");
    let text = error.to_string();
    assert!(text.contains(expected), "{text}");
}

/// Removes the lines from one table's header to another's and expects an error that contains this
/// text.
fn check_without(table: &str, next_table: &str, expected: &str) {
    let begin = EXAMPLE.find(&format!("\n{table}\n")).expect("the example has the table");
    let end = EXAMPLE.find(&format!("\n{next_table}\n")).expect("the example has the next table");
    let error = parse(&format!("{}{}", &EXAMPLE[..begin], &EXAMPLE[end..]))
        .expect_err("the table is required");
    let text = error.to_string();
    assert!(text.contains(expected), "{text}");
}

cases! {
    unknown_key => check("max_attempts = 8", "max_tries = 8", "max_tries");
    zero_attempts => check("max_attempts = 8", "max_attempts = 0", "retries.max_attempts");
    zero_connections => check("max_connections = 4096", "max_connections = 0", "callers.max_connections");
    negative_time => check("\nsilence_ms = 3000", "\nsilence_ms = -1", "-1");
    missing_view_source => check_without("[control]", "[platform]", "control: the view needs one source");
    two_view_sources => check("# view_file =", "view_file =", "control: the view needs one source");
    missing_platform => check_without("[platform]", "[shards]", "platform: the control thread has no platform");
    zero_control_timeout => check("\ntimeout_ms = 500", "\ntimeout_ms = 0", "control.timeout_ms");
    zero_control_links => check("max_links = 64", "max_links = 0", "control.max_links");
    unknown_control_key => check("seeds =", "seed =", "unknown field `seed`");
    shared_control_address => check("address = \"127.0.0.1:8082\"", "address = \"127.0.0.1:8081\"", "control.address: 127.0.0.1:8081 is used twice");
    listen_address_in_use => check("# listen = \"127.0.0.1:8082\"", "listen = \"127.0.0.1:8080\"", "control.listen: 127.0.0.1:8080 is used twice");
    retry_budget_over_one => check("budget_per_mille = 100", "budget_per_mille = 1001", "retries.budget_per_mille");
    same_http_and_peer_address => check("127.0.0.1:8081", "127.0.0.1:8080", "peer_address");
}
