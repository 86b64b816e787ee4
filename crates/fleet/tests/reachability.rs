//! Which paths are suspected to be broken, and which daemons relay connections.

use std::collections;
use std::net;

use proptest::prelude::prop_assert;
use proptest::proptest;
use samphiremoor_base::id;
use samphiremoor_base::time;
use samphiremoor_fleet::reachability;

fn at(ms: u64) -> time::MonotonicTime {
    time::MonotonicTime::new(1_000_000 + ms)
}

fn group(service: &str, zone: &str) -> reachability::PathGroup {
    let service = service.parse().expect("the name is an identifier");
    reachability::PathGroup { service, zone: zone.parse().expect("the name is an identifier") }
}

fn replica(name: &str) -> id::ReplicaId {
    name.parse().expect("the name is an identifier")
}

/// What is observed of a path.
#[derive(Clone, Copy, Debug)]
enum PathEvent {
    /// A direct connection to this replica failed.
    Failed(&'static str),
    /// A direct connection to this replica opened.
    Opened(&'static str),
    /// A relay reached this replica.
    Relayed(&'static str),
    /// This replica refused a relay.
    Down(&'static str),
    /// No replica sent anything, and none accepted a probe.
    Silence,
}

/// Expects whether the path to a replica is suspected after these events, at these times.
fn check_path(group_size: usize, events: &[(u64, PathEvent)], is_suspected: bool) {
    let group = group("desk", "north");
    let mut table = reachability::PathTable::default();
    for (ms, event) in events {
        match event {
            PathEvent::Failed(name) => {
                table.on_failure(&group, &replica(name), group_size, at(*ms));
            }
            PathEvent::Opened(name) => {
                table.on_opened(&group, &replica(name));
            }
            PathEvent::Relayed(name) => table.on_relayed(&replica(name), at(*ms)),
            PathEvent::Down(name) => {
                table.on_replica_down(&group, &replica(name));
            }
            PathEvent::Silence => {
                table.on_silence([group.clone()], at(*ms));
            }
        }
    }
    assert_eq!(table.suspected_since(&group, &replica("a")).is_some(), is_suspected, "{events:?}");
}

use PathEvent::Down;
use PathEvent::Failed;
use PathEvent::Opened;
use PathEvent::Relayed;
use PathEvent::Silence;

samphiremoor_base::cases! {
    nothing_is_suspected_at_first => check_path(3, &[], false);
    one_replica_that_fails_proves_nothing => check_path(3, &[(0, Failed("a"))], false);
    one_replica_that_fails_again_proves_nothing =>
        check_path(3, &[(0, Failed("a")), (300, Failed("a"))], false);
    two_replicas_that_fail_prove_a_cut => check_path(3, &[(0, Failed("a")), (300, Failed("b"))], true);
    two_replicas_that_fail_long_apart_prove_nothing =>
        check_path(3, &[(0, Failed("a")), (2_500, Failed("b"))], false);
    only_replica_that_fails_proves_a_cut => check_path(1, &[(0, Failed("a"))], true);
    only_replica_that_refuses_a_relay_is_down =>
        check_path(1, &[(0, Failed("a")), (5, Down("a"))], false);
    connection_that_opens_ends_a_cut =>
        check_path(3, &[(0, Failed("a")), (300, Failed("b")), (900, Opened("c"))], false);
    connection_between_two_failures_proves_the_path =>
        check_path(3, &[(0, Failed("a")), (100, Opened("c")), (300, Failed("b"))], false);
    replica_that_only_a_relay_reaches_has_another_path =>
        check_path(3, &[(0, Failed("a")), (5, Relayed("a")), (10, Opened("b"))], true);
    replica_that_is_reached_again_needs_no_relay =>
        check_path(3, &[(0, Relayed("a")), (500, Opened("a"))], false);
    silence_of_all_replicas_proves_a_cut => check_path(3, &[(0, Silence)], true);
    replica_that_is_down_does_not_end_a_silence =>
        check_path(3, &[(0, Silence), (100, Failed("b")), (105, Down("b"))], true);
    silence_ends_with_a_connection => check_path(3, &[(0, Silence), (600, Opened("b"))], false);
}

#[test]
fn one_lost_path_makes_others_likely() {
    let mut table = reachability::PathTable::default();
    let (north, south) = (group("desk", "north"), group("desk", "south"));
    table.on_failure(&north, &replica("a"), 3, at(0));
    table.on_failure(&north, &replica("b"), 3, at(10));
    table.on_failure(&south, &replica("c"), 3, at(20));
    assert_eq!(table.suspected_since(&south, &replica("d")), Some(at(20)));
    assert_eq!(table.suspected_groups().count(), 2);
}

#[test]
fn suspected_paths_are_probed_at_intervals() {
    let mut table = reachability::PathTable::default();
    let north = group("desk", "north");
    table.on_silence([north.clone()], at(0));
    table.on_relayed(&replica("a"), at(0));
    assert_eq!(table.take_due_probes(at(100)), std::slice::from_ref(&north));
    assert!(table.take_due_probes(at(400)).is_empty());
    assert_eq!(table.take_due_probes(at(700)), [north]);
    assert!(table.take_due_replicas(at(400)).is_empty());
    assert_eq!(table.take_due_replicas(at(500)), [replica("a")]);
    table.retain(|_| false, |_| false);
    assert!(table.take_due_probes(at(2_000)).is_empty());
    assert!(table.take_due_replicas(at(2_000)).is_empty());
}

/// Returns the address of a daemon, which numbers it.
fn daemon_address(index: usize) -> net::SocketAddr {
    net::SocketAddr::from(([10, (index / 200) as u8, (index % 200) as u8, 1], 7_600))
}

/// Daemons in zones by turns, of which the first `cut` have lost their path.
fn candidates(daemons: usize, zones: usize, cut: usize) -> Vec<reachability::RelayCandidate> {
    let candidate = |index: usize| reachability::RelayCandidate {
        address: daemon_address(index),
        zone: format!("zone-{}", index % zones).parse().expect("the name is an identifier"),
        is_live: true,
        has_lost_path: index < cut,
    };
    (0..daemons).map(candidate).collect()
}

/// Cut daemons open connections; returns the largest number at one relay, and how many went to another
/// zone.
fn spread(daemons: usize, zones: usize, cut: usize, connections: u64) -> (usize, usize) {
    let all = candidates(daemons, zones, cut);
    let mut counts: collections::HashMap<net::SocketAddr, usize> = collections::HashMap::new();
    let mut remote = 0;
    for index in 0..cut {
        let zone = &all[index].zone;
        let others = all.iter().filter(|other| other.address != all[index].address);
        let others: Vec<_> = others.cloned().collect();
        for number in 0..connections {
            let backoff = reachability::RelayBackoff::default();
            let draw = index as u64 * 1_000 + number;
            let relays = reachability::choose_relays(&others, &backoff, zone, draw, at(0));
            let relay = relays.first().expect("there is a relay");
            *counts.entry(*relay).or_default() += 1;
            let chosen = all.iter().find(|other| other.address == *relay);
            let chosen = chosen.expect("the relay is a daemon");
            assert!(!chosen.has_lost_path);
            remote += usize::from(chosen.zone != *zone);
        }
    }
    (counts.into_values().max().unwrap_or_default(), remote)
}

/// Expects the largest number of connections at one relay to be at most twice its part.
fn check_spread(daemons: usize, zones: usize, cut: usize, is_zone_left: bool) {
    const CONNECTIONS: u64 = 60;
    let (most, remote) = spread(daemons, zones, cut, CONNECTIONS);
    let part = cut * CONNECTIONS as usize / (daemons - cut);
    assert!(most <= 2 * part.max(CONNECTIONS as usize), "{most} of {part}");
    assert_eq!(remote == 0, is_zone_left, "{remote} connections go to other zones");
}

samphiremoor_base::cases! {
    three_of_seven_daemons_are_cut => check_spread(7, 4, 3, true);
    all_but_one_of_seven_daemons_are_cut => check_spread(7, 4, 6, false);
    a_third_of_84_daemons_is_cut => check_spread(84, 5, 28, true);
    most_of_400_daemons_are_cut => check_spread(400, 11, 300, true);
}

proptest! {
    #![proptest_config(samphiremoor_testkit::config(64))]

    /// A relay is live, has not lost its path, and is of the same zone if such a one is; those that failed
    /// lately come last.
    #[test]
    fn relay_is_the_best_candidate(
        daemons in 2_usize..60,
        zones in 1_usize..6,
        cut in 0_usize..60,
        failed: Vec<u16>,
        draw: u64,
    ) {
        let mut all = candidates(daemons, zones, cut.min(daemons));
        for (index, candidate) in all.iter_mut().enumerate() {
            candidate.is_live = index % 7 != 3;
        }
        let mut backoff = reachability::RelayBackoff::default();
        let failed: Vec<_> =
            failed.iter().map(|index| daemon_address(usize::from(*index) % daemons)).collect();
        for relay in &failed {
            backoff.record_failure(*relay, at(0));
        }
        let zone: id::ZoneId = "zone-0".parse().expect("the name is an identifier");
        let relays = reachability::choose_relays(&all, &backoff, &zone, draw, at(100));
        let usable: Vec<_> =
            all.iter().filter(|other| other.is_live && !other.has_lost_path).collect();
        prop_assert!(relays.len() == usable.len().min(3));
        let first = relays.first().and_then(|relay| usable.iter().find(|other| other.address == *relay));
        if let Some(first) = first {
            let is_fresh = |address: &net::SocketAddr| !failed.contains(address);
            let best = usable.iter().any(|other| is_fresh(&other.address) && other.zone == zone);
            prop_assert!(!best || is_fresh(&first.address) && first.zone == zone);
            let any_fresh = usable.iter().any(|other| is_fresh(&other.address));
            prop_assert!(!any_fresh || is_fresh(&first.address));
        }
        let later = reachability::choose_relays(&all, &backoff, &zone, draw, at(3_000));
        prop_assert!(later.len() == relays.len());
    }
}
