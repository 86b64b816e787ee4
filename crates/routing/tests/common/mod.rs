//! Views, services and prompts for the tests.

#![allow(clippy::unwrap_used, reason = "the lint sees test functions only, not their helpers")]

use samphiremoor_base::digest;
use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_records::set;
use samphiremoor_routing::prefix;
use samphiremoor_view::zone;
use smallvec::smallvec;

pub(crate) fn model() -> set::LoadedModel {
    set::LoadedModel {
        model: "drafting".parse().unwrap(),
        version: "v1".parse().unwrap(),
        adapter: None,
    }
}

pub(crate) fn service(cost_per_mille: u16, recomputed_per_mille: u16) -> set::ServiceRecord {
    set::ServiceRecord {
        id: "rental-draft".parse().unwrap(),
        target: set::ServiceTarget::Model(model()),
        priority: quantity::PriorityLevel::new(0),
        latency: set::LatencyTarget {
            first: time::Millis::new(1_000),
            between: time::Millis::new(80),
            deadline: time::Millis::new(20_000),
        },
        weights: set::GoalWeights {
            cost: quantity::PerMille::new(cost_per_mille),
            recomputed: quantity::PerMille::new(recomputed_per_mille),
        },
        repeatable: true,
    }
}

pub(crate) fn workspace() -> id::WorkspaceId {
    "bayanzurkh-clinic".parse().unwrap()
}

/// Returns a replica of the pool `assistant`.
pub(crate) fn replica(id: &str, zone: &str) -> zone::ReplicaView {
    zone::ReplicaView {
        id: id.parse().unwrap(),
        vm: format!("vm-{id}").parse().unwrap(),
        zone: zone.parse().unwrap(),
        pool: "assistant".parse().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        state: zone::UpstreamState::Live,
        models: smallvec![model()],
        price: quantity::MicroPrice::new(1_000_000),
        reclaimable: true,
        load: zone::LoadReport::default(),
    }
}

/// Returns a view of the availability zone `songino`.
pub(crate) fn view(
    service: &set::ServiceRecord,
    replicas: Vec<zone::ReplicaView>,
) -> zone::ZoneView {
    let pool = set::PoolRecord {
        id: "assistant".parse().unwrap(),
        services: smallvec![service.id.clone()],
        zones: smallvec!["songino".parse().unwrap()],
        classes: smallvec!["large".parse().unwrap()],
        min_replicas: 1,
        max_replicas: 1_000,
        concurrency: 8,
        checks_fencing: true,
    };
    let workspace = set::WorkspaceRecord {
        id: workspace(),
        key_digest: digest::HexDigest::of(b"key"),
        services: smallvec![service.id.clone()],
        share: quantity::PerMille::new(500),
        max_in_progress: 100,
    };
    zone::ZoneView {
        zone: "songino".parse().unwrap(),
        serial: 1,
        incarnation: quantity::Incarnation::new(1),
        records: set::RecordSet {
            revision: quantity::RevisionNumber::new(1),
            workspaces: vec![workspace],
            services: vec![service.clone()],
            pools: vec![pool],
        },
        replicas,
        daemons: Vec::new(),
        platform: zone::PlatformState::Available,
        own_stop: None,
    }
}

/// Returns the block hashes of a prompt that consists of `(name, block_count)` segments.
pub(crate) fn prompt(segments: &[(&str, usize)]) -> Vec<prefix::PrefixHash> {
    let mut hashes = Vec::new();
    for (name, block_count) in segments {
        for block_index in 0..*block_count {
            let block = format!("{name}#{block_index}");
            hashes.push(prefix::chain_block(hashes.last().copied(), block.as_bytes()));
        }
    }
    hashes
}

/// Returns the number of tokens in the blocks.
pub(crate) fn tokens(blocks: &[prefix::PrefixHash]) -> quantity::TokenCount {
    quantity::TokenCount::new(blocks.len() as u64 * prefix::BLOCK_TOKENS)
}
