//! Splitting event streams: complete events in order, across several replicas' streams.

use samphiremoor_base::cases;
use samphiremoor_gateway::events;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

fn stream(ids: impl Iterator<Item = u64>) -> String {
    ids.map(event).collect()
}

/// Feeds streams one after the other in pieces of `chunk_size` bytes. Returns the delivered text
/// and whether each stream was complete.
fn feed(last_id: Option<u64>, streams: &[&str], chunk_size: usize) -> (String, Vec<bool>) {
    let mut splitter = events::EventSplitter::new(last_id);
    let mut out = Vec::new();
    let mut complete = Vec::new();
    for stream in streams {
        splitter.discard_partial();
        let mut is_in_order = true;
        for piece in stream.as_bytes().chunks(chunk_size) {
            splitter.buffer().extend_from_slice(piece);
            is_in_order &= splitter.take_events(&mut out);
        }
        complete.push(is_in_order && !splitter.is_incomplete());
    }
    (String::from_utf8(out).expect("the events are text"), complete)
}

fn check(
    last_id: Option<u64>,
    streams: &[&str],
    delivered: std::ops::RangeInclusive<u64>,
    complete: &[bool],
) {
    for chunk_size in [1, 5, 10_000] {
        let (out, complete_streams) = feed(last_id, streams, chunk_size);
        assert_eq!(
            (out, complete_streams.as_slice()),
            (stream(delivered.clone()), complete),
            "by {chunk_size} bytes"
        );
    }
}

cases! {
    single_stream_is_delivered => check(None, &[&stream(1..=5)], 1..=5, &[true]);
    incomplete_event_is_dropped =>
        check(None, &[&format!("{}id: 3\ndata: pi", stream(1..=2)), &stream(3..=5)], 1..=5, &[false, true]);
    repeated_events_are_dropped =>
        check(None, &[&stream(1..=3), &stream(1..=5)], 1..=5, &[true, true]);
    missing_event_ends_the_stream => check(None, &[&stream(1..=3), &stream(5..=6)], 1..=3, &[true, false]);
    caller_with_earlier_events_gets_the_rest => check(Some(4), &[&stream(5..=6)], 5..=6, &[true]);
    events_that_the_caller_has_are_dropped => check(Some(4), &[&stream(1..=6)], 5..=6, &[true]);
}

#[test]
fn other_event_fields_are_forwarded_unchanged() {
    let text = "weights: 4\r\nid: 1\r\ndata: a\r\ndata: b\r\n\r\n";
    let (out, complete) = feed(None, &[text], 3);
    assert_eq!((out.as_str(), complete.as_slice()), (text, &[true][..]));
}

proptest::proptest! {
    #![proptest_config(samphiremoor_testkit::config(256))]

    // A stream that is cut and resumed any number of times delivers each event exactly once.
    #[test]
    fn resumed_streams_deliver_each_event_once(
        cuts in proptest::collection::vec(0_usize..400, 0..5),
        chunk_size in 1_usize..60,
    ) {
        let mut splitter = events::EventSplitter::new(None);
        let mut out = Vec::new();
        for cut in cuts.into_iter().map(Some).chain([None]) {
            splitter.discard_partial();
            let text = stream(splitter.last_id().unwrap_or(0) + 1..=12);
            let end = cut.map_or(text.len(), |cut| cut.min(text.len()));
            for piece in text.as_bytes()[..end].chunks(chunk_size) {
                splitter.buffer().extend_from_slice(piece);
                proptest::prop_assert!(splitter.take_events(&mut out));
            }
        }
        proptest::prop_assert_eq!(out, stream(1..=12).into_bytes());
    }
}

#[test]
fn event_without_end_is_excessive() {
    let mut splitter = events::EventSplitter::default();
    let mut out = Vec::new();
    splitter.buffer().extend_from_slice(b"id: 1\ndata: a\n\ndata: ");
    assert!(splitter.take_events(&mut out) && !splitter.is_excessive());
    splitter.buffer().extend(std::iter::repeat_n(b'x', 300 * 1024));
    assert!(splitter.take_events(&mut out));
    assert!(splitter.is_excessive(), "the event has no end");
    splitter.discard_partial();
    assert!(!splitter.is_excessive());
}

#[test]
fn repeated_events_are_excessive_until_a_new_one_comes() {
    let mut splitter = events::EventSplitter::new(Some(5));
    let mut out = Vec::new();
    for _ in 0..100_000 {
        splitter.buffer().extend_from_slice(b"id: 5\ndata: a\n\n");
        assert!(splitter.take_events(&mut out));
    }
    assert!(splitter.is_excessive());
    splitter.buffer().extend_from_slice(b"id: 6\ndata: a\n\n");
    assert!(splitter.take_events(&mut out) && !splitter.is_excessive());
}
