//! Daemons' services over a table in memory, with daemons that die, links that are cut and a table
//! that fails.

mod harness;

use async_std::task;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_lease::row;
use samphiremoor_platform::faults;
use samphiremoor_shards::call;

fn completed(answer: &call::KeyedResponse) -> Option<String> {
    match answer {
        call::KeyedResponse::Completed { result, .. } => {
            Some(String::from_utf8(result.body.to_vec()).expect("the test set it up"))
        }
        _ => None,
    }
}

#[test]
fn every_daemon_gives_the_same_answer_for_a_key() {
    let cluster = harness::ShardCluster::start(3);
    cluster.wait_covered();
    for number in 0..20 {
        let key = format!("k{number}");
        let answers: Vec<_> =
            ["a", "b", "c"].iter().map(|daemon| cluster.call(daemon, &key, "body")).collect();
        let expected = Some(format!("{key} run 1"));
        assert!(answers.iter().all(|answer| completed(answer) == expected), "{answers:?}");
        assert_eq!(cluster.runner.runs(&key), 1);
    }
}

#[test]
fn concurrent_sends_share_one_run() {
    let cluster = harness::ShardCluster::start(3);
    cluster.wait_covered();
    cluster.runner.plan(harness::RunPlan::CompleteAfter(time::Millis::new(700)));
    let sends: Vec<_> = (0..12)
        .map(|index| {
            let daemon = harness::name(index % 3);
            let call = harness::once_call(&daemon, "shared", "body");
            cluster.send(&daemon, call)
        })
        .collect();
    for send in sends {
        let answer = task::block_on(send);
        assert_eq!(completed(&answer).as_deref(), Some("shared run 1"), "{answer:?}");
    }
    assert_eq!(cluster.runner.runs("shared"), 1);
}

#[test]
fn key_with_another_body_is_refused() {
    let cluster = harness::ShardCluster::start(1);
    cluster.wait_covered();
    assert!(completed(&cluster.call("a", "k", "one")).is_some());
    let reason = reason::RefusalReason::IdempotencyKeyReused;
    let expected = call::KeyedResponse::NotRun { reason, retry_after: None };
    assert_eq!(cluster.call("a", "k", "two"), expected);
    assert_eq!(cluster.runner.runs("k"), 1);
}

#[test]
fn call_that_was_not_run_can_be_sent_again() {
    let cluster = harness::ShardCluster::start(2);
    cluster.wait_covered();
    cluster.runner.plan(harness::RunPlan::NotRun);
    let refused = cluster.call("a", "k", "body");
    assert!(matches!(refused, call::KeyedResponse::NotRun { .. }), "{refused:?}");
    cluster.runner.plan(harness::RunPlan::Complete);
    assert_eq!(completed(&cluster.call("b", "k", "body")).as_deref(), Some("k run 1"));
}

#[test]
fn slow_refusal_is_not_run_through_every_daemon() {
    let cluster = harness::ShardCluster::start(2);
    cluster.wait_covered();
    // Longer than the holder waits before it says that the call still runs.
    cluster.runner.plan(harness::RunPlan::NotRunAfter(time::Millis::new(1_200)));
    for daemon in ["a", "b"] {
        let answer = cluster.call(daemon, "k", "body");
        assert!(matches!(answer, call::KeyedResponse::NotRun { .. }), "{answer:?}");
    }
}

#[test]
fn call_that_may_have_run_is_never_run_again() {
    let cluster = harness::ShardCluster::start(2);
    cluster.wait_covered();
    cluster.runner.plan(harness::RunPlan::MaybeRun);
    let first = cluster.call("a", "k", "body");
    cluster.runner.plan(harness::RunPlan::Complete);
    let second = cluster.call("b", "k", "body");
    for answer in [first, second] {
        assert!(matches!(answer, call::KeyedResponse::Unknown { .. }), "{answer:?}");
    }
    assert_eq!(cluster.runner.runs("k"), 1);
}

