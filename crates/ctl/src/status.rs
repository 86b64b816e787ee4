//! Status of the availability zones and the services.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_records::set;
use samphiremoor_routing::picker;
use samphiremoor_view::zone;
use serde::Serialize;

use crate::survey;

/// Status of the system.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct SystemStatus {
    /// Revision in the table, or `None` if the table does not respond.
    pub written: Option<quantity::RevisionNumber>,
    /// Availability zones, by id.
    pub zones: Vec<ZoneStatus>,
    /// Services, by id.
    pub services: Vec<ServiceStatus>,
}

/// Status of an availability zone.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct ZoneStatus {
    /// Id of the availability zone.
    pub zone: id::ZoneId,
    /// Lowest revision in force at a daemon that responds, or `None` if none responds.
    pub revision: Option<quantity::RevisionNumber>,
    /// Time since that revision came into force.
    pub age_ms: Option<time::Millis>,
    /// Daemons that respond.
    pub answering: usize,
    /// All daemons.
    pub daemons: usize,
    /// State of the platform as seen from the zone, or `None` if no daemon responds.
    pub platform: Option<zone::PlatformState>,
}

/// Status of a service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct ServiceStatus {
    /// Id of the service.
    pub service: id::ServiceId,
    /// Number of replicas in each state.
    pub replicas: ReplicaCounts,
    /// Price per hour of the VMs in all pools of the service, in millionths of the currency unit. A
    /// pool that several services share is counted for each of them.
    pub price_per_hour: quantity::MicroPrice,
    /// Requests that run at the live replicas, as reported by the replicas.
    pub running: u64,
    /// Requests queued at the live replicas.
    pub queued: u64,
    /// Requests that the live replicas can serve concurrently within the latency target.
    pub capacity: u64,
    /// Latency target for the first token, or for the response of a plain service.
    pub target_first_ms: time::Millis,
    /// Whether the latency target is likely to be met.
    pub latency: LatencyOutlook,
}

/// Number of replicas in each state.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct ReplicaCounts {
    /// Replicas that are started but not ready for the service.
    pub joining: usize,
    /// Replicas that take new work.
    pub live: usize,
    /// Replicas that finish their work.
    pub leaving: usize,
}

/// Estimate of whether the latency target is met.
///
/// The control threads know the load of the replicas but not the latencies, so the estimate
/// compares the load with the capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LatencyOutlook {
    /// The load does not exceed the capacity within the target.
    WithinTarget,
    /// The load exceeds the capacity within the target.
    AtRisk,
    /// There is no live replica.
    NoReplica,
}

/// Builds the status from the survey and the views; `views` has at most one view for each zone.
pub fn build(
    written: Option<quantity::RevisionNumber>,
    survey: &survey::RevisionSurvey,
    views: &[zone::ZoneView],
) -> SystemStatus {
    let newest = views.iter().max_by_key(|view| view.records.revision);
    let services = newest.map(|view| service_statuses(&view.records, views)).unwrap_or_default();
    SystemStatus { written, zones: zone_statuses(survey, views), services }
}

fn zone_statuses(survey: &survey::RevisionSurvey, views: &[zone::ZoneView]) -> Vec<ZoneStatus> {
    let mut zones: collections::BTreeMap<id::ZoneId, ZoneStatus> = collections::BTreeMap::new();
    for daemon in &survey.daemons {
        let zone = &daemon.info.zone;
        let view = views.iter().find(|view| view.zone == *zone);
        let status = zones.entry(zone.clone()).or_insert_with(|| ZoneStatus {
            zone: zone.clone(),
            revision: None,
            age_ms: None,
            answering: 0,
            daemons: 0,
            platform: view.map(|view| view.platform),
        });
        status.daemons += 1;
        let Some(report) = &daemon.report else { continue };
        status.answering += 1;
        if status.revision.is_none_or(|lowest| report.revision < lowest) {
            status.revision = Some(report.revision);
            status.age_ms = Some(report.age);
        }
    }
    zones.into_values().collect()
}

fn service_statuses(records: &set::RecordSet, views: &[zone::ZoneView]) -> Vec<ServiceStatus> {
    let replicas = merge_replicas(views);
    let mut services: Vec<ServiceStatus> = records
        .services
        .iter()
        .map(|service| service_status(records, service, &replicas))
        .collect();
    services.sort_by(|first, second| first.service.cmp(&second.service));
    services
}

/// Returns each replica as the view of its own zone shows it, or as another view shows it if its
/// own zone has none.
pub fn merge_replicas(views: &[zone::ZoneView]) -> Vec<&zone::ReplicaView> {
    let mut replicas = collections::BTreeMap::new();
    for view in views {
        for replica in &view.replicas {
            if replica.zone == view.zone || !replicas.contains_key(&replica.id) {
                replicas.insert(&replica.id, replica);
            }
        }
    }
    replicas.into_values().collect()
}

fn service_status(
    records: &set::RecordSet,
    service: &set::ServiceRecord,
    replicas: &[&zone::ReplicaView],
) -> ServiceStatus {
    let mut status = ServiceStatus {
        service: service.id.clone(),
        replicas: ReplicaCounts::default(),
        price_per_hour: quantity::MicroPrice::default(),
        running: 0,
        queued: 0,
        capacity: 0,
        target_first_ms: service.latency.first,
        latency: LatencyOutlook::NoReplica,
    };
    for pool in records.pools_of(&service.id) {
        for replica in replicas.iter().filter(|replica| replica.pool == pool.id) {
            let can_serve = picker::is_eligible(records, service, replica);
            add_replica(&mut status, replica, can_serve, pool.concurrency);
        }
    }
    if status.replicas.live > 0 {
        let is_within = status.running + status.queued <= status.capacity;
        status.latency =
            if is_within { LatencyOutlook::WithinTarget } else { LatencyOutlook::AtRisk };
    }
    status
}

/// Adds a replica to the status; a live replica that can't serve the service counts as joining.
fn add_replica(
    status: &mut ServiceStatus,
    replica: &zone::ReplicaView,
    can_serve: bool,
    concurrency: u32,
) {
    let price = status.price_per_hour.get().saturating_add(replica.price.get());
    status.price_per_hour = quantity::MicroPrice::new(price);
    match replica.state {
        zone::UpstreamState::Joining => status.replicas.joining += 1,
        zone::UpstreamState::Leaving => status.replicas.leaving += 1,
        zone::UpstreamState::Gone => {}
        zone::UpstreamState::Live if !can_serve => status.replicas.joining += 1,
        zone::UpstreamState::Live => {
            status.replicas.live += 1;
            status.running += u64::from(replica.load.running);
            status.queued += u64::from(replica.load.queued);
            status.capacity += u64::from(concurrency);
        }
    }
}
