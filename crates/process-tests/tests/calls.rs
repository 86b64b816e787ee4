//! Calls of plain services that are in progress on an entry VM that is reclaimed.

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

const COMPLETE: caller::ToldOutcome = caller::ToldOutcome::Told(outcome::CallOutcome::Complete);

const UNKNOWN: caller::ToldOutcome = caller::ToldOutcome::Told(outcome::CallOutcome::Unknown);

const NOTICE: Duration = Duration::from_secs(6);

/// What callers at the reclaimed VM and elsewhere were told of one booking.
struct CutCall {
    cluster: cluster::TestCluster,
    /// The first answer.
    first: caller::PlainAnswer,
    /// What attaching at another daemon gave while the VM was still there.
    attached: Option<caller::PlainAnswer>,
    /// The answer to the same key at another daemon.
    again: caller::PlainAnswer,
}

/// Books at an entry VM and reclaims it while the call is in progress.
fn reclaim_in_call(
    latency_ms: u64,
    pick_entry: impl FnOnce(&cluster::TestCluster) -> usize,
) -> CutCall {
    let mut cluster = cluster::TestCluster::start(plan::ClusterPlan {
        engines: 0,
        shards: 1,
        service_latency_ms: latency_ms,
        ..plan::ClusterPlan::default()
    });
    let victim = pick_entry(&cluster);
    let (entry, other) = (cluster.entry(victim), cluster.entry(1 - victim));
    let calling = task::spawn(async move {
        caller::TestCaller::new().call(entry, records::BOOKING, Some("in-call"), "slot").await
    });
    wait::until("the call is in progress", || {
        let in_progress = cluster.entry_metric(victim, "samphiremoor_requests_in_progress");
        in_progress.is_some_and(|count| count > 0)
    });
    let vm = cluster.entries[victim].place.name.parse().expect("the name is an identifier");
    let scope = fleet::ReclaimScope::Vm(vm);
    task::block_on(control::reclaim(cluster.platform_address, scope, NOTICE.as_secs()));
    let announced = Instant::now();
    let first = task::block_on(calling);
    let caller = caller::TestCaller::new();
    let attached =
        first.request_id.clone().map(|id| task::block_on(caller.attach_plain(other, &id)));
    thread::sleep(NOTICE.saturating_sub(announced.elapsed()));
    cluster.entries[victim].entry.kill();
    let mut again = None;
    wait::until("the key is answered elsewhere", || {
        let calling = caller.call(other, records::BOOKING, Some("in-call"), "slot");
        let answer = task::block_on(calling);
        let is_settled = [COMPLETE, UNKNOWN].contains(&answer.told);
        again = Some(answer);
        is_settled
    });
    CutCall { cluster, first, attached, again: again.expect("the key was sent") }
}

fn holder(cluster: &cluster::TestCluster) -> usize {
    cluster.shard_holder(&[0, 1])
}

fn not_holder(cluster: &cluster::TestCluster) -> usize {
    1 - holder(cluster)
}

/// A call that ends within the notice is answered, and every later answer is the same.
fn check_short_call(pick_entry: impl FnOnce(&cluster::TestCluster) -> usize) {
    let cut = reclaim_in_call(1_500, pick_entry);
    assert_eq!(cut.first.told, COMPLETE, "{:?}", cut.first);
    assert!(cut.first.receipt().is_some(), "{:?}", cut.first);
    assert_eq!(cut.again.receipt(), cut.first.receipt(), "{:?}", cut.again);
    assert_eq!(cut.cluster.runs_of("in-call"), 1);
}

/// A call that outlasts the notice is told `unknown`, also where its caller attaches again; the key
/// never runs again.
fn check_long_call(pick_entry: impl FnOnce(&cluster::TestCluster) -> usize) {
    let cut = reclaim_in_call(9_000, pick_entry);
    assert_eq!(cut.first.told, UNKNOWN, "{:?}", cut.first);
    let attached = cut.attached.expect("the answer names its request");
    assert_eq!(attached.told, UNKNOWN, "{attached:?}");
    assert!(cut.cluster.runs_of("in-call") <= 1, "{:?}", cut.again);
}

#[test]
fn call_within_the_notice_is_answered_at_the_holder() {
    check_short_call(holder);
}

#[test]
fn call_within_the_notice_is_answered_at_another_daemon() {
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

/// A paused VM takes connections and never answers on them. A call that may be repeated must reach
/// the other service before its deadline.
#[test]
fn repeatable_call_leaves_a_paused_service() {
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
    let answers: Vec<_> = calls.into_iter().map(task::block_on).collect();
    assert!(answers.iter().all(|answer| answer.status == 200), "{answers:?}");
}
