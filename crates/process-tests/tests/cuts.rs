//! Zones that are cut off from each other and from the platform, and reconnect.

use std::collections;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use samphiremoor_base::outcome;
use samphiremoor_process_tests::caller;
use samphiremoor_process_tests::cluster;
use samphiremoor_process_tests::control;
use samphiremoor_process_tests::operator;
use samphiremoor_process_tests::plan;
use samphiremoor_process_tests::records;
use samphiremoor_process_tests::wait;
use samphiremoor_process_tests::workload;

const PROMPT: &str = "list the rental bikes that are due for a check";

const TOKENS: u64 = 60;

/// Time after the end of a network partition within which a change of the records must be in force
/// everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(4);

/// Time that an operator waits for a change to be in force during the partition.
const APPLY_WAIT: Duration = Duration::from_secs(3);

/// Time from the start of the partition to the first check. By then the daemons treat the other
/// zone's daemons as removed.
const PARTITION_TIME: Duration = Duration::from_secs(5);

const NOT_RUN: caller::ReportedOutcome =
    caller::ReportedOutcome::Reported(outcome::CallOutcome::NotRun);

/// Number of entry VMs in each zone.
const ENTRIES: usize = 2;

/// Starts two zones with links between them. The operators' command-line tool runs in south.
fn start() -> cluster::TestCluster {
    let cluster = cluster::TestCluster::start(plan::ClusterPlan {
        entries: ENTRIES,
        shards: 2,
        has_links: true,
        ..plan::ClusterPlan::default()
    });
    for index in 0..cluster.entries.len() {
        let caller = caller::TestCaller::new();
        let key = format!("warm-up-{index}");
        wait::until("a booking is complete", || {
            let calling = caller.call(cluster.entry(index), records::BOOKING, Some(&key), "slot");
            task::block_on(calling).status == 200
        });
    }
    cluster
}

/// Starts the callers of one zone. Each `number` gives its callers distinct keys.
fn start_callers(entries: &[net::SocketAddr], number: u64) -> workload::WorkloadRunner {
    workload::WorkloadRunner::start(&workload::WorkloadPlan {
        entries: entries.to_vec(),
        callers: 3,
        pause: Duration::from_millis(100),
        chats_per_mille: 300,
        chat_tokens: TOKENS,
        seed: samphiremoor_base::testing::seed().wrapping_mul(2).wrapping_add(number),
    })
}

/// Monitor of the revision in force at every daemon. A revision must never decrease.
struct RevisionMonitor {
    stop: sync::Arc<atomic::AtomicBool>,
    monitoring: thread::JoinHandle<Vec<String>>,
}

impl RevisionMonitor {
    fn start(cluster: &cluster::TestCluster) -> Self {
        let addresses = daemon_addresses(cluster);
        let stop = sync::Arc::new(atomic::AtomicBool::new(false));
        let stop_requested = stop.clone();
        let monitoring = thread::spawn(move || {
            let mut highest: collections::BTreeMap<net::SocketAddr, u64> = Default::default();
            let mut decreases = Vec::new();
            while !stop_requested.load(atomic::Ordering::Relaxed) {
                for address in &addresses {
                    let Some(revision) = revision_at(*address) else { continue };
                    let seen = highest.entry(*address).or_default();
                    if revision < *seen {
                        decreases.push(format!("{address}: {revision} after {seen}"));
                    }
                    *seen = revision.max(*seen);
                }
                thread::sleep(Duration::from_millis(50));
            }
            decreases
        });
        RevisionMonitor { stop, monitoring }
    }

    fn finish(self) {
        self.stop.store(true, atomic::Ordering::Relaxed);
        let decreases = self.monitoring.join().expect("the monitor does not panic");
        assert!(decreases.is_empty(), "{decreases:?}");
    }
}

/// Returns the addresses at which the daemons report the revision in force.
fn daemon_addresses(cluster: &cluster::TestCluster) -> Vec<net::SocketAddr> {
    let places = cluster.entries.iter().map(|vm| &vm.spec);
    places.map(|place| place.http).collect()
}

