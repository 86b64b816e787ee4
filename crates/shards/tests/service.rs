//! Tests of shard services that share an in-memory table, with crashed daemons, broken links and
//! table faults.

mod harness;

use async_std::task;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_lease::row;
use samphiremoor_platform::faults;
use samphiremoor_shards::call;

/// Returns the body of a completed call's response.
fn completed_body(response: &call::KeyedResponse) -> Option<String> {
    match response {
        call::KeyedResponse::Completed { result, .. } => {
            Some(String::from_utf8(result.body.to_vec()).expect("the runner responds with UTF-8"))
        }
        _ => None,
    }
}

#[test]
fn every_daemon_returns_the_same_result_for_a_key() {
    let cluster = harness::ShardCluster::start(3);
    cluster.wait_until_held();
    for number in 0..20 {
        let key = format!("k{number}");
        let responses: Vec<_> =
            ["a", "b", "c"].iter().map(|daemon| cluster.call(daemon, &key, "body")).collect();
        let expected = Some(format!("{key} run 1"));
        assert!(
            responses.iter().all(|response| completed_body(response) == expected),
            "{responses:?}"
        );
        assert_eq!(cluster.runner.runs(&key), 1);
    }
}

#[test]
fn concurrent_submissions_share_one_run() {
    let cluster = harness::ShardCluster::start(3);
    cluster.wait_until_held();
    cluster.runner.set_plan(harness::RunPlan::CompleteAfter(time::Millis::new(700)));
    let sends: Vec<_> = (0..12)
        .map(|index| {
            let daemon = harness::daemon_name(index % 3);
            let call = harness::keyed_call(&daemon, "shared", "body");
            cluster.send(&daemon, call)
        })
        .collect();
    for send in sends {
        let response = task::block_on(send);
        assert_eq!(completed_body(&response).as_deref(), Some("shared run 1"), "{response:?}");
    }
    assert_eq!(cluster.runner.runs("shared"), 1);
}

#[test]
fn key_with_another_body_is_refused() {
    let cluster = harness::ShardCluster::start(1);
    cluster.wait_until_held();
    assert!(completed_body(&cluster.call("a", "k", "one")).is_some());
    let reason = reason::RefusalReason::IdempotencyKeyReused;
    let expected = call::KeyedResponse::NotRun { reason, retry_after: None };
    assert_eq!(cluster.call("a", "k", "two"), expected);
    assert_eq!(cluster.runner.runs("k"), 1);
}

#[test]
fn call_that_was_not_run_can_be_submitted_again() {
    let cluster = harness::ShardCluster::start(2);
    cluster.wait_until_held();
    cluster.runner.set_plan(harness::RunPlan::NotRun);
    let refused = cluster.call("a", "k", "body");
    assert!(matches!(refused, call::KeyedResponse::NotRun { .. }), "{refused:?}");
    cluster.runner.set_plan(harness::RunPlan::Complete);
    assert_eq!(completed_body(&cluster.call("b", "k", "body")).as_deref(), Some("k run 1"));
}

#[test]
fn slow_refusal_is_not_run_through_every_daemon() {
    let cluster = harness::ShardCluster::start(2);
    cluster.wait_until_held();
    // The refusal takes longer than a holder waits before it responds that the call is running.
    cluster.runner.set_plan(harness::RunPlan::NotRunAfter(time::Millis::new(1_200)));
    for daemon in ["a", "b"] {
        let response = cluster.call(daemon, "k", "body");
        assert!(matches!(response, call::KeyedResponse::NotRun { .. }), "{response:?}");
    }
}

#[test]
fn call_that_may_have_run_is_never_run_again() {
    let cluster = harness::ShardCluster::start(2);
    cluster.wait_until_held();
    cluster.runner.set_plan(harness::RunPlan::MaybeRun);
    let first_response = cluster.call("a", "k", "body");
    cluster.runner.set_plan(harness::RunPlan::Complete);
    let second_response = cluster.call("b", "k", "body");
    for response in [first_response, second_response] {
        assert!(matches!(response, call::KeyedResponse::Unknown { .. }), "{response:?}");
    }
    assert_eq!(cluster.runner.runs("k"), 1);
}

#[test]
fn successor_replays_results_and_runs_new_calls() {
    let cluster = harness::ShardCluster::start(3);
    cluster.wait_until_held();
    let keys: Vec<String> = (0..12).map(|number| format!("k{number}")).collect();
    for key in &keys {
        assert!(completed_body(&cluster.call("a", key, "body")).is_some());
    }
    // Results are written to the table after the response, so the test waits for the last flush.
    std::thread::sleep(std::time::Duration::from_millis(200));
    let killed_daemon = cluster.daemon_with_most_shards();
    cluster.kill(&killed_daemon);
    cluster.wait_until_held();
    let surviving_daemon = cluster.names().remove(0);
    for key in &keys {
        let response = cluster.call(&surviving_daemon, key, "body");
        assert_eq!(completed_body(&response), Some(format!("{key} run 1")), "{response:?}");
        assert!(
            completed_body(&cluster.call(&surviving_daemon, &format!("new-{key}"), "body"))
                .is_some()
        );
    }
    assert_eq!(cluster.runner.max_runs(), 1);
}

