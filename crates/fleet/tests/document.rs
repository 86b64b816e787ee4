//! Documents split into parts, and what is sent of them.

mod distribution;

use proptest::prelude::prop;
use proptest::prelude::prop_assert;
use proptest::prelude::prop_assert_eq;
use proptest::proptest;
use samphiremoor_base::quantity;
use samphiremoor_fleet::document;

const MAX_BYTES: u64 = 16 * 1024 * 1024;

fn split(revision: u64, text: &[u8]) -> document::DocumentManifest {
    document::DocumentManifest::split(quantity::RevisionNumber::new(revision), text)
}

/// Transfers a document to a daemon that has another one, and returns the text and the bytes sent.
fn transfer(known: &[u8], text: &[u8]) -> (Vec<u8>, usize) {
    let manifest = split(2, text);
    let encoded = manifest.encode().expect("the manifest can be encoded");
    let mut store = document::PartStore::default();
    store.add_document(&split(1, known), known);
    let received =
        document::DocumentManifest::decode(&encoded, MAX_BYTES).expect("the manifest is valid");
    let mut sent = encoded.len();
    loop {
        let ranges = store.missing(&received);
        if ranges.is_empty() {
            return (store.assemble(&received).expect("no part is missing"), sent);
        }
        let text_ranges = document::encode_ranges(&ranges);
        let requested = document::decode_ranges(&text_ranges).expect("the ranges are valid");
        assert_eq!(requested, ranges);
        let content = manifest.compress(text, &requested).expect("the ranges are in the document");
        sent += content.len();
        store.add_compressed(&received, &ranges, &content).expect("the content is valid");
    }
}

#[test]
fn small_change_of_a_large_document_sends_little() {
    let (known, text) =
        (distribution::document_text(1, 2_800), distribution::document_text(2, 2_800));
    let (received, sent) = transfer(&known, &text);
    assert!(received == text);
    assert!(sent * 20 < text.len(), "{sent} of {} bytes", text.len());
}

#[test]
fn wrong_content_is_refused() {
    let text = distribution::document_text(1, 100);
    let manifest = split(1, &text);
    let mut store = document::PartStore::default();
    let ranges = store.missing(&manifest);
    let other = distribution::document_text(1, 200).split_off(100);
    let first = document::decode_ranges("0-1").expect("the range is valid");
    let content = split(1, &other).compress(&other, &first).expect("the range is valid");
    assert_eq!(
        store.add_compressed(&manifest, &ranges, &content),
        Err(document::DocumentError::Content)
    );
    assert_eq!(store.assemble(&manifest), None);
}

#[test]
fn manifest_of_a_document_over_the_limit_is_refused() {
    let text = distribution::document_text(1, 100);
    let encoded = split(1, &text).encode().expect("the manifest can be encoded");
    let length = text.len() as u64;
    assert!(document::DocumentManifest::decode(&encoded, length).is_ok());
    assert_eq!(
        document::DocumentManifest::decode(&encoded, length - 1),
        Err(document::DocumentError::TooLarge(length))
    );
}

#[test]
fn ranges_outside_of_the_document_are_refused() {
    let text = distribution::document_text(1, 10);
    let manifest = split(1, &text);
    let after_end = format!("0-{}", manifest.parts.len() + 1);
    for ranges in [&after_end, "2-1", "18446744073709551615-18446744073709551615"] {
        let ranges = document::decode_ranges(ranges).expect("the ranges are readable");
        assert_eq!(manifest.compress(&text, &ranges), Err(document::DocumentError::Ranges));
    }
    for ranges in ["", "1", "a-b", "1-2,", "-"] {
        assert_eq!(document::decode_ranges(ranges), Err(document::DocumentError::Ranges));
    }
}

proptest! {
    #![proptest_config(samphiremoor_testkit::config(64))]

    #[test]
    fn any_document_is_transferred_whole(
        known in prop::collection::vec(0_u8..4, 0..40_000),
        edits in prop::collection::vec((0_usize..40_000, prop::collection::vec(0_u8..=255, 0..600)), 0..4),
    ) {
        let mut text = known.clone();
        for (at, inserted) in edits {
            let at = at.min(text.len());
            text.splice(at..at, inserted);
        }
        let (received, _) = transfer(&known, &text);
        prop_assert_eq!(received, text);
    }

    #[test]
    fn unreadable_manifests_are_refused(bytes in prop::collection::vec(0_u8..=255, 0..200)) {
        if let Ok(manifest) = document::DocumentManifest::decode(&bytes, 1_000) {
            prop_assert!(manifest.length() <= 1_000);
        }
    }
}
