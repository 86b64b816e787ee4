//! State of the replicas across departures, restarts and outages of the table.

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_fleet::replica;

fn monotonic_ms(millis: u64) -> time::MonotonicTime {
    time::MonotonicTime::new(millis)
}

fn replica_id() -> id::ReplicaId {
    "replica-1".parse().expect("the name is an identifier")
}

fn entry(incarnation: u64, is_draining: bool) -> replica::ReplicaEntry {
    replica::ReplicaEntry {
        id: replica_id(),
        service: "desk".parse().expect("the name is an identifier"),
        address: "10.0.0.1:80".parse().expect("the address is valid"),
        zone: "north".parse().expect("the name is an identifier"),
        slots: 6,
        is_draining,
        incarnation: quantity::Incarnation::new(incarnation),
        is_reclaimable: false,
        time_to_reclaim: None,
    }
}

fn is_available(table: &replica::ReplicaTable, now_ms: u64) -> bool {
    table.get(&replica_id()).is_some_and(|replica| replica.is_available(monotonic_ms(now_ms)))
}

#[test]
fn draining_replica_receives_no_requests() {
    let mut table = replica::ReplicaTable::default();
    table.upsert(entry(1, false));
    assert!(is_available(&table, 0));
    let changes = table.upsert(entry(1, true));
    assert_eq!(changes.as_slice(), [replica::ReplicaChange::Leaving(replica_id())]);
    assert!(!is_available(&table, 0));
}

#[test]
fn outdated_entry_does_not_undo_draining() {
    let mut table = replica::ReplicaTable::default();
    table.upsert(entry(1, true));
    table.upsert(entry(1, false));
    assert!(!is_available(&table, 0));
    table.upsert(entry(2, false));
    assert!(is_available(&table, 0), "the next incarnation receives requests");
}

#[test]
fn new_incarnation_starts_without_load_or_backoff() {
    let mut table = replica::ReplicaTable::default();
    table.upsert(entry(1, false));
    let replica = table.get_mut(&replica_id()).expect("the replica is known");
    replica.local_load.running = 5;
    replica.on_unreachable(monotonic_ms(10));
    table.upsert(entry(2, false));
    assert!(is_available(&table, 11));
    assert_eq!(table.get(&replica_id()).map(|replica| replica.local_load.running), Some(0));
}

#[test]
fn entry_of_an_earlier_incarnation_is_ignored() {
    let mut table = replica::ReplicaTable::default();
    table.upsert(entry(2, false));
    assert!(table.upsert(entry(1, true)).is_empty());
    assert!(is_available(&table, 0));
}

#[test]
fn entries_missing_after_an_outage_are_retained_for_the_grace_period() {
    let mut table = replica::ReplicaTable::default();
    table.upsert(entry(1, false));
    table.on_table_unavailable(monotonic_ms(1_000));
    table.remove(&replica_id(), monotonic_ms(1_200));
    assert!(is_available(&table, 1_300), "an outage of the table does not affect the replica");
    table.on_table_response(monotonic_ms(4_000));
    assert!(is_available(&table, 5_900), "a running replica has two seconds to register again");
    table.on_table_response(monotonic_ms(6_100));
    assert!(!is_available(&table, 6_100));
}

#[test]
fn entries_that_return_after_an_outage_are_kept() {
    let mut table = replica::ReplicaTable::default();
    table.upsert(entry(1, false));
    table.on_table_unavailable(monotonic_ms(1_000));
    table.remove(&replica_id(), monotonic_ms(1_200));
    table.on_table_response(monotonic_ms(4_000));
    table.upsert(entry(1, false));
    table.on_table_response(monotonic_ms(7_000));
    assert!(is_available(&table, 7_000));
}

#[test]
fn without_an_outage_a_missing_entry_is_removed_at_once() {
    let mut table = replica::ReplicaTable::default();
    table.upsert(entry(1, false));
    let changes = table.remove(&replica_id(), monotonic_ms(1_200));
    assert_eq!(changes.as_slice(), [replica::ReplicaChange::Removed(replica_id())]);
}

#[test]
fn departure_reported_by_a_peer_applies_to_its_incarnation_only() {
    let mut table = replica::ReplicaTable::default();
    table.upsert(entry(2, false));
    assert_eq!(table.on_peer_departure(&replica_id(), quantity::Incarnation::new(1)), None);
    assert!(is_available(&table, 0));
    assert!(table.on_peer_departure(&replica_id(), quantity::Incarnation::new(2)).is_some());
    assert!(!is_available(&table, 0));
}

