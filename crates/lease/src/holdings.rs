//! Which leases one daemon holds, and what the table last showed of the others.

use std::collections;

use samphiremoor_base::quantity;
use samphiremoor_base::time;

use crate::row;
use crate::spread;

/// What a comparison with the rows of a scan found.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum LeaseChange {
    /// A transaction without an answer brought the lease.
    Brought(quantity::ShardNumber, Box<row::HeldLease>),
    /// Another daemon holds the lease.
    Lost(quantity::ShardNumber),
}

/// A lease that is held here.
#[derive(Clone, Copy, Debug)]
struct KeptLease {
    fence: quantity::FencingToken,
    /// Scans that began earlier may not show the lease.
    known_from: u64,
    /// Whether the shard is open, so that it can be given away by a word in the table.
    is_open: bool,
    is_releasing: bool,
}

/// Leases of one daemon, and the lease rows of all shards.
#[derive(Clone, Debug)]
pub(crate) struct LeaseHoldings {
    life: row::DaemonInstance,
    shard_count: u16,
    kept: collections::BTreeMap<quantity::ShardNumber, KeptLease>,
    /// Greatest fencing number of each shard whose hold has ended here.
    ended: collections::BTreeMap<quantity::ShardNumber, quantity::FencingToken>,
    rows: collections::BTreeMap<quantity::ShardNumber, row::HeldLease>,
    /// Since when a shard could be taken by anybody.
    free_since: collections::BTreeMap<quantity::ShardNumber, time::MonotonicTime>,
}

impl LeaseHoldings {
    /// Holdings of a daemon that holds nothing and has read nothing.
    pub(crate) fn new(life: row::DaemonInstance, shard_count: u16) -> Self {
        LeaseHoldings {
            life,
            shard_count,
            kept: collections::BTreeMap::new(),
            ended: collections::BTreeMap::new(),
            rows: collections::BTreeMap::new(),
            free_since: collections::BTreeMap::new(),
        }
    }

    /// Number of leases that are held here.
    pub(crate) fn len(&self) -> usize {
        self.kept.len()
    }

    /// Whether no lease is held here.
    pub(crate) fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    /// The lease row of a shard, as it was last seen.
    pub(crate) fn row(&self, shard: quantity::ShardNumber) -> Option<&row::HeldLease> {
        self.rows.get(&shard)
    }

    /// Whether any shard is held by the life of a daemon.
    pub(crate) fn is_holder(&self, life: &row::DaemonInstance) -> bool {
        self.rows.values().any(|held| held.row.holder.as_ref() == Some(life))
    }

    /// Takes in the lease rows of a scan, and gives what changed for this daemon.
    pub(crate) fn observe(
        &mut self,
        scan: u64,
        rows: collections::BTreeMap<quantity::ShardNumber, row::HeldLease>,
    ) -> Vec<LeaseChange> {
        self.rows = rows;
        self.shards().filter_map(|shard| self.change(scan, shard)).collect()
    }

    /// Notes which shards could be taken by anybody.
    pub(crate) fn note_free(
        &mut self,
        now: time::MonotonicTime,
        is_expired: impl Fn(&row::DaemonInstance) -> bool,
    ) {
        for shard in self.shards() {
            if self.is_free(shard, &is_expired) {
                self.free_since.entry(shard).or_insert(now);
            } else {
                self.free_since.remove(&shard);
            }
        }
    }

    /// Shards that could be taken by anybody, and since when.
    pub(crate) fn free(
        &self,
    ) -> impl Iterator<Item = (quantity::ShardNumber, time::MonotonicTime)> + '_ {
        self.free_since.iter().map(|(shard, since)| (*shard, *since))
    }

    /// A shard is about to be taken; it is free again once a scan shows it so.
    pub(crate) fn claim(&mut self, shard: quantity::ShardNumber) {
        self.free_since.remove(&shard);
    }

    /// The lease is held here; scans after `scan` show it.
    pub(crate) fn keep(&mut self, scan: u64, shard: quantity::ShardNumber, lease: row::HeldLease) {
        let kept = KeptLease {
            fence: lease.row.fence,
            known_from: scan + 1,
            is_open: false,
            is_releasing: false,
        };
        self.kept.insert(shard, kept);
        self.free_since.remove(&shard);
        self.rows.insert(shard, lease);
    }

    /// The shard is open here.
    pub(crate) fn open(&mut self, shard: quantity::ShardNumber) {
        if let Some(kept) = self.kept.get_mut(&shard) {
            kept.is_open = true;
        }
    }

    /// The hold of the shard has ended here; gives whether there was one.
    pub(crate) fn close(&mut self, shard: quantity::ShardNumber) -> bool {
        let Some(kept) = self.kept.remove(&shard) else { return false };
        self.ended.insert(shard, kept.fence);
        true
    }

    /// Every lease is to be given away.
    pub(crate) fn release_all(&mut self) -> Vec<quantity::ShardNumber> {
        self.kept.values_mut().for_each(|kept| kept.is_releasing = true);
        self.kept.keys().copied().collect()
    }

    /// Chooses one lease to give away, unless one is on its way out already.
    pub(crate) fn release_one(&mut self) -> Option<quantity::ShardNumber> {
        if self.kept.values().any(|kept| kept.is_releasing) {
            return None;
        }
        let daemon = &self.life.daemon;
        // A shard that is given up before it is open stays in this daemon's name in the table.
        let open = self.kept.iter_mut().filter(|(_, kept)| kept.is_open);
        let (shard, kept) = open.max_by_key(|(shard, _)| spread::preference(daemon, **shard))?;
        kept.is_releasing = true;
        Some(*shard)
    }

    fn change(&self, scan: u64, shard: quantity::ShardNumber) -> Option<LeaseChange> {
        let found = self.rows.get(&shard);
        let is_ours = found.is_some_and(|held| held.row.holder.as_ref() == Some(&self.life));
        let fence = found.map(|held| held.row.fence);
        let Some(kept) = self.kept.get(&shard) else {
            let is_newer = fence > self.ended.get(&shard).copied();
            let brought = found.filter(|_| is_ours && is_newer)?;
            return Some(LeaseChange::Brought(shard, Box::new(brought.clone())));
        };
        let is_same = is_ours && fence == Some(kept.fence);
        let is_lost = kept.known_from <= scan && !is_same;
        is_lost.then_some(LeaseChange::Lost(shard))
    }

    fn is_free(
        &self,
        shard: quantity::ShardNumber,
        is_expired: impl Fn(&row::DaemonInstance) -> bool,
    ) -> bool {
        if self.kept.contains_key(&shard) {
            return false;
        }
        let Some(held) = self.rows.get(&shard) else { return true };
        let Some(holder) = &held.row.holder else { return true };
        // A lease of this very life that is not held here was given up while the shard opened.
        *holder == self.life || is_expired(holder)
    }

    fn shards(&self) -> impl Iterator<Item = quantity::ShardNumber> + use<> {
        (0..self.shard_count).map(quantity::ShardNumber::new)
    }
}
