//! Tests of the errors for invalid settings files.

use std::path;

use samphiremoor_base::cases;
use samphiremoor_settings::load;
use serde::Deserialize;

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ProbeSettings {
    address: String,
    limits: ProbeLimits,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ProbeLimits {
    max_body_bytes: u64,
}

impl load::CheckedSettings for ProbeSettings {
    fn check(&self) -> Result<(), load::ValueError> {
        if self.limits.max_body_bytes == 0 {
            return Err(load::ValueError {
                key: "limits.max_body_bytes",
                problem: "is 0".to_owned(),
                remedy: "give at least 1".to_owned(),
            });
        }
        Ok(())
    }
}

/// Parses the text and checks the start of the error; an empty `expected` means no error.
fn check(text: &str, expected: &str) {
    let found = match load::parse::<ProbeSettings>(path::Path::new("probe.toml"), text) {
        Ok(settings) => {
            assert!(!settings.address.is_empty());
            String::new()
        }
        Err(cause) => cause.to_string(),
    };
    match expected.is_empty() {
        true => assert_eq!(found, ""),
        false => assert!(found.starts_with(expected), "{found:?} does not start with {expected:?}"),
    }
}

cases! {
    valid_file_is_accepted => check("address = 'a'\n[limits]\nmax_body_bytes = 5\n", "");
    unknown_key_is_refused => check(
        "address = 'a'\nadress = 'b'\n[limits]\nmax_body_bytes = 5\n",
        "probe.toml:2: unknown field `adress`, expected `address` or `limits`",
    );
    unknown_key_in_a_table_is_refused => check(
        "address = 'a'\n\n[limits]\nmax_body_bytes = 5\nmax_head = 1\n",
        "probe.toml:5: unknown field `max_head`",
    );
    missing_key_is_refused => check("address = 'a'\n[limits]\n", "probe.toml:2: missing field `max_body_bytes`");
    wrong_type_is_refused => check(
        "address = 'a'\n[limits]\nmax_body_bytes = 'many'\n",
        "probe.toml:3: invalid type: string \"many\", expected u64",
    );
    negative_size_is_refused => check(
        "address = 'a'\n[limits]\nmax_body_bytes = -1\n",
        "probe.toml:3: invalid value: integer `-1`, expected u64",
    );
    invalid_value_has_its_line_and_remedy => check(
        "address = 'a'\n\n[limits]\n# none\nmax_body_bytes = 0\n",
        "probe.toml:5: limits.max_body_bytes: is 0; give at least 1",
    );
    text_that_is_not_toml_is_refused => check("address 'a'\n", "probe.toml:1: ");
}

#[test]
fn missing_file_has_the_remedy() {
    let file = path::Path::new("no-such-directory/probe.toml");
    let cause = load::load::<ProbeSettings>(file).expect_err("the file does not exist");
    assert!(cause.to_string().contains("name an existing settings file with --settings"));
}

proptest::proptest! {
    #![proptest_config(samphiremoor_testkit::config(256))]

    #[test]
    fn parsing_arbitrary_text_does_not_panic(text in ".{0,200}") {
        let _ = load::parse::<ProbeSettings>(path::Path::new("probe.toml"), &text);
    }
}
