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
        born: quantity::Incarnation::new(born),
        is_reclaimable: false,
        leaves_in: None,
    }
}

fn is_open(table: &replica::ReplicaTable, now: u64) -> bool {
    table.get(&name()).is_some_and(|known| known.is_open(at(now)))
}

#[test]
fn a_leaving_replica_gets_nothing() {
    let mut table = replica::ReplicaTable::default();
    table.put(entry(1, false));
    assert!(is_open(&table, 0));
    let changes = table.put(entry(1, true));
    assert_eq!(changes.as_slice(), [replica::ReplicaChange::Leaving(name())]);
    assert!(!is_open(&table, 0));
}

#[test]
fn an_older_word_does_not_bring_a_leaving_replica_back() {
    let mut table = replica::ReplicaTable::default();
    table.put(entry(1, true));
    table.put(entry(1, false));
    assert!(!is_open(&table, 0));
    table.put(entry(2, false));
    assert!(is_open(&table, 0), "its next life may be used");
}

#[test]
fn a_new_life_starts_with_nothing_known() {
    let mut table = replica::ReplicaTable::default();
    table.put(entry(1, false));
    let known = table.get_mut(&name()).expect("it is known");
    known.own.running = 5;
    known.note_unreachable(at(10));
    table.put(entry(2, false));
    assert!(is_open(&table, 11));
    assert_eq!(table.get(&name()).map(|known| known.own.running), Some(0));
}

#[test]
fn an_entry_of_an_earlier_life_changes_nothing() {
    let mut table = replica::ReplicaTable::default();
    table.put(entry(2, false));
    assert!(table.put(entry(1, true)).is_empty());
    assert!(is_open(&table, 0));
}

#[test]
fn entries_that_vanish_in_an_outage_stay_for_a_while() {
    let mut table = replica::ReplicaTable::default();
    table.put(entry(1, false));
    table.note_outage(at(1_000));
    table.remove(&name(), at(1_200));
    assert!(is_open(&table, 1_300), "the table's silence says nothing of the replica");
    table.note_answer(at(4_000));
    assert!(is_open(&table, 5_900), "a living replica has two seconds to come back");
    table.note_answer(at(6_100));
    assert!(!is_open(&table, 6_100));
}

#[test]
fn entries_that_come_back_after_an_outage_stay() {
    let mut table = replica::ReplicaTable::default();
    table.put(entry(1, false));
    table.note_outage(at(1_000));
    table.remove(&name(), at(1_200));
    table.note_answer(at(4_000));
    table.put(entry(1, false));
    table.note_answer(at(7_000));
    assert!(is_open(&table, 7_000));
}

#[test]
fn without_an_outage_a_removed_entry_is_gone_at_once() {
    let mut table = replica::ReplicaTable::default();
    table.put(entry(1, false));
    let changes = table.remove(&name(), at(1_200));
    assert_eq!(changes.as_slice(), [replica::ReplicaChange::Gone(name())]);
}

#[test]
fn a_peer_tells_of_a_departure_in_one_life_only() {
    let mut table = replica::ReplicaTable::default();
    table.put(entry(2, false));
    assert_eq!(table.note_left(&name(), quantity::Incarnation::new(1)), None);
    assert!(is_open(&table, 0));
    assert!(table.note_left(&name(), quantity::Incarnation::new(2)).is_some());
    assert!(!is_open(&table, 0));
}

#[test]
fn an_unreachable_replica_is_tried_again_after_longer_and_longer() {
    let mut table = replica::ReplicaTable::default();
    table.put(entry(1, false));
    let mut pauses = Vec::new();
    let mut now = 0;
    for _ in 0..4 {
        table.get_mut(&name()).expect("it is known").note_unreachable(at(now));
        let start = now;
        while !is_open(&table, now) {
            now += 10;
        }
        pauses.push(now - start);
    }
    assert_eq!(pauses, [250, 500, 1_000, 2_000]);
    table.get_mut(&name()).expect("it is known").note_answer(false, at(now));
    assert!(is_open(&table, now));
}

// A daemon that comes back from a cut keeps entries for a while that are long gone: nobody may follow it.
#[test]
fn entries_kept_through_an_outage_are_not_told() {
    let mut table = replica::ReplicaTable::default();
    table.put(entry(1, false));
    assert!(table.is_as_read(at(500)));
    table.note_outage(at(1_000));
    assert!(!table.is_as_read(at(1_100)));
    table.note_answer(at(4_000));
    assert!(!table.is_as_read(at(5_900)));
    assert!(table.is_as_read(at(6_100)));
}

#[test]
fn the_number_of_the_entries_tells_each_change() {
    let mut table = replica::ReplicaTable::default();
    let mut numbers = vec![table.number()];
    table.put(entry(1, false));
    numbers.push(table.number());
    table.put(entry(1, true));
    numbers.push(table.number());
    table.put(entry(2, false));
    numbers.push(table.number());
    table.remove(&name(), at(1_000));
    numbers.push(table.number());
    assert!(numbers.windows(2).all(|pair| pair[0] < pair[1]), "{numbers:?}");
    table.put(entry(2, false));
    let before = table.number();
    table.put(entry(2, false));
    assert_eq!(table.number(), before, "a sign of life is no change");
}
