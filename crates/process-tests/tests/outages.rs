//! Outages of the table that last longer than several leases.

use std::thread;
use std::time::Duration;

use async_std::task;
use samphiremoor_base::outcome;
use samphiremoor_platform::faults;
use samphiremoor_process_tests::audit;
use samphiremoor_process_tests::caller;
use samphiremoor_process_tests::cluster;
use samphiremoor_process_tests::control;
use samphiremoor_process_tests::operator;
use samphiremoor_process_tests::plan;
use samphiremoor_process_tests::records;
use samphiremoor_process_tests::wait;
use samphiremoor_process_tests::workload;
use samphiremoor_standin_platform::control as platform_control;

const PROMPT: &str = "explain the return of a rented cross trainer";

const TOKENS: u64 = 60;

/// Six times the lease time of the harness.
const OUTAGE: Duration = Duration::from_secs(12);

/// Time after which all daemons have detected the outage.
const DETECTION_TIME: Duration = Duration::from_secs(2);

/// Retention time of completed calls in the test that waits for its end, in milliseconds.
const RETENTION_MS: u64 = 8_000;

const COMPLETE: caller::ReportedOutcome =
    caller::ReportedOutcome::Reported(outcome::CallOutcome::Complete);

const NOT_RUN: caller::ReportedOutcome =
    caller::ReportedOutcome::Reported(outcome::CallOutcome::NotRun);

const UNKNOWN: caller::ReportedOutcome =
    caller::ReportedOutcome::Reported(outcome::CallOutcome::Unknown);

fn set_outage(cluster: &cluster::TestCluster, unavailable: bool) {
    let table_faults = faults::StoreFaults { unavailable, ..Default::default() };
    let faults = platform_control::PlatformFaults {
        table: table_faults,
        cloud: table_faults,
        ..Default::default()
    };
    task::block_on(control::set_platform_faults(cluster.platform_address, &faults));
}

fn book(cluster: &cluster::TestCluster, entry: usize, key: &str) -> caller::PlainResponse {
    let caller = caller::TestCaller::new();
    task::block_on(caller.call(cluster.entry(entry), records::BOOKING, Some(key), "slot"))
}

fn book_until_complete(cluster: &cluster::TestCluster, entry: usize, key: &str) {
    wait::until("a booking is complete", || book(cluster, entry, key).outcome == COMPLETE);
}

fn chat(cluster: &cluster::TestCluster, entry: usize) {
    let caller = caller::TestCaller::new();
    let response = task::block_on(caller.chat(cluster.entry(entry), PROMPT, TOKENS));
    response.assert_complete(PROMPT, TOKENS);
}

#[test]
fn requests_and_daemon_starts_succeed_in_a_long_outage() {
    let mut cluster = cluster::TestCluster::start(plan::ClusterPlan {
        entries: 2,
        shards: 2,
        ..plan::ClusterPlan::default()
    });
    (0..4).for_each(|entry| book_until_complete(&cluster, entry, &format!("warm-up-{entry}")));
    let callers = workload::WorkloadRunner::start(&workload::WorkloadPlan {
        // The daemon that is restarted in the outage has no callers.
        entries: (0..3).map(|index| cluster.entry(index)).collect(),
        callers: 6,
        pause: Duration::from_millis(50),
        chats_per_mille: 300,
        chat_tokens: TOKENS,
        seed: samphiremoor_base::testing::seed(),
    });
    set_outage(&cluster, true);
    let outage_start = std::time::Instant::now();
    thread::sleep(DETECTION_TIME);
    let operator = cluster.operator().with_wait(DETECTION_TIME);
    let text = records::text(&plan::ClusterPlan::default().zones);
    let changed = text.replacen("first_ms = 2000", "first_ms = 2100", 1);
    let file = operator.write_file("changed.toml", &changed);
    let applied = operator.run(&["apply", &file]);
    let refusals = [operator::EXIT_REFUSED, operator::EXIT_UNCONFIRMED];
    assert!(refusals.contains(&applied.code), "{applied:?}");
    cluster.restart_entry_vm(3);
    chat(&cluster, 3);
    chat(&cluster, 0);
    thread::sleep(OUTAGE.saturating_sub(outage_start.elapsed()));
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

/// Claims that exist only in the copy set are lost with it. The shard then stays closed for the
/// retention time, so that no key runs again, and opens afterwards.
#[test]
fn shard_that_lost_its_copies_stays_closed_for_the_retention_time() {
    let mut cluster = cluster::TestCluster::start(plan::ClusterPlan {
        entries: 2,
        engines: 0,
        shards: 1,
        retention_ms: Some(RETENTION_MS),
        ..plan::ClusterPlan::default()
    });
    (0..4).for_each(|entry| book_until_complete(&cluster, entry, &format!("warm-up-{entry}")));
    let mut members = Vec::new();
    wait::until("the shard has two copies", || {
        members = cluster.shard_members(0);
        members.len() == 3
    });
    let survivor =
        (0..4).find(|index| !members.contains(index)).expect("one of four daemons is not a member");
    set_outage(&cluster, true);
    thread::sleep(DETECTION_TIME);
    let keys: Vec<_> = (0..8).map(|number| format!("outage-{number}")).collect();
    let mut ledger = audit::OutcomeLedger::default();
    for key in &keys {
        let response = book(&cluster, survivor, key);
        assert_eq!(response.outcome, COMPLETE, "the copy set stores the claims: {response:?}");
        ledger.record(key, &response);
    }
    members.iter().for_each(|index| cluster.entries[*index].entry.kill());
    let after_loss = book(&cluster, survivor, "lost");
    assert!([NOT_RUN, UNKNOWN].contains(&after_loss.outcome), "{after_loss:?}");
    ledger.record("lost", &after_loss);
    set_outage(&cluster, false);
    let recovered_at = std::time::Instant::now();
    let repeated = book(&cluster, survivor, &keys[0]);
    assert!([NOT_RUN, UNKNOWN].contains(&repeated.outcome), "{repeated:?}");
    ledger.record(&keys[0], &repeated);
    assert!(keys.iter().all(|key| cluster.runs_of(key) == 1), "no key ran again");
    // A member that doesn't respond may still be running. Only after its restart does it report
    // that its copies are lost.
    members.iter().for_each(|index| cluster.restart_entry_vm(*index));
    book_until_complete(&cluster, survivor, "after");
    let closed_time = recovered_at.elapsed();
    assert!(closed_time >= Duration::from_millis(RETENTION_MS), "opened after {closed_time:?}");
    let violations = ledger.violations(&cluster.service_counts());
    assert!(violations.is_empty(), "{violations:?}");
}
