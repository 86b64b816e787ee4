//! KV caches that move along with a stream.

use async_std::task;
use samphiremoor_platform::fleet;
use samphiremoor_process_tests::caller;
use samphiremoor_process_tests::cluster;
use samphiremoor_process_tests::control;
use samphiremoor_process_tests::plan;

/// Words of the prompt, each of which is a token or more.
const PROMPT_WORDS: usize = 1_500;

/// Tokens of the answer.
const TOKENS: u64 = 600;

/// Tokens that have come before the engine is reclaimed.
const BEFORE: usize = 20;

const NOTICE_SECONDS: u64 = 6;

/// What a move cost.
struct MovedStream {
    /// KV caches that were moved.
    caches: u64,
    /// Prompt tokens that the engine which went on had to compute.
    computed: u64,
}

/// Streams an answer to a long prompt, reclaims its engine, and reads the answer to its end.
fn move_stream(min_tokens: u64) -> MovedStream {
    let cluster = cluster::TestCluster::start(plan::ClusterPlan {
        kv_transfer_min_tokens: Some(min_tokens),
        ..plan::ClusterPlan::default()
    });
    let words: Vec<_> = (0..PROMPT_WORDS).map(|number| format!("bike{number}")).collect();
    let prompt = words.join(" ");
    let caller = caller::TestCaller::new();
    let opening = caller.open_chat(cluster.entry(0), &prompt, TOKENS);
    let mut stream = task::block_on(opening).expect("the entry daemon answers");
    assert!(task::block_on(stream.read_tokens(BEFORE)));
    let busy = cluster.busy_engine();
    let vm = cluster.engines[busy].place.name.parse().expect("the name is an identifier");
    let scope = fleet::ReclaimScope::Vm(vm);
    task::block_on(control::reclaim(cluster.platform_address, scope, NOTICE_SECONDS));
    task::block_on(stream.read_to_end()).assert_whole(&prompt, TOKENS);
    let other = cluster.engines[1 - busy].place.address;
    let counts = task::block_on(control::engine_counts(other)).expect("the engine answers");
    assert!(counts.answer_tokens > 0, "the other engine went on with the answer");
    let caches = cluster.entry_metric(0, "samphiremoor_moved_caches_total");
    MovedStream { caches: caches.expect("the daemon answers"), computed: counts.computed_tokens }
}

#[test]
fn moved_cache_is_not_computed_again() {
    let with = move_stream(64);
    let without = move_stream(1_000_000);
    assert_eq!((with.caches, without.caches), (1, 0));
    assert!(without.computed >= PROMPT_WORDS as u64, "computed {}", without.computed);
    assert!(with.computed < without.computed, "{} and {}", with.computed, without.computed);
}
