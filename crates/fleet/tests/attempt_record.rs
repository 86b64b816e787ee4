//! Records of attempts that began streams: lifetime, choice of holders and lookups.

use std::collections;
use std::net;

use proptest::prelude::*;
use samphiremoor_base::id;
use samphiremoor_base::time;
use samphiremoor_fleet::attempt_record;

/// Number of daemons and zones of the largest planned deployment.
const LARGE_DEPLOYMENT: (usize, usize) = (400, 11);

fn monotonic_ms(millis: u64) -> time::MonotonicTime {
    time::MonotonicTime::new(millis)
}

fn origin(version: &str) -> attempt_record::StreamOrigin {
    attempt_record::StreamOrigin {
        service: "desk".parse().expect("the name is an identifier"),
        version: version.parse().expect("the version is valid"),
    }
}

fn record(attempt: u64, expires_at: u64) -> attempt_record::AttemptRecord {
    attempt_record::AttemptRecord {
        attempt: attempt_record::AttemptHash::new(attempt),
        origin: origin("v1"),
        expires_at: monotonic_ms(expires_at),
    }
}

fn is_stored(store: &attempt_record::AttemptStore, attempt: u64, now: u64) -> bool {
    store.get(attempt_record::AttemptHash::new(attempt), monotonic_ms(now)).is_some()
}

fn address(index: usize) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7_000))
}

fn zone(number: usize) -> id::ZoneId {
    format!("zone-{number}").parse().expect("the name is an identifier")
}

/// Returns daemons in the given zones.
fn candidates(zones: &[usize]) -> Vec<attempt_record::HolderCandidate> {
    let candidate = |(index, number): (usize, &usize)| attempt_record::HolderCandidate {
        daemon: format!("daemon-{index}").parse().expect("the name is an identifier"),
        zone: zone(*number),
        address: address(index),
        is_live: true,
    };
    zones.iter().enumerate().map(candidate).collect()
}

/// Returns the holders that the daemon `writer` chooses while the daemons in `dead` do not run.
fn holders_of(
    attempt: attempt_record::AttemptHash,
    daemons: &[attempt_record::HolderCandidate],
    writer: usize,
    dead: &[usize],
) -> Vec<net::SocketAddr> {
    let mut others = daemons.to_vec();
    for index in dead {
        others[*index].is_live = false;
    }
    let local_zone = others.remove(writer).zone;
    attempt_record::choose_holders(attempt, &local_zone, &others).to_vec()
}

/// Returns the daemons that the daemon `reader` asks.
fn asked_by(
    attempt: attempt_record::AttemptHash,
    daemons: &[attempt_record::HolderCandidate],
    reader: usize,
) -> Vec<net::SocketAddr> {
    let mut others = daemons.to_vec();
    others.remove(reader);
    attempt_record::likely_holders(attempt, &others)
}

#[test]
fn record_expires() {
    let mut store = attempt_record::AttemptStore::default();
    store.insert(record(1, 100), monotonic_ms(0));
    assert!(is_stored(&store, 1, 99));
    assert!(!is_stored(&store, 1, 100));
    store.insert(record(2, 300), monotonic_ms(200));
    assert_eq!(store.len(), 1, "expired records are dropped");
}

#[test]
fn record_is_extended_and_keeps_its_origin() {
    let mut store = attempt_record::AttemptStore::default();
    store.insert(record(1, 200), monotonic_ms(0));
    let later = attempt_record::AttemptRecord { origin: origin("v2"), ..record(1, 500) };
    store.insert(later, monotonic_ms(10));
    store.insert(record(1, 300), monotonic_ms(20));
    let stored = store.get(attempt_record::AttemptHash::new(1), monotonic_ms(400));
    assert_eq!(stored, Some(&record(1, 500)));
}

#[test]
fn full_store_drops_the_records_that_expire_first() {
    let mut store = attempt_record::AttemptStore::default();
    let count = attempt_record::MAX_RECORDS as u64 + 10;
    for number in 0..count {
        store.insert(record(number, 10_000 + number), monotonic_ms(0));
    }
    assert_eq!(store.len(), attempt_record::MAX_RECORDS);
    assert!(!is_stored(&store, 9, 0));
    assert!(is_stored(&store, 10, 0) && is_stored(&store, count - 1, 0));
}

#[test]
fn attempt_hash_reads_what_it_writes() {
    let attempt = attempt_record::AttemptHash::of("9c41d07be2a35f68");
    assert_eq!(attempt.to_string().parse(), Ok(attempt));
    assert_ne!(attempt, attempt_record::AttemptHash::of("9c41d07be2a35f69"));
}

#[test]
fn holders_are_in_three_zones() {
    let daemons = candidates(&[0, 0, 1, 1, 2, 2, 3]);
    for number in 0..200 {
        let attempt = attempt_record::AttemptHash::new(number);
        let holders = holders_of(attempt, &daemons, 0, &[]);
        let zones: collections::BTreeSet<_> = holders
            .iter()
            .filter_map(|holder| daemons.iter().find(|daemon| daemon.address == *holder))
            .map(|daemon| daemon.zone.clone())
            .collect();
        assert_eq!((holders.len(), zones.len()), (3, 3));
        assert!(zones.contains(&zone(0)), "one holder is in the writer's zone");
    }
}

