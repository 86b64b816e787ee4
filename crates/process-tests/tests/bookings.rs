//! Calls that must not be repeated, sent through the real daemons during failures.

use std::thread;
use std::time::Duration;

use async_std::task;
use samphiremoor_base::outcome;
use samphiremoor_platform::faults;
use samphiremoor_process_tests::caller;
use samphiremoor_process_tests::cluster;
use samphiremoor_process_tests::control;
use samphiremoor_process_tests::plan;
use samphiremoor_process_tests::records;
use samphiremoor_process_tests::wait;
use samphiremoor_process_tests::workload;
use samphiremoor_standin::fault;
use samphiremoor_standin_platform::control as platform_control;

const COMPLETE: caller::ReportedOutcome =
    caller::ReportedOutcome::Reported(outcome::CallOutcome::Complete);

const UNKNOWN: caller::ReportedOutcome =
    caller::ReportedOutcome::Reported(outcome::CallOutcome::Unknown);

/// Starts four entry VMs in two zones, with one shard and no engines.
fn start() -> cluster::TestCluster {
    cluster::TestCluster::start(plan::ClusterPlan {
        entries: 2,
        engines: 0,
        shards: 1,
        ..plan::ClusterPlan::default()
    })
}

/// Repeats a booking at an entry daemon until it is complete.
fn book_until_complete(cluster: &cluster::TestCluster, entry: usize, key: &str) {
    let caller = caller::TestCaller::new();
    wait::until("a booking is complete", || {
        let calling = caller.call(cluster.entry(entry), records::BOOKING, Some(key), "slot");
        task::block_on(calling).outcome == COMPLETE
    });
}

fn all_entries(cluster: &cluster::TestCluster) -> Vec<usize> {
    (0..cluster.entries.len()).collect()
}

#[test]
fn concurrent_sends_of_one_key_run_once() {
    let cluster = start();
    book_until_complete(&cluster, 0, "warm-up");
    let sends: Vec<_> = (0..12)
        .map(|number| {
            let entry = cluster.entry(number % cluster.entries.len());
            task::spawn(async move {
                caller::TestCaller::new()
                    .call(entry, records::BOOKING, Some("racing"), "slot")
                    .await
            })
        })
        .collect();
    let responses: Vec<_> = sends.into_iter().map(task::block_on).collect();
    let receipts: Vec<_> = responses.iter().map(|response| response.receipt()).collect();
    assert!(responses.iter().all(|response| response.outcome == COMPLETE), "{responses:?}");
    assert!(receipts.iter().all(|receipt| *receipt == receipts[0]), "{receipts:?}");
    let runs: u64 = cluster
        .service_counts()
        .iter()
        .map(|counts| counts.keys.get("racing").map_or(0, |key| key.runs))
        .sum();
    assert_eq!(runs, 1);
}

#[test]
fn key_is_scoped_to_its_body_and_workspace() {
    let cluster = start();
    book_until_complete(&cluster, 0, "mine");
    let caller = caller::TestCaller::new();
    let entry = cluster.entry(1);
    let other_body = task::block_on(caller.call(entry, records::BOOKING, Some("mine"), "other"));
    assert_eq!(other_body.status, 422);
    let keyless = task::block_on(caller.call(entry, records::BOOKING, None, "slot"));
    assert_eq!(keyless.status, 428);
    let other_caller = caller::TestCaller { key: records::OTHER_KEY };
    let other_workspace =
        task::block_on(other_caller.call(entry, records::BOOKING, Some("mine"), "slot"));
    assert_eq!(other_workspace.outcome, COMPLETE);
    let counts = cluster.service_counts();
    let runs: u64 =
        counts.iter().filter_map(|counts| counts.keys.get("mine")).map(|key| key.runs).sum();
    assert_eq!(runs, 2, "one run for each workspace");
}

/// Runs callers that make bookings while `fail` injects a failure, and compares the reported
/// outcomes with the services' counts.
fn check_failure(
    pick_entries: impl FnOnce(&cluster::TestCluster) -> Vec<usize>,
    fail: impl FnOnce(&mut cluster::TestCluster),
) -> workload::WorkloadReport {
    let mut cluster = start();
    book_until_complete(&cluster, 0, "warm-up");
    let entries = pick_entries(&cluster);
    let callers = workload::WorkloadRunner::start(&workload::WorkloadPlan {
        entries: entries.iter().map(|index| cluster.entry(*index)).collect(),
        callers: 12,
        pause: Duration::from_millis(20),
        chats_per_mille: 0,
        chat_tokens: 0,
        seed: samphiremoor_base::testing::seed(),
    });
    thread::sleep(Duration::from_millis(500));
    fail(&mut cluster);
    book_until_complete(&cluster, entries[0], "after");
    thread::sleep(Duration::from_millis(500));
    let report = callers.finish();
    let violations = report.ledger.violations(&cluster.service_counts());
    assert!(violations.is_empty(), "{violations:?} {:?}", report.outcomes);
    assert!(report.count("booking complete") > 0, "{:?}", report.outcomes);
    report
}

/// Returns the entry daemons that hold no shard.
fn non_holders(cluster: &cluster::TestCluster) -> Vec<usize> {
    let holder = cluster.shard_holder(&all_entries(cluster));
    all_entries(cluster).into_iter().filter(|index| *index != holder).collect()
}

#[test]
fn killed_holder_runs_no_key_twice() {
    check_failure(non_holders, |cluster| {
        let holder = cluster.shard_holder(&all_entries(cluster));
        cluster.entries[holder].entry.kill();
    });
}

