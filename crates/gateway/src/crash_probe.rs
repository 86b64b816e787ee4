//! Probes of replicas that may have crashed.

use std::net::SocketAddr;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_fleet::replica;
use smallvec::SmallVec;

/// Time for which the result of a probe counts for further requests that ended with the replica.
const PROBE_MEMORY: time::Millis = time::Millis::new(300);

/// Numbers of replicas of the same and of other services that are probed to find out whether this daemon
/// reaches any.
const MAX_WITNESSES: (usize, usize) = (2, 1);

/// One start of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaStart {
    /// The replica.
    pub replica: id::ReplicaId,
    /// Its incarnation.
    pub incarnation: quantity::Incarnation,
    /// Its address.
    pub address: SocketAddr,
}

/// Probe whether a replica still accepts connections.
#[derive(Clone, Copy, Debug)]
pub struct CrashProbe {
    /// When the probe began.
    pub(crate) started_at: time::MonotonicTime,
    /// Whether the replica has crashed; `None` while that is not known.
    pub(crate) has_crashed: Option<bool>,
}

impl CrashProbe {
    /// Whether the result of the probe still counts.
    pub fn is_recent(&self, now: time::MonotonicTime) -> bool {
        now.since(self.started_at) < PROBE_MEMORY
    }
}

/// Returns replicas by which a daemon finds out whether its path to replicas is sound when one of them
/// refuses connections: those of the same service first, and of these the last ones that responded.
pub fn choose_witnesses(
    table: &replica::ReplicaTable,
    start: &ReplicaStart,
) -> SmallVec<[(id::ReplicaId, SocketAddr); 3]> {
    let service = table.get(&start.replica).map(|replica| &replica.entry.service);
    let mut others: Vec<&replica::KnownReplica> = table
        .iter()
        .filter(|replica| replica.entry.address != start.address && !replica.is_leaving())
        .collect();
    others.sort_by_key(|replica| std::cmp::Reverse(replica.last_contact));
    let is_same = |replica: &&&replica::KnownReplica| Some(&replica.entry.service) == service;
    let same = others.iter().filter(is_same).take(MAX_WITNESSES.0);
    let other = others.iter().filter(|replica| !is_same(replica)).take(MAX_WITNESSES.1);
    same.chain(other).map(|replica| (replica.entry.id.clone(), replica.entry.address)).collect()
}