#[test]
fn backoff_of_an_unreachable_replica_doubles() {
    let mut table = replica::ReplicaTable::default();
    table.upsert(entry(1, false));
    let mut backoffs = Vec::new();
    let mut now_ms = 0;
    for _ in 0..4 {
        table
            .get_mut(&replica_id())
            .expect("the replica is known")
            .on_unreachable(monotonic_ms(now_ms));
        let unreachable_since = now_ms;
        while !is_available(&table, now_ms) {
            now_ms += 10;
        }
        backoffs.push(now_ms - unreachable_since);
    }
    assert_eq!(backoffs, [250, 500, 1_000, 2_000]);
    table
        .get_mut(&replica_id())
        .expect("the replica is known")
        .on_response(false, monotonic_ms(now_ms));
    assert!(is_available(&table, now_ms));
}

// All requests in progress at a replica notice the same silence.
#[test]
fn one_silence_doubles_the_backoff_for_each_request() {
    let mut table = replica::ReplicaTable::default();
    table.upsert(entry(1, false));
    for request in 0..6 {
        table
            .get_mut(&replica_id())
            .expect("the replica is known")
            .on_unreachable(monotonic_ms(1_000 + request));
    }
    assert!(!is_available(&table, 1_249));
    assert!(is_available(&table, 1_250), "the first backoff is over");
    let replica = table.get_mut(&replica_id()).expect("the replica is known");
    replica.on_unreachable(monotonic_ms(1_300));
    assert!(!is_available(&table, 1_799), "the next silence doubles the backoff");
    assert!(is_available(&table, 1_800));
}

// A daemon that was partitioned from the table retains entries of removed replicas for a while.
// Other daemons must not adopt its entries meanwhile.
#[test]
fn entries_do_not_match_the_table_until_the_grace_period_ends() {
    let mut table = replica::ReplicaTable::default();
    table.upsert(entry(1, false));
    assert!(table.matches_table(monotonic_ms(500)));
    table.on_table_unavailable(monotonic_ms(1_000));
    assert!(!table.matches_table(monotonic_ms(1_100)));
    table.on_table_response(monotonic_ms(4_000));
    assert!(!table.matches_table(monotonic_ms(5_900)));
    assert!(table.matches_table(monotonic_ms(6_100)));
}

// An entry that was found missing during the grace period is dropped at the first response after it.
// Other daemons must not adopt it in between.
#[test]
fn entries_do_not_match_the_table_until_missing_ones_are_dropped() {
    let mut table = replica::ReplicaTable::default();
    table.upsert(entry(1, false));
    table.on_table_unavailable(monotonic_ms(1_000));
    table.on_table_response(monotonic_ms(4_000));
    table.remove(&replica_id(), monotonic_ms(4_200));
    assert!(!table.matches_table(monotonic_ms(6_100)));
    assert_eq!(table.on_table_response(monotonic_ms(6_200)).len(), 1);
    assert!(table.matches_table(monotonic_ms(6_200)));
}

#[test]
fn version_increases_with_each_change() {
    let mut table = replica::ReplicaTable::default();
    let mut versions = vec![table.version()];
    table.upsert(entry(1, false));
    versions.push(table.version());
    table.upsert(entry(1, true));
    versions.push(table.version());
    table.upsert(entry(2, false));
    versions.push(table.version());
    table.remove(&replica_id(), monotonic_ms(1_000));
    versions.push(table.version());
    assert!(versions.windows(2).all(|pair| pair[0] < pair[1]), "{versions:?}");
    table.upsert(entry(2, false));
    let version_before = table.version();
    table.upsert(entry(2, false));
    assert_eq!(table.version(), version_before, "a repeated entry is no change");
}

#[test]
fn silent_replica_is_avoided_until_it_sends_data() {
    let mut table = replica::ReplicaTable::default();
    table.upsert(entry(1, false));
    let replica = table.get_mut(&replica_id()).expect("the replica is known");
    replica.on_silent(monotonic_ms(0));
    assert!(!replica.is_available(monotonic_ms(10)));
    assert!(replica.is_reachable(monotonic_ms(10)), "it may still respond");
    replica.on_data(monotonic_ms(20));
    assert!(replica.is_available(monotonic_ms(20)));
}

#[test]
fn silence_does_not_shorten_the_backoff_of_an_unreachable_replica() {
    let mut table = replica::ReplicaTable::default();
    table.upsert(entry(1, false));
    let replica = table.get_mut(&replica_id()).expect("the replica is known");
    replica.on_unreachable(monotonic_ms(0));
    replica.on_silent(monotonic_ms(10));
    assert!(!replica.is_reachable(monotonic_ms(20)));
    replica.on_data(monotonic_ms(30));
    assert!(!replica.is_reachable(monotonic_ms(40)));
}
