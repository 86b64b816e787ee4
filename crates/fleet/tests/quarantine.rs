//! Requests and segments under which replicas crash are found over all daemons, and no sound ones.

mod quarantine_sim;

use proptest::prelude::prop_assert;
use proptest::prelude::prop_assert_eq;
use proptest::proptest;
use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_fleet::clock_instant;
use samphiremoor_fleet::quarantine;
use samphiremoor_fleet::suspect;

/// Number of bad requests that may reach replicas late.
const MAX_LATE_ARRIVALS: usize = 3;

/// Largest number of bytes of notices that a daemon may receive in a second: what control may cost in
/// all.
const MAX_NOTICE_BYTES: u64 = 21_000;

const CALM: quarantine_sim::SimSettings = quarantine_sim::SimSettings {
    daemons: 7,
    zones: 4,
    replicas: 12,
    rates: (60.0, 6.0),
    middle_segments: 0,
    plain_crashes: 0.0,
    wave: 0.0,
    restarts: 0.0,
    has_cut: false,
    turns_bad: false,
    has_plain_requests: false,
    has_retries: false,
    has_false_witness: false,
    seconds: 20,
    seed: 1,
};
const LARGE: quarantine_sim::SimSettings = quarantine_sim::SimSettings {
    daemons: 84,
    zones: 5,
    replicas: 112,
    rates: (300.0, 12.0),
    ..CALM
};
const LARGEST: quarantine_sim::SimSettings = quarantine_sim::SimSettings {
    daemons: 400,
    zones: 11,
    replicas: 600,
    rates: (800.0, 12.0),
    seconds: 14,
    ..CALM
};

fn check(settings: quarantine_sim::SimSettings) {
    for seed in 0..3 {
        let report = quarantine_sim::run(quarantine_sim::SimSettings { seed, ..settings });
        assert!(report.crashes_ms.len() >= 4, "{report:?}");
        assert!(report.late_arrivals(5) <= MAX_LATE_ARRIVALS, "seed {seed}: {report:?}");
        assert!(report.wrong.is_empty(), "seed {seed}: {:?}", report.wrong);
        assert_eq!(report.refused_sound, 0, "seed {seed}: of {}", report.sound);
        assert!(report.notice_bytes <= MAX_NOTICE_BYTES, "{} bytes", report.notice_bytes);
    }
}

/// Plain requests before four replicas, of which one bad request crashes all.
const PLAIN: quarantine_sim::SimSettings = quarantine_sim::SimSettings {
    replicas: 4,
    rates: (62.0, 3.0),
    has_plain_requests: true,
    seconds: 30,
    ..CALM
};
const PLAIN_LARGE: quarantine_sim::SimSettings =
    quarantine_sim::SimSettings { daemons: 84, zones: 5, replicas: 16, ..PLAIN };
const PLAIN_LARGEST: quarantine_sim::SimSettings =
    quarantine_sim::SimSettings { daemons: 400, zones: 11, replicas: 40, seconds: 20, ..PLAIN };

fn check_plain(settings: quarantine_sim::SimSettings) {
    for seed in 0..6 {
        let report = quarantine_sim::run(quarantine_sim::SimSettings { seed, ..settings });
        // A crash for another reason may be the third one under the request.
        assert!(report.crashes_ms.len() >= 2, "{report:?}");
        assert!(report.late_arrivals(3) <= MAX_LATE_ARRIVALS, "seed {seed}: {report:?}");
        assert!(report.wrong.is_empty(), "seed {seed}: {:?}", report.wrong);
        assert_eq!(report.refused_sound, 0, "seed {seed}: of {}", report.sound);
        assert_eq!(report.excessive_attempts, 0, "seed {seed}");
        assert!(report.notice_bytes <= MAX_NOTICE_BYTES, "{} bytes", report.notice_bytes);
    }
}

macro_rules! cases {
    ($check:ident: $($name:ident => $base:ident { $($field:ident: $value:expr),* };)*) => {
        $(#[test] fn $name() {
            $check(quarantine_sim::SimSettings { $($field: $value,)* ..$base });
        })*
    };
}