#[test]
fn claim_without_result_is_unknown_at_the_successor() {
    let cluster = harness::ShardCluster::start(2);
    cluster.wait_until_held();
    cluster.runner.set_plan(harness::RunPlan::CompleteAfter(time::Millis::new(60_000)));
    let keys: Vec<String> = (0..8).map(|number| format!("k{number}")).collect();
    for key in &keys {
        let call = harness::keyed_call("b", key, "body");
        cluster.send("b", call);
    }
    harness::wait_until("all calls are running", || cluster.runner.total_runs() == 8);
    cluster.kill("b");
    cluster.runner.set_plan(harness::RunPlan::Complete);
    cluster.wait_until_held();
    for key in &keys {
        let mut call = harness::keyed_call("a", key, "body");
        call.remaining = time::Millis::new(1_500);
        let response = task::block_on(cluster.service("a").submit(call));
        assert!(matches!(response, call::KeyedResponse::Unknown { .. }), "{response:?}");
    }
    assert_eq!(cluster.runner.max_runs(), 1);
}

#[test]
fn calls_continue_while_the_table_is_unavailable() {
    let cluster = harness::ShardCluster::start(3);
    cluster.wait_until_held();
    wait_for_copy_sets(&cluster);
    cluster.table.set_faults(faults::StoreFaults { unavailable: true, ..Default::default() });
    for number in 0..12 {
        let response = cluster.call("a", &format!("k{number}"), "body");
        assert_eq!(completed_body(&response), Some(format!("k{number} run 1")), "{response:?}");
    }
    let killed_daemon = cluster.daemon_with_most_shards();
    cluster.kill(&killed_daemon);
    cluster.table.set_faults(faults::StoreFaults::default());
    cluster.wait_until_held();
    let surviving_daemon = cluster.names().remove(0);
    for number in 0..12 {
        let response = cluster.call(&surviving_daemon, &format!("k{number}"), "body");
        let is_consistent = completed_body(&response).is_some()
            || matches!(response, call::KeyedResponse::Unknown { .. });
        assert!(is_consistent, "{response:?}");
    }
    assert_eq!(cluster.runner.max_runs(), 1);
}

#[test]
fn disconnected_daemon_refuses_as_not_run() {
    let cluster = harness::ShardCluster::start(2);
    cluster.wait_until_held();
    wait_for_copy_sets(&cluster);
    cluster.network.disconnect("b");
    // With 8 keys, each daemon holds the shards of some of them.
    let sends: Vec<_> = ["k0", "k1", "k2", "k3", "k4", "k5", "k6", "k7"]
        .iter()
        .map(|key| {
            let mut call = harness::keyed_call("b", key, "body");
            call.remaining = time::Millis::new(10_000);
            cluster.send("b", call)
        })
        .collect();
    for send in sends {
        let response = task::block_on(send);
        let is_refused =
            matches!(response, call::KeyedResponse::NotRun { retry_after: Some(_), .. });
        assert!(is_refused, "{response:?}");
    }
    assert_eq!(cluster.runner.total_runs(), 0);
    wait_for_held_shards(&cluster, "a", 4);
    assert_eq!(completed_body(&cluster.call("a", "k0", "body")).as_deref(), Some("k0 run 1"));
    cluster.network.reconnect("b");
    assert_eq!(completed_body(&cluster.call("b", "k0", "body")).as_deref(), Some("k0 run 1"));
}

/// Starts long-running calls through `a` on shards of both daemons, then makes the table
/// unavailable, so that no other daemon can take over the shards and find the claims.
fn start_calls_without_successor(
    cluster: &harness::ShardCluster,
) -> Vec<task::JoinHandle<call::KeyedResponse>> {
    cluster.runner.set_plan(harness::RunPlan::CompleteAfter(time::Millis::new(60_000)));
    let sends = (0..8).map(|number| {
        let mut call = harness::keyed_call("a", &format!("k{number}"), "body");
        call.remaining = time::Millis::new(6_000);
        cluster.send("a", call)
    });
    let sends = sends.collect();
    harness::wait_until("all calls are running", || cluster.runner.total_runs() == 8);
    cluster.table.set_faults(faults::StoreFaults { unavailable: true, ..Default::default() });
    sends
}

