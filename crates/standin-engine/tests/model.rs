//! Pure modules of the stand-in engine: batching, cache, journal and orders.

use std::time::Duration;

use proptest::prelude::*;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_records::set;
use samphiremoor_standin_engine::batch;
use samphiremoor_standin_engine::blocks;
use samphiremoor_standin_engine::cache;
use samphiremoor_standin_engine::journal;
use samphiremoor_standin_engine::orders;
use samphiremoor_standin_engine::wire;

const MODEL: batch::TimeModel = batch::TimeModel {
    prefill_per_second: 1_000,
    prefill_chunk: 32,
    decode_base: Duration::from_millis(10),
    decode_each: Duration::from_millis(1),
    max_batch: 2,
};

fn scheduler() -> batch::BatchScheduler {
    batch::BatchScheduler::new(MODEL, cache::PrefixCache::new(8))
}

fn job(priority: u8, words: u64, target: u64) -> batch::SequenceJob {
    let words: Vec<String> = (0..words).map(|index| format!("w{index}")).collect();
    batch::SequenceJob {
        priority: quantity::PriorityLevel::new(priority),
        blocks: blocks::hash_blocks(&words),
        prompt: quantity::TokenCount::new(words.len() as u64),
        delivered: quantity::TokenCount::new(0),
        imported: quantity::TokenCount::new(0),
        target: quantity::TokenCount::new(target),
    }
}

/// Runs the scheduler until it is idle and returns all events.
fn run(scheduler: &mut batch::BatchScheduler) -> Vec<batch::StepEvent> {
    let mut events = Vec::new();
    while !scheduler.is_idle() {
        events.extend(scheduler.step().events);
    }
    events
}

fn computed(events: &[batch::StepEvent], number: batch::SequenceNumber) -> u64 {
    let admitted = events.iter().filter(|event| event.sequence == number);
    admitted
        .filter_map(|event| match event.event {
            batch::SequenceEvent::Admitted { computed, .. } => Some(computed.get()),
            _ => None,
        })
        .sum()
}

#[test]
fn urgent_sequences_are_admitted_first() {
    let mut scheduler = scheduler();
    let low = scheduler.submit(job(9, 1, 1));
    let medium = scheduler.submit(job(5, 1, 1));
    let high = scheduler.submit(job(1, 1, 1));
    let admitted: Vec<_> = run(&mut scheduler)
        .into_iter()
        .filter(|event| matches!(event.event, batch::SequenceEvent::Admitted { .. }))
        .map(|event| event.sequence)
        .collect();
    assert_eq!(admitted, [high, medium, low]);
}

#[test]
fn repeated_prompt_computes_only_uncached_tokens() {
    let mut scheduler = scheduler();
    let first = scheduler.submit(job(1, 40, 2));
    assert_eq!(computed(&run(&mut scheduler), first), 40);
    let second = scheduler.submit(job(1, 40, 2));
    assert_eq!(computed(&run(&mut scheduler), second), 8);
}

#[test]
fn continuation_prefills_delivered_but_not_imported_tokens() {
    let delivered = quantity::TokenCount::new(5);
    let mut scheduler = scheduler();
    let without_import = scheduler.submit(batch::SequenceJob { delivered, ..job(1, 10, 8) });
    let events = run(&mut scheduler);
    assert_eq!(computed(&events, without_import), 15);
    let tokens = events.iter().filter_map(|event| match event.event {
        batch::SequenceEvent::Token(index) => Some(index),
        _ => None,
    });
    assert_eq!(tokens.collect::<Vec<_>>(), [5, 6, 7]);
    let with_import = scheduler.submit(batch::SequenceJob {
        delivered,
        imported: quantity::TokenCount::new(12),
        ..job(1, 10, 8)
    });
    assert_eq!(computed(&run(&mut scheduler), with_import), 3);
}

#[test]
fn step_duration_grows_with_prompt_and_batch() {
    let mut scheduler = scheduler();
    scheduler.submit(job(1, 32, 9));
    assert_eq!(scheduler.step().length, Duration::from_millis(32));
    assert_eq!(scheduler.step().length, Duration::from_millis(10));
    scheduler.submit(job(1, 0, 9));
    assert_eq!(scheduler.step().length, Duration::from_millis(11));
}

