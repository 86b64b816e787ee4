//! Run counts by window, the wall-clock estimate, and TTFT estimates with admission.

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

fn at(millis: u64) -> time::MonotonicTime {
    time::MonotonicTime::new(millis)
}

fn incarnation(number: u64) -> quantity::Incarnation {
    quantity::Incarnation::new(number)
}

fn total(counter: &usage::UsageCounter, window: u64) -> u32 {
    counter.total(window).get(&clinic()).copied().unwrap_or(0)
}

#[test]
fn repeated_digests_of_a_peer_count_once() {
    let mut local = usage::UsageCounter::new(daemon("one"), incarnation(1));
    let mut peer = usage::UsageCounter::new(daemon("two"), incarnation(1));
    local.count_run(7, &clinic());
    peer.count_run(7, &clinic());
    peer.count_run(7, &clinic());
    local.merge_peer(&daemon("two"), incarnation(1), &peer.local_windows());
    local.merge_peer(&daemon("two"), incarnation(1), &peer.local_windows());
    assert_eq!(total(&local, 7), 3);
}

#[test]
fn counts_of_a_restarted_peer_include_its_earlier_incarnation() {
    let mut local = usage::UsageCounter::new(daemon("one"), incarnation(1));
    let mut before = usage::UsageCounter::new(daemon("two"), incarnation(1));
    before.count_run(7, &clinic());
    local.merge_peer(&daemon("two"), incarnation(1), &before.local_windows());
    let mut after = usage::UsageCounter::new(daemon("two"), incarnation(2));
    after.count_run(7, &clinic());
    local.merge_peer(&daemon("two"), incarnation(2), &after.local_windows());
    assert_eq!(total(&local, 7), 2);
}

#[test]
fn old_windows_and_incarnations_are_dropped() {
    let mut local = usage::UsageCounter::new(daemon("one"), incarnation(1));
    for window in 0..100 {
        local.count_run(window, &clinic());
    }
    assert_eq!(local.local_windows().len() as u64, usage::RETAINED_WINDOWS);
    local.prune_incarnations(200);
    assert_eq!(total(&local, 99), 0);
}

/// Checks the estimate after one second, in which the clocks jump by these numbers of milliseconds.
fn check_clock(local_jump: i64, peer_jumps: &[i64], expected: i64) {
    let start = 1_700_000_000_000;
    let mut estimate = wall_clock::ClockEstimate::new(start, at(0));
    estimate.observe_local(start + 1_000 + local_jump, at(1_000));
    for (index, jump) in peer_jumps.iter().enumerate() {
        estimate.observe_peer(&daemon(&format!("peer-{index}")), start + 1_000 + jump, at(1_000));
    }
    assert_eq!(estimate.now(at(1_000)) - start - 1_000, expected);
}

cases! {
    small_correction_is_followed => check_clock(40, &[], 40);
    own_jump_forward_is_ignored => check_clock(2_400, &[], 0);
    own_jump_backward_is_ignored => check_clock(-2_400, &[], 0);
    jump_of_a_peer_is_outvoted => check_clock(0, &[2_400, 1, 2], 1);
    own_clock_wrong_from_the_start_is_outvoted => check_clock(0, &[5_000, 5_001, 5_002], 5_000);
}

/// Returns an estimator that observed the first tokens of an engine with a base time and a prefill
/// time per thousand tokens.
fn trained_estimator(base_ms: f64, ms_per_ktoken: f64) -> admission::TtftEstimator {
    let mut estimator = admission::TtftEstimator::default();
    for step in 0..400 {
        let tokens_ahead = f64::from(100 + step * 37 % 20_000);
        let ttft_ms = base_ms + tokens_ahead * ms_per_ktoken / 1_000.0;
        estimator.observe(&service(), tokens_ahead, time::Millis::new(ttft_ms as u64));
    }
    estimator
}

// Load pattern: an engine with a long base time and fast prefill. Large prompts were refused, since
// the base was attributed to the prompt tokens.
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
    most_urgent_accepts_queue_of_one_second => check_admission(0, 60_000.0, true);
    second_priority_accepts_queue_of_one_second => check_admission(1, 60_000.0, true);
    third_priority_refuses_queue_of_one_second => check_admission(2, 60_000.0, false);
    second_priority_refuses_queue_of_two_seconds => check_admission(1, 110_000.0, false);
    most_urgent_refuses_queue_of_three_seconds => check_admission(0, 170_000.0, false);
    idle_engine_accepts_every_priority => check_admission(9, 2_000.0, true);
}

#[test]
fn retry_after_is_jittered_and_bounded() {
    let waits: Vec<u64> =
        (0..10).map(|step| admission::retry_after(1_000.0, f64::from(step) / 10.0).get()).collect();
    assert!(waits.windows(2).all(|pair| pair[0] < pair[1]), "{waits:?}");
    assert_eq!(admission::retry_after(1e12, 1.0).get(), 4_000);
    assert_eq!(admission::retry_after(0.0, 0.0).get(), 100);
}

// Load pattern: an overload of some seconds, in which prompts queue behind others that this daemon
// does not know of yet. The estimated prefill time, by which capacity is planned, must not follow
// the queues, as the engines are as fast as before.
#[test]
fn queues_of_an_overload_do_not_count_as_prefill_time() {
    let service = service();
    let mut estimator = trained_estimator(20.0, 18.0);
    let before = estimator.prefill_ms_per_ktoken(&service);
    for number in 0..150 {
        let tokens_ahead = f64::from(number % 20) * 1_000.0;
        let ttft_ms = 20.0 + tokens_ahead * 150.0 / 1_000.0;
        estimator.observe(&service, tokens_ahead, time::Millis::new(ttft_ms as u64));
    }
    let after = estimator.prefill_ms_per_ktoken(&service);
    assert!(
        after <= before * 2.0,
        "{before:.0} ms per thousand tokens before the overload, {after:.0} ms after"
    );
}