/// Checks that the outcome of every call is unknown.
fn check_unknown(sends: Vec<task::JoinHandle<call::KeyedResponse>>) {
    for send in sends {
        let response = task::block_on(send);
        assert!(matches!(response, call::KeyedResponse::Unknown { .. }), "{response:?}");
    }
}

#[test]
fn call_whose_holder_stops_responding_is_unknown() {
    let cluster = harness::ShardCluster::start(2);
    cluster.wait_until_held();
    let sends = start_calls_without_successor(&cluster);
    cluster.network.disconnect("b");
    check_unknown(sends);
}

#[test]
fn call_resent_to_another_incarnation_is_unknown() {
    let cluster = harness::ShardCluster::start(2);
    cluster.wait_until_held();
    cluster.network.lose_submit_responses("b");
    let sends = start_calls_without_successor(&cluster);
    cluster.start_daemon("b");
    cluster.network.resend_submits("b");
    check_unknown(sends);
}

#[test]
fn holder_without_the_table_runs_no_key_of_its_successors() {
    let cluster = harness::ShardCluster::start(3);
    cluster.wait_until_held();
    wait_for_copy_sets(&cluster);
    let holder = cluster.daemon_with_most_shards();
    cluster.network.disconnect_from_table(&holder);
    harness::wait_until("the others hold every shard", || {
        let others = cluster.names().into_iter().filter(|name| *name != holder);
        others.map(|name| cluster.service(&name).coverage().held_locally).sum::<usize>() == 4
    });
    let sends: Vec<_> = (0..8)
        .flat_map(|number| cluster.names().into_iter().map(move |daemon| (daemon, number)))
        .map(|(daemon, number)| {
            let call = harness::keyed_call(&daemon, &format!("k{number}"), "body");
            cluster.send(&daemon, call)
        })
        .collect();
    let responses: Vec<_> = sends.into_iter().map(task::block_on).collect();
    assert_eq!(cluster.runner.max_runs(), 1, "{responses:?}");
    assert_eq!(cluster.runner.total_runs(), 8, "{responses:?}");
}

#[test]
fn delayed_write_of_an_earlier_holder_runs_nothing() {
    let cluster = harness::ShardCluster::start(3);
    cluster.wait_until_held();
    wait_for_copy_sets(&cluster);
    let holder = cluster.daemon_with_most_shards();
    let keys: Vec<String> = (0..8).map(|number| format!("k{number}")).collect();
    cluster.network.delay_writes(&holder);
    let earlier_sends: Vec<_> = keys
        .iter()
        .map(|key| {
            let call = harness::keyed_call(&holder, key, "body");
            cluster.send(&holder, call)
        })
        .collect();
    let others: Vec<_> = cluster.names().into_iter().filter(|name| *name != holder).collect();
    harness::wait_until("the others hold every shard", || {
        others.iter().map(|name| cluster.service(name).coverage().held_locally).sum::<usize>() == 4
    });
    for key in &keys {
        let response = cluster.call(&others[0], key, "body");
        assert_eq!(completed_body(&response), Some(format!("{key} run 1")), "{response:?}");
    }
    cluster.network.deliver_writes(&holder);
    let responses: Vec<_> = earlier_sends.into_iter().map(task::block_on).collect();
    assert_eq!(cluster.runner.max_runs(), 1, "{responses:?}");
}

#[test]
fn daemon_without_the_table_finds_holders_through_peers() {
    let cluster = harness::ShardCluster::start(3);
    cluster.wait_until_held();
    wait_for_copy_sets(&cluster);
    cluster.network.disconnect_from_table("b");
    harness::wait_until("the others hold every shard", || {
        let held_count = |daemon| cluster.service(daemon).coverage().held_locally;
        held_count("a") + held_count("c") == 4
    });
    for number in 0..12 {
        let key = format!("k{number}");
        let response = cluster.call("b", &key, "body");
        assert_eq!(completed_body(&response), Some(format!("{key} run 1")), "{response:?}");
    }
    assert_eq!(cluster.runner.max_runs(), 1);
}

#[test]
fn lost_responses_of_the_table_cause_no_second_run() {
    let cluster = harness::ShardCluster::start(2);
    cluster.wait_until_held();
    for number in 0..10 {
        let store_faults =
            faults::StoreFaults { lost_answers: 2, lost_requests: 1, ..Default::default() };
        cluster.table.set_faults(store_faults);
        let key = format!("k{number}");
        let response = cluster.call("a", &key, "body");
        assert_eq!(completed_body(&response), Some(format!("{key} run 1")), "{response:?}");
    }
    assert_eq!(cluster.runner.max_runs(), 1);
}

