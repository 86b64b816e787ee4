//! KV caches that are migrated together with a stream.

use async_std::task;
use samphiremoor_platform::fleet;
use samphiremoor_process_tests::caller;
use samphiremoor_process_tests::cluster;
use samphiremoor_process_tests::control;
use samphiremoor_process_tests::plan;

/// Number of words of the prompt, each of which is at least one token.
const PROMPT_WORDS: usize = 1_500;

/// Number of tokens of the response.
const TOKENS: u64 = 600;

/// Number of tokens received before the engine is reclaimed.
const TOKENS_BEFORE_RECLAIM: usize = 20;

const NOTICE_SECONDS: u64 = 6;

/// Cost of a migration.
struct MigrationCost {
    /// Number of migrated KV caches.
    migrated_caches: u64,
    /// Number of tokens that the second engine had to prefill.
    computed_tokens: u64,
}

/// Streams a response to a long prompt, reclaims its engine, and reads the response to its end.
fn migrate_stream(min_tokens: u64) -> MigrationCost {
    let cluster = cluster::TestCluster::start(plan::ClusterPlan {
        kv_transfer_min_tokens: Some(min_tokens),
        ..plan::ClusterPlan::default()
    });
    let words: Vec<_> = (0..PROMPT_WORDS).map(|number| format!("bike{number}")).collect();
    let prompt = words.join(" ");
    let caller = caller::TestCaller::new();
    let opening = caller.open_chat(cluster.entry(0), &prompt, TOKENS);
    let mut stream = task::block_on(opening).expect("the entry daemon responds");
    assert!(task::block_on(stream.read_tokens(TOKENS_BEFORE_RECLAIM)));
    let first_engine = cluster.busy_engine();
    let vm = cluster.engines[first_engine].spec.name.parse().expect("the name is an identifier");
    let scope = fleet::ReclaimScope::Vm(vm);
    task::block_on(control::reclaim(cluster.platform_address, scope, NOTICE_SECONDS));
    task::block_on(stream.read_to_end()).assert_complete(&prompt, TOKENS);
    let other = cluster.engines[1 - first_engine].spec.address;
    let counts = task::block_on(control::engine_counts(other)).expect("the engine responds");
    assert!(counts.answer_tokens > 0, "the other engine continued the response");
    let migrated_caches = cluster.entry_metric(0, "samphiremoor_moved_caches_total");
    MigrationCost {
        migrated_caches: migrated_caches.expect("the daemon responds"),
        computed_tokens: counts.computed_tokens,
    }
}

#[test]
fn migrated_kv_cache_is_not_recomputed() {
    let with_transfer = migrate_stream(64);
    let without_transfer = migrate_stream(1_000_000);
    assert_eq!((with_transfer.migrated_caches, without_transfer.migrated_caches), (1, 0));
    assert!(
        without_transfer.computed_tokens >= PROMPT_WORDS as u64,
        "computed {}",
        without_transfer.computed_tokens
    );
    assert!(
        with_transfer.computed_tokens < without_transfer.computed_tokens,
        "{} and {}",
        with_transfer.computed_tokens,
        without_transfer.computed_tokens
    );
}
