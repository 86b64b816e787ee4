//! Views for the tests: one pool of three services that three workspaces call.

#![allow(clippy::unwrap_used, reason = "the lint sees test functions only, not their helpers")]

use samphiremoor_base::digest;
use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_records::set;
use samphiremoor_view::zone;
use smallvec::SmallVec;
use smallvec::smallvec;

/// Services in the order of their priorities: draft 0, question 1, summary 2.
pub(crate) const SERVICES: [&str; 3] = ["draft", "question", "summary"];
/// Workspaces with their shares, in thousandths.
pub(crate) const WORKSPACES: [(&str, u16); 3] = [("utility", 700), ("clinics", 200), ("app", 100)];
/// Declared concurrency of one replica.
pub(crate) const CONCURRENCY: u32 = 10;

pub(crate) fn service_id(name: &str) -> id::ServiceId {
    name.parse().unwrap()
}

pub(crate) fn workspace_id(name: &str) -> id::WorkspaceId {
    name.parse().unwrap()
}

fn service(name: &str, priority: u8) -> set::ServiceRecord {
    set::ServiceRecord {
        id: service_id(name),
        target: set::ServiceTarget::Plain,
        priority: quantity::PriorityLevel::new(priority),
        latency: set::LatencyTarget {
            first: time::Millis::new(1_000),
            between: time::Millis::new(80),
            deadline: time::Millis::new(20_000),
        },
        weights: set::GoalWeights {
            cost: quantity::PerMille::new(500),
            recomputed: quantity::PerMille::new(500),
        },
        repeatable: true,
    }
}

fn replica(index: u32) -> zone::ReplicaView {
    zone::ReplicaView {
        id: format!("r{index}").parse().unwrap(),
        vm: format!("vm{index}").parse().unwrap(),
        zone: "songino".parse().unwrap(),
        pool: "assistant".parse().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        state: zone::UpstreamState::Live,
        models: SmallVec::new(),
        price: quantity::MicroPrice::new(1_000_000),
        reclaimable: true,
        load: zone::LoadReport::default(),
    }
}

/// Returns a view with `replica_count` live replicas.
pub(crate) fn view(replica_count: u32) -> zone::ZoneView {
    let services: SmallVec<[id::ServiceId; 4]> =
        SERVICES.iter().map(|name| service_id(name)).collect();
    let pool = set::PoolRecord {
        id: "assistant".parse().unwrap(),
        services: services.clone(),
        zones: smallvec!["songino".parse().unwrap()],
        classes: smallvec!["large".parse().unwrap()],
        min_replicas: 1,
        max_replicas: 100,
        concurrency: CONCURRENCY,
        checks_fencing: true,
    };
    let workspace = |(name, share): &(&str, u16)| set::WorkspaceRecord {
        id: workspace_id(name),
        key_digest: digest::HexDigest::of(name.as_bytes()),
        services: services.clone(),
        share: quantity::PerMille::new(*share),
        max_in_progress: 200,
    };
    zone::ZoneView {
        zone: "songino".parse().unwrap(),
        serial: 1,
        incarnation: quantity::Incarnation::new(1),
        records: set::RecordSet {
            revision: quantity::RevisionNumber::new(1),
            workspaces: WORKSPACES.iter().map(workspace).collect(),
            services: (0..).zip(SERVICES).map(|(priority, name)| service(name, priority)).collect(),
            pools: vec![pool],
        },
        replicas: (0..replica_count).map(replica).collect(),
        daemons: Vec::new(),
        platform: zone::PlatformState::Available,
        own_stop: None,
    }
}
