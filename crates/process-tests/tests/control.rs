//! Records in force during concurrent changes, process failures and platform outages.

use std::thread;
use std::time::Duration;

use async_std::task;
use samphiremoor_process_tests::caller;
use samphiremoor_process_tests::cluster;
use samphiremoor_process_tests::control;
use samphiremoor_process_tests::operator;
use samphiremoor_process_tests::plan;
use samphiremoor_process_tests::records;
use samphiremoor_process_tests::wait;

const PROMPT: &str = "summarise the history of one rowing machine";

const TOKENS: u64 = 20;

fn zones() -> Vec<String> {
    plan::ClusterPlan::default().zones
}

/// Returns the test's records with another first-token target of the model service.
fn changed_records(first_ms: u32) -> String {
    records::text(&zones()).replacen("first_ms = 2000", &format!("first_ms = {first_ms}"), 1)
}

fn chat(cluster: &cluster::TestCluster, entry: usize) -> caller::StreamResponse {
    task::block_on(caller::TestCaller::new().chat(cluster.entry(entry), PROMPT, TOKENS))
}

#[test]
fn one_of_two_concurrent_changes_succeeds() {
    let cluster = cluster::TestCluster::start(plan::ClusterPlan::default());
    let operator = cluster.operator();
    let files: Vec<_> = [2_100, 2_200]
        .iter()
        .map(|first_ms| {
            operator.write_file(&format!("{first_ms}.toml"), &changed_records(*first_ms))
        })
        .collect();
    let running: Vec<_> =
        files.iter().map(|file| operator.start(&["apply", "--base", "1", file])).collect();
    let results: Vec<_> = running.into_iter().map(operator::RunningCommand::wait).collect();
    let mut codes: Vec<_> = results.iter().map(|result| result.code).collect();
    codes.sort_unstable();
    assert_eq!(codes, [operator::EXIT_OK, operator::EXIT_REFUSED], "{results:?}");
    let loser = results
        .iter()
        .find(|result| result.code == operator::EXIT_REFUSED)
        .expect("one is refused");
    assert!(loser.errors.contains("revision 2"), "names the winner: {}", loser.errors);
    let history = operator.run(&["history"]);
    assert_eq!(history.code, operator::EXIT_OK, "{history:?}");
}

/// Time after which a daemon has detected that neither the platform nor its peer responds: twice
/// the longest interval of its reads.
const DETECTION_TIME: Duration = Duration::from_secs(4);

#[test]
fn daemon_without_platform_and_peers_serves_from_its_last_view() {
    let mut cluster = cluster::TestCluster::start(plan::ClusterPlan::default());
    task::block_on(control::cut_platform(cluster.platform_address, &["north", "south"]));
    cluster.entries[1].entry.kill();
    thread::sleep(DETECTION_TIME);
    chat(&cluster, 0).assert_complete(PROMPT, TOKENS);
    let caller = caller::TestCaller::new();
    let booked =
        task::block_on(caller.call(cluster.entry(0), records::LOOKUP, None, "treadmill 7"));
    assert_eq!(booked.status, 200, "{booked:?}");
    task::block_on(control::cut_platform(cluster.platform_address, &[]));
    cluster.restart_entry_vm(1);
    let operator = cluster.operator();
    let file = operator.write_file("next.toml", &changed_records(2_300));
    operator.apply_until_in_force(&file);
    chat(&cluster, 0).assert_complete(PROMPT, TOKENS);
}

#[test]
fn restarted_entry_vm_serves_again() {
    let mut cluster = cluster::TestCluster::start(plan::ClusterPlan::default());
    cluster.restart_entry_vm(0);
    chat(&cluster, 0).assert_complete(PROMPT, TOKENS);
}

#[test]
fn daemon_started_in_an_outage_fetches_the_records_from_peers() {
    let mut cluster = cluster::TestCluster::start(plan::ClusterPlan {
        entries: 2,
        ..plan::ClusterPlan::default()
    });
    cluster.platform.kill();
    cluster.restart_entry_vm(0);
    chat(&cluster, 0).assert_complete(PROMPT, TOKENS);
}

#[test]
fn change_is_in_force_on_every_daemon() {
    let cluster = cluster::TestCluster::start(plan::ClusterPlan::default());
    let operator = cluster.operator();
    let withdrawn = operator.run(&["withdraw", &format!("workspace/{}", "clinics")]);
    assert_eq!(withdrawn.code, operator::EXIT_OK, "{withdrawn:?}");
    let other_caller = caller::TestCaller { key: records::OTHER_KEY };
    for entry in 0..cluster.entries.len() {
        wait::until("the withdrawn key is refused", || {
            let calling = other_caller.call(cluster.entry(entry), records::LOOKUP, None, "x");
            task::block_on(calling).status == 401
        });
    }
}
