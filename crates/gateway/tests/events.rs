//! Whole events in their order, over several runs of a stream.

use samphiremoor_base::cases;
use samphiremoor_gateway::events;

fn event(number: u64) -> String {
    format!("id: {number}\ndata: piece {number}\n\n")
}

fn stream(numbers: impl Iterator<Item = u64>) -> String {
    numbers.map(event).collect()
}

/// Feeds runs one after the other; gives what is delivered and whether each was whole.
fn play(last: Option<u64>, runs: &[&str], step: usize) -> (String, Vec<bool>) {
    let mut splitter = events::EventSplitter::new(last);
    let mut out = Vec::new();
    let mut whole = Vec::new();
    for run in runs {
        splitter.restart();
        let mut is_whole = true;
        for piece in run.as_bytes().chunks(step) {
            splitter.buffer().extend_from_slice(piece);
            is_whole &= splitter.take(&mut out);
        }
        whole.push(is_whole && !splitter.is_torn());
    }
    (String::from_utf8(out).expect("the events are text"), whole)
}

fn check(
    last: Option<u64>,
    runs: &[&str],
    delivered: std::ops::RangeInclusive<u64>,
    whole: &[bool],
) {
    for step in [1, 5, 10_000] {
        let (out, found) = play(last, runs, step);
        assert_eq!((out, found.as_slice()), (stream(delivered.clone()), whole), "by {step} bytes");
    }
}

cases! {
    one_run => check(None, &[&stream(1..=5)], 1..=5, &[true]);
    torn_event_is_dropped =>
        check(None, &[&format!("{}id: 3\ndata: pi", stream(1..=2)), &stream(3..=5)], 1..=5, &[false, true]);
    events_that_come_again_are_dropped =>
        check(None, &[&stream(1..=3), &stream(1..=5)], 1..=5, &[true, true]);
    a_gap_ends_the_run => check(None, &[&stream(1..=3), &stream(5..=6)], 1..=3, &[true, false]);
    a_caller_that_has_some => check(Some(4), &[&stream(5..=6)], 5..=6, &[true]);
    a_run_from_the_start_for_a_caller_that_has_some => check(Some(4), &[&stream(1..=6)], 5..=6, &[true]);
}

#[test]
fn fields_besides_the_number_pass_untouched() {
    let text = "weights: 4\r\nid: 1\r\ndata: a\r\ndata: b\r\n\r\n";
    let (out, whole) = play(None, &[text], 3);
    assert_eq!((out.as_str(), whole.as_slice()), (text, &[true][..]));
}

proptest::proptest! {
    #![proptest_config(samphiremoor_testkit::config(256))]

    // However often a stream is cut and gone on with, each event is delivered once.
    #[test]
    fn any_cuts_deliver_each_event_once(
        cuts in proptest::collection::vec(0_usize..400, 0..5),
        step in 1_usize..60,
    ) {
        let mut splitter = events::EventSplitter::new(None);
        let mut out = Vec::new();
        for cut in cuts.into_iter().map(Some).chain([None]) {
            splitter.restart();
            let run = stream(splitter.last().unwrap_or(0) + 1..=12);
            let end = cut.map_or(run.len(), |cut| cut.min(run.len()));
            for piece in run.as_bytes()[..end].chunks(step) {
                splitter.buffer().extend_from_slice(piece);
                proptest::prop_assert!(splitter.take(&mut out));
            }
        }
        proptest::prop_assert_eq!(out, stream(1..=12).into_bytes());
    }
}