#[test]
fn successor_replays_answers_and_serves_new_calls() {
    let cluster = harness::ShardCluster::start(3);
    cluster.wait_covered();
    let keys: Vec<String> = (0..12).map(|number| format!("k{number}")).collect();
    for key in &keys {
        assert!(completed(&cluster.call("a", key, "body")).is_some());
    }
    // Results reach the table after the answer; wait for the last flush.
    std::thread::sleep(std::time::Duration::from_millis(200));
    let victim = cluster.busiest();
    cluster.kill(&victim);
    cluster.wait_covered();
    let entry = cluster.names().remove(0);
    for key in &keys {
        let answer = cluster.call(&entry, key, "body");
        assert_eq!(completed(&answer), Some(format!("{key} run 1")), "{answer:?}");
        assert!(completed(&cluster.call(&entry, &format!("new-{key}"), "body")).is_some());
    }
    assert_eq!(cluster.runner.most(), 1);
}

#[test]
fn claim_without_result_is_unknown_at_the_successor() {
    let cluster = harness::ShardCluster::start(2);
    cluster.wait_covered();
    cluster.runner.plan(harness::RunPlan::CompleteAfter(time::Millis::new(60_000)));
    let keys: Vec<String> = (0..8).map(|number| format!("k{number}")).collect();
    for key in &keys {
        let call = harness::once_call("b", key, "body");
        cluster.send("b", call);
    }
    harness::wait_until("all calls run", || cluster.runner.total() == 8);
    cluster.kill("b");
    cluster.runner.plan(harness::RunPlan::Complete);
    cluster.wait_covered();
    for key in &keys {
        let mut call = harness::once_call("a", key, "body");
        call.remaining = time::Millis::new(1_500);
        let answer = task::block_on(cluster.service("a").submit(call));
        assert!(matches!(answer, call::KeyedResponse::Unknown { .. }), "{answer:?}");
    }
    assert_eq!(cluster.runner.most(), 1);
}

#[test]
fn holders_run_on_while_the_table_is_down() {
    let cluster = harness::ShardCluster::start(3);
    cluster.wait_covered();
    wait_for_copy_sets(&cluster);
    cluster.table.set_faults(faults::StoreFaults { unavailable: true, ..Default::default() });
    for number in 0..12 {
        let answer = cluster.call("a", &format!("k{number}"), "body");
        assert_eq!(completed(&answer), Some(format!("k{number} run 1")), "{answer:?}");
    }
    let victim = cluster.busiest();
    cluster.kill(&victim);
    cluster.table.set_faults(faults::StoreFaults::default());
    cluster.wait_covered();
    let entry = cluster.names().remove(0);
    for number in 0..12 {
        let answer = cluster.call(&entry, &format!("k{number}"), "body");
        let is_honest =
            completed(&answer).is_some() || matches!(answer, call::KeyedResponse::Unknown { .. });
        assert!(is_honest, "{answer:?}");
    }
    assert_eq!(cluster.runner.most(), 1);
}

#[test]
fn cut_off_daemon_refuses_as_not_run() {
    let cluster = harness::ShardCluster::start(2);
    cluster.wait_covered();
    wait_for_copy_sets(&cluster);
    cluster.network.cut("b");
    // Enough keys that either daemon holds the shards of some.
    let sends: Vec<_> = ["cut", "k1", "k2", "k3", "k4", "k5", "k6", "k7"]
        .iter()
        .map(|key| {
            let mut call = harness::once_call("b", key, "body");
            call.remaining = time::Millis::new(10_000);
            cluster.send("b", call)
        })
        .collect();
    for send in sends {
        let answer = task::block_on(send);
        let is_refused = matches!(answer, call::KeyedResponse::NotRun { retry_after: Some(_), .. });
        assert!(is_refused, "{answer:?}");
    }
    assert_eq!(cluster.runner.total(), 0);
    wait_for_own(&cluster, "a", 4);
    assert_eq!(completed(&cluster.call("a", "cut", "body")).as_deref(), Some("cut run 1"));
    cluster.network.heal("b");
    assert_eq!(completed(&cluster.call("b", "cut", "body")).as_deref(), Some("cut run 1"));
}

