//! Usage by window, the time of day, and forecasts of first tokens.

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

fn life(number: u64) -> quantity::Incarnation {
    quantity::Incarnation::new(number)
}

fn total(book: &usage::UsageCounter, window: u64) -> u32 {
    book.total(window).get(&clinic()).copied().unwrap_or(0)
}

#[test]
fn counts_of_peers_add_up_once() {
    let mut own = usage::UsageCounter::new(daemon("one"), life(1));
    let mut peer = usage::UsageCounter::new(daemon("two"), life(1));
    own.count_run(7, &clinic());
    peer.count_run(7, &clinic());
    peer.count_run(7, &clinic());
    own.merge_peer(&daemon("two"), life(1), &peer.local_windows());
    own.merge_peer(&daemon("two"), life(1), &peer.local_windows());
    assert_eq!(total(&own, 7), 3);
}

#[test]
fn a_restarted_peer_keeps_what_its_last_life_told() {
    let mut own = usage::UsageCounter::new(daemon("one"), life(1));
    let mut before = usage::UsageCounter::new(daemon("two"), life(1));
    before.count_run(7, &clinic());
    own.merge_peer(&daemon("two"), life(1), &before.local_windows());
    let mut after = usage::UsageCounter::new(daemon("two"), life(2));
    after.count_run(7, &clinic());
    own.merge_peer(&daemon("two"), life(2), &after.local_windows());
    assert_eq!(total(&own, 7), 2);
}

#[test]
fn old_windows_and_lives_are_forgotten() {
    let mut own = usage::UsageCounter::new(daemon("one"), life(1));
    for window in 0..100 {
        own.count_run(window, &clinic());
    }
    assert_eq!(own.local_windows().len() as u64, usage::RETAINED_WINDOWS);
    own.prune_incarnations(200);
    assert_eq!(total(&own, 99), 0);
}

fn check_wall(own_jump: i64, peer_jumps: &[i64], expected: i64) {
    let start = 1_700_000_000_000;
    let mut estimate = wall_clock::ClockEstimate::new(start, at(0));
    estimate.observe_local(start + 1_000 + own_jump, at(1_000));
    for (index, jump) in peer_jumps.iter().enumerate() {
        estimate.observe_peer(&daemon(&format!("peer-{index}")), start + 1_000 + jump, at(1_000));
    }
    assert_eq!(estimate.now(at(1_000)) - start - 1_000, expected);
}

cases! {
    a_small_correction_is_followed => check_wall(40, &[], 40);
    an_own_jump_is_not_believed => check_wall(2_400, &[], 0);
    a_jump_back_is_not_believed => check_wall(-2_400, &[], 0);
    a_peers_jump_is_outvoted => check_wall(0, &[2_400, 1, 2], 1);
    an_own_clock_that_started_wrong_is_outvoted => check_wall(0, &[5_000, 5_001, 5_002], 5_000);
}

/// Fills a forecast with first tokens of an engine with a base time and a time for tokens.
fn learned(base_ms: f64, ms_per_ktoken: f64) -> admission::TtftEstimator {
    let mut forecast = admission::TtftEstimator::default();
    for step in 0..400 {
        let ahead = f64::from(100 + step * 37 % 20_000);
        let first = base_ms + ahead * ms_per_ktoken / 1_000.0;
        forecast.observe(&service(), ahead, time::Millis::new(first as u64));
    }
    forecast
}

// Load pattern: an engine with a long base time and fast prompts. Large prompts were refused, since
// the base was taken for a time by tokens.
#[test]
fn the_base_time_is_no_time_by_tokens() {
    let forecast = learned(62.0, 8.0);
    let first = forecast.estimate_ttft_ms(&service(), 54_000.0);
    assert!((450.0..560.0).contains(&first), "{first}");
}

fn check_admission(priority: u8, ahead: f64, is_admitted: bool) {
    let forecast = learned(13.0, 18.0);
    let query = admission::AdmissionQuery {
        service: &service(),
        priority: quantity::PriorityLevel::new(priority),
        ttft_target: time::Millis::new(1_000),
        deadline_left: time::Millis::new(12_000),
        tokens_ahead: ahead,
        draw: 0.5,
    };
    assert_eq!(forecast.admit(&query).is_ok(), is_admitted);
}

cases! {
    // Load pattern: a queue of 60,000 prompt tokens, a second of work. The less urgent go first.
    urgent_waits_for_a_second => check_admission(0, 60_000.0, true);
    next_waits_for_a_second => check_admission(1, 60_000.0, true);
    least_urgent_does_not => check_admission(2, 60_000.0, false);
    next_does_not_wait_for_two => check_admission(1, 110_000.0, false);
    urgent_does_not_wait_for_three => check_admission(0, 170_000.0, false);
    an_idle_engine_takes_all => check_admission(9, 2_000.0, true);
}

#[test]
fn returns_are_spread_and_bounded() {
    let waits: Vec<u64> =
        (0..10).map(|step| admission::retry_after(1_000.0, f64::from(step) / 10.0).get()).collect();
    assert!(waits.windows(2).all(|pair| pair[0] < pair[1]), "{waits:?}");
    assert_eq!(admission::retry_after(1e12, 1.0).get(), 4_000);
    assert_eq!(admission::retry_after(0.0, 0.0).get(), 100);
}

// Load pattern: an overload of some seconds, in which prompts wait behind others that this daemon does not
// know of yet. The engines are as fast as before, and capacity is planned by that.
#[test]
fn an_overload_does_not_slow_the_engines_down() {
    let service = service();
    let mut forecast = learned(20.0, 18.0);
    let before = forecast.prefill_ms_per_ktoken(&service);
    for number in 0..150 {
        let ahead = f64::from(number % 20) * 1_000.0;
        let first = 20.0 + ahead * 150.0 / 1_000.0;
        forecast.observe(&service, ahead, time::Millis::new(first as u64));
    }
    let after = forecast.prefill_ms_per_ktoken(&service);
    assert!(after <= before * 2.0, "{before:.0} ms for a thousand tokens, then {after:.0}");
}
