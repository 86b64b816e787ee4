//! The failure timeline keeps its rules for every seed.

use std::collections;
use std::time::Duration;

use samphiremoor_process_tests::timeline;
use samphiremoor_process_tests::timeline::FailureKind;
use samphiremoor_process_tests::timeline::PlannedFailure;

const LAYOUT: timeline::ZoneLayout = timeline::ZoneLayout { zones: 2, entries: 2, engines: 2 };

const LENGTH: Duration = Duration::from_secs(300);

const SEEDS: u64 = 50;

fn check_each(holds: impl Fn(&[PlannedFailure])) {
    (0..SEEDS).for_each(|seed| holds(&timeline::plan(&LAYOUT, LENGTH, seed)));
}

fn overlapping(failures: &[PlannedFailure]) -> Vec<(PlannedFailure, PlannedFailure)> {
    let pairs = failures.iter().enumerate().flat_map(|(index, first)| {
        failures[index + 1..].iter().map(move |second| (*first, *second))
    });
    pairs.filter(|(first, second)| second.start < first.end()).collect()
}

#[test]
fn every_kind_occurs_once_before_any_repeats() {
    check_each(|failures| {
        assert!(failures.len() >= 2 * FailureKind::ALL.len());
        for round in failures.chunks_exact(FailureKind::ALL.len()) {
            let kinds: collections::BTreeSet<_> =
                round.iter().map(|failure| failure.kind).collect();
            assert_eq!(kinds.len(), FailureKind::ALL.len());
        }
    });
}

#[test]
fn at_most_two_failures_are_active() {
    check_each(|failures| {
        for failure in failures {
            let is_active = |other: &&PlannedFailure| {
                other.start <= failure.start && failure.start < other.end()
            };
            assert!(failures.iter().filter(is_active).count() <= 2, "{failure:?}");
        }
    });
}

#[test]
fn most_failures_overlap() {
    check_each(|failures| {
        assert!(2 * overlapping(failures).len() >= failures.len(), "{failures:?}");
    });
}

#[test]
fn overlapping_failures_leave_a_serving_zone() {
    check_each(|failures| {
        for (first, second) in overlapping(failures) {
            assert_ne!(first.kind, second.kind);
            let (first_vms, second_vms) =
                (first.affected_vms(&LAYOUT), second.affected_vms(&LAYOUT));
            assert!(first_vms.is_disjoint(&second_vms), "{first:?} {second:?}");
            let affected: collections::BTreeSet<_> =
                first_vms.union(&second_vms).copied().collect();
            let serves = |zone: usize| {
                let mut entries = zone * LAYOUT.entries..(zone + 1) * LAYOUT.entries;
                let mut engines = zone * LAYOUT.engines..(zone + 1) * LAYOUT.engines;
                entries.any(|entry| !affected.contains(&timeline::AffectedVm::Entry(entry)))
                    && engines
                        .any(|engine| !affected.contains(&timeline::AffectedVm::Engine(engine)))
            };
            assert!((0..LAYOUT.zones).any(serves), "{first:?} {second:?}");
        }
    });
}

#[test]
fn seed_determines_the_timeline() {
    let plan = |seed| timeline::plan(&LAYOUT, LENGTH, seed);
    assert_eq!(plan(3), plan(3));
    assert_ne!(plan(3), plan(4));
}
