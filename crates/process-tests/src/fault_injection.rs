//! Injection of a timeline's failures into a running cluster.

use std::collections;
use std::mem;
use std::net;
use std::ops;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use async_std::future;
use async_std::task;
use samphiremoor_base::time;
use samphiremoor_platform::faults;
use samphiremoor_platform::fleet;
use samphiremoor_standin::fault;
use samphiremoor_standin_platform::control as platform_control;

use crate::cluster;
use crate::control;
use crate::plan;
use crate::timeline;
use crate::timeline::FailureKind;
use crate::timeline::PlannedFailure;

/// Time after which a takeover counts as missing.
const TAKEOVER_LIMIT: Duration = Duration::from_secs(30);

/// Timeout of reading an entry daemon's metrics, which a paused daemon doesn't serve.
const METRICS_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval between two reads of the open shards.
const TAKEOVER_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Injected failures and the takeovers that followed.
#[derive(Clone, Debug, Default)]
pub struct InjectionReport {
    /// Number of failures of each kind.
    pub failures: collections::BTreeMap<FailureKind, u64>,
    /// Number of overlaps, by the kind of the active failure and the kind of the failure that
    /// started during it.
    pub pairs: collections::BTreeMap<(FailureKind, FailureKind), u64>,
    /// Takeovers of the shards of killed holders.
    pub takeovers: Vec<ShardTakeover>,
}

/// Takeover of the shards of a killed daemon.
#[derive(Clone, Debug)]
pub struct ShardTakeover {
    /// Time until every shard was open, or `None` if that took longer than [`TAKEOVER_LIMIT`].
    pub length: Option<Duration>,
    /// Kinds of the failures that were active when the holder was killed.
    pub concurrent: Vec<FailureKind>,
}

/// Injects failures that start within `length`, and ends all of them.
pub fn inject_failures(
    cluster: &mut cluster::TestCluster,
    plan: &plan::ClusterPlan,
    length: Duration,
    seed: u64,
) -> InjectionReport {
    let layout = timeline::ZoneLayout {
        zones: plan.zones.len(),
        entries: plan.entries,
        engines: plan.engines,
    };
    let failures = timeline::plan(&layout, length, seed);
    let mut injector = FailureInjector {
        cluster,
        plan: plan.clone(),
        layout,
        active: Vec::new(),
        draining: Vec::new(),
        faults: platform_control::PlatformFaults::default(),
        watches: Vec::new(),
        report: InjectionReport::default(),
    };
    for service in &injector.cluster.services {
        let address = injector.cluster.platform_address;
        task::block_on(control::list_on_demand(address, &service.spec));
    }
    let begin = Instant::now();
    for step in steps(&failures) {
        thread::sleep(step.at.saturating_sub(begin.elapsed()));
        eprintln!(
            "{:.1} s, stage {}: {:?}",
            begin.elapsed().as_secs_f64(),
            step.stage,
            step.failure
        );
        injector.apply(&step);
    }
    injector.end()
}

/// Stage of a failure.
struct TimelineStep {
    at: Duration,
    failure: PlannedFailure,
    stage: usize,
}

fn steps(failures: &[PlannedFailure]) -> Vec<TimelineStep> {
    let stages = |failure: PlannedFailure| {
        failure.kind.stages().iter().enumerate().map(move |(stage, offset)| TimelineStep {
            at: failure.start + Duration::from_millis(*offset),
            failure,
            stage,
        })
    };
    let mut steps: Vec<_> = failures.iter().copied().flat_map(stages).collect();
    // The sort is stable, and a failure that ends at the start of another one ends first.
    steps.sort_by_key(|step| (step.at, step.stage == 0));
    steps
}

struct FailureInjector<'a> {
    cluster: &'a mut cluster::TestCluster,
    plan: plan::ClusterPlan,
    layout: timeline::ZoneLayout,
    active: Vec<PlannedFailure>,
    /// Entry daemons that are draining before they are replaced.
    draining: Vec<usize>,
    faults: platform_control::PlatformFaults,
    watches: Vec<TakeoverWatch>,
    report: InjectionReport,
}

struct TakeoverWatch {
    concurrent: Vec<FailureKind>,
    watch: task::JoinHandle<Option<Duration>>,
}

