//! A seeded schedule of failures for a running cluster.

use std::collections;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use rand::Rng as _;
use rand::SeedableRng as _;
use samphiremoor_base::time;
use samphiremoor_platform::faults;
use samphiremoor_platform::fleet;
use samphiremoor_standin::fault;
use samphiremoor_standin_platform::control as platform_control;

use crate::cluster;
use crate::control;

/// Time for which a pause, an outage or a cut lasts; longer than the lease time of the harness.
const FAILURE_TIME: Duration = Duration::from_secs(4);

/// Time between the end of one failure and the start of the next.
const CALM_TIME: Duration = Duration::from_millis(1_500);

/// Time after which a killed process is replaced.
const REPLACE_TIME: Duration = Duration::from_secs(2);

/// Seconds of notice of a reclaim.
const NOTICE_SECONDS: u64 = 2;

/// Kinds of failures.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum FailureKind {
    /// The entry daemon that holds most shards is killed.
    HolderKilled,
    /// An entry daemon is paused past its lease.
    EntryPaused,
    /// An entry daemon is stopped as planned.
    EntryStopped,
    /// A control daemon is killed.
    ControlKilled,
    /// An engine is killed.
    EngineKilled,
    /// An engine is paused.
    EnginePaused,
    /// An engine's VM is reclaimed on notice.
    EngineReclaimed,
    /// Open connections to engines and services go silent.
    ConnectionsSilent,
    /// Services run calls and close before the answer.
    AnswersDropped,
    /// The table refuses everything.
    TableDown,
    /// The table is slow.
    TableSlow,
    /// Answers and requests of the table are lost.
    TableAnswersLost,
    /// A zone is cut off from the platform.
    ZoneCut,
}

const KINDS: &[FailureKind] = &[
    FailureKind::HolderKilled,
    FailureKind::EntryPaused,
    FailureKind::EntryStopped,
    FailureKind::ControlKilled,
    FailureKind::EngineKilled,
    FailureKind::EnginePaused,
    FailureKind::EngineReclaimed,
    FailureKind::ConnectionsSilent,
    FailureKind::AnswersDropped,
    FailureKind::TableDown,
    FailureKind::TableSlow,
    FailureKind::TableAnswersLost,
    FailureKind::ZoneCut,
];

/// What was brought about.
#[derive(Clone, Debug, Default)]
pub struct MayhemReport {
    /// Failures by kind.
    pub failures: collections::BTreeMap<FailureKind, u64>,
    /// Times from the kill of a holder until every shard was open again.
    pub takeovers: Vec<Duration>,
}

/// Brings about failures until the time is over; all of them are mended at the end.
pub fn rage(
    cluster: &mut cluster::TestCluster,
    shards: u64,
    length: Duration,
    seed: u64,
) -> MayhemReport {
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut report = MayhemReport::default();
    let end = Instant::now() + length;
    let mut round = 0_usize;
    while Instant::now() < end {
        // Every kind comes once before any comes twice; the seed picks the order and the victims.
        let kind = match round < KINDS.len() {
            true => KINDS[(round * 5 + seed as usize) % KINDS.len()],
            false => KINDS[random.random_range(0..KINDS.len())],
        };
        round += 1;
        let victim = random.random_range(0..1_000);
        *report.failures.entry(kind).or_default() += 1;
        bring_about(cluster, kind, victim, shards, &mut report);
        thread::sleep(CALM_TIME);
    }
    report
}

