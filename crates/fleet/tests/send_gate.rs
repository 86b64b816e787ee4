//! Whether a daemon may send to a replica: pauses, departures, limits, backoff and silence together.

mod entries;

use proptest::prelude::*;
use rand::Rng as _;
use rand::SeedableRng as _;
use samphiremoor_base::quantity;
use samphiremoor_base::rate;
use samphiremoor_base::testing;
use samphiremoor_base::time;
use samphiremoor_fleet::clock_instant;
use samphiremoor_fleet::limit;
use samphiremoor_fleet::replica;
use samphiremoor_fleet::selection::ReplicaGate as _;
use samphiremoor_fleet::send_gate;
use samphiremoor_fleet::send_state;

fn at(ms: u64) -> time::MonotonicTime {
    time::MonotonicTime::new(ms)
}

fn instant(ms: u64) -> clock_instant::ClockInstant {
    clock_instant::ClockInstant { now: at(ms), unix_ms: 1_700_000_000_000 + ms }
}

fn table() -> replica::ReplicaTable {
    let mut table = replica::ReplicaTable::default();
    table.upsert(entries::entry(0, 1));
    table
}

fn known(table: &mut replica::ReplicaTable) -> &mut replica::KnownReplica {
    table.get_mut(&entries::replica_id(0)).expect("the replica is known")
}

fn verdict(table: &replica::ReplicaTable, now_ms: u64) -> send_state::SendVerdict {
    let limits = limit::LimitTable::new(at(0));
    let replica = table.get(&entries::replica_id(0)).expect("the replica is known");
    send_gate::SendGate::new(&limits, instant(now_ms)).verdict(replica)
}

fn chosen_verdict(table: &replica::ReplicaTable, now_ms: u64) -> send_state::SendVerdict {
    let limits = limit::LimitTable::new(at(0));
    let replica = table.get(&entries::replica_id(0)).expect("the replica is known");
    send_gate::SendGate::new(&limits, instant(now_ms)).chosen_verdict(replica)
}

fn held(reason: send_state::HoldReason, until_ms: u64) -> send_state::SendVerdict {
    send_state::SendVerdict::Held { reason, until: Some(at(until_ms)) }
}

const ALLOWED: send_state::SendVerdict = send_state::SendVerdict::Allowed;

/// Checks how a text is read as the length of a pause, in milliseconds.
fn check_length(text: &str, expected: Result<Option<u64>, send_state::PauseError>) {
    let length: Result<send_state::PauseLength, _> = text.parse();
    let millis = length.map(|length| length.nonzero().map(time::Millis::get));
    assert_eq!(millis, expected);
}

fn pause_ends_after_its_time_and_its_jitter() {
    let mut table = table();
    assert!(known(&mut table).on_pause(time::Millis::new(4_000), 0.5, at(1_000)));
    assert_eq!(verdict(&table, 1_000), held(send_state::HoldReason::Paused, 5_500));
    assert_eq!(chosen_verdict(&table, 5_499), held(send_state::HoldReason::Paused, 5_500));
    assert_eq!(verdict(&table, 5_500), ALLOWED);
}

fn shorter_pause_does_not_end_a_longer_one() {
    let mut table = table();
    known(&mut table).on_pause(time::Millis::new(4_000), 0.0, at(1_000));
    assert!(!known(&mut table).on_pause(time::Millis::new(100), 0.0, at(1_100)));
    assert_eq!(verdict(&table, 4_999), held(send_state::HoldReason::Paused, 5_000));
}

fn success_does_not_end_a_pause() {
    let mut table = table();
    known(&mut table).on_pause(time::Millis::new(4_000), 0.0, at(1_000));
    known(&mut table).on_answer(at(900));
    known(&mut table).on_response(false, at(1_500));
    known(&mut table).on_silent(at(1_600));
    known(&mut table).on_data(at(1_700));
    assert_eq!(verdict(&table, 1_800), held(send_state::HoldReason::Paused, 5_000));
}

fn one_request_follows_a_pause() {
    let mut table = table();
    known(&mut table).on_pause(time::Millis::new(4_000), 0.0, at(1_000));
    known(&mut table).on_sent(at(5_000));
    assert_eq!(verdict(&table, 5_001), held(send_state::HoldReason::Paused, 6_000));
    assert_eq!(chosen_verdict(&table, 5_001), ALLOWED, "the request that was counted is sent");
    known(&mut table).on_answer(at(4_999));
    assert_ne!(verdict(&table, 5_100), ALLOWED, "an earlier request tells nothing");
    known(&mut table).on_answer(at(5_000));
    assert_eq!(verdict(&table, 5_100), ALLOWED);
}

fn trial_without_an_answer_is_repeated() {
    let mut table = table();
    known(&mut table).on_pause(time::Millis::new(4_000), 0.0, at(1_000));
    known(&mut table).on_sent(at(5_000));
    assert_eq!(verdict(&table, 6_000), ALLOWED);
}