cases! {
    check_plain:
    bad_request_at_7_daemons => PLAIN {};
    bad_request_at_84_daemons => PLAIN_LARGE {};
    bad_request_at_400_daemons => PLAIN_LARGEST {};
    bad_request_at_12_replicas => PLAIN { replicas: 12 };
    bad_request_twenty_times_a_second => PLAIN { rates: (62.0, 20.0) };
    bad_request_beside_plain_crashes => PLAIN { plain_crashes: 0.5 };
    bad_request_beside_plain_crashes_at_84_daemons => PLAIN_LARGE { plain_crashes: 1.0 };
    bad_request_beside_crashes_of_all_replicas => PLAIN { wave: 1.0 };
    bad_request_beside_crashes_of_all_replicas_at_84_daemons => PLAIN_LARGE { wave: 1.0 };
    bad_request_beside_restarts => PLAIN { restarts: 0.5 };
    bad_request_beside_a_cut => PLAIN { has_cut: true };
    bad_request_beside_a_cut_at_84_daemons => PLAIN_LARGE { has_cut: true };
    bad_request_that_was_sound => PLAIN { turns_bad: true, rates: (62.0, 1.0) };
    frequent_request_that_turns_bad => PLAIN { turns_bad: true };
    frequent_request_that_turns_bad_at_84_daemons => PLAIN_LARGE { turns_bad: true };
    bad_request_beside_a_false_witness => PLAIN { has_false_witness: true };
    bad_request_beside_a_false_witness_at_84_daemons => PLAIN_LARGE { has_false_witness: true };
}

#[test]
fn false_witness_has_a_sound_request_quarantined() {
    for daemons in [2, 7, 84] {
        for seed in 0..6 {
            let report = quarantine_sim::run(quarantine_sim::SimSettings {
                daemons,
                zones: daemons.min(4),
                rates: (62.0, 0.0),
                has_false_witness: true,
                seed,
                ..PLAIN
            });
            assert!(report.wrong.is_empty(), "{daemons}, seed {seed}: {:?}", report.wrong);
            assert_eq!(report.refused_sound, 0, "{daemons}, seed {seed}");
        }
    }
}

cases! {
    check:
    bad_segment_at_7_daemons => CALM {};
    bad_segment_at_84_daemons => LARGE {};
    bad_segment_at_400_daemons => LARGEST {};
    bad_segment_beside_plain_crashes_at_7_daemons => CALM { plain_crashes: 0.5 };
    bad_segment_beside_plain_crashes_at_84_daemons => LARGE { plain_crashes: 2.0 };
    bad_segment_beside_waves_at_7_daemons => CALM { wave: 0.3 };
    bad_segment_beside_waves_at_84_daemons => LARGE { wave: 0.2 };
    bad_segment_beside_restarts_at_7_daemons => CALM { restarts: 0.5 };
    bad_segment_beside_restarts_at_84_daemons => LARGE { restarts: 2.0 };
    bad_segment_beside_a_cut_at_7_daemons => CALM { has_cut: true };
    bad_segment_beside_a_cut_at_84_daemons => LARGE { has_cut: true };
    bad_segment_beside_many_others_at_7_daemons => CALM { middle_segments: 300 };
    bad_segment_beside_many_others_at_84_daemons => LARGE { middle_segments: 3_000 };
    sound_segment_that_turns_bad_at_7_daemons => CALM { turns_bad: true };
    sound_segment_that_turns_bad_at_84_daemons => LARGE { turns_bad: true };
    sound_requests_are_sent_again_at_7_daemons => CALM { has_retries: true };
    sound_requests_are_sent_again_at_84_daemons => LARGE { has_retries: true };
    sound_requests_are_sent_again_beside_waves => CALM { has_retries: true, wave: 0.3 };
    sound_requests_are_sent_again_at_many_bad_ones =>
        CALM { has_retries: true, rates: (100.0, 12.0) };
    few_bad_requests_at_7_daemons => CALM { rates: (60.0, 0.8), seconds: 30 };
}

