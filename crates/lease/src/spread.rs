//! How leases and copies are spread over daemons.

use std::hash;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use siphasher::sip;
use smallvec::SmallVec;

use crate::row;

/// Number of leases that each of `live` daemons should hold at most.
pub fn fair_share(leases: u16, live: usize) -> usize {
    usize::from(leases).div_ceil(live.max(1))
}

/// Rank of a daemon for a shard: different daemons try the shards in different orders.
pub fn preference(daemon: &id::DaemonId, shard: quantity::ShardNumber) -> u64 {
    let mut hasher = sip::SipHasher13::new();
    hash::Hasher::write(&mut hasher, daemon.as_str().as_bytes());
    hash::Hasher::write(&mut hasher, &shard.get().to_le_bytes());
    hash::Hasher::finish(&hasher)
}

/// A daemon that could keep copies.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CopyCandidate {
    /// The daemon and its life.
    pub life: row::DaemonInstance,
    /// Its availability zone.
    pub zone: id::ZoneId,
}

/// Chooses `count` peers to keep copies, the first of them in another availability zone where there
/// is one.
///
/// Present members stay while they are candidates, since a change costs a write to the table.
pub fn choose_copies(
    holder: &CopyCandidate,
    shard: quantity::ShardNumber,
    present: &row::CopySet,
    candidates: &[CopyCandidate],
    count: usize,
) -> row::CopySet {
    let others = candidates.iter().filter(|candidate| candidate.life.daemon != holder.life.daemon);
    let mut ranked: SmallVec<[&CopyCandidate; 8]> = others.collect();
    ranked.sort_by_key(|candidate| {
        let is_new = !present.contains(&candidate.life);
        (is_new, preference(&candidate.life.daemon, shard))
    });
    let mut chosen = row::CopySet::new();
    if count == 0 {
        return chosen;
    }
    let far = ranked.iter().find(|candidate| candidate.zone != holder.zone);
    chosen.extend(far.map(|candidate| candidate.life.clone()));
    for candidate in ranked {
        if chosen.len() < count && !chosen.contains(&candidate.life) {
            chosen.push(candidate.life.clone());
        }
    }
    chosen.sort();
    chosen
}