fn new_start_ends_a_pause_and_a_departure() {
    let mut table = table();
    known(&mut table).on_pause(time::Millis::new(4_000), 0.0, at(1_000));
    let entry = entries::entry(0, 1);
    table.on_response_departure(&entry.id, entry.incarnation, entry.address);
    assert_eq!(
        verdict(&table, 1_000),
        send_state::SendVerdict::Held { reason: send_state::HoldReason::Leaving, until: None }
    );
    table.upsert(entries::entry(0, 2));
    assert_eq!(verdict(&table, 1_000), ALLOWED);
}

fn departure_of_an_earlier_start_does_not_count() {
    let mut table = table();
    table.upsert(entries::entry(0, 2));
    let entry = entries::entry(0, 1);
    let change = table.on_response_departure(&entry.id, entry.incarnation, entry.address);
    assert_eq!(change, None);
    assert_eq!(table.on_peer_departure(&entry.id, quantity::Incarnation::new(1)), None);
    assert_eq!(verdict(&table, 1_000), ALLOWED);
}

fn longest_reason_counts_and_silence_least() {
    let mut table = table();
    known(&mut table).on_silent(at(1_000));
    known(&mut table).on_unreachable(at(1_000));
    assert_eq!(verdict(&table, 1_000), held(send_state::HoldReason::Unreachable, 1_250));
    known(&mut table).on_pause(time::Millis::new(400), 0.0, at(1_000));
    assert_eq!(verdict(&table, 1_000), held(send_state::HoldReason::Paused, 1_400));
    assert_eq!(verdict(&table, 1_500), held(send_state::HoldReason::Silent, 2_000));
    assert_eq!(verdict(&table, 1_500).firm_reason(), None);
    let mut limits = limit::LimitTable::new(at(0));
    let id = entries::replica_id(0);
    limits.observe_response(&id, Some(rate::RequestRate::from_millis(100)), at(0), instant(0));
    while limits.wait(&id, instant(90_000)).get() == 0 {
        limits.record_send(&id, instant(90_000));
    }
    let replica = table.get(&id).expect("the replica is known");
    let limited = send_gate::SendGate::new(&limits, instant(90_000)).verdict(replica);
    assert_eq!(limited.firm_reason(), Some(send_state::HoldReason::Limited));
}

/// Arrivals of all daemons at a replica that asked each of them for 5 s at the same time, while callers
/// press.
fn check_return(daemons: usize) {
    const PAUSE_MS: u64 = 5_000;
    const STEP_MS: u64 = 5;
    const ANSWER_MS: u64 = 40;
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(testing::seed());
    let mut tables: Vec<_> = (0..daemons).map(|_| table()).collect();
    let asked_ms: Vec<u64> = vec![0; daemons];
    let mut answers: Vec<Vec<u64>> = vec![Vec::new(); daemons];
    let mut first_ms: Vec<Option<u64>> = vec![None; daemons];
    let mut is_returned = vec![None; daemons];
    for now_ms in (0..12_000).step_by(STEP_MS as usize) {
        for daemon in 0..daemons {
            if asked_ms[daemon] / STEP_MS * STEP_MS == now_ms {
                let draw = random.random();
                known(&mut tables[daemon]).on_pause(
                    time::Millis::new(PAUSE_MS),
                    draw,
                    at(asked_ms[daemon]),
                );
            }
            let due: Vec<u64> =
                answers[daemon].extract_if(.., |sent_ms| *sent_ms + ANSWER_MS <= now_ms).collect();
            for sent_ms in due {
                known(&mut tables[daemon]).on_answer(at(sent_ms));
                is_returned[daemon].get_or_insert(now_ms);
            }
            // Two callers of each daemon press in each step.
            for _ in 0..2 {
                if now_ms < asked_ms[daemon] || verdict(&tables[daemon], now_ms) != ALLOWED {
                    continue;
                }
                assert!(now_ms >= asked_ms[daemon] + PAUSE_MS, "before the end");
                known(&mut tables[daemon]).on_sent(at(now_ms));
                first_ms[daemon].get_or_insert(now_ms);
                if is_returned[daemon].is_none() {
                    answers[daemon].push(now_ms);
                    assert_eq!(answers[daemon].len(), 1, "one request at first");
                }
            }
        }
    }
    let first: Vec<u64> = first_ms.into_iter().map(|at| at.expect("each returns")).collect();
    let most = first
        .iter()
        .map(|start| first.iter().filter(|at| (*start..*start + 100).contains(*at)).count());
    let most = most.max().unwrap_or(0);
    println!("{daemons} daemons: at most {most} first requests in 100 ms");
    // A small replica serves six requests at once.
    assert!(most <= 6.max(daemons / 4), "{most} of {daemons} daemons return together");
    let returned = is_returned.iter().zip(&asked_ms);
    let delays = returned.map(|(at, asked)| at.expect("each returns") - asked - PAUSE_MS);
    let longest = delays.max().unwrap_or(0);
    println!("{daemons} daemons: full share at most {longest} ms after the end");
    assert!(longest <= 1_100, "{longest} ms");
}

