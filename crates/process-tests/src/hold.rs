//! One failure that is held for a whole run, and what the callers of each zone are told meanwhile.

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
use crate::fleet;
use crate::plan;

/// Time for the daemons to settle before the failure, so that each shard has its copy set.
const CALM_TIME: Duration = Duration::from_secs(4);

/// Pause of a caller between two calls.
const CALL_PAUSE: Duration = Duration::from_millis(100);

/// Calls in a thousand that ask for a streamed answer.
const CHATS_PER_MILLE: u32 = 300;

/// Tokens of a streamed answer.
const CHAT_TOKENS: u64 = 40;

/// A failure that is held. The zone that it concerns is the first one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeldFailure {
    /// None, for comparison.
    None,
    /// The table refuses everything.
    TableDown,
    /// The zone is cut off from the platform.
    ZoneCut,
    /// The zone is cut off from the platform and from every other zone.
    ZoneIsolated,
}

impl str::FromStr for HeldFailure {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "none" => Ok(HeldFailure::None),
            "table-down" => Ok(HeldFailure::TableDown),
            "zone-cut" => Ok(HeldFailure::ZoneCut),
            "zone-isolated" => Ok(HeldFailure::ZoneIsolated),
            _ => Err("use none, table-down, zone-cut or zone-isolated".to_owned()),
        }
    }
}

/// What the callers of one zone were told.
#[derive(Clone, Debug)]
pub struct ZoneReport {
    /// The zone.
    pub zone: String,
    /// What its callers saw.
    pub report: fleet::FleetReport,
    /// When the failure was mended.
    pub mended: Instant,
}

/// Holds a failure while callers in each zone send to that zone's entry daemons.
pub fn run(
    cluster: &cluster::TestCluster,
    plan: &plan::ClusterPlan,
    failure: HeldFailure,
    length: Duration,
    load: &HeldLoad,
) -> Vec<ZoneReport> {
    thread::sleep(CALM_TIME);
    begin(cluster, plan, failure);
    let fleets: Vec<_> = (0..plan.zones.len())
        .map(|zone| fleet::CallerFleet::start(&load.fleet_plan(cluster, plan, zone)))
        .collect();
    thread::sleep(length);
    let mended = Instant::now();
    end(cluster);
    let reports = fleets.into_iter().map(fleet::CallerFleet::finish);
    let named = plan.zones.iter().cloned().zip(reports);
    named.map(|(zone, report)| ZoneReport { zone, report, mended }).collect()
}

/// Callers of a run with a held failure.
#[derive(Clone, Copy, Debug)]
pub struct HeldLoad {
    /// Callers in each zone.
    pub callers: u32,
    /// Seed of their choices.
    pub seed: u64,
}

impl HeldLoad {
    fn fleet_plan(
        &self,
        cluster: &cluster::TestCluster,
        plan: &plan::ClusterPlan,
        zone: usize,
    ) -> fleet::FleetPlan {
        let entries = plan.entries * zone..plan.entries * (zone + 1);
        fleet::FleetPlan {
            entries: entries.map(|index| cluster.entry(index)).collect(),
            callers: self.callers,
            pause: CALL_PAUSE,
            chats_per_mille: CHATS_PER_MILLE,
            chat_tokens: CHAT_TOKENS,
            // Keys are made of the seed, and no two zones share one.
            seed: self.seed * plan.zones.len() as u64 + zone as u64,
        }
    }
}

fn begin(cluster: &cluster::TestCluster, plan: &plan::ClusterPlan, failure: HeldFailure) {
    let zone = &plan.zones[0];
    let cut_zones = vec![zone.parse().expect("the harness's names are identifiers")];
    let mut faults = platform_control::PlatformFaults::default();
    match failure {
        HeldFailure::None => return,
        HeldFailure::TableDown => {
            faults.table = faults::StoreFaults { unavailable: true, ..Default::default() };
        }
        HeldFailure::ZoneCut => faults.cut_zones = cut_zones,
        HeldFailure::ZoneIsolated => {
            faults.cut_zones = cut_zones;
            for other in &plan.zones[1..] {
                cluster.links.cut(zone, other);
                cluster.links.cut(other, zone);
            }
        }
    }
    task::block_on(control::set_platform_faults(cluster.platform_address, &faults));
}

fn end(cluster: &cluster::TestCluster) {
    let none = platform_control::PlatformFaults::default();
    task::block_on(control::set_platform_faults(cluster.platform_address, &none));
    cluster.links.mend();
}

impl fmt::Display for ZoneReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for kind in [fleet::SendKind::Booking, fleet::SendKind::Chat] {
            let samples = self.report.samples.iter();
            let samples = samples.filter(|sample| sample.kind == kind && sample.sent < self.mended);
            let samples: Vec<_> = samples.collect();
            let mut shares = collections::BTreeMap::<_, Vec<Duration>>::new();
            for sample in &samples {
                let is_late = sample.sent + sample.length > self.mended;
                let label = if is_late { "open at the end" } else { fleet::label(sample.told) };
                shares.entry(label).or_default().push(sample.length);
            }
            write!(f, "{} {}: {} sends", self.zone, kind.label(), samples.len())?;
            for (label, lengths) in &mut shares {
                lengths.sort();
                let share = 100.0 * lengths.len() as f64 / samples.len() as f64;
                let middle = percentile(lengths, 50);
                let high = percentile(lengths, 95);
                write!(f, "; {label} {share:.1}%, p50 {middle} ms, p95 {high} ms")?;
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
        writeln!(f, "  calls {calls}, complete in the end {complete}")
    }
}

/// A percentile of sorted lengths in milliseconds.
fn percentile(sorted: &[Duration], percent: usize) -> u128 {
    let index = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
    sorted.get(index).map_or(0, Duration::as_millis)
}
