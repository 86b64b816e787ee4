//! Wire format of the messages about attempt records.

use proptest::prelude::*;
use samphiremoor_base::time;
use samphiremoor_fleet::attempt_message;
use samphiremoor_fleet::attempt_record;
use samphiremoor_fleet::digest;

fn origins() -> impl Strategy<Value = attempt_record::StreamOrigin> {
    ("[a-z][a-z0-9-]{0,20}", "v[0-9.]{1,8}").prop_map(|(service, version)| {
        attempt_record::StreamOrigin {
            service: service.parse().expect("the name is an identifier"),
            version: version.parse().expect("the version is valid"),
        }
    })
}

fn attempts() -> impl Strategy<Value = attempt_record::AttemptHash> {
    any::<u64>().prop_map(attempt_record::AttemptHash::new)
}

fn messages() -> impl Strategy<Value = attempt_message::AttemptMessage> {
    let copy = (attempts(), origins(), any::<u64>()).prop_map(|(attempt, origin, lifetime)| {
        let lifetime = time::Millis::new(lifetime);
        attempt_message::RecordCopy { attempt, origin, lifetime }
    });
    prop_oneof![
        prop::collection::vec(copy, 0..5).prop_map(attempt_message::AttemptMessage::Records),
        attempts().prop_map(attempt_message::AttemptMessage::Query),
        (attempts(), prop::option::of(origins())).prop_map(|(attempt, origin)| {
            attempt_message::AttemptMessage::Answer(attempt, origin)
        }),
    ]
}

fn check_refused(bytes: &[u8], cause: attempt_message::MessageError) {
    assert_eq!(attempt_message::AttemptMessage::decode(bytes), Err(cause));
}

samphiremoor_base::cases! {
    empty_datagram_is_refused => check_refused(&[], attempt_message::MessageError::UnknownFormat);
    later_format_is_refused =>
        check_refused(&[0, 2, 1, 5], attempt_message::MessageError::UnknownFormat);
    cut_message_is_refused => check_refused(&[0, 1, 1], attempt_message::MessageError::Malformed);
    unknown_kind_is_refused =>
        check_refused(&[0, 1, 9, 5], attempt_message::MessageError::Malformed);
    empty_service_is_refused =>
        check_refused(&[0, 1, 2, 5, 1, 0, 1, b'v'], attempt_message::MessageError::InvalidOrigin);
    empty_version_is_refused =>
        check_refused(&[0, 1, 2, 5, 1, 1, b's', 0], attempt_message::MessageError::InvalidOrigin);
}

// The bytes must not change while daemons of several releases run side by side.
#[test]
fn answer_has_the_bytes_of_its_format() {
    let origin = attempt_record::StreamOrigin {
        service: "desk".parse().expect("the name is an identifier"),
        version: "v1".parse().expect("the version is valid"),
    };
    let attempt = attempt_record::AttemptHash::new(5);
    let answer = attempt_message::AttemptMessage::Answer(attempt, Some(origin));
    assert_eq!(answer.encode(), b"\x00\x01\x02\x05\x01\x04desk\x02v1");
}

proptest! {
    #![proptest_config(samphiremoor_testkit::config(256))]

    #[test]
    fn message_is_decoded_as_it_was_encoded(message in messages()) {
        let bytes = message.encode();
        prop_assert_eq!(bytes[0], attempt_message::MESSAGE_MARK);
        prop_assert_eq!(attempt_message::AttemptMessage::decode(&bytes), Ok(message));
    }

    // Daemons that don't know the messages take each datagram for a digest.
    #[test]
    fn message_is_no_digest(message in messages()) {
        let digest: Result<digest::PeerDigest, _> = postcard::from_bytes(&message.encode());
        prop_assert!(digest.is_err());
    }

    #[test]
    fn any_bytes_are_decoded_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..64)) {
        let mut datagram = vec![0, 1];
        datagram.extend(bytes);
        let _ = attempt_message::AttemptMessage::decode(&datagram);
    }
}