proptest! {
    #![proptest_config(samphiremoor_testkit::config(256))]

    #[test]
    fn each_sequence_receives_each_token_once_in_order(
        jobs in prop::collection::vec((0_u8..4, 0_u64..80, 0_u64..12), 1..12)
    ) {
        let mut scheduler = scheduler();
        let targets: Vec<_> = jobs
            .into_iter()
            .map(|(priority, words, target)| (scheduler.submit(job(priority, words, target)), target))
            .collect();
        let events = run(&mut scheduler);
        for (number, target) in targets {
            let sequence_events: Vec<_> = events
                .iter()
                .filter(|event| event.sequence == number)
                .map(|event| event.event)
                .skip(1)
                .collect();
            let mut expect: Vec<_> = (0..target).map(batch::SequenceEvent::Token).collect();
            expect.push(batch::SequenceEvent::Finished);
            prop_assert_eq!(sequence_events, expect);
        }
    }

    #[test]
    fn replayed_cache_changes_match_the_cache(
        prompts in prop::collection::vec((0_u64..6, 0_usize..6), 1..40)
    ) {
        let mut cache = cache::PrefixCache::new(5);
        let mut replayed = std::collections::BTreeSet::new();
        for (family, length) in prompts {
            let blocks: Vec<_> =
                (0..length as u64).map(|at| blocks::BlockHash::new(family * 100 + at)).collect();
            for change in cache.store(&blocks) {
                match change {
                    cache::CacheChange::Stored(hash) => prop_assert!(replayed.insert(hash)),
                    cache::CacheChange::Evicted(hash) => prop_assert!(replayed.remove(&hash)),
                }
            }
            prop_assert!(cache.len() <= 5);
            prop_assert_eq!(cache.len(), replayed.len());
            prop_assert_eq!(cache.match_prefix(&blocks), blocks.len().min(5));
        }
    }
}

#[test]
fn journal_publishes_late_and_with_gaps() {
    let mut journal = journal::CacheJournal::new(time::Millis::new(100), 2);
    let change = cache::CacheChange::Stored(blocks::BlockHash::new(1));
    journal.append(&[change; 4], time::MonotonicTime::new(0));
    assert!(journal.events_after(0, time::MonotonicTime::new(99)).is_empty());
    let serials: Vec<_> = journal
        .events_after(0, time::MonotonicTime::new(100))
        .into_iter()
        .map(|event| event.serial)
        .collect();
    assert_eq!(serials, [1, 3]);
}

fn loaded(version: &str) -> set::LoadedModel {
    set::LoadedModel {
        model: "assistant".parse().expect("the text is an identifier"),
        version: version.parse().expect("the text is an identifier"),
        adapter: None,
    }
}

fn order(fence: u64, version: &str) -> wire::EngineOrder {
    wire::EngineOrder {
        fence: quantity::FencingToken::new(fence),
        valid_ms: time::Millis::new(50),
        action: wire::OrderAction::Load(loaded(version)),
    }
}

fn check_stale_token(checks_fencing: bool, expect: Result<(), orders::OrderRefusal>) {
    let at = time::MonotonicTime::new(0);
    let mut book = orders::OrderBook::new(checks_fencing, 3, time::Millis::new(10), &[]);
    assert_eq!(book.execute(&order(7, "1"), at, at), Ok(()));
    assert!(book.loaded_models(at).is_empty());
    assert_eq!(book.loaded_models(time::MonotonicTime::new(10)), [loaded("1")]);
    assert_eq!(book.execute(&order(6, "2"), at, at), expect);
}

samphiremoor_base::cases! {
    stale_token_is_refused_if_checked => check_stale_token(
        true, Err(orders::OrderRefusal::StaleToken(quantity::FencingToken::new(7))));
    stale_token_is_ignored_if_unchecked => check_stale_token(false, Ok(()));
}

#[test]
fn expired_order_has_no_effect() {
    let mut book = orders::OrderBook::new(true, 3, time::Millis::default(), &[]);
    let received = time::MonotonicTime::new(0);
    let late = time::MonotonicTime::new(51);
    let refused = book.execute(&order(7, "1"), received, late);
    assert_eq!(refused, Err(orders::OrderRefusal::Expired));
    assert!(book.loaded_models(late).is_empty());
}

#[test]
fn order_json_contains_its_action() {
    let text =
        r#"{"fence":7,"valid_ms":50,"load":{"model":"assistant","version":"1","adapter":null}}"#;
    let parsed: wire::EngineOrder = serde_json::from_str(text).expect("the order is valid");
    assert_eq!(parsed, order(7, "1"));
}