#[test]
fn planned_stop_releases_the_leases() {
    let cluster = harness::ShardCluster::start(2);
    cluster.wait_until_held();
    assert!(completed_body(&cluster.call("a", "k", "body")).is_some());
    task::block_on(cluster.service("a").stop(time::Millis::new(10_000)));
    // The leases were released rather than left to expire.
    let rows = lease_rows(&cluster);
    let is_stopped_daemon = |instance: &row::DaemonInstance| instance.daemon.as_str() == "a";
    let is_held = rows.iter().any(|row| row.holder.as_ref().is_some_and(is_stopped_daemon));
    assert!(!is_held, "the stopped daemon still holds a lease: {rows:?}");
    cluster.kill("a");
    wait_for_held_shards(&cluster, "b", 4);
    let response = cluster.call("b", "k", "body");
    assert_eq!(completed_body(&response).as_deref(), Some("k run 1"), "{response:?}");
}

#[test]
fn reclaimed_daemon_leaves_the_copy_sets() {
    let cluster = harness::ShardCluster::start(4);
    cluster.wait_until_held();
    wait_for_copy_sets(&cluster);
    cluster.reclaim(&["c", "d"]);
    cluster.wait_until_held();
    wait_for_rows(&cluster, "no copy set names a reclaimed daemon", |row| {
        row.copy_set.len() == 1
            && row.copy_set.iter().all(|instance| ["a", "b"].contains(&instance.daemon.as_str()))
    });
    cluster.kill("a");
    wait_for_held_shards(&cluster, "b", 4);
    for number in 0..8 {
        let response = cluster.call("b", &format!("k{number}"), "body");
        assert!(completed_body(&response).is_some(), "{response:?}");
    }
}

#[test]
fn restarted_daemon_serves_calls_again() {
    let cluster = harness::ShardCluster::start(2);
    cluster.wait_until_held();
    assert!(completed_body(&cluster.call("a", "k", "body")).is_some());
    std::thread::sleep(std::time::Duration::from_millis(200));
    cluster.kill("a");
    cluster.start_daemon("a");
    cluster.wait_until_held();
    for daemon in ["a", "b"] {
        assert_eq!(completed_body(&cluster.call(daemon, "k", "body")).as_deref(), Some("k run 1"));
    }
}

#[test]
fn daemon_takes_over_after_a_scan_without_a_response() {
    let cluster = harness::ShardCluster::start(2);
    cluster.wait_until_held();
    lose_a_read(&cluster, "b");
    cluster.kill("a");
    wait_for_held_shards(&cluster, "b", 4);
}

#[test]
fn daemon_starts_after_a_read_of_the_layout_without_a_response() {
    let cluster = harness::ShardCluster::start(2);
    cluster.wait_until_held();
    cluster.kill("b");
    cluster.network.lose_reads("b");
    cluster.start_daemon("b");
    harness::wait_until("a read gets no response", || cluster.network.lost_reads("b") > 0);
    cluster.network.answer_reads("b");
    wait_for_held_shards(&cluster, "b", 2);
}

/// Leaves a daemon's reads of the table without a response until it has sent one.
fn lose_a_read(cluster: &harness::ShardCluster, daemon: &str) {
    cluster.network.lose_reads(daemon);
    harness::wait_until("a read gets no response", || cluster.network.lost_reads(daemon) > 0);
    cluster.network.answer_reads(daemon);
}

/// Waits until a daemon holds `count` shards.
fn wait_for_held_shards(cluster: &harness::ShardCluster, daemon: &str, count: usize) {
    harness::wait_until("the daemon holds the expected number of shards", || {
        cluster.service(daemon).coverage().held_locally == count
    });
}

/// Waits until the lease row of each shard names a copy set.
fn wait_for_copy_sets(cluster: &harness::ShardCluster) {
    wait_for_rows(cluster, "each lease row names a copy set", |row| !row.copy_set.is_empty());
}

/// Waits until the lease rows of all shards meet a condition.
fn wait_for_rows(
    cluster: &harness::ShardCluster,
    condition_text: &str,
    mut is_met: impl FnMut(&row::LeaseRow) -> bool,
) {
    harness::wait_until(condition_text, || {
        let rows = lease_rows(cluster);
        rows.len() == 4 && rows.iter().all(&mut is_met)
    });
}

/// Returns the lease rows of the shards from the table.
fn lease_rows(cluster: &harness::ShardCluster) -> Vec<row::LeaseRow> {
    use samphiremoor_platform::table::TableStore as _;
    let scan = task::block_on(cluster.table.scan("lease/shard/", None, 100));
    let decode = |table_row: &samphiremoor_platform::table::TableRow| {
        row::LeaseRow::decode(&table_row.value).expect("the row is a lease row")
    };
    scan.expect("the table is available").iter().map(decode).collect()
}
