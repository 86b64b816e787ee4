//! State of the replicas across departures, restarts and outages of the table.

use samphiremoor_base::id;
use samphiremoor_base::position;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_fleet::read_budget;
use samphiremoor_fleet::replica;
use samphiremoor_fleet::send_state;

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
        version: None,
        slots: 6,
        is_draining,
        incarnation: quantity::Incarnation::new(incarnation),
        is_reclaimable: false,
        time_to_reclaim: None,
    }
}

fn versioned_entry(incarnation: u64, version: Option<&str>) -> replica::ReplicaEntry {
    let version = version.map(|version| version.parse().expect("the version is valid"));
    replica::ReplicaEntry { version, ..entry(incarnation, false) }
}

fn version(table: &replica::ReplicaTable) -> Option<&str> {
    table.get(&replica_id())?.entry.version.as_ref().map(replica::SoftwareVersion::as_str)
}

fn check_version(text: &str, expected: Result<&str, replica::VersionError>) {
    let parsed = text.parse::<replica::SoftwareVersion>().map(|version| version.to_string());
    assert_eq!(parsed.as_deref(), expected.as_ref().copied());
}

samphiremoor_base::cases! {
    version_is_any_printable_text => check_version("v1.2 (build 7)", Ok("v1.2 (build 7)"));
    empty_version => check_version("", Err(replica::VersionError::Empty));
    long_version => check_version(&"x".repeat(201), Err(replica::VersionError::TooLong(201)));
    version_with_line_end => check_version("v1\n", Err(replica::VersionError::ControlCharacter));
}

// Peers of an earlier release serve entries without versions.
#[test]
fn entry_without_version_keeps_the_known_one_of_its_incarnation() {
    let mut table = replica::ReplicaTable::default();
    table.upsert(versioned_entry(1, Some("v1")));
    table.upsert(versioned_entry(1, None));
    assert_eq!(version(&table), Some("v1"));
    table.upsert(versioned_entry(2, None));
    assert_eq!(version(&table), None);
}

#[test]
fn version_that_becomes_known_is_announced_to_peers() {
    let mut table = replica::ReplicaTable::default();
    table.upsert(versioned_entry(1, None));
    let announced = table.version();
    table.upsert(versioned_entry(1, Some("v1")));
    assert_eq!(version(&table), Some("v1"));
    assert!(table.version() > announced);
}

