//! Calls of plain services that are in progress on an entry VM when it is reclaimed.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use samphiremoor_base::outcome;
use samphiremoor_platform::fleet;
use samphiremoor_process_tests::caller;
use samphiremoor_process_tests::cluster;
use samphiremoor_process_tests::control;
use samphiremoor_process_tests::plan;
use samphiremoor_process_tests::records;
use samphiremoor_process_tests::wait;

const COMPLETE: caller::ReportedOutcome =
    caller::ReportedOutcome::Reported(outcome::CallOutcome::Complete);

const UNKNOWN: caller::ReportedOutcome =
    caller::ReportedOutcome::Reported(outcome::CallOutcome::Unknown);

const NOTICE: Duration = Duration::from_secs(6);

/// Outcome of one booking, as reported by the reclaimed VM and by another daemon.
struct ReclaimedCall {
    cluster: cluster::TestCluster,
    /// Response of the reclaimed VM.
    first: caller::PlainResponse,
    /// Response to a reattachment at the other daemon while the VM was still running.
    reattached: Option<caller::PlainResponse>,
    /// Response of the other daemon to the same key after the VM was killed.
    repeated: caller::PlainResponse,
}

/// Makes a booking at an entry VM and reclaims the VM while the call is in progress.
fn reclaim_in_call(
    latency_ms: u64,
    pick_entry: impl FnOnce(&cluster::TestCluster) -> usize,
) -> ReclaimedCall {
    let mut cluster = cluster::TestCluster::start(plan::ClusterPlan {
        engines: 0,
        shards: 1,
        service_latency_ms: latency_ms,
        ..plan::ClusterPlan::default()
    });
    let reclaimed_entry = pick_entry(&cluster);
    let (entry, other) = (cluster.entry(reclaimed_entry), cluster.entry(1 - reclaimed_entry));
    let calling = task::spawn(async move {
        caller::TestCaller::new().call(entry, records::BOOKING, Some("in-call"), "slot").await
    });
    wait::until("the call is in progress", || {
        let in_progress =
            cluster.entry_metric(reclaimed_entry, "samphiremoor_requests_in_progress");
        in_progress.is_some_and(|count| count > 0)
    });
    let vm = cluster.entries[reclaimed_entry].spec.name.parse().expect("the name is an identifier");
    let scope = fleet::ReclaimScope::Vm(vm);
    task::block_on(control::reclaim(cluster.platform_address, scope, NOTICE.as_secs()));
    let announced = Instant::now();
    let first = task::block_on(calling);
    let caller = caller::TestCaller::new();
    let reattached =
        first.request_id.clone().map(|id| task::block_on(caller.reattach_plain(other, &id)));
    thread::sleep(NOTICE.saturating_sub(announced.elapsed()));
    cluster.entries[reclaimed_entry].entry.kill();
    let mut repeated = None;
    wait::until("the other daemon reports the outcome of the key", || {
        let calling = caller.call(other, records::BOOKING, Some("in-call"), "slot");
        let response = task::block_on(calling);
        let is_final = [COMPLETE, UNKNOWN].contains(&response.outcome);
        repeated = Some(response);
        is_final
    });
    ReclaimedCall { cluster, first, reattached, repeated: repeated.expect("the key was sent") }
}

fn holder(cluster: &cluster::TestCluster) -> usize {
    cluster.shard_holder(&[0, 1])
}

fn not_holder(cluster: &cluster::TestCluster) -> usize {
    1 - holder(cluster)
}

/// A call that ends within the notice period completes, and a repeat of its key returns the same
/// receipt.
fn check_short_call(pick_entry: impl FnOnce(&cluster::TestCluster) -> usize) {
    let reclaimed = reclaim_in_call(1_500, pick_entry);
    assert_eq!(reclaimed.first.outcome, COMPLETE, "{:?}", reclaimed.first);
    assert!(reclaimed.first.receipt().is_some(), "{:?}", reclaimed.first);
    assert_eq!(reclaimed.repeated.receipt(), reclaimed.first.receipt(), "{:?}", reclaimed.repeated);
    assert_eq!(reclaimed.cluster.runs_of("in-call"), 1);
}

/// A call that outlasts the notice period is reported as unknown, also to a caller that reattaches.
/// Its key never runs again.
fn check_long_call(pick_entry: impl FnOnce(&cluster::TestCluster) -> usize) {
    let reclaimed = reclaim_in_call(9_000, pick_entry);
    assert_eq!(reclaimed.first.outcome, UNKNOWN, "{:?}", reclaimed.first);
    let reattached = reclaimed.reattached.expect("the response has a request id");
    assert_eq!(reattached.outcome, UNKNOWN, "{reattached:?}");
    assert!(reclaimed.cluster.runs_of("in-call") <= 1, "{:?}", reclaimed.repeated);
}

#[test]
fn call_within_the_notice_completes_at_the_holder() {
    check_short_call(holder);
}

#[test]
fn call_within_the_notice_completes_at_another_daemon() {
    check_short_call(not_holder);
}

#[test]
fn call_beyond_the_notice_is_unknown_at_the_holder() {
    check_long_call(holder);
}

#[test]
fn call_beyond_the_notice_is_unknown_at_another_daemon() {
    check_long_call(not_holder);
}

/// A paused VM accepts connections but never responds. A repeatable call must reach the other
/// service before its deadline.
#[test]
fn repeatable_call_is_served_despite_a_paused_service() {
    let cluster = cluster::TestCluster::start(plan::ClusterPlan {
        engines: 0,
        ..plan::ClusterPlan::default()
    });
    cluster.services[0].process.pause();
    let calls: Vec<_> = (0..8)
        .map(|number| {
            let entry = cluster.entry(number % cluster.entries.len());
            task::spawn(async move {
                caller::TestCaller::new().call(entry, records::LOOKUP, None, "treadmill").await
            })
        })
        .collect();
    let responses: Vec<_> = calls.into_iter().map(task::block_on).collect();
    assert!(responses.iter().all(|response| response.status == 200), "{responses:?}");
}
