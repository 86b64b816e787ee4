//! Validation of the load generator's settings.

use std::path;

use samphiremoor_load::settings;
use samphiremoor_settings::load;

fn example_text() -> String {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let file = root.join("deploy/examples/samphiremoor-load.toml");
    std::fs::read_to_string(file).expect("the example exists")
}

fn parse(text: &str) -> Result<settings::LoadSettings, load::SettingsError> {
    load::parse(path::Path::new("load.toml"), text)
}

fn check_refused(original: &str, replacement: &str, expected_key: &str) {
    let text = example_text().replace(original, replacement);
    let message = parse(&text).expect_err("the settings are refused").to_string();
    assert!(message.contains(expected_key), "{message}");
}

samphiremoor_base::cases! {
    example_is_valid => assert!(parse(&example_text()).is_ok());
    unknown_key_is_refused => check_refused("seed = 7", "sede = 7", "sede");
    missing_entries_are_refused =>
        check_refused("entries = [\"127.0.0.1:21010\", \"127.0.0.1:21013\"]", "entries = []", "entries");
    zero_length_is_refused => check_refused("length_ms = 30000", "length_ms = 0", "length_ms");
    zero_rate_factor_is_refused =>
        check_refused("rate_factor = 0.2", "rate_factor = 0.0", "rate_factor");
    fault_outside_control_api_is_refused =>
        check_refused("path = \"/control/faults\"", "path = \"/v1/requests\"", "faults");
}
