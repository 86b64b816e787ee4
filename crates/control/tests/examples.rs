//! The annotated example is a settings file that the daemon takes.

use std::path;

use samphiremoor_base::cases;
use samphiremoor_control::settings;
use samphiremoor_settings::load;

const EXAMPLE: &str = include_str!("../../../deploy/examples/samphiremoor-control.toml");

#[track_caller]
fn check_refused(from: &str, to: &str, part: &str) {
    assert!(EXAMPLE.contains(from), "the example holds {from:?}");
    let text = EXAMPLE.replacen(from, to, 1);
    let refused = load::parse::<settings::ControlSettings>(path::Path::new("file"), &text);
    let message = refused.expect_err("the settings are refused").to_string();
    assert!(message.contains(part), "{message:?} lacks {part:?}");
}

#[test]
fn example_is_taken() {
    let name = path::Path::new("example");
    load::parse::<settings::ControlSettings>(name, EXAMPLE).expect("the example is taken");
}

cases! {
    shared_port_is_refused => check_refused("7302", "7301", "addresses.view: 127.0.0.1:7301 is used twice");
    listening_at_a_port_in_use_is_refused => check_refused("# control_listen = \"127.0.0.1:7301\"", "control_listen = \"127.0.0.1:7303\"", "addresses.control_listen: 127.0.0.1:7303 is used twice");
    no_timeout_is_refused => check_refused("timeout_ms = 500", "timeout_ms = 0", "peers.timeout_ms");
    unknown_key_is_refused => check_refused("seeds =", "seed =", "unknown field `seed`");
}
