//! One failure that lasts for a whole run, and the outcomes that the callers of each zone receive
//! meanwhile.

use std::collections;
use std::fmt;
use std::str;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use samphiremoor_platform::faults;
use samphiremoor_standin_platform::control as platform_control;

use crate::cluster;
use crate::control;
use crate::plan;
use crate::workload;

/// Time between the start of the cluster and the failure, so that each shard has its copy set.
const WARM_UP_TIME: Duration = Duration::from_secs(4);

/// Pause of a caller between two calls.
const CALL_PAUSE: Duration = Duration::from_millis(100);

/// Share of calls that request a streamed response, per mille.
const CHATS_PER_MILLE: u32 = 300;

/// Number of tokens of a streamed response.
const CHAT_TOKENS: u64 = 40;

/// Failure that lasts for a whole run. It affects the first zone of the plan.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SustainedFailure {
    /// No failure, as a baseline.
    None,
    /// The table refuses every call.
    TableDown,
    /// The zone can't reach the platform.
    ZoneCut,
    /// The zone can't reach the platform or any other zone.
    ZoneIsolated,
}

impl str::FromStr for SustainedFailure {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "none" => Ok(SustainedFailure::None),
            "table-down" => Ok(SustainedFailure::TableDown),
            "zone-cut" => Ok(SustainedFailure::ZoneCut),
            "zone-isolated" => Ok(SustainedFailure::ZoneIsolated),
            _ => Err("use none, table-down, zone-cut or zone-isolated".to_owned()),
        }
    }
}

/// Outcomes that the callers of one zone received.
#[derive(Clone, Debug)]
pub struct ZoneReport {
    /// Name of the zone.
    pub zone: String,
    /// Report of the zone's callers.
    pub report: workload::WorkloadReport,
    /// Time at which the failure ended.
    pub ended_at: Instant,
}

/// Sustains a failure while callers in each zone send requests to that zone's entry daemons.
pub fn run(
    cluster: &cluster::TestCluster,
    plan: &plan::ClusterPlan,
    failure: SustainedFailure,
    length: Duration,
    load: &SustainedLoad,
) -> Vec<ZoneReport> {
    thread::sleep(WARM_UP_TIME);
    inject(cluster, plan, failure);
    let runners: Vec<_> = (0..plan.zones.len())
        .map(|zone| workload::WorkloadRunner::start(&load.workload_plan(cluster, plan, zone)))
        .collect();
    thread::sleep(length);
    let ended_at = Instant::now();
    heal(cluster);
    let reports = runners.into_iter().map(workload::WorkloadRunner::finish);
    let zone_reports = plan.zones.iter().cloned().zip(reports);
    zone_reports.map(|(zone, report)| ZoneReport { zone, report, ended_at }).collect()
}

/// Load of a run with a sustained failure.
#[derive(Clone, Copy, Debug)]
pub struct SustainedLoad {
    /// Number of callers in each zone.
    pub callers: u32,
    /// Seed of the callers' random choices.
    pub seed: u64,
}

impl SustainedLoad {
    fn workload_plan(
        &self,
        cluster: &cluster::TestCluster,
        plan: &plan::ClusterPlan,
        zone: usize,
    ) -> workload::WorkloadPlan {
        let entries = plan.entries * zone..plan.entries * (zone + 1);
        workload::WorkloadPlan {
            entries: entries.map(|index| cluster.entry(index)).collect(),
            callers: self.callers,
            pause: CALL_PAUSE,
            chats_per_mille: CHATS_PER_MILLE,
            chat_tokens: CHAT_TOKENS,
            // Keys contain the seed, so each zone needs its own.
            seed: self.seed * plan.zones.len() as u64 + zone as u64,
        }
    }
}

fn inject(cluster: &cluster::TestCluster, plan: &plan::ClusterPlan, failure: SustainedFailure) {
    let zone = &plan.zones[0];
    let cut_zones = vec![zone.parse().expect("the harness's names are identifiers")];
    let mut faults = platform_control::PlatformFaults::default();
    match failure {
        SustainedFailure::None => return,
        SustainedFailure::TableDown => {
            faults.table = faults::StoreFaults { unavailable: true, ..Default::default() };
        }
        SustainedFailure::ZoneCut => faults.cut_zones = cut_zones,
        SustainedFailure::ZoneIsolated => {
            faults.cut_zones = cut_zones;
            for other in &plan.zones[1..] {
                cluster.links.block(zone, other);
                cluster.links.block(other, zone);
            }
        }
    }
    task::block_on(control::set_platform_faults(cluster.platform_address, &faults));
}

fn heal(cluster: &cluster::TestCluster) {
    let none = platform_control::PlatformFaults::default();
    task::block_on(control::set_platform_faults(cluster.platform_address, &none));
    cluster.links.heal();
}

impl fmt::Display for ZoneReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for kind in [workload::SendKind::Booking, workload::SendKind::Chat] {
            let samples = self.report.samples.iter();
            let samples =
                samples.filter(|sample| sample.kind == kind && sample.sent < self.ended_at);
            let samples: Vec<_> = samples.collect();
            let mut shares = collections::BTreeMap::<_, Vec<Duration>>::new();
            for sample in &samples {
                let is_late = sample.sent + sample.length > self.ended_at;
                let label =
                    if is_late { "pending at the end" } else { workload::label(sample.outcome) };
                shares.entry(label).or_default().push(sample.length);
            }
            write!(f, "{} {}: {} sends", self.zone, kind.label(), samples.len())?;
            for (label, lengths) in &mut shares {
                lengths.sort();
                let share = 100.0 * lengths.len() as f64 / samples.len() as f64;
                let median = percentile(lengths, 50);
                let tail = percentile(lengths, 95);
                write!(f, "; {label} {share:.1}%, p50 {median} ms, p95 {tail} ms")?;
            }
            writeln!(f)?;
        }
        for (label, count) in &self.report.refusals {
            writeln!(f, "  {label} {count}")?;
        }
        let is_complete = |label: &&String| label.ends_with("complete");
        let calls: u64 = self.report.outcomes.values().sum();
        let labels = self.report.outcomes.keys().filter(is_complete);
        let complete: u64 = labels.map(|label| self.report.count(label)).sum();
        writeln!(f, "  calls {calls}, finally complete {complete}")
    }
}

/// Returns a percentile of sorted durations, in milliseconds.
fn percentile(sorted: &[Duration], percent: usize) -> u128 {
    let index = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
    sorted.get(index).map_or(0, Duration::as_millis)
}