fn revision_at(address: net::SocketAddr) -> Option<u64> {
    let text = task::block_on(control::get_text(address, "/metrics"))?;
    let value =
        |line: &str| line.strip_prefix("samphiremoor_revision_in_force ")?.parse::<u64>().ok();
    text.lines().find_map(value)
}

fn cut_platform(cluster: &cluster::TestCluster, zones: &[&str]) {
    task::block_on(control::cut_platform(cluster.platform_address, zones));
}

/// Asserts that every entry daemon serves complete streams and repeatable calls. A call that is
/// refused with `not-run`, as under overload, is sent again.
fn assert_serves(cluster: &cluster::TestCluster) {
    let caller = caller::TestCaller::new();
    for index in 0..cluster.entries.len() {
        let entry = cluster.entry(index);
        wait::until("a stream is complete", || {
            let response = task::block_on(caller.chat(entry, PROMPT, TOKENS));
            let is_refused = matches!(response.end, caller::StreamEnd::Refused(503, outcome) if outcome == NOT_RUN);
            if !is_refused {
                response.assert_complete(PROMPT, TOKENS);
            }
            !is_refused
        });
        wait::until("a call gets a response", || {
            let response = task::block_on(caller.call(entry, records::LOOKUP, None, "treadmill"));
            let is_refused = response.status == 503 && response.outcome == NOT_RUN;
            assert!(is_refused || response.status == 200, "{response:?}");
            !is_refused
        });
    }
}

/// Partitions the zones while callers of both zones send requests. A change that is applied in
/// south meanwhile must not be reported as in force, and must be in force everywhere soon after the
/// partition ends.
fn check_partition(partition: impl FnOnce(&cluster::TestCluster)) {
    let cluster = start();
    let monitor = RevisionMonitor::start(&cluster);
    let addresses: Vec<_> = (0..cluster.entries.len()).map(|index| cluster.entry(index)).collect();
    let (north, south) = addresses.split_at(ENTRIES);
    let runners = [start_callers(north, 0), start_callers(south, 1)];
    thread::sleep(Duration::from_millis(500));
    partition(&cluster);
    thread::sleep(PARTITION_TIME);
    assert_serves(&cluster);
    let operator = cluster.operator().with_wait(APPLY_WAIT);
    let text = records::text(&plan::ClusterPlan::default().zones);
    let changed = text.replacen("first_ms = 2000", "first_ms = 2100", 1);
    let file = operator.write_file("changed.toml", &changed);
    let applied = operator.run(&["apply", &file]);
    assert_eq!(applied.code, operator::EXIT_UNCONFIRMED, "{applied:?}");
    assert!(applied.errors.contains("north"), "names the zone: {}", applied.errors);
    let before = revision_at(cluster.entries[0].spec.http);
    assert_eq!(before, Some(1), "the change has not reached north");
    cluster.links.heal();
    cut_platform(&cluster, &[]);
    let healed_at = Instant::now();
    let daemons = daemon_addresses(&cluster);
    wait::until("the change is in force", || {
        daemons.iter().all(|address| revision_at(*address).is_some_and(|found| found >= 2))
    });
    let delay = healed_at.elapsed();
    assert!(delay <= IN_FORCE_LIMIT, "in force {delay:?} after the partition");
    assert_serves(&cluster);
    monitor.finish();
    for report in runners.map(workload::WorkloadRunner::finish) {
        assert!(report.stream_violations.is_empty(), "{:?}", report.stream_violations);
        let violations = report.ledger.violations(&cluster.service_counts());
        assert!(violations.is_empty(), "{violations:?} {:?}", report.outcomes);
        assert!(report.count("booking complete") > 0, "{:?}", report.outcomes);
        assert!(report.count("chat complete") > 0, "{:?}", report.outcomes);
    }
}

#[test]
fn partitioned_zones_serve_and_recover() {
    check_partition(|cluster| {
        cluster.links.block("north", "south");
        cluster.links.block("south", "north");
        cut_platform(cluster, &["north"]);
    });
}

#[test]
fn one_way_partitioned_zone_serves_and_recovers() {
    check_partition(|cluster| {
        cluster.links.block("north", "south");
        cut_platform(cluster, &["north"]);
    });
}
