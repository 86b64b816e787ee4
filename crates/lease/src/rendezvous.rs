//! Distribution of leases and copies over daemons by rendezvous hashing.

use std::hash;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use siphasher::sip;
use smallvec::SmallVec;

use crate::row;

/// Returns the maximum number of leases that each of `live_daemons` daemons should hold.
pub fn fair_share(lease_count: u16, live_daemons: usize) -> usize {
    usize::from(lease_count).div_ceil(live_daemons.max(1))
}

/// Returns the rendezvous hash of a daemon and a shard. The hash ranks the shards differently for
/// each daemon, so that daemons rarely compete for the same shard.
pub fn rank(daemon: &id::DaemonId, shard: quantity::ShardNumber) -> u64 {
    let mut hasher = sip::SipHasher13::new();
    hash::Hasher::write(&mut hasher, daemon.as_str().as_bytes());
    hash::Hasher::write(&mut hasher, &shard.get().to_le_bytes());
    hash::Hasher::finish(&hasher)
}

/// A daemon that can store copies.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CopyCandidate {
    /// The daemon and its incarnation.
    pub instance: row::DaemonInstance,
    /// Availability zone of the daemon.
    pub zone: id::ZoneId,
}

/// Chooses up to `count` peers to store copies. At least one of them is in another availability
/// zone than the holder, if `count` is not zero and there is such a candidate.
///
/// Members of the copy set `current` are preferred while they are candidates, because a change
/// costs a write to the table.
pub fn choose_copy_set(
    holder: &CopyCandidate,
    shard: quantity::ShardNumber,
    current: &row::CopySet,
    candidates: &[CopyCandidate],
    count: usize,
) -> row::CopySet {
    let peers =
        candidates.iter().filter(|candidate| candidate.instance.daemon != holder.instance.daemon);
    let mut ranked: SmallVec<[&CopyCandidate; 8]> = peers.collect();
    ranked.sort_by_key(|candidate| {
        let is_new = !current.contains(&candidate.instance);
        (is_new, rank(&candidate.instance.daemon, shard))
    });
    let mut chosen = row::CopySet::new();
    if count == 0 {
        return chosen;
    }
    let in_other_zone = ranked.iter().find(|candidate| candidate.zone != holder.zone);
    chosen.extend(in_other_zone.map(|candidate| candidate.instance.clone()));
    for candidate in ranked {
        if chosen.len() < count && !chosen.contains(&candidate.instance) {
            chosen.push(candidate.instance.clone());
        }
    }
    chosen.sort();
    chosen
}