/// Starts calls through `a` that run for long, on shards of both daemons, then takes the table away, so
/// that nobody can take the shards over and find the claims there.
fn run_calls_without_successor(
    cluster: &harness::ShardCluster,
) -> Vec<task::JoinHandle<call::KeyedResponse>> {
    cluster.runner.plan(harness::RunPlan::CompleteAfter(time::Millis::new(60_000)));
    let sends = (0..8).map(|number| {
        let mut call = harness::once_call("a", &format!("k{number}"), "body");
        call.remaining = time::Millis::new(6_000);
        cluster.send("a", call)
    });
    let sends = sends.collect();
    harness::wait_until("all calls run", || cluster.runner.total() == 8);
    cluster.table.set_faults(faults::StoreFaults { unavailable: true, ..Default::default() });
    sends
}

fn check_unknown(sends: Vec<task::JoinHandle<call::KeyedResponse>>) {
    for send in sends {
        let answer = task::block_on(send);
        assert!(matches!(answer, call::KeyedResponse::Unknown { .. }), "{answer:?}");
    }
}

#[test]
fn call_whose_holder_falls_silent_is_unknown() {
    let cluster = harness::ShardCluster::start(2);
    cluster.wait_covered();
    let sends = run_calls_without_successor(&cluster);
    cluster.network.cut("b");
    check_unknown(sends);
}

#[test]
fn call_that_is_sent_again_to_another_life_is_unknown() {
    let cluster = harness::ShardCluster::start(2);
    cluster.wait_covered();
    cluster.network.silence_submits("b");
    let sends = run_calls_without_successor(&cluster);
    cluster.start_daemon("b");
    cluster.network.resend_submits("b");
    check_unknown(sends);
}

#[test]
fn holder_without_the_table_runs_no_key_of_its_successors() {
    let cluster = harness::ShardCluster::start(3);
    cluster.wait_covered();
    wait_for_copy_sets(&cluster);
    let holder = cluster.busiest();
    cluster.network.cut_table(&holder);
    harness::wait_until("the others hold every shard", || {
        let others = cluster.names().into_iter().filter(|name| *name != holder);
        others.map(|name| cluster.service(&name).coverage().held_locally).sum::<usize>() == 4
    });
    let sends: Vec<_> = (0..8)
        .flat_map(|number| cluster.names().into_iter().map(move |daemon| (daemon, number)))
        .map(|(daemon, number)| {
            let call = harness::once_call(&daemon, &format!("k{number}"), "body");
            cluster.send(&daemon, call)
        })
        .collect();
    let answers: Vec<_> = sends.into_iter().map(task::block_on).collect();
    assert_eq!(cluster.runner.most(), 1, "{answers:?}");
    assert_eq!(cluster.runner.total(), 8, "{answers:?}");
}

#[test]
fn late_write_of_an_earlier_holder_runs_nothing() {
    let cluster = harness::ShardCluster::start(3);
    cluster.wait_covered();
    wait_for_copy_sets(&cluster);
    let holder = cluster.busiest();
    let keys: Vec<String> = (0..8).map(|number| format!("k{number}")).collect();
    cluster.network.hold_writes(&holder);
    let early: Vec<_> = keys
        .iter()
        .map(|key| {
            let call = harness::once_call(&holder, key, "body");
            cluster.send(&holder, call)
        })
        .collect();
    let others: Vec<_> = cluster.names().into_iter().filter(|name| *name != holder).collect();
    harness::wait_until("the others hold every shard", || {
        others.iter().map(|name| cluster.service(name).coverage().held_locally).sum::<usize>() == 4
    });
    for key in &keys {
        let answer = cluster.call(&others[0], key, "body");
        assert_eq!(completed(&answer), Some(format!("{key} run 1")), "{answer:?}");
    }
    cluster.network.release_writes(&holder);
    let answers: Vec<_> = early.into_iter().map(task::block_on).collect();
    assert_eq!(cluster.runner.most(), 1, "{answers:?}");
}

#[test]
fn daemon_cut_off_from_the_table_finds_holders_through_the_others() {
    let cluster = harness::ShardCluster::start(3);
    cluster.wait_covered();
    wait_for_copy_sets(&cluster);
    cluster.network.cut_table("b");
    harness::wait_until("the others hold every shard", || {
        let own = |daemon| cluster.service(daemon).coverage().held_locally;
        own("a") + own("c") == 4
    });
    for number in 0..12 {
        let key = format!("k{number}");
        let answer = cluster.call("b", &key, "body");
        assert_eq!(completed(&answer), Some(format!("{key} run 1")), "{answer:?}");
    }
    assert_eq!(cluster.runner.most(), 1);
}