fn is_available(table: &replica::ReplicaTable, now_ms: u64) -> bool {
    table.get(&replica_id()).is_some_and(|replica| {
        replica.verdict(monotonic_ms(now_ms)) == send_state::SendVerdict::Allowed
    })
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

/// Some sources of an entry lack its incarnation, which is 0 then.
fn check_drains_across_sources(ready: u64, draining: u64, repeated: u64) {
    let mut table = replica::ReplicaTable::default();
    table.upsert(entry(ready, false));
    table.upsert(entry(draining, true));
    assert!(!is_available(&table, 0), "the replica drains");
    table.upsert(entry(repeated, false));
    assert!(!is_available(&table, 0), "a replica never stops draining");
}

samphiremoor_base::cases! {
    draining_entry_without_incarnation_counts => check_drains_across_sources(5, 0, 5);
    draining_lasts_when_the_incarnation_becomes_known => check_drains_across_sources(0, 0, 5);
    draining_lasts_when_the_incarnation_gets_lost => check_drains_across_sources(5, 5, 0);
    draining_lasts_without_incarnations => check_drains_across_sources(0, 0, 0);
}

#[test]
fn restart_at_another_address_ends_draining_without_incarnations() {
    let mut table = replica::ReplicaTable::default();
    table.upsert(entry(0, true));
    let address = "10.0.0.2:80".parse().expect("the address is valid");
    table.upsert(replica::ReplicaEntry { address, ..entry(0, false) });
    assert!(is_available(&table, 0));
}

#[test]
fn restart_ends_draining_once_the_incarnation_was_known() {
    let mut table = replica::ReplicaTable::default();
    table.upsert(entry(0, true));
    table.upsert(entry(5, true));
    table.upsert(entry(7, false));
    assert!(is_available(&table, 0));
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
    table.on_table_unavailable();
    table.remove(&replica_id(), monotonic_ms(1_200));
    assert!(is_available(&table, 1_300), "an outage of the table does not affect the replica");
    table.on_table_response(monotonic_ms(4_000), monotonic_ms(4_000));
    assert!(is_available(&table, 5_900), "a running replica has two seconds to register again");
    table.on_table_response(monotonic_ms(6_100), monotonic_ms(6_100));
    assert!(!is_available(&table, 6_100));
}

/// The table fails to respond for a while after a response at `last_response_ms`; the replica is
/// removed after that. Returns whether it is used two seconds later.
fn is_used_after_failed_calls(last_response_ms: u64, next_response_ms: u64) -> bool {
    let mut table = replica::ReplicaTable::default();
    table.upsert(entry(1, false));
    let respond = |table: &mut replica::ReplicaTable, millis| {
        table.on_table_response(monotonic_ms(millis), monotonic_ms(millis));
    };
    respond(&mut table, last_response_ms);
    table.on_table_unavailable();
    respond(&mut table, next_response_ms);
    let removed_ms = next_response_ms + 50;
    table.remove(&replica_id(), monotonic_ms(removed_ms));
    for millis in (next_response_ms + 450..removed_ms + 2_000).step_by(450) {
        respond(&mut table, millis);
    }
    is_available(&table, removed_ms + 2_000)
}

samphiremoor_base::cases! {
    one_failed_call_is_no_outage => assert!(!is_used_after_failed_calls(1_000, 1_550));
    failed_calls_of_a_second_are_no_outage => assert!(!is_used_after_failed_calls(1_000, 2_400));
    failed_calls_of_two_seconds_are_an_outage => assert!(is_used_after_failed_calls(1_000, 3_000));
}

// The peer that read the table for this daemon had last read it two seconds ago.
#[test]
fn outage_counts_from_the_last_read_of_the_peer() {
    let mut table = replica::ReplicaTable::default();
    table.upsert(entry(1, false));
    table.on_table_response(monotonic_ms(1_000), monotonic_ms(2_500));
    table.on_table_unavailable();
    table.on_table_response(monotonic_ms(3_000), monotonic_ms(3_000));
    table.remove(&replica_id(), monotonic_ms(3_100));
    assert!(is_available(&table, 3_100));
}

#[test]
fn entries_that_return_after_an_outage_are_kept() {
    let mut table = replica::ReplicaTable::default();
    table.upsert(entry(1, false));
    table.on_table_unavailable();
    table.remove(&replica_id(), monotonic_ms(1_200));
    table.on_table_response(monotonic_ms(4_000), monotonic_ms(4_000));
    table.upsert(entry(1, false));
    table.on_table_response(monotonic_ms(7_000), monotonic_ms(7_000));
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
    table.on_table_unavailable();
    assert!(!table.matches_table(monotonic_ms(1_100)));
    table.on_table_response(monotonic_ms(4_000), monotonic_ms(4_000));
    assert!(!table.matches_table(monotonic_ms(5_900)));
    assert!(table.matches_table(monotonic_ms(6_100)));
}

// An entry that was found missing during the grace period is dropped at the first response after it.
// Other daemons must not adopt it in between.
#[test]
fn entries_do_not_match_the_table_until_missing_ones_are_dropped() {
    let mut table = replica::ReplicaTable::default();
    table.upsert(entry(1, false));
    table.on_table_unavailable();
    table.on_table_response(monotonic_ms(4_000), monotonic_ms(4_000));
    table.remove(&replica_id(), monotonic_ms(4_200));
    assert!(!table.matches_table(monotonic_ms(6_100)));
    assert_eq!(table.on_table_response(monotonic_ms(6_200), monotonic_ms(6_200)).len(), 1);
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

// Daemons that missed the peer's digests copy the entries when their version changes.
#[test]
fn departure_that_a_peer_reports_changes_the_version() {
    let mut table = replica::ReplicaTable::default();
    table.upsert(entry(1, false));
    let version_before = table.version();
    table.on_peer_departure(&replica_id(), quantity::Incarnation::new(1));
    assert!(table.version() > version_before);
    table.upsert(entry(1, true));
    assert_eq!(table.version(), version_before + 1, "the table tells no news");
}

#[test]
fn silent_replica_is_avoided_until_it_sends_data() {
    let mut table = replica::ReplicaTable::default();
    table.upsert(entry(1, false));
    let replica = table.get_mut(&replica_id()).expect("the replica is known");
    replica.on_silent(monotonic_ms(0));
    let silent = replica.verdict(monotonic_ms(10));
    assert_ne!(silent, send_state::SendVerdict::Allowed);
    assert_eq!(silent.firm_reason(), None, "it may still respond");
    replica.on_data(monotonic_ms(20));
    assert_eq!(replica.verdict(monotonic_ms(20)), send_state::SendVerdict::Allowed);
}

#[test]
fn silence_does_not_shorten_the_backoff_of_an_unreachable_replica() {
    let mut table = replica::ReplicaTable::default();
    table.upsert(entry(1, false));
    let replica = table.get_mut(&replica_id()).expect("the replica is known");
    replica.on_unreachable(monotonic_ms(0));
    replica.on_silent(monotonic_ms(10));
    assert!(replica.verdict(monotonic_ms(20)).firm_reason().is_some());
    replica.on_data(monotonic_ms(30));
    assert!(replica.verdict(monotonic_ms(40)).firm_reason().is_some());
}

fn at(text: &str) -> position::StorePosition {
    text.parse().expect("the position is valid")
}

/// Returns a table that knew the replica at position 1.10 and removed it at position 1.20.
fn table_after_removal(is_draining: bool) -> replica::ReplicaTable {
    let mut table = replica::ReplicaTable::default();
    table.replace(vec![entry(1, is_draining)], Some(at("1.10")), monotonic_ms(0));
    table.remove(&replica_id(), monotonic_ms(1_000));
    table.advance(at("1.20"), monotonic_ms(1_000));
    table
}

/// A list that a peer copied before the removal, at a known position or not.
fn check_older_list(list_position: Option<position::StorePosition>) {
    let mut table = table_after_removal(false);
    table.replace(vec![entry(1, false)], list_position, monotonic_ms(1_100));
    table.on_table_response(monotonic_ms(3_100), monotonic_ms(3_100));
    assert!(!is_available(&table, 3_100), "the replica has left");
}

samphiremoor_base::cases! {
    older_list_does_not_bring_a_removed_replica_back => check_older_list(Some(at("1.15")));
    list_without_position_does_not_bring_a_removed_replica_back => check_older_list(None);
}

#[test]
fn older_list_does_not_remove_a_replica() {
    let mut table = replica::ReplicaTable::default();
    table.replace(vec![entry(1, false)], Some(at("1.10")), monotonic_ms(0));
    table.replace(Vec::new(), Some(at("1.9")), monotonic_ms(100));
    assert!(is_available(&table, 100));
    table.replace(Vec::new(), Some(at("1.11")), monotonic_ms(200));
    assert!(!is_available(&table, 200));
}

#[test]
fn removed_replica_that_registers_again_is_used() {
    let mut table = table_after_removal(false);
    table.replace(vec![entry(1, false)], Some(at("1.30")), monotonic_ms(1_100));
    assert!(is_available(&table, 1_100));
}

// A replica never stops draining, so an entry that says otherwise is older than the removal.
#[test]
fn replica_that_drained_and_was_removed_is_not_used_again() {
    let mut table = table_after_removal(true);
    table.upsert(entry(1, false));
    assert!(!is_available(&table, 1_100));
    table.upsert(entry(2, false));
    assert!(is_available(&table, 1_200), "the next incarnation receives requests");
}

// The copy is older than the removal. The table drops the entry again if the replica is gone.
#[test]
fn entry_that_a_restored_copy_brings_back_is_used_only_once_it_is_confirmed() {
    let mut table = table_after_removal(false);
    table.replace(vec![entry(1, false)], Some(at("2.12")), monotonic_ms(2_000));
    table.on_table_response(monotonic_ms(7_900), monotonic_ms(7_900));
    assert!(!is_available(&table, 7_900));
    let mut dropped_table = table.clone();
    dropped_table.replace(Vec::new(), Some(at("2.30")), monotonic_ms(7_950));
    dropped_table.on_table_response(monotonic_ms(8_100), monotonic_ms(8_100));
    assert!(!is_available(&dropped_table, 8_100), "the table has dropped the entry");
    let mut written_table = table.clone();
    written_table.upsert(entry(1, false));
    assert!(is_available(&written_table, 7_950), "the replica has registered again");
    table.on_table_response(monotonic_ms(8_100), monotonic_ms(8_100));
    assert!(is_available(&table, 8_100), "the table has kept the entry");
}

// The replica registered after the copy was made, and does so again.
#[test]
fn replica_that_a_restored_copy_lacks_is_retained_for_the_grace_period() {
    let mut table = replica::ReplicaTable::default();
    table.replace(vec![entry(1, false)], Some(at("1.20")), monotonic_ms(0));
    table.replace(Vec::new(), Some(at("2.12")), monotonic_ms(1_000));
    table.on_table_response(monotonic_ms(2_900), monotonic_ms(2_900));
    assert!(is_available(&table, 2_900));
    table.on_table_response(monotonic_ms(3_100), monotonic_ms(3_100));
    assert!(!is_available(&table, 3_100));
}

// A row that another writer has overwritten says nothing about the replica.
#[test]
fn replica_with_an_unreadable_row_departs() {
    let mut table = replica::ReplicaTable::default();
    table.replace(vec![entry(1, false)], Some(at("1.10")), monotonic_ms(0));
    let list = replica::ListedEntries {
        entries: Vec::new(),
        unreadable: vec![replica_id()],
        is_whole: true,
    };
    assert!(table.replace(list, Some(at("1.11")), monotonic_ms(3_000)).is_empty());
    assert!(is_available(&table, 3_000));
    table.replace(Vec::new(), Some(at("1.12")), monotonic_ms(3_100));
    assert!(table.get(&replica_id()).is_none(), "its row is gone");
}

// A list with a row that can't be told apart may be of any replica.
#[test]
fn replica_that_an_incomplete_list_lacks_departs() {
    let mut table = replica::ReplicaTable::default();
    table.replace(vec![entry(1, false)], Some(at("1.10")), monotonic_ms(0));
    let list = replica::ListedEntries { is_whole: false, ..Vec::new().into() };
    assert!(table.replace(list, Some(at("1.11")), monotonic_ms(3_000)).is_empty());
    assert!(is_available(&table, 3_000));
    assert_eq!(table.remove(&replica_id(), monotonic_ms(3_100)).len(), 1, "a removal is told");
}

/// Returns a table whose changes must be known within two seconds, and which failed to respond until `millis`.
/// The replica is missing in the response.
fn table_after_an_outage(millis: u64) -> replica::ReplicaTable {
    let limit = samphiremoor_base::time::Millis::new(2_000);
    let mut table = replica::ReplicaTable::new(read_budget::ReadBudget::new(limit));
    table.upsert(entry(1, false));
    table.on_table_response(monotonic_ms(millis - 3_000), monotonic_ms(millis - 3_000));
    table.on_table_unavailable();
    table.remove(&replica_id(), monotonic_ms(millis));
    table.on_table_response(monotonic_ms(millis), monotonic_ms(millis));
    table
}

// Guards against entries that are retained for longer than all daemons may take to know that they are gone.
#[test]
fn retained_entry_is_dropped_before_its_departure_must_be_known() {
    let mut table = table_after_an_outage(4_000);
    table.drop_missing(monotonic_ms(5_700));
    assert!(is_available(&table, 5_700), "a running replica registers again");
    table.drop_missing(monotonic_ms(5_800));
    assert!(!is_available(&table, 5_800));
}

#[test]
fn retained_entry_is_dropped_in_time_if_the_table_fails_again() {
    let mut table = table_after_an_outage(4_000);
    table.on_table_unavailable();
    table.drop_missing(monotonic_ms(5_800));
    assert!(!is_available(&table, 5_800));
    let mut table = table_after_an_outage(4_000);
    table.on_table_unavailable();
    table.on_table_response(monotonic_ms(5_700), monotonic_ms(5_700));
    assert!(is_available(&table, 5_700));
    table.drop_missing(monotonic_ms(5_800));
    assert!(!is_available(&table, 5_800), "a further outage does not extend the time");
}
