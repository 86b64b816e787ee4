//! Replica entries of one service, for the tests.

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_fleet::replica;

pub(crate) fn service() -> id::ServiceId {
    "drafts".parse().expect("the name is an identifier")
}

pub(crate) fn zone(index: usize) -> id::ZoneId {
    format!("zone-{}", index % 4).parse().expect("the name is an identifier")
}

pub(crate) fn replica_id(index: usize) -> id::ReplicaId {
    format!("replica-{index}").parse().expect("the name is an identifier")
}

/// Returns the entry of a replica. Replicas are spread over four zones.
pub(crate) fn entry(index: usize, incarnation: u64) -> replica::ReplicaEntry {
    replica::ReplicaEntry {
        id: replica_id(index),
        service: service(),
        address: format!("10.0.0.{index}:80").parse().expect("the address is valid"),
        zone: zone(index),
        version: None,
        slots: 64,
        is_draining: false,
        incarnation: quantity::Incarnation::new(incarnation),
        is_reclaimable: false,
        time_to_reclaim: None,
    }
}
