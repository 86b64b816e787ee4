//! Death of the duty holder in the middle of a reclaim wave.
//!
//! A zone's engines are reclaimed, and the daemon that holds the zone's duty lease is killed
//! between the reclaim notice and the end of the notice period. The zone's other daemon takes over
//! the duties.

use std::thread;
use std::time::Duration;

use async_std::task;
use samphiremoor_base::quantity;
use samphiremoor_platform::cloud;
use samphiremoor_platform::fleet as cloud_fleet;
use samphiremoor_process_tests::caller;
use samphiremoor_process_tests::cluster;
use samphiremoor_process_tests::control;
use samphiremoor_process_tests::plan;
use samphiremoor_process_tests::records;
use samphiremoor_process_tests::wait;
use samphiremoor_process_tests::workload;
use samphiremoor_standin_platform::control as platform_control;

const PROMPT: &str = "write to the three clinics that wait for a hoist";

/// Number of tokens of a response that starts before the wave and ends after the takeover.
const TOKENS: u64 = 2_400;

/// Notice period in seconds. The takeover of the duties happens near its end.
const NOTICE_SECONDS: u64 = 10;

/// Number of engines in the reclaimed zone, each of which needs one replacement.
const ENGINES: usize = 2;

/// Time within which the duty holder makes at least one more plan.
const PLAN_TIME: Duration = Duration::from_secs(6);

/// Starts two zones with two entry VMs and two engines each. The pool can't shrink, only north has
/// offers, and north has more spare engines than replacements needed.
fn start() -> cluster::TestCluster {
    let mut cluster = cluster::TestCluster::start(plan::ClusterPlan {
        entries: 2,
        engines: ENGINES,
        shards: 1,
        ..plan::ClusterPlan::default()
    });
    for number in 1..=2 * ENGINES {
        cluster.add_spare_engine("north", &format!("north-started-{number}"));
    }
    let zones = plan::ClusterPlan::default().zones;
    let text = records::text(&zones);
    let text = text.replacen("min_replicas = 1", &format!("min_replicas = {}", 2 * ENGINES), 1);
    let operator = cluster.operator();
    operator.apply_until_in_force(&operator.write_file("wave.toml", &text));
    wait::until("the duty lease is held", || cluster.duty_holder("north").is_some());
    let name = "the text is an identifier";
    let offer = cloud::VmOffer {
        class: "gpu-small".parse().expect(name),
        zone: "north".parse().expect(name),
        reclaimable: true,
        price: quantity::MicroPrice::new(100_000),
    };
    task::block_on(control::set_offers(cluster.platform_address, &[offer]));
    cluster
}

/// Returns the number of VM starts that the cloud has accepted.
fn start_count(cluster: &cluster::TestCluster) -> usize {
    let vms = task::block_on(control::list_vms(cluster.platform_address));
    let numbers = vms.iter().filter_map(|vm| vm.id.as_str().strip_prefix("north-started-"));
    // The cloud numbers its starts, so the highest number also counts a VM that was already
    // released.
    numbers.filter_map(|number| number.parse().ok()).max().unwrap_or(0)
}

fn refuse_starts(cluster: &cluster::TestCluster, refuse_starts: bool) {
    let faults = platform_control::PlatformFaults { refuse_starts, ..Default::default() };
    task::block_on(control::set_platform_faults(cluster.platform_address, &faults));
}

/// Reclaims north's engines, and kills the holder of north's duty lease when `wait_for_kill`
/// returns. No response may be lost, and each engine must be replaced exactly once.
fn check_wave(is_refused: bool, wait_for_kill: impl FnOnce(&cluster::TestCluster)) {
    let mut cluster = start();
    refuse_starts(&cluster, is_refused);
    let callers = workload::WorkloadRunner::start(&workload::WorkloadPlan {
        entries: (0..cluster.entries.len()).map(|index| cluster.entry(index)).collect(),
        callers: 6,
        pause: Duration::from_millis(50),
        chats_per_mille: 300,
        chat_tokens: 100,
        seed: samphiremoor_base::testing::seed(),
    });
    // The killed daemon is in north, so this stream goes through south.
    let entry = cluster.entry(2);
    let reading =
        task::spawn(async move { caller::TestCaller::new().chat(entry, PROMPT, TOKENS).await });
    thread::sleep(Duration::from_millis(500));
    for index in 0..ENGINES {
        let vm = cluster.engines[index].spec.name.parse().expect("the name is an identifier");
        let scope = cloud_fleet::ReclaimScope::Vm(vm);
        let announcing = control::reclaim(cluster.platform_address, scope, NOTICE_SECONDS);
        task::block_on(announcing);
    }
    let reclaim_time = std::time::Instant::now() + Duration::from_secs(NOTICE_SECONDS);
    wait_for_kill(&cluster);
    let (holder, fence) = cluster.duty_holder("north").expect("the duty lease is held");
    cluster.entries[holder].entry.kill();
    refuse_starts(&cluster, false);
    thread::sleep(reclaim_time.saturating_duration_since(std::time::Instant::now()));
    (0..ENGINES).for_each(|index| cluster.engines[index].process.kill());
    wait::until("another daemon takes over the duty lease", || {
        let (successor, next_fence) = cluster.duty_holder("north").expect("the lease row remains");
        successor != holder && next_fence > fence
    });
    wait::until("the engines are replaced", || start_count(&cluster) >= ENGINES);
    thread::sleep(PLAN_TIME);
    assert_eq!(start_count(&cluster), ENGINES, "no engine is replaced twice");
    task::block_on(reading).assert_complete(PROMPT, TOKENS);
    let report = callers.finish();
    assert!(report.stream_violations.is_empty(), "{:?}", report.stream_violations);
    let violations = report.ledger.violations(&cluster.service_counts());
    assert!(violations.is_empty(), "{violations:?} {:?}", report.outcomes);
    assert!(report.count("booking complete") > 0, "{:?}", report.outcomes);
}

#[test]
fn successor_replaces_the_engines_of_a_killed_holder() {
    check_wave(true, |_| thread::sleep(Duration::from_secs(1)));
}

#[test]
fn successor_replaces_no_engine_twice() {
    check_wave(false, |cluster| {
        wait::until("the holder starts a VM", || start_count(cluster) > 0);
    });
}