proptest! {
    #![proptest_config(samphiremoor_testkit::config(48))]

    #[test]
    fn no_sound_segment_is_quarantined(
        daemons in 1_usize..24,
        replicas in 2_usize..30,
        rate in 2.0_f64..120.0,
        bad in 0.0_f64..10.0,
        middle in 0_u64..400,
        crashes in 0.0_f64..2.0,
        wave in 0.0_f64..0.6,
        restarts in 0.0_f64..0.5,
        has_cut: bool,
        seed: u64,
    ) {
        let report = quarantine_sim::run(quarantine_sim::SimSettings {
            daemons,
            zones: daemons.min(4),
            replicas,
            rates: (rate, bad),
            middle_segments: middle,
            plain_crashes: crashes,
            wave,
            restarts,
            has_cut,
            seed,
            ..CALM
        });
        prop_assert!(report.wrong.is_empty(), "{:?}", report.wrong);
        prop_assert_eq!(report.refused_sound, 0);
    }

    /// A sound request that is repeated many times a second is never refused, whatever crashes beside it.
    #[test]
    fn no_sound_request_is_quarantined(
        daemons in 1_usize..24,
        replicas in 2_usize..16,
        rate in 62.0_f64..120.0,
        bad in 0.0_f64..10.0,
        crashes in 0.0_f64..2.0,
        wave in 0.0_f64..1.0,
        restarts in 0.0_f64..0.5,
        has_cut: bool,
        has_false_witness: bool,
        seed: u64,
    ) {
        let report = quarantine_sim::run(quarantine_sim::SimSettings {
            daemons,
            zones: daemons.min(4),
            replicas,
            rates: (rate, bad),
            plain_crashes: crashes,
            wave,
            restarts,
            has_cut,
            has_false_witness: has_false_witness && daemons > 1,
            seconds: 20,
            seed,
            ..PLAIN
        });
        prop_assert!(report.wrong.is_empty(), "{:?}", report.wrong);
        prop_assert_eq!(report.refused_sound, 0);
    }
}

/// Returns the instant this many milliseconds after the start of a test.
fn at(ms: u64) -> clock_instant::ClockInstant {
    clock_instant::ClockInstant {
        now: time::MonotonicTime::new(10_000_000 + ms),
        unix_ms: 1_700_000_000_000 + ms,
    }
}

fn segment(number: u64) -> suspect::SuspectId {
    suspect::SuspectId::Segment(number)
}

/// Lets replicas crash under segments, 100 ms apart from `from_ms` on.
fn crash(table: &mut quarantine::QuarantineTable, segments: &[u64], count: u64, from_ms: u64) {
    let suspects: Vec<_> = segments.iter().copied().map(segment).collect();
    for number in 0..count {
        let replica: id::ReplicaId = "replica".parse().expect("a valid ID");
        let incarnation = quantity::Incarnation::new(from_ms + number + 1);
        table.observe_crash(&replica, incarnation, &suspects, at(from_ms + 100 * number));
    }
}

fn is_quarantined(table: &quarantine::QuarantineTable, number: u64, ms: u64) -> bool {
    table.find_quarantined(&[segment(number)], at(ms)).is_some()
}

#[test]
fn replica_that_answers_refutes_its_crash_and_the_witness() {
    let daemon: id::DaemonId = "witness".parse().expect("a valid ID");
    let replica: id::ReplicaId = "replica".parse().expect("a valid ID");
    let mut table = quarantine::QuarantineTable::new(daemon.clone());
    table.observe_crash(&replica, quantity::Incarnation::new(1), &[segment(7)], at(0));
    assert!(table.refute_answered(|_, _| Some(at(0).now), at(50)).is_empty());
    let changes = table.refute_answered(|_, _| Some(at(50).now), at(100));
    let refuted = quarantine::QuarantineChange::Refuted(replica, [daemon].into_iter().collect());
    assert_eq!(changes.as_slice(), [refuted]);
    assert!(!table.trusts_itself(at(100).now));
    crash(&mut table, &[7], 4, 200);
    table.evaluate(at(2_000));
    assert!(!is_quarantined(&table, 7, 2_000));
}

#[test]
fn verdict_is_lifted_by_a_response_that_goes_on() {
    let mut table = quarantine::QuarantineTable::default();
    crash(&mut table, &[7], 4, 0);
    table.evaluate(at(2_000));
    assert!(is_quarantined(&table, 7, 2_000));
    let changes = table.observe_survival(&[segment(7)], at(2_100));
    assert_eq!(changes.as_slice(), [quarantine::QuarantineChange::Released(segment(7))]);
    assert!(!is_quarantined(&table, 7, 2_100));
}

#[test]
fn operator_lifts_a_verdict_at_all_daemons() {
    let mut table = quarantine::QuarantineTable::default();
    crash(&mut table, &[7], 4, 0);
    table.evaluate(at(2_000));
    let mut peer = quarantine::QuarantineTable::default();
    for notice in table.member_notices(at(2_000).now) {
        peer.observe_notice(&notice, quarantine::NoticeSource::Member, at(2_000));
    }
    assert!(is_quarantined(&peer, 7, 2_000));
    table.release(segment(7), at(9_000));
    // Others that saw the segment go on may say so first.
    table.evaluate(at(9_300));
    for notice in table.member_notices(at(9_300).now) {
        peer.observe_notice(&notice, quarantine::NoticeSource::Member, at(9_300));
    }
    assert!(!is_quarantined(&table, 7, 9_000));
    assert!(!is_quarantined(&peer, 7, 9_000));
}