impl FailureInjector<'_> {
    fn apply(&mut self, step: &TimelineStep) {
        let failure = step.failure;
        let affected_vms = failure.affected_vms(&self.layout);
        self.restart_drained(|entry| affected_vms.contains(&timeline::AffectedVm::Entry(entry)));
        if step.stage == 0 {
            self.record_start(&failure);
        }
        match (failure.kind, step.stage) {
            (FailureKind::HolderKilled, 0) => self.kill_holder(failure.entry),
            (FailureKind::EntryPaused, 0) => self.cluster.entries[failure.entry].entry.pause(),
            (FailureKind::EntryPaused, _) => self.cluster.entries[failure.entry].entry.resume(),
            (FailureKind::EntryStopped, 0) => self.cluster.entries[failure.entry].entry.terminate(),
            (FailureKind::EntryStopped, _) => self.draining.push(failure.entry),
            (FailureKind::EntryReclaimed, 0) => {
                let name = &self.cluster.entries[failure.entry].spec.name;
                self.reclaim(vm_scope(name), timeline::ENTRY_NOTICE_SECONDS);
            }
            (FailureKind::EntryReclaimed, 1) => self.cluster.entries[failure.entry].entry.kill(),
            (FailureKind::EntryReclaimed, _) => self.cluster.replace_entry_vm(failure.entry),
            (FailureKind::HolderKilled, _) => self.cluster.respawn_entry_vm(failure.entry),
            (FailureKind::EntryRestarted, 0) => self.cluster.entries[failure.entry].entry.kill(),
            (FailureKind::EntryRestarted, _) => self.cluster.respawn_entry_vm(failure.entry),
            (FailureKind::EngineKilled, 0) | (FailureKind::EngineReclaimed, 1) => {
                self.cluster.engines[failure.engine].process.kill();
            }
            (FailureKind::EngineKilled, _) => self.cluster.restart_engine(failure.engine),
            (FailureKind::EngineReclaimed, 2..) => self.cluster.replace_engine_vm(failure.engine),
            (FailureKind::EngineReclaimed, _) => {
                let name = &self.cluster.engines[failure.engine].spec.name;
                self.reclaim(vm_scope(name), timeline::ENGINE_NOTICE_SECONDS);
            }
            (FailureKind::EnginePaused, 0) => {
                self.cluster.engines[failure.engine].process.pause();
            }
            (FailureKind::EnginePaused, _) => {
                self.cluster.engines[failure.engine].process.resume();
            }
            (FailureKind::ConnectionsSilent, 0) => {
                self.call_faults(fault::CallFaults { silence_open: true, ..Default::default() });
            }
            (FailureKind::AnswersDropped, 0) => {
                self.call_faults(fault::CallFaults { drop_answers: 3, ..Default::default() });
            }
            (FailureKind::ConnectionsSilent | FailureKind::AnswersDropped, _) => {}
            (
                FailureKind::TableDown | FailureKind::TableSlow | FailureKind::TableAnswersLost,
                stage,
            ) => {
                self.faults.table = match stage {
                    0 => table_faults(failure.kind),
                    _ => faults::StoreFaults::default(),
                };
                self.set_platform_faults();
            }
            (FailureKind::ZoneCut, stage) => {
                let zone = self.plan.zones[failure.zone].parse();
                let zone = zone.expect("the harness's names are identifiers");
                self.faults.cut_zones = if stage == 0 { vec![zone] } else { Vec::new() };
                self.set_platform_faults();
            }
            (FailureKind::ZoneReclaimed, 0) => {
                let zone = self.plan.zones[failure.zone].parse();
                let zone = zone.expect("the harness's names are identifiers");
                let scope = fleet::ReclaimScope::Zone(zone);
                self.reclaim(scope, timeline::ENTRY_NOTICE_SECONDS);
            }
            (FailureKind::ZoneReclaimed, 1) => self.lose_zone(failure.zone),
            (FailureKind::ZoneLostTwice, 0 | 2) => self.lose_zone(failure.zone),
            (FailureKind::ZoneReclaimed, _) => {
                self.resume_services(failure.zone);
                for index in self.engines_of(failure.zone) {
                    self.cluster.replace_engine_vm(index);
                }
                for index in self.entries_of(failure.zone) {
                    self.cluster.replace_entry_vm(index);
                }
            }
            (FailureKind::ZoneLostTwice, _) => {
                self.resume_services(failure.zone);
                for index in self.engines_of(failure.zone) {
                    self.cluster.restart_engine(index);
                }
                for index in self.entries_of(failure.zone) {
                    self.cluster.respawn_entry_vm(index);
                }
            }
        }
        if step.stage + 1 == failure.kind.stages().len() {
            self.active.retain(|active| *active != failure);
        }
    }

    /// Restarts the entry daemons whose planned shutdown is complete, and waits for those that
    /// `must_wait` selects.
    fn restart_drained(&mut self, must_wait: impl Fn(usize) -> bool) {
        for entry in mem::take(&mut self.draining) {
            let stopped = &mut self.cluster.entries[entry].entry;
            if must_wait(entry) {
                stopped.wait_end();
            }
            match stopped.has_ended() {
                true => self.cluster.respawn_entry_vm(entry),
                false => self.draining.push(entry),
            }
        }
    }

    fn record_start(&mut self, failure: &PlannedFailure) {
        *self.report.failures.entry(failure.kind).or_default() += 1;
        for active in &self.active {
            *self.report.pairs.entry((active.kind, failure.kind)).or_default() += 1;
        }
        self.active.push(*failure);
    }

    /// Kills an entry daemon and starts measuring the time until every shard is open again.
    fn kill_holder(&mut self, entry: usize) {
        let held = self.cluster.open_shards(entry).unwrap_or(0);
        self.cluster.entries[entry].entry.kill();
        if held == 0 {
            return;
        }
        let entries = self.cluster.entries.iter().map(|vm| vm.spec.http).collect();
        let concurrent = self.active.iter().map(|active| active.kind);
        let concurrent = concurrent.filter(|kind| *kind != FailureKind::HolderKilled).collect();
        let watch = task::spawn(watch_takeover(entries, u64::from(self.plan.shards)));
        self.watches.push(TakeoverWatch { concurrent, watch });
    }

    fn reclaim(&self, scope: fleet::ReclaimScope, seconds: u64) {
        task::block_on(control::reclaim(self.cluster.platform_address, scope, seconds));
    }

    /// Injects faults into the engines and services that no active failure takes out of service.
    fn call_faults(&self, faults: fault::CallFaults) {
        let affected_vms: Vec<_> =
            self.active.iter().flat_map(|active| active.affected_vms(&self.layout)).collect();
        let engines = self.cluster.engines.iter().enumerate();
        let engines = engines
            .filter(|(index, _)| !affected_vms.contains(&timeline::AffectedVm::Engine(*index)))
            .map(|(_, vm)| vm);
        let affected_services = self
            .active
            .iter()
            .filter(|active| pauses_services(active.kind))
            .map(|active| active.zone);
        let affected_services: Vec<_> =
            affected_services.flat_map(|zone| self.services_of(zone)).collect();
        let services = self.cluster.services.iter().enumerate();
        let services =
            services.filter(|(index, _)| !affected_services.contains(index)).map(|(_, vm)| vm);
        for upstream in engines.chain(services) {
            task::block_on(control::set_faults(upstream.spec.address, faults));
        }
    }

    fn set_platform_faults(&self) {
        let address = self.cluster.platform_address;
        task::block_on(control::set_platform_faults(address, &self.faults));
    }

    /// Takes all VMs of a zone out of service. The services' processes are paused instead of
    /// killed, since they hold the run counts that the audit reads.
    fn lose_zone(&mut self, zone: usize) {
        for index in self.entries_of(zone) {
            self.cluster.entries[index].entry.kill();
        }
        for index in self.engines_of(zone) {
            self.cluster.engines[index].process.kill();
        }
        for index in self.services_of(zone) {
            self.cluster.services[index].process.pause();
        }
    }

    fn resume_services(&self, zone: usize) {
        for index in self.services_of(zone) {
            self.cluster.services[index].process.resume();
        }
    }

    fn entries_of(&self, zone: usize) -> ops::Range<usize> {
        self.plan.entries * zone..self.plan.entries * (zone + 1)
    }

    fn engines_of(&self, zone: usize) -> ops::Range<usize> {
        self.plan.engines * zone..self.plan.engines * (zone + 1)
    }

    fn services_of(&self, zone: usize) -> ops::Range<usize> {
        self.plan.services * zone..self.plan.services * (zone + 1)
    }

    /// Waits until every entry daemon is ready and every takeover watch has ended.
    fn end(mut self) -> InjectionReport {
        self.restart_drained(|_| true);
        for index in 0..self.cluster.entries.len() {
            cluster::wait_ready(self.cluster.entry(index));
        }
        for takeover in self.watches {
            let length = task::block_on(takeover.watch);
            self.report.takeovers.push(ShardTakeover { length, concurrent: takeover.concurrent });
        }
        self.report
    }
}

