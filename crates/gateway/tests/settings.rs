//! Validation of the annotated example settings, the platform's template, and invalid values.

use std::path;

use samphiremoor_base::cases;
use samphiremoor_gateway::settings;
use samphiremoor_settings::load;

const EXAMPLE: &str = include_str!("../../../deploy/examples/samphiremoor-gateway.toml");
const TEMPLATE: &str = include_str!("../../../deploy/platform/gateway.toml");

fn parse(text: &str) -> Result<settings::GatewaySettings, load::SettingsError> {
    load::parse(path::Path::new("gateway.toml"), text)
}

fn check(example_text: &str, replacement: &str, expected_message: &str) {
    assert!(EXAMPLE.contains(example_text), "the example contains {example_text}");
    let result = parse(&EXAMPLE.replace(example_text, replacement)).map(|_| ());
    let message = result.expect_err("the value is invalid").to_string();
    assert!(message.contains(expected_message), "{message}");
}

cases! {
    lease_below_minimum_is_rejected => check("lease_ms = 3000", "lease_ms = 10", "times.lease_ms");
    zero_usage_window_is_rejected => check("usage_window_s = 5", "usage_window_s = 0", "times.usage_window_s");
    negative_retry_ratio_is_rejected => check("retry_ratio = 0.2", "retry_ratio = -1.0", "shared.retry_ratio");
    zero_quota_window_is_rejected => check("quota_window_s = 8", "quota_window_s = 0", "shared.quota_window_s");
    negative_quota_fraction_is_rejected => check("quota_over = 0.1", "quota_over = -0.1", "shared.quota_over");
    negative_quota_slack_is_rejected => check("quota_slack = 140000", "quota_slack = -1", "shared.quota_slack");
    memory_below_minimum_is_rejected => check("memory_mb = 260", "memory_mb = 1", "shared.memory_mb");
    duplicate_address_is_rejected => check("127.0.0.1:7600", "127.0.0.1:8221", "listen.peers");
    unknown_key_is_rejected => check("log = ", "lug = ", "lug");
    invalid_address_is_rejected => check("127.0.0.1:8224", "nowhere", "gateway.toml:10: invalid socket address");
}

#[test]
fn example_is_accepted() {
    assert!(parse(EXAMPLE).is_ok());
}

// The template must set the same keys as the example, in the same order.
#[test]
fn template_has_the_keys_of_the_example() {
    let keys = |text: &str| -> Vec<String> {
        let lines = text.lines().map(str::trim).filter(|line| !line.starts_with('#'));
        lines.filter_map(|line| Some(line.split_once('=')?.0.trim().to_owned())).collect()
    };
    assert_eq!(keys(TEMPLATE), keys(EXAMPLE));
}