#[test]
fn crashes_that_one_segment_explains_count_against_no_other() {
    let mut table = quarantine::QuarantineTable::default();
    crash(&mut table, &[7], 1, 0);
    crash(&mut table, &[7, 8], 4, 500);
    table.evaluate(at(3_000));
    assert!(is_quarantined(&table, 7, 3_000));
    table.evaluate(at(9_000));
    assert!(!is_quarantined(&table, 8, 9_000));
}

#[test]
fn test_of_a_verdict_is_one_request_and_comes_ever_later() {
    let mut table = quarantine::QuarantineTable::default();
    crash(&mut table, &[7], 4, 0);
    table.evaluate(at(2_000));
    assert!(!table.begin_test(segment(7), at(200_000)));
    assert!(table.begin_test(segment(7), at(400_000)));
    assert!(!table.begin_test(segment(7), at(400_001)));
    assert!(!table.begin_test(segment(7), at(700_000)));
    assert!(table.begin_test(segment(7), at(900_000)));
    assert!(!table.begin_test(segment(7), at(1_500_000)));
}

#[test]
fn request_is_repeated_after_a_crash_only_if_its_segments_went_on() {
    let mut table = quarantine::QuarantineTable::default();
    table.observe_survival(&[segment(1)], at(0));
    assert!(table.may_repeat(&[segment(1)], at(100)));
    assert!(!table.may_repeat(&[segment(1), segment(7)], at(100)));
    assert!(table.may_repeat(&[], at(100)));
    assert!(!table.may_repeat(&[segment(1)], at(700_000)));
}

#[test]
fn unused_verdicts_are_forgotten() {
    let mut table = quarantine::QuarantineTable::default();
    crash(&mut table, &[7], 4, 0);
    table.evaluate(at(2_000));
    table.record_refusal(segment(7), at(1_000_000).now);
    table.sweep(at(2_700_000).now);
    assert!(is_quarantined(&table, 7, 2_700_000));
    table.sweep(at(2_900_000).now);
    assert!(!is_quarantined(&table, 7, 2_900_000));
}

#[test]
fn verdict_waits_behind_notices_of_earlier_crashes() {
    const MAX_NOTICES: usize = 128;
    let mut table = quarantine::QuarantineTable::default();
    for number in 0..300 {
        crash(&mut table, &[1_000 + number], 1, number);
    }
    crash(&mut table, &[7], 4, 400);
    table.evaluate(at(1_800));
    let now = at(1_800).now;
    for notices in [table.member_notices(now), table.group_notices(now)] {
        assert!(notices.len() <= MAX_NOTICES, "{} notices", notices.len());
        let is_verdict = |notice: &quarantine::QuarantineNotice| matches!(notice, quarantine::QuarantineNotice::Verdict { suspect: found, .. } if *found == segment(7));
        assert!(notices.iter().any(is_verdict));
    }
}

/// Only the daemon that passes a notice on has news to send.
#[test]
fn notice_of_a_member_is_news_to_the_other_members() {
    let mut table = quarantine::QuarantineTable::default();
    crash(&mut table, &[7], 1, 0);
    let mut member = quarantine::QuarantineTable::default();
    let (version, group_version) = (member.version(), member.group_version());
    for notice in table.member_notices(at(0).now) {
        member.observe_notice(&notice, quarantine::NoticeSource::Member, at(0));
    }
    assert_eq!(member.version(), version);
    assert_ne!(member.group_version(), group_version);
}

#[test]
fn memory_is_bounded_against_made_up_segments() {
    let mut table = quarantine::QuarantineTable::default();
    for number in 0..50_000 {
        table.observe_survival(&[segment(number)], at(number));
        table.observe_survival(&[segment(1)], at(number));
        if number % 10 == 0 {
            crash(&mut table, &[number + 1_000_000], 1, number * 7);
        }
    }
    assert!(table.may_repeat(&[segment(1)], at(50_000)));
    assert!(!table.may_repeat(&[segment(5)], at(50_000)));
    table.sweep(at(10_000_000).now);
    assert!(table.member_notices(at(10_000_000).now).is_empty());
}
