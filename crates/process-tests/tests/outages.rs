//! The table is down for longer than several leases.

use std::thread;
use std::time::Duration;

use async_std::task;
use samphiremoor_base::outcome;
use samphiremoor_platform::faults;
use samphiremoor_process_tests::audit;
use samphiremoor_process_tests::caller;
use samphiremoor_process_tests::cluster;
use samphiremoor_process_tests::control;
use samphiremoor_process_tests::fleet;
use samphiremoor_process_tests::operator;
use samphiremoor_process_tests::plan;
use samphiremoor_process_tests::records;
use samphiremoor_process_tests::wait;
use samphiremoor_standin_platform::control as platform_control;

const PROMPT: &str = "explain the return of a rented cross trainer";

const TOKENS: u64 = 60;

/// Six times the lease time of the harness.
const OUTAGE: Duration = Duration::from_secs(12);

/// Time after which daemons have found that the table does not answer.
const NOTICED: Duration = Duration::from_secs(2);

/// Milliseconds for which ended calls are remembered where a test waits for the end of it.
const RETENTION_MS: u64 = 8_000;

const COMPLETE: caller::ToldOutcome = caller::ToldOutcome::Told(outcome::CallOutcome::Complete);

const NOT_RUN: caller::ToldOutcome = caller::ToldOutcome::Told(outcome::CallOutcome::NotRun);

const UNKNOWN: caller::ToldOutcome = caller::ToldOutcome::Told(outcome::CallOutcome::Unknown);

fn set_outage(cluster: &cluster::TestCluster, unavailable: bool) {
    let down = faults::StoreFaults { unavailable, ..Default::default() };
    let faults =
        platform_control::PlatformFaults { table: down, cloud: down, ..Default::default() };
    task::block_on(control::set_platform_faults(cluster.platform_address, &faults));
}

fn book(cluster: &cluster::TestCluster, entry: usize, key: &str) -> caller::PlainAnswer {
    let caller = caller::TestCaller::new();
    task::block_on(caller.call(cluster.entry(entry), records::BOOKING, Some(key), "slot"))
}

fn book_until_complete(cluster: &cluster::TestCluster, entry: usize, key: &str) {
    wait::until("a booking is complete", || book(cluster, entry, key).told == COMPLETE);
}

fn chat(cluster: &cluster::TestCluster, entry: usize) {
    let caller = caller::TestCaller::new();
    let answer = task::block_on(caller.chat(cluster.entry(entry), PROMPT, TOKENS));
    answer.assert_whole(PROMPT, TOKENS);
}

#[test]
fn long_outage_stops_no_request_and_no_start() {
    let mut cluster = cluster::TestCluster::start(plan::ClusterPlan {
        entries: 2,
        shards: 2,
        ..plan::ClusterPlan::default()
    });
    (0..4).for_each(|entry| book_until_complete(&cluster, entry, &format!("warm-up-{entry}")));
    let callers = fleet::CallerFleet::start(&fleet::FleetPlan {
        // The daemon that is replaced in the outage has no callers.
        entries: (0..3).map(|index| cluster.entry(index)).collect(),
        callers: 6,
        pause: Duration::from_millis(50),
        chats_per_mille: 300,
        chat_tokens: TOKENS,
        seed: samphiremoor_base::testing::seed(),
    });
    set_outage(&cluster, true);
    let began = std::time::Instant::now();
    thread::sleep(NOTICED);
    let operator = cluster.operator().with_wait(NOTICED);
    let text = records::text(&plan::ClusterPlan::default().zones);
    let changed = text.replacen("first_ms = 2000", "first_ms = 2100", 1);
    let file = operator.write_file("changed.toml", &changed);
    let applied = operator.run(&["apply", &file]);
    let refusals = [operator::REFUSED, operator::NOT_KNOWN];
    assert!(refusals.contains(&applied.code), "{applied:?}");
    cluster.restart_entry_vm(3);
    chat(&cluster, 3);
    chat(&cluster, 0);
    thread::sleep(OUTAGE.saturating_sub(began.elapsed()));
    for entry in 0..cluster.entries.len() {
        let revision = cluster.entry_metric(entry, "samphiremoor_revision_in_force");
        assert_eq!(revision, Some(1), "the change did not come into force in the outage");
    }
    set_outage(&cluster, false);
    operator.apply_until_in_force(&file);
    (0..4).for_each(|entry| book_until_complete(&cluster, entry, &format!("after-{entry}")));
    (0..4).for_each(|entry| chat(&cluster, entry));
    let report = callers.finish();
    assert!(report.stream_violations.is_empty(), "{:?}", report.stream_violations);
    let violations = report.ledger.violations(&cluster.service_counts());
    assert!(violations.is_empty(), "{violations:?} {:?}", report.outcomes);
    assert!(report.count("booking complete") > 0, "{:?}", report.outcomes);
}

/// Claims that only the copy set has are lost with it. The shard stays closed for the retention
/// time, in which no key runs again, and opens then.
#[test]
fn shard_that_lost_its_copies_stays_closed_for_the_retention() {
    let mut cluster = cluster::TestCluster::start(plan::ClusterPlan {
        entries: 2,
        engines: 0,
        shards: 1,
        retention_ms: Some(RETENTION_MS),
        ..plan::ClusterPlan::default()
    });
    (0..4).for_each(|entry| book_until_complete(&cluster, entry, &format!("warm-up-{entry}")));
    let mut group = Vec::new();
    wait::until("the shard has two copies", || {
        group = cluster.shard_group(0);
        group.len() == 3
    });
    let left = (0..4).find(|index| !group.contains(index)).expect("one of four is left");
    set_outage(&cluster, true);
    thread::sleep(NOTICED);
    let keys: Vec<_> = (0..8).map(|number| format!("outage-{number}")).collect();
    let mut ledger = audit::ToldLedger::default();
    for key in &keys {
        let answer = book(&cluster, left, key);
        assert_eq!(answer.told, COMPLETE, "the copy set keeps the claims: {answer:?}");
        ledger.note(key, &answer);
    }
    group.iter().for_each(|index| cluster.entries[*index].entry.kill());
    let lost = book(&cluster, left, "lost");
    assert!([NOT_RUN, UNKNOWN].contains(&lost.told), "{lost:?}");
    ledger.note("lost", &lost);
    set_outage(&cluster, false);
    let back = std::time::Instant::now();
    let again = book(&cluster, left, &keys[0]);
    assert!([NOT_RUN, UNKNOWN].contains(&again.told), "{again:?}");
    ledger.note(&keys[0], &again);
    assert!(keys.iter().all(|key| cluster.runs_of(key) == 1), "no key has run again");
    // A member that does not answer may live; in its next life it says that its copies are lost.
    group.iter().for_each(|index| cluster.restart_entry_vm(*index));
    book_until_complete(&cluster, left, "after");
    let closed = back.elapsed();
    assert!(closed >= Duration::from_millis(RETENTION_MS), "opened after {closed:?}");
    let violations = ledger.violations(&cluster.service_counts());
    assert!(violations.is_empty(), "{violations:?}");
}