samphiremoor_base::cases! {
    whole_seconds => check_length("5", Ok(Some(5_000)));
    fraction_is_rounded_up => check_length(" 0.0004 ", Ok(Some(1)));
    zero_is_no_pause => check_length("0", Ok(None));
    negative_zero_is_no_pause => check_length("-0", Ok(None));
    hours_are_bounded => check_length("86400", Ok(Some(3_600_000)));
    number_beyond_all_bounds_is_bounded => check_length("1e300", Ok(Some(3_600_000)));
    negative_number_is_no_time => check_length("-1", Err(send_state::PauseError::OutOfRange));
    infinity_is_no_time => check_length("inf", Err(send_state::PauseError::OutOfRange));
    not_a_number_is_no_time => check_length("NaN", Err(send_state::PauseError::NotDecimal));
    date_is_no_time =>
        check_length("Fri, 31 Dec 2027 23:59:59 GMT", Err(send_state::PauseError::NotDecimal));
    empty_text_is_no_time => check_length("", Err(send_state::PauseError::NotDecimal));
    pause_ends_late => pause_ends_after_its_time_and_its_jitter();
    pause_is_shortened => shorter_pause_does_not_end_a_longer_one();
    success_ends_a_pause => success_does_not_end_a_pause();
    requests_burst_after_a_pause => one_request_follows_a_pause();
    lost_trial_holds_for_ever => trial_without_an_answer_is_repeated();
    new_start_is_held => new_start_ends_a_pause_and_a_departure();
    departure_hits_a_later_start => departure_of_an_earlier_start_does_not_count();
    reasons_overlap => longest_reason_counts_and_silence_least();
    one_daemon_returns => check_return(1);
    seven_daemons_return_together => check_return(7);
    eighty_four_daemons_return_together => check_return(84);
    four_hundred_daemons_return_together => check_return(400);
}

/// What may happen to a replica.
#[derive(Clone, Copy, Debug)]
enum Observation {
    Pause(u64),
    Sent,
    Answer(u64),
    Success,
    Failure,
    Silent,
    Data,
    Unreachable,
    Heartbeat,
}

fn observation() -> impl Strategy<Value = Observation> {
    prop_oneof![
        (1..4_000_u64).prop_map(Observation::Pause),
        Just(Observation::Sent),
        (0..3_000_u64).prop_map(Observation::Answer),
        Just(Observation::Success),
        Just(Observation::Failure),
        Just(Observation::Silent),
        Just(Observation::Data),
        Just(Observation::Unreachable),
        Just(Observation::Heartbeat),
    ]
}

proptest! {
    #![proptest_config(samphiremoor_testkit::config(256))]

    #[test]
    fn nothing_is_sent_before_the_end_of_a_pause(
        steps in prop::collection::vec((observation(), 0..700_u64, 0.0..1.0_f64), 1..60),
    ) {
        let mut table = table();
        let (mut now_ms, mut paused_until_ms) = (10_000, 0);
        for (observation, elapsed_ms, draw) in steps {
            now_ms += elapsed_ms;
            let now = at(now_ms);
            match observation {
                Observation::Pause(length_ms) => {
                    known(&mut table).on_pause(time::Millis::new(length_ms), draw, now);
                    paused_until_ms = paused_until_ms.max(now_ms + length_ms);
                }
                // Only what was chosen before is sent while the replica may get nothing.
                Observation::Sent if verdict(&table, now_ms) == ALLOWED => {
                    known(&mut table).on_sent(now);
                }
                Observation::Sent => {}
                Observation::Answer(age_ms) => known(&mut table).on_answer(at(now_ms - age_ms)),
                Observation::Success => known(&mut table).on_response(false, now),
                Observation::Failure => known(&mut table).on_response(true, now),
                Observation::Silent => known(&mut table).on_silent(now),
                Observation::Data => known(&mut table).on_data(now),
                Observation::Unreachable => known(&mut table).on_unreachable(now),
                Observation::Heartbeat => {
                    table.upsert(entries::entry(0, 1));
                }
            }
            let is_paused = now_ms < paused_until_ms;
            if is_paused {
                prop_assert!(verdict(&table, now_ms).firm_reason().is_some());
                prop_assert!(chosen_verdict(&table, now_ms) != ALLOWED);
            } else {
                prop_assert_eq!(chosen_verdict(&table, now_ms + 1_001), ALLOWED);
            }
        }
    }
}
