//! Tests of identifiers, digests, outcomes, quantities, reasons and events.

use std::collections;

use samphiremoor_base::cases;
use samphiremoor_base::digest;
use samphiremoor_base::event;
use samphiremoor_base::id;
use samphiremoor_base::outcome;
use samphiremoor_base::quantity;
use samphiremoor_base::reason;
use samphiremoor_base::time;

fn check_id(text: &str, expected: &str) {
    let found = match text.parse::<id::WorkspaceId>() {
        Ok(id) => id.to_string(),
        Err(cause) => cause.to_string(),
    };
    assert!(found.starts_with(expected), "{found:?} does not start with {expected:?}");
}

fn check_digest(text: &str, is_valid: bool) {
    assert_eq!(text.parse::<digest::HexDigest>().is_ok(), is_valid);
}

fn check_outcome(text: &str, expected: Option<outcome::CallOutcome>) {
    assert_eq!(text.parse().ok(), expected);
}

fn check_millis(text: &str, expected: Option<u64>) {
    assert_eq!(text.parse::<time::Millis>().ok().map(time::Millis::get), expected);
}

cases! {
    valid_id => check_id("clinic-4.north:7/a+b_c", "clinic-4.north:7/a+b_c");
    empty_id => check_id("", "the identifier is empty");
    id_with_space => check_id("a b", "the identifier holds ' '");
    id_with_line_end => check_id("a\n", "the identifier holds '\\n'");
    long_id => check_id(&"x".repeat(201), "the identifier has 201 bytes");
    valid_digest => check_digest(&"0a".repeat(32), true);
    digest_in_upper_case => check_digest(&"0A".repeat(32), false);
    digest_too_short => check_digest("0a", false);
    outcome_complete => check_outcome("complete", Some(outcome::CallOutcome::Complete));
    outcome_not_run => check_outcome("not-run", Some(outcome::CallOutcome::NotRun));
    outcome_unknown => check_outcome("unknown", Some(outcome::CallOutcome::Unknown));
    invalid_outcome => check_outcome("done", None);
    millis_with_unit => check_millis("250ms", Some(250));
    millis_without_unit => check_millis("250", Some(250));
    invalid_millis => check_millis("soon", None);
}

#[test]
fn digest_depends_on_the_boundaries_of_parts() {
    let left = digest::HexDigest::of_parts(&[b"ab", b"c"]);
    let right = digest::HexDigest::of_parts(&[b"a", b"bc"]);
    assert_ne!(left, right);
}

#[test]
fn digest_equals_the_output_of_sha256sum() {
    let empty = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";
    assert_eq!(digest::HexDigest::of(b"").as_str(), empty);
}

#[test]
fn reason_labels_are_unique() {
    let refusals: collections::BTreeSet<_> =
        reason::RefusalReason::ALL.iter().map(|reason| reason.label()).collect();
    assert_eq!(refusals.len(), reason::RefusalReason::ALL.len());
    let retries: collections::BTreeSet<_> =
        reason::RetryReason::ALL.iter().map(|reason| reason.label()).collect();
    assert_eq!(retries.len(), reason::RetryReason::ALL.len());
}

#[test]
fn event_numbers_and_names_are_unique() {
    let numbers: collections::BTreeSet<_> =
        event::LogEvent::ALL.iter().map(|event| event.number()).collect();
    assert_eq!(numbers.len(), event::LogEvent::ALL.len());
    let names: collections::BTreeSet<_> =
        event::LogEvent::ALL.iter().map(|event| event.name()).collect();
    assert_eq!(names.len(), event::LogEvent::ALL.len());
}

proptest::proptest! {
    #![proptest_config(samphiremoor_testkit::config(256))]

    #[test]
    fn ids_round_trip_through_json_and_postcard(text in "[a-zA-Z0-9._:/+-]{1,200}") {
        let id: id::RequestId = text.parse().expect("the text is a valid id");
        let json = serde_json::to_string(&id).expect("an id serializes as a string");
        proptest::prop_assert_eq!(serde_json::from_str::<id::RequestId>(&json).ok(), Some(id.clone()));
        let bytes = postcard::to_stdvec(&id).expect("an id serializes as a string");
        proptest::prop_assert_eq!(postcard::from_bytes::<id::RequestId>(&bytes).ok(), Some(id));
    }

    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes in proptest::collection::vec(0_u8.., 0..64)) {
        let _ = postcard::from_bytes::<id::RequestId>(&bytes);
        let _ = postcard::from_bytes::<digest::HexDigest>(&bytes);
        let _ = postcard::from_bytes::<quantity::FencingToken>(&bytes);
        let _ = postcard::from_bytes::<reason::RefusalReason>(&bytes);
    }

    #[test]
    fn adding_a_duration_never_goes_back_in_time(start in 0_u64.., length in 0_u64..) {
        let start = time::MonotonicTime::new(start);
        let end = start + time::Millis::new(length);
        proptest::prop_assert!(end >= start);
        proptest::prop_assert_eq!(start.since(end).get() , 0);
    }
}
