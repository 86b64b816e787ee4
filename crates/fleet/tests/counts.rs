//! Run counts by time window, the estimate of wall-clock time, and admission by estimated TTFT.

use samphiremoor_base::cases;
use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_fleet::admission;
use samphiremoor_fleet::usage;
use samphiremoor_fleet::wall_clock;

fn daemon(name: &str) -> id::DaemonId {
    name.parse().expect("the name is an identifier")
}

fn clinic() -> id::WorkspaceId {
    "clinic".parse().expect("the name is an identifier")
}

fn service() -> id::ServiceId {
    "drafts".parse().expect("the name is an identifier")
}

fn monotonic_ms(millis: u64) -> time::MonotonicTime {
    time::MonotonicTime::new(millis)
}

fn incarnation(number: u64) -> quantity::Incarnation {
    quantity::Incarnation::new(number)
}

/// Returns the number of runs of the workspace `clinic` in a window.
fn clinic_runs(counter: &usage::UsageCounter, window: u64) -> u32 {
    counter.total(window).get(&clinic()).copied().unwrap_or(0)
}

#[test]
fn repeated_digests_of_a_peer_count_once() {
    let mut local = usage::UsageCounter::new(daemon("one"), incarnation(1));
    let mut peer = usage::UsageCounter::new(daemon("two"), incarnation(1));
    local.count_run(7, &clinic());
    peer.count_run(7, &clinic());
    peer.count_run(7, &clinic());
    local.merge_peer(
        &daemon("two"),
        incarnation(1),
        &peer.local_windows(usage::WindowScope::Retained),
    );
    local.merge_peer(
        &daemon("two"),
        incarnation(1),
        &peer.local_windows(usage::WindowScope::Retained),
    );
    assert_eq!(clinic_runs(&local, 7), 3);
}

#[test]
fn counts_of_a_restarted_peer_include_its_earlier_incarnation() {
    let mut local = usage::UsageCounter::new(daemon("one"), incarnation(1));
    let mut earlier_peer = usage::UsageCounter::new(daemon("two"), incarnation(1));
    earlier_peer.count_run(7, &clinic());
    local.merge_peer(
        &daemon("two"),
        incarnation(1),
        &earlier_peer.local_windows(usage::WindowScope::Retained),
    );
    let mut restarted_peer = usage::UsageCounter::new(daemon("two"), incarnation(2));
    restarted_peer.count_run(7, &clinic());
    local.merge_peer(
        &daemon("two"),
        incarnation(2),
        &restarted_peer.local_windows(usage::WindowScope::Retained),
    );
    assert_eq!(clinic_runs(&local, 7), 2);
}

// Load pattern: a zone whose daemons restart one after the other. The zone's sum goes to the daemon that
// reports usage, which keeps the highest sum that it was told.
#[test]
fn counts_of_a_group_include_earlier_incarnations_of_its_members() {
    let mut aggregator = usage::UsageCounter::new(daemon("one"), incarnation(1));
    aggregator.count_run(7, &clinic());
    let runs = |window, runs| usage::WindowCount { window, counts: [(clinic(), runs)].into() };
    aggregator.merge_peer(&daemon("two"), incarnation(1), &[runs(7, 5), runs(3, 2)]);
    aggregator.merge_peer(&daemon("two"), incarnation(2), &[runs(7, 1), runs(8, 4)]);
    aggregator.merge_peer(&daemon("zone:south"), incarnation(0), &[runs(7, 100)]);
    let members = |scope| aggregator.group_windows(scope, |id| *id == daemon("two"));
    assert_eq!(members(usage::WindowScope::Recent), [runs(7, 7), runs(8, 4)]);
    assert_eq!(members(usage::WindowScope::Retained), [runs(3, 2), runs(7, 7), runs(8, 4)]);
    assert_eq!(aggregator.group_windows(usage::WindowScope::Recent, |_| false), [runs(7, 1)]);
}

#[test]
fn old_windows_and_incarnations_are_dropped() {
    let mut local = usage::UsageCounter::new(daemon("one"), incarnation(1));
    for window in 0..100 {
        local.count_run(window, &clinic());
    }
    assert_eq!(
        local.local_windows(usage::WindowScope::Retained).len() as u64,
        usage::RETAINED_WINDOWS
    );
    local.prune_incarnations(200);
    assert_eq!(clinic_runs(&local, 99), 0);
}

/// Checks the offset of the estimate from undisturbed local time, one second after its start. The
/// local clock jumps by `local_jump_ms` in this second, and the peers report estimates with the
/// given offsets.
fn check_wall_clock(local_jump_ms: i64, peer_offsets_ms: &[i64], expected_offset_ms: i64) {
    let start_ms = 1_700_000_000_000;
    let mut estimate = wall_clock::ClockEstimate::new(start_ms, monotonic_ms(0));
    estimate.observe_local(start_ms + 1_000 + local_jump_ms, monotonic_ms(1_000));
    for (index, offset_ms) in peer_offsets_ms.iter().enumerate() {
        estimate.observe_peer(
            &daemon(&format!("peer-{index}")),
            start_ms + 1_000 + offset_ms,
            monotonic_ms(1_000),
        );
    }
    assert_eq!(estimate.now(monotonic_ms(1_000)) - start_ms - 1_000, expected_offset_ms);
}