/// Returns the table faults of a failure kind.
pub fn table_faults(kind: FailureKind) -> faults::StoreFaults {
    match kind {
        FailureKind::TableDown => faults::StoreFaults { unavailable: true, ..Default::default() },
        FailureKind::TableSlow => {
            faults::StoreFaults { delay: time::Millis::new(1_500), ..Default::default() }
        }
        FailureKind::TableAnswersLost => {
            faults::StoreFaults { lost_answers: 20, lost_requests: 10, ..Default::default() }
        }
        _ => faults::StoreFaults::default(),
    }
}

fn pauses_services(kind: FailureKind) -> bool {
    matches!(kind, FailureKind::ZoneReclaimed | FailureKind::ZoneLostTwice)
}

fn vm_scope(name: &str) -> fleet::ReclaimScope {
    fleet::ReclaimScope::Vm(name.parse().expect("the harness's names are identifiers"))
}

/// Returns the time until every shard is open at one of the entry daemons.
async fn watch_takeover(entries: Vec<net::SocketAddr>, shards: u64) -> Option<Duration> {
    let killed = Instant::now();
    while killed.elapsed() < TAKEOVER_LIMIT {
        let mut open = 0;
        for entry in &entries {
            open += open_shards(*entry).await;
        }
        if open >= shards {
            return Some(killed.elapsed());
        }
        task::sleep(TAKEOVER_POLL_INTERVAL).await;
    }
    None
}

async fn open_shards(entry: net::SocketAddr) -> u64 {
    let reading = Box::pin(control::get_text(entry, "/metrics"));
    let asking = future::timeout(METRICS_TIMEOUT, reading);
    let text = asking.await.ok().flatten().unwrap_or_default();
    let mut lines = text.lines();
    let open = lines.find_map(|line| line.strip_prefix("samphiremoor_shards_open ")?.parse().ok());
    open.unwrap_or(0)
}