#[test]
fn paused_holder_resumes_after_lease_expiry() {
    check_failure(non_holders, |cluster| {
        let holder = cluster.shard_holder(&all_entries(cluster));
        cluster.entries[holder].entry.pause();
        let successors: Vec<_> =
            all_entries(cluster).into_iter().filter(|index| *index != holder).collect();
        cluster.shard_holder(&successors);
        cluster.entries[holder].entry.resume();
    });
}

#[test]
fn stopped_holder_hands_over_its_shards() {
    check_failure(non_holders, |cluster| {
        let holder = cluster.shard_holder(&all_entries(cluster));
        cluster.entries[holder].entry.terminate();
        assert!(cluster.entries[holder].entry.wait_end(), "a planned shutdown exits with code 0");
    });
}

fn set_table_faults(cluster: &cluster::TestCluster, table: faults::StoreFaults) {
    let faults = platform_control::PlatformFaults { table, ..Default::default() };
    task::block_on(control::set_platform_faults(cluster.platform_address, &faults));
}

#[test]
fn table_outage_runs_no_key_twice() {
    check_failure(all_entries, |cluster| {
        set_table_faults(cluster, faults::StoreFaults { unavailable: true, ..Default::default() });
        thread::sleep(Duration::from_secs(4));
        set_table_faults(cluster, faults::StoreFaults::default());
    });
}

#[test]
fn holder_killed_in_a_table_outage_runs_no_key_twice() {
    check_failure(non_holders, |cluster| {
        set_table_faults(cluster, faults::StoreFaults { unavailable: true, ..Default::default() });
        thread::sleep(Duration::from_secs(2));
        let holder = cluster.shard_holder(&all_entries(cluster));
        cluster.entries[holder].entry.kill();
        thread::sleep(Duration::from_secs(1));
        set_table_faults(cluster, faults::StoreFaults::default());
    });
}

#[test]
fn lost_table_responses_run_no_key_twice() {
    check_failure(all_entries, |cluster| {
        for _ in 0..10 {
            let faults =
                faults::StoreFaults { lost_answers: 2, lost_requests: 1, ..Default::default() };
            set_table_faults(cluster, faults);
            thread::sleep(Duration::from_millis(200));
        }
        set_table_faults(cluster, faults::StoreFaults::default());
    });
}

#[test]
fn slow_table_runs_no_key_twice() {
    check_failure(all_entries, |cluster| {
        let delay = samphiremoor_base::time::Millis::new(1_500);
        set_table_faults(cluster, faults::StoreFaults { delay, ..Default::default() });
        thread::sleep(Duration::from_secs(4));
        set_table_faults(cluster, faults::StoreFaults::default());
    });
}

#[test]
fn zone_cut_off_from_the_platform_runs_no_key_twice() {
    check_failure(all_entries, |cluster| {
        task::block_on(control::cut_platform(cluster.platform_address, &["north"]));
        thread::sleep(Duration::from_secs(5));
        set_table_faults(cluster, faults::StoreFaults::default());
    });
}

#[test]
fn dropped_response_is_unknown_to_every_send() {
    let cluster = start();
    book_until_complete(&cluster, 0, "warm-up");
    for service in &cluster.services {
        let faults = fault::CallFaults { drop_answers: 1, ..Default::default() };
        task::block_on(control::set_faults(service.spec.address, faults));
    }
    let caller = caller::TestCaller::new();
    let first =
        task::block_on(caller.call(cluster.entry(0), records::BOOKING, Some("dropped"), "slot"));
    assert_eq!(first.outcome, UNKNOWN);
    for entry in all_entries(&cluster) {
        let calling = caller.call(cluster.entry(entry), records::BOOKING, Some("dropped"), "slot");
        assert_eq!(task::block_on(calling).outcome, UNKNOWN);
    }
    let counts = cluster.service_counts();
    let runs: u64 =
        counts.iter().filter_map(|counts| counts.keys.get("dropped")).map(|key| key.runs).sum();
    assert_eq!(runs, 1);
}

#[test]
fn silent_services_run_no_key_twice() {
    check_failure(all_entries, |cluster| {
        for _ in 0..3 {
            for service in &cluster.services {
                let faults = fault::CallFaults { silence_open: true, ..Default::default() };
                task::block_on(control::set_faults(service.spec.address, faults));
            }
            thread::sleep(Duration::from_millis(300));
        }
    });
}

/// Makes a booking while every service refuses calls. The call must not run, and the caller must be
/// informed with the outcome `not-run`.
fn check_refused(pick_entry: impl FnOnce(&cluster::TestCluster) -> usize) {
    let cluster = start();
    book_until_complete(&cluster, 0, "warm-up");
    for service in &cluster.services {
        let faults = fault::CallFaults { refuse: true, ..Default::default() };
        task::block_on(control::set_faults(service.spec.address, faults));
    }
    let entry = cluster.entry(pick_entry(&cluster));
    let caller = caller::TestCaller::new();
    let refused = task::block_on(caller.call(entry, records::BOOKING, Some("refused"), "slot"));
    assert!(cluster.service_counts().iter().all(|counts| !counts.keys.contains_key("refused")));
    let not_run = caller::ReportedOutcome::Reported(outcome::CallOutcome::NotRun);
    assert_eq!(refused.outcome, not_run, "{refused:?}");
}

#[test]
fn refused_call_is_not_run_at_its_holder() {
    check_refused(|cluster| cluster.shard_holder(&all_entries(cluster)));
}

#[test]
fn refused_call_is_not_run_at_another_daemon() {
    check_refused(|cluster| non_holders(cluster)[0]);
}
