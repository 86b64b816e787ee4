//! What is believed of replicas through departures, new lives and outages of the table.

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_fleet::replica;

fn at(millis: u64) -> time::MonotonicTime {
    time::MonotonicTime::new(millis)
}

fn name() -> id::ReplicaId {
    "replica-1".parse().expect("the name is an identifier")
}

fn entry(born: u64, is_draining: bool) -> replica::ReplicaEntry {
    replica::ReplicaEntry {
        id: name(),
        service: "desk".parse().expect("the name is an identifier"),
        address: "10.0.0.1:80".parse().expect("it is an address"),
        zone: "north".parse().expect("the name is an identifier"),
        slots: 6,
        is_draining,
        incarnation: quantity::Incarnation::new(born),
        is_reclaimable: false,
        time_to_reclaim: None,
    }
}

fn is_open(table: &replica::ReplicaTable, now: u64) -> bool {
    table.get(&name()).is_some_and(|known| known.is_available(at(now)))
}

#[test]
fn a_leaving_replica_gets_nothing() {
    let mut table = replica::ReplicaTable::default();
    table.upsert(entry(1, false));
    assert!(is_open(&table, 0));
    let changes = table.upsert(entry(1, true));
    assert_eq!(changes.as_slice(), [replica::ReplicaChange::Leaving(name())]);
    assert!(!is_open(&table, 0));
}

#[test]
fn an_older_word_does_not_bring_a_leaving_replica_back() {
    let mut table = replica::ReplicaTable::default();
    table.upsert(entry(1, true));
    table.upsert(entry(1, false));
    assert!(!is_open(&table, 0));
    table.upsert(entry(2, false));
    assert!(is_open(&table, 0), "its next life may be used");
}

#[test]
fn a_new_life_starts_with_nothing_known() {
    let mut table = replica::ReplicaTable::default();
    table.upsert(entry(1, false));
    let known = table.get_mut(&name()).expect("it is known");
    known.local_load.running = 5;
    known.on_unreachable(at(10));
    table.upsert(entry(2, false));
    assert!(is_open(&table, 11));
    assert_eq!(table.get(&name()).map(|known| known.local_load.running), Some(0));
}

#[test]
fn an_entry_of_an_earlier_life_changes_nothing() {
    let mut table = replica::ReplicaTable::default();
    table.upsert(entry(2, false));
    assert!(table.upsert(entry(1, true)).is_empty());
    assert!(is_open(&table, 0));
}

#[test]
fn entries_that_vanish_in_an_outage_stay_for_a_while() {
    let mut table = replica::ReplicaTable::default();
    table.upsert(entry(1, false));
    table.on_table_unavailable(at(1_000));
    table.remove(&name(), at(1_200));
    assert!(is_open(&table, 1_300), "the table's silence says nothing of the replica");
    table.on_table_response(at(4_000));
    assert!(is_open(&table, 5_900), "a living replica has two seconds to come back");
    table.on_table_response(at(6_100));
    assert!(!is_open(&table, 6_100));
}

#[test]
fn entries_that_come_back_after_an_outage_stay() {
    let mut table = replica::ReplicaTable::default();
    table.upsert(entry(1, false));
    table.on_table_unavailable(at(1_000));
    table.remove(&name(), at(1_200));
    table.on_table_response(at(4_000));
    table.upsert(entry(1, false));
    table.on_table_response(at(7_000));
    assert!(is_open(&table, 7_000));
}

#[test]
fn without_an_outage_a_removed_entry_is_gone_at_once() {
    let mut table = replica::ReplicaTable::default();
    table.upsert(entry(1, false));
    let changes = table.remove(&name(), at(1_200));
    assert_eq!(changes.as_slice(), [replica::ReplicaChange::Removed(name())]);
}

#[test]
fn a_peer_tells_of_a_departure_in_one_life_only() {
    let mut table = replica::ReplicaTable::default();
    table.upsert(entry(2, false));
    assert_eq!(table.on_peer_departure(&name(), quantity::Incarnation::new(1)), None);
    assert!(is_open(&table, 0));
    assert!(table.on_peer_departure(&name(), quantity::Incarnation::new(2)).is_some());
    assert!(!is_open(&table, 0));
}

#[test]
fn an_unreachable_replica_is_tried_again_after_longer_and_longer() {
    let mut table = replica::ReplicaTable::default();
    table.upsert(entry(1, false));
    let mut pauses = Vec::new();
    let mut now = 0;
    for _ in 0..4 {
        table.get_mut(&name()).expect("it is known").on_unreachable(at(now));
        let start = now;
        while !is_open(&table, now) {
            now += 10;
        }
        pauses.push(now - start);
    }
    assert_eq!(pauses, [250, 500, 1_000, 2_000]);
    table.get_mut(&name()).expect("it is known").on_response(false, at(now));
    assert!(is_open(&table, now));
}

// A daemon that comes back from a cut keeps entries for a while that are long gone: nobody may follow it.
#[test]
fn entries_kept_through_an_outage_are_not_told() {
    let mut table = replica::ReplicaTable::default();
    table.upsert(entry(1, false));
    assert!(table.matches_table(at(500)));
    table.on_table_unavailable(at(1_000));
    assert!(!table.matches_table(at(1_100)));
    table.on_table_response(at(4_000));
    assert!(!table.matches_table(at(5_900)));
    assert!(table.matches_table(at(6_100)));
}

#[test]
fn the_number_of_the_entries_tells_each_change() {
    let mut table = replica::ReplicaTable::default();
    let mut numbers = vec![table.version()];
    table.upsert(entry(1, false));
    numbers.push(table.version());
    table.upsert(entry(1, true));
    numbers.push(table.version());
    table.upsert(entry(2, false));
    numbers.push(table.version());
    table.remove(&name(), at(1_000));
    numbers.push(table.version());
    assert!(numbers.windows(2).all(|pair| pair[0] < pair[1]), "{numbers:?}");
    table.upsert(entry(2, false));
    let before = table.version();
    table.upsert(entry(2, false));
    assert_eq!(table.version(), before, "a sign of life is no change");
}