#[test]
fn records_are_spread_over_the_daemons() {
    let (daemon_count, zone_count) = LARGE_DEPLOYMENT;
    let zones: Vec<_> = (0..daemon_count).map(|index| index % zone_count).collect();
    let daemons = candidates(&zones);
    let mut counts: collections::HashMap<net::SocketAddr, usize> = collections::HashMap::new();
    let record_count = 10 * daemon_count;
    for number in 0..record_count {
        let attempt = attempt_record::AttemptHash::of(&number.to_string());
        for holder in holders_of(attempt, &daemons, number % daemon_count, &[]) {
            *counts.entry(holder).or_default() += 1;
        }
    }
    // Each daemon holds 30 on average.
    assert_eq!(counts.len(), daemon_count);
    assert!(counts.values().all(|count| (10..90).contains(count)), "{counts:?}");
}

fn answer(
    lookup: &mut attempt_record::AttemptLookup,
    index: usize,
    version: Option<&str>,
) -> attempt_record::LookupState {
    lookup.on_answer(address(index), version.map(origin))
}

#[test]
fn first_record_ends_the_lookup() {
    let mut lookup = attempt_record::AttemptLookup::new(vec![address(0), address(1), address(2)]);
    assert_eq!(answer(&mut lookup, 1, None), attempt_record::LookupState::Pending);
    let found = attempt_record::LookupState::Found(origin("v1"));
    assert_eq!(answer(&mut lookup, 0, Some("v1")), found);
}

#[test]
fn lookup_ends_when_all_have_no_record() {
    let mut lookup = attempt_record::AttemptLookup::new(vec![address(0), address(1)]);
    assert_eq!(answer(&mut lookup, 0, None), attempt_record::LookupState::Pending);
    // A repeated query is answered twice.
    assert_eq!(answer(&mut lookup, 0, None), attempt_record::LookupState::Pending);
    assert_eq!(lookup.unanswered(), [address(1)]);
    assert_eq!(answer(&mut lookup, 1, None), attempt_record::LookupState::Unknown);
}

#[test]
fn answer_of_a_daemon_that_was_not_asked_is_ignored() {
    let mut lookup = attempt_record::AttemptLookup::new(vec![address(0)]);
    assert_eq!(answer(&mut lookup, 1, Some("v2")), attempt_record::LookupState::Pending);
    assert_eq!(lookup.unanswered(), [address(0)]);
}

/// Returns the zones of daemons, a writer, a reader and two daemons that do not run.
fn deployment(
    daemon_counts: std::ops::Range<usize>,
    zone_count: usize,
) -> impl Strategy<Value = (Vec<usize>, usize, usize, [usize; 2])> {
    prop::collection::vec(0..zone_count, daemon_counts).prop_flat_map(|zones| {
        let index = 0..zones.len();
        (Just(zones), index.clone(), index.clone(), [index.clone(), index])
    })
}

proptest! {
    #![proptest_config(samphiremoor_testkit::config(256))]

    // Daemons do not agree on who runs, and a reader does not know who wrote a record.
    #[test]
    fn any_daemon_of_a_small_deployment_asks_all_holders(
        (zones, writer, reader, dead) in deployment(2..17, 5),
        number: u64,
    ) {
        let daemons = candidates(&zones);
        let attempt = attempt_record::AttemptHash::new(number);
        let asked = asked_by(attempt, &daemons, reader);
        for holder in holders_of(attempt, &daemons, writer, &dead) {
            prop_assert!(holder == daemons[reader].address || asked.contains(&holder));
        }
    }

    // The writer and another daemon are gone.
    #[test]
    fn reader_in_a_large_deployment_asks_a_live_holder(
        writer in 0..LARGE_DEPLOYMENT.0,
        reader in 0..LARGE_DEPLOYMENT.0,
        lost in 0..LARGE_DEPLOYMENT.0,
        number: u64,
    ) {
        prop_assume!(reader != lost && reader != writer);
        let zones: Vec<_> = (0..LARGE_DEPLOYMENT.0).map(|index| index % LARGE_DEPLOYMENT.1).collect();
        let daemons = candidates(&zones);
        let attempt = attempt_record::AttemptHash::new(number);
        let asked = asked_by(attempt, &daemons, reader);
        prop_assert!(asked.len() <= 24);
        let holders = holders_of(attempt, &daemons, writer, &[]);
        let is_asked = |holder: &net::SocketAddr| {
            *holder != daemons[lost].address
                && (*holder == daemons[reader].address || asked.contains(holder))
        };
        prop_assert!(holders.iter().any(is_asked));
    }

    #[test]
    fn writer_is_no_holder((zones, writer, _, dead) in deployment(1..40, 4), number: u64) {
        let daemons = candidates(&zones);
        let attempt = attempt_record::AttemptHash::new(number);
        let holders = holders_of(attempt, &daemons, writer, &dead);
        let unique: collections::HashSet<_> = holders.iter().collect();
        prop_assert_eq!(unique.len(), holders.len());
        prop_assert!(!holders.contains(&daemons[writer].address));
        let dead_addresses = dead.map(|index| daemons[index].address);
        prop_assert!(!holders.iter().any(|holder| dead_addresses.contains(holder)));
    }
}