cases! {
    small_correction_is_followed => check_wall_clock(40, &[], 40);
    local_jump_forward_is_ignored => check_wall_clock(2_400, &[], 0);
    local_jump_backward_is_ignored => check_wall_clock(-2_400, &[], 0);
    wrong_clock_of_a_peer_is_outvoted => check_wall_clock(0, &[2_400, 1, 2], 1);
    local_clock_wrong_from_the_start_is_outvoted =>
        check_wall_clock(0, &[5_000, 5_001, 5_002], 5_000);
}

/// Returns an estimator that observed the first tokens of an engine with a base time and a prefill
/// time per thousand tokens.
fn trained_estimator(base_ms: f64, ms_per_ktoken: f64) -> admission::TtftEstimator {
    let mut estimator = admission::TtftEstimator::default();
    for sample in 0..400 {
        let tokens_ahead = f64::from(100 + sample * 37 % 20_000);
        let ttft_ms = base_ms + tokens_ahead * ms_per_ktoken / 1_000.0;
        estimator.observe(&service(), tokens_ahead, time::Millis::new(ttft_ms as u64));
    }
    estimator
}

// Load pattern: an engine with a long base time and fast prefill. If the base time were attributed
// to the prompt tokens, the estimated TTFT of large prompts would be too high.
#[test]
fn base_time_is_not_attributed_to_tokens() {
    let estimator = trained_estimator(62.0, 8.0);
    let ttft_ms = estimator.estimate_ttft_ms(&service(), 54_000.0);
    assert!((450.0..560.0).contains(&ttft_ms), "{ttft_ms}");
}

/// Checks whether a request is admitted whose TTFT target is one second.
fn check_admission(priority: u8, tokens_ahead: f64, is_admitted: bool) {
    let estimator = trained_estimator(13.0, 18.0);
    let query = admission::AdmissionQuery {
        service: &service(),
        priority: quantity::PriorityLevel::new(priority),
        ttft_target: time::Millis::new(1_000),
        deadline_left: time::Millis::new(12_000),
        tokens_ahead,
        draw: 0.5,
    };
    assert_eq!(estimator.admit(&query).is_ok(), is_admitted);
}

cases! {
    // Load pattern: a queue of 60,000 prompt tokens, about one second of prefill. The less urgent
    // requests are refused first.
    most_urgent_is_admitted_behind_one_second_of_prefill => check_admission(0, 60_000.0, true);
    second_priority_is_admitted_behind_one_second_of_prefill => check_admission(1, 60_000.0, true);
    third_priority_is_refused_behind_one_second_of_prefill => check_admission(2, 60_000.0, false);
    second_priority_is_refused_behind_two_seconds_of_prefill =>
        check_admission(1, 110_000.0, false);
    most_urgent_is_refused_behind_three_seconds_of_prefill => check_admission(0, 170_000.0, false);
    least_urgent_is_admitted_behind_short_queue => check_admission(9, 2_000.0, true);
}

#[test]
fn retry_after_is_jittered_and_bounded() {
    let waits_ms: Vec<u64> =
        (0..10).map(|step| admission::retry_after(1_000.0, f64::from(step) / 10.0).get()).collect();
    assert!(waits_ms.windows(2).all(|pair| pair[0] < pair[1]), "{waits_ms:?}");
    assert_eq!(admission::retry_after(1e12, 1.0).get(), 4_000);
    assert_eq!(admission::retry_after(0.0, 0.0).get(), 100);
}

// Load pattern: an overload of some seconds, in which prompts queue behind others that this daemon
// does not know of yet. The estimated prefill time, by which capacity is planned, must not rise
// with the queues, as the engines are as fast as before.
#[test]
fn queues_of_an_overload_do_not_count_as_prefill_time() {
    let service = service();
    let mut estimator = trained_estimator(20.0, 18.0);
    let ms_before = estimator.prefill_ms_per_ktoken(&service);
    for sample in 0..150 {
        let tokens_ahead = f64::from(sample % 20) * 1_000.0;
        let ttft_ms = 20.0 + tokens_ahead * 150.0 / 1_000.0;
        estimator.observe(&service, tokens_ahead, time::Millis::new(ttft_ms as u64));
    }
    let ms_after = estimator.prefill_ms_per_ktoken(&service);
    assert!(
        ms_after <= ms_before * 2.0,
        "{ms_before:.0} ms per thousand tokens before the overload, {ms_after:.0} ms after"
    );
}
