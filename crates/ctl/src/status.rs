//! What runs, by availability zone and by service.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_records::set;
use samphiremoor_routing::picker;
use samphiremoor_view::zone;
use serde::Serialize;

use crate::survey;

/// The whole status.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct SystemStatus {
    /// The revision in the table; none where the table does not answer.
    pub written: Option<quantity::RevisionNumber>,
    /// Availability zones, by id.
    pub zones: Vec<ZoneStatus>,
    /// Services, by id.
    pub services: Vec<ServiceStatus>,
}

/// An availability zone.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct ZoneStatus {
    /// The availability zone.
    pub zone: id::ZoneId,
    /// The lowest revision in force at a daemon that answers; none where none answers.
    pub revision: Option<quantity::RevisionNumber>,
    /// Time since that revision came into force.
    pub age_ms: Option<time::Millis>,
    /// Daemons that answer.
    pub answering: usize,
    /// All daemons.
    pub daemons: usize,
    /// Whether the platform answers there; none where no daemon answers.
    pub platform: Option<zone::PlatformState>,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct ServiceStatus {
    /// The service.
    pub service: id::ServiceId,
    /// Replicas by state.
    pub replicas: ReplicaCounts,
    /// Price of the VMs of all its pools for each hour, in millionths; pools may be shared.
    pub price_per_hour: quantity::MicroPrice,
    /// Requests in the batches of its live replicas, as far as they were reported.
    pub running: u64,
    /// Requests that wait at its live replicas.
    pub queued: u64,
    /// Requests that its live replicas can serve at the same time within the latency target.
    pub capacity: u64,
    /// The latency target to the first token or answer.
    pub target_first_ms: time::Millis,
    /// Whether the latency target is likely met.
    pub latency: LatencyOutlook,
}

/// Replicas by state.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct ReplicaCounts {
    /// Started, and not ready yet for this service.
    pub joining: usize,
    /// Taking new work.
    pub live: usize,
    /// Finishing their work.
    pub leaving: usize,
}

/// What control knows of the latency: it sees load, not answers.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LatencyOutlook {
    /// Fewer requests than the replicas serve within the target.
    WithinTarget,
    /// More requests than the replicas serve within the target.
    AtRisk,
    /// No live replica.
    NoReplica,
}

/// Makes the status of what the daemons answered. `views` holds a view of each zone that has one.
pub fn make(
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
        let zone = &daemon.news.zone;
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
    let replicas = newest_replicas(views);
    let mut services: Vec<ServiceStatus> = records
        .services
        .iter()
        .map(|service| service_status(records, service, &replicas))
        .collect();
    services.sort_by(|first, second| first.service.cmp(&second.service));
    services
}

/// Each replica as its own zone sees it; as another zone sees it where its own does not answer.
pub fn newest_replicas(views: &[zone::ZoneView]) -> Vec<&zone::ReplicaView> {
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

/// A replica that is live without the service's model counts as joining.
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
