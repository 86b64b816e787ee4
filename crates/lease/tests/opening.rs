//! Leases of shards that take long to open.

#[allow(dead_code, reason = "other test files use the rest of the harness")]
mod common;

use samphiremoor_base::time;

/// A daemon with more than its fair share releases only open shards. If it gave up a shard that is
/// still opening, the lease row would keep naming a live holder and nobody else could take it over.
#[test]
fn opening_shard_is_not_released() {
    let mut cluster = common::LeaseCluster::new(2);
    cluster.start("a");
    cluster.start("b");
    cluster.run(time::Millis::new(20_000));
    assert_eq!(cluster.held_counts(), [("a".to_owned(), 1), ("b".to_owned(), 1)]);
    cluster.kill("b");
    cluster.blocked_from_opening.insert("a".to_owned());
    cluster.run(time::Millis::new(8_000));
    assert_eq!(cluster.held_counts(), [("a".to_owned(), 2)]);
    cluster.start("b");
    let takeovers_before = cluster.takeover_count;
    cluster.run(time::Millis::new(60_000));
    assert_eq!(
        cluster.takeover_count,
        takeovers_before + 1,
        "only the open shard changes its holder"
    );
    assert_eq!(cluster.held_counts(), [("a".to_owned(), 1), ("b".to_owned(), 1)]);
    cluster.blocked_from_opening.clear();
    cluster.run(time::Millis::new(20_000));
    assert_eq!(cluster.held_counts(), [("a".to_owned(), 1), ("b".to_owned(), 1)]);
    assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
}