#[test]
fn lost_answers_of_the_table_change_nothing() {
    let cluster = harness::ShardCluster::start(2);
    cluster.wait_covered();
    for number in 0..10 {
        let lost = faults::StoreFaults { lost_answers: 2, lost_requests: 1, ..Default::default() };
        cluster.table.set_faults(lost);
        let key = format!("k{number}");
        let answer = cluster.call("a", &key, "body");
        assert_eq!(completed(&answer), Some(format!("{key} run 1")), "{answer:?}");
    }
    assert_eq!(cluster.runner.most(), 1);
}

#[test]
fn planned_stop_hands_shards_over() {
    let cluster = harness::ShardCluster::start(2);
    cluster.wait_covered();
    assert!(completed(&cluster.call("a", "k", "body")).is_some());
    task::block_on(cluster.service("a").stop(time::Millis::new(10_000)));
    // Given away, and not left until the lease time has passed.
    let rows = lease_rows(&cluster);
    let holds = |life: &row::DaemonInstance| life.daemon.as_str() == "a";
    let is_held = rows.iter().any(|row| row.holder.as_ref().is_some_and(holds));
    assert!(!is_held, "the stopped daemon still holds a lease: {rows:?}");
    cluster.kill("a");
    wait_for_own(&cluster, "b", 4);
    let answer = cluster.call("b", "k", "body");
    assert_eq!(completed(&answer).as_deref(), Some("k run 1"), "{answer:?}");
}

#[test]
fn reclaimed_daemon_keeps_no_copies() {
    let cluster = harness::ShardCluster::start(4);
    cluster.wait_covered();
    wait_for_copy_sets(&cluster);
    cluster.reclaim(&["c", "d"]);
    cluster.wait_covered();
    wait_for_rows(&cluster, "no copy set names a daemon that is gone", |row| {
        row.copy_set.len() == 1
            && row.copy_set.iter().all(|life| ["a", "b"].contains(&life.daemon.as_str()))
    });
    cluster.kill("a");
    wait_for_own(&cluster, "b", 4);
    for number in 0..8 {
        let answer = cluster.call("b", &format!("k{number}"), "body");
        assert!(completed(&answer).is_some(), "{answer:?}");
    }
}

#[test]
fn restarted_daemon_takes_part_again() {
    let cluster = harness::ShardCluster::start(2);
    cluster.wait_covered();
    assert!(completed(&cluster.call("a", "k", "body")).is_some());
    std::thread::sleep(std::time::Duration::from_millis(200));
    cluster.kill("a");
    cluster.start_daemon("a");
    cluster.wait_covered();
    for daemon in ["a", "b"] {
        assert_eq!(completed(&cluster.call(daemon, "k", "body")).as_deref(), Some("k run 1"));
    }
}

fn wait_for_own(cluster: &harness::ShardCluster, daemon: &str, count: usize) {
    harness::wait_until("the daemon holds its shards", || {
        cluster.service(daemon).coverage().held_locally == count
    });
}

/// Waits until each holder's peers are named in its lease row.
fn wait_for_copy_sets(cluster: &harness::ShardCluster) {
    wait_for_rows(cluster, "each lease row names peers", |row| !row.copy_set.is_empty());
}

/// Waits until the lease rows of all shards are as they should be.
fn wait_for_rows(
    cluster: &harness::ShardCluster,
    what: &str,
    mut holds: impl FnMut(&row::LeaseRow) -> bool,
) {
    harness::wait_until(what, || {
        let rows = lease_rows(cluster);
        rows.len() == 4 && rows.iter().all(&mut holds)
    });
}

/// The lease rows of the shards, as they are in the table.
fn lease_rows(cluster: &harness::ShardCluster) -> Vec<row::LeaseRow> {
    use samphiremoor_platform::table::TableStore as _;
    let scan = task::block_on(cluster.table.scan("lease/shard/", None, 100));
    let decode = |found: &samphiremoor_platform::table::TableRow| {
        row::LeaseRow::decode(&found.value).expect("a lease row")
    };
    scan.expect("the test set it up").iter().map(decode).collect()
}