fn bring_about(
    cluster: &mut cluster::TestCluster,
    kind: FailureKind,
    victim: usize,
    shards: u64,
    report: &mut MayhemReport,
) {
    let entry = victim % cluster.entries.len();
    let engine = victim % cluster.engines.len();
    match kind {
        FailureKind::HolderKilled => report.takeovers.extend(kill_holder(cluster, shards)),
        FailureKind::EntryPaused => {
            cluster.entries[entry].entry.pause();
            thread::sleep(FAILURE_TIME);
            cluster.entries[entry].entry.resume();
        }
        FailureKind::EntryStopped => {
            cluster.entries[entry].entry.terminate();
            cluster.entries[entry].entry.wait_end();
            cluster.restart_entry_vm(entry);
        }
        FailureKind::ControlKilled => {
            cluster.entries[entry].control.iter_mut().for_each(|control| control.kill());
            thread::sleep(REPLACE_TIME);
            cluster.restart_control(entry);
        }
        FailureKind::EngineKilled => replace_engine(cluster, engine),
        FailureKind::EnginePaused => {
            cluster.engines[engine].process.pause();
            thread::sleep(FAILURE_TIME);
            cluster.engines[engine].process.resume();
        }
        FailureKind::EngineReclaimed => reclaim_engine(cluster, engine),
        FailureKind::ConnectionsSilent => silence_connections(cluster),
        FailureKind::AnswersDropped => {
            let faults = fault::CallFaults { drop_answers: 3, ..Default::default() };
            for service in &cluster.services {
                task::block_on(control::set_faults(service.place.address, faults));
            }
        }
        FailureKind::TableDown => {
            table_faults(cluster, faults::StoreFaults { unavailable: true, ..Default::default() })
        }
        FailureKind::TableSlow => table_faults(
            cluster,
            faults::StoreFaults { delay: time::Millis::new(1_500), ..Default::default() },
        ),
        FailureKind::TableAnswersLost => table_faults(
            cluster,
            faults::StoreFaults { lost_answers: 20, lost_requests: 10, ..Default::default() },
        ),
        FailureKind::ZoneCut => {
            let zone = cluster.entries[entry].place.zone.parse();
            let cut_zones = vec![zone.expect("the harness's names are identifiers")];
            platform_faults(
                cluster,
                &platform_control::PlatformFaults { cut_zones, ..Default::default() },
            );
        }
    }
}

/// Kills the entry daemon with most open shards, measures the takeover, and replaces the VM.
fn kill_holder(cluster: &mut cluster::TestCluster, shards: u64) -> Option<Duration> {
    let open =
        |cluster: &cluster::TestCluster, index: usize| cluster.open_shards(index).unwrap_or(0);
    let holder = (0..cluster.entries.len()).max_by_key(|index| open(cluster, *index))?;
    cluster.entries[holder].entry.kill();
    let killed = Instant::now();
    let others: Vec<_> = (0..cluster.entries.len()).filter(|index| *index != holder).collect();
    let mut takeover = None;
    while takeover.is_none() && killed.elapsed() < Duration::from_secs(30) {
        let total: u64 = others.iter().map(|index| open(cluster, *index)).sum();
        takeover = (total >= shards).then(|| killed.elapsed());
        thread::sleep(Duration::from_millis(10));
    }
    thread::sleep(REPLACE_TIME);
    cluster.restart_entry_vm(holder);
    takeover
}

fn replace_engine(cluster: &mut cluster::TestCluster, engine: usize) {
    cluster.engines[engine].process.kill();
    thread::sleep(REPLACE_TIME);
    cluster.restart_engine(engine);
}

/// Reclaims an engine's VM; its name returns to the list for the replacement.
fn reclaim_engine(cluster: &mut cluster::TestCluster, engine: usize) {
    let place = cluster.engines[engine].place.clone();
    let vm = place.name.parse().expect("the harness's names are identifiers");
    let scope = fleet::ReclaimScope::Vm(vm);
    task::block_on(control::reclaim(cluster.platform_address, scope, NOTICE_SECONDS));
    thread::sleep(Duration::from_secs(NOTICE_SECONDS));
    cluster.engines[engine].process.kill();
    thread::sleep(REPLACE_TIME);
    cluster.replace_engine_vm(engine);
}

fn silence_connections(cluster: &cluster::TestCluster) {
    let faults = fault::CallFaults { silence_open: true, ..Default::default() };
    for upstream in cluster.engines.iter().chain(&cluster.services) {
        task::block_on(control::set_faults(upstream.place.address, faults));
    }
}

fn table_faults(cluster: &cluster::TestCluster, table: faults::StoreFaults) {
    let faults = platform_control::PlatformFaults { table, ..Default::default() };
    platform_faults(cluster, &faults);
}

/// Gives the platform its faults for a while.
fn platform_faults(cluster: &cluster::TestCluster, faults: &platform_control::PlatformFaults) {
    let address = cluster.platform_address;
    task::block_on(control::set_platform_faults(address, faults));
    thread::sleep(FAILURE_TIME);
    let none = platform_control::PlatformFaults::default();
    task::block_on(control::set_platform_faults(address, &none));
}
