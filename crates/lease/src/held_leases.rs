//! The leases that one daemon holds, and the lease rows of all shards as of the last scan.

use std::collections;

use samphiremoor_base::quantity;
use samphiremoor_base::time;

use crate::rendezvous;
use crate::row;

/// A difference between the held leases and the rows of a scan.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum LeaseChange {
    /// The lease was acquired by a transaction whose response was lost.
    Acquired(quantity::ShardNumber, Box<row::VersionedLease>),
    /// Another daemon holds the lease.
    Lost(quantity::ShardNumber),
}

/// A lease that this daemon holds.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    fence: quantity::FencingToken,
    /// Number of the first scan that is certain to show the lease.
    visible_from_scan: u64,
    /// Whether the shard is open. Only the holder of an open shard can write the released lease
    /// row.
    is_open: bool,
    is_releasing: bool,
}

/// The leases of one daemon, and the lease rows of all shards.
#[derive(Clone, Debug)]
pub(crate) struct HeldLeases {
    instance: row::DaemonInstance,
    shard_count: u16,
    held: collections::BTreeMap<quantity::ShardNumber, HeldLease>,
    /// Fencing token of this daemon's last lease of each shard that it no longer holds.
    last_fences: collections::BTreeMap<quantity::ShardNumber, quantity::FencingToken>,
    /// Greatest fencing token of each shard that any scan or commit has shown. It outlives the lease
    /// row, which an operator may delete.
    greatest_fences: collections::BTreeMap<quantity::ShardNumber, quantity::FencingToken>,
    /// Lease rows of all shards as of the last scan or commit.
    rows: collections::BTreeMap<quantity::ShardNumber, row::VersionedLease>,
    /// When each free shard was first seen as free.
    free_since: collections::BTreeMap<quantity::ShardNumber, time::MonotonicTime>,
}

impl HeldLeases {
    /// Creates the state of a daemon that holds no lease and has scanned no rows.
    pub(crate) fn new(instance: row::DaemonInstance, shard_count: u16) -> Self {
        HeldLeases {
            instance,
            shard_count,
            held: collections::BTreeMap::new(),
            last_fences: collections::BTreeMap::new(),
            greatest_fences: collections::BTreeMap::new(),
            rows: collections::BTreeMap::new(),
            free_since: collections::BTreeMap::new(),
        }
    }

    /// Returns the number of held leases.
    pub(crate) fn len(&self) -> usize {
        self.held.len()
    }

    /// Returns whether no lease is held.
    pub(crate) fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Returns the lease row of a shard as of the last scan or commit.
    pub(crate) fn row(&self, shard: quantity::ShardNumber) -> Option<&row::VersionedLease> {
        self.rows.get(&shard)
    }

    /// Returns the lease row with which this daemon takes over a shard.
    pub(crate) fn takeover_row(&self, shard: quantity::ShardNumber) -> row::LeaseRow {
        match self.rows.get(&shard) {
            Some(current) => current.row.taken_over_by(&self.instance),
            None => {
                let greatest_fence = self.greatest_fences.get(&shard).copied().unwrap_or_default();
                row::LeaseRow::first_after(greatest_fence, &self.instance)
            }
        }
    }

    /// Returns whether any lease row names this daemon instance as the holder.
    pub(crate) fn is_holder(&self, instance: &row::DaemonInstance) -> bool {
        self.rows.values().any(|lease| lease.row.holder.as_ref() == Some(instance))
    }

    /// Stores the lease rows of scan number `scan_number` and returns how they differ from the held
    /// leases.
    pub(crate) fn observe(
        &mut self,
        scan_number: u64,
        rows: collections::BTreeMap<quantity::ShardNumber, row::VersionedLease>,
    ) -> Vec<LeaseChange> {
        for (shard, lease) in &rows {
            self.observe_fence(*shard, lease.row.fence);
        }
        self.rows = rows;
        self.shards().filter_map(|shard| self.detect_change(scan_number, shard)).collect()
    }

    /// Updates which shards are free. `is_expired` tells whether the leases of a holder have
    /// expired.
    pub(crate) fn update_free_shards(
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

    /// Returns the free shards and when each was first seen as free.
    pub(crate) fn free_shards(
        &self,
    ) -> impl Iterator<Item = (quantity::ShardNumber, time::MonotonicTime)> + '_ {
        self.free_since.iter().map(|(shard, since)| (*shard, *since))
    }

    /// Removes a shard from the free shards because this daemon starts to take it over. If the
    /// takeover fails, the next scan adds the shard again.
    pub(crate) fn remove_free_shard(&mut self, shard: quantity::ShardNumber) {
        self.free_since.remove(&shard);
    }

    /// Adds a lease that was acquired after scan number `scan_number` started.
    pub(crate) fn insert(
        &mut self,
        scan_number: u64,
        shard: quantity::ShardNumber,
        lease: row::VersionedLease,
    ) {
        let held_lease = HeldLease {
            fence: lease.row.fence,
            visible_from_scan: scan_number + 1,
            is_open: false,
            is_releasing: false,
        };
        self.held.insert(shard, held_lease);
        self.observe_fence(shard, lease.row.fence);
        self.free_since.remove(&shard);
        self.rows.insert(shard, lease);
    }

    /// Marks the shard as open.
    pub(crate) fn mark_open(&mut self, shard: quantity::ShardNumber) {
        if let Some(held_lease) = self.held.get_mut(&shard) {
            held_lease.is_open = true;
        }
    }

    /// Removes the lease of a shard and returns whether it was held.
    pub(crate) fn remove(&mut self, shard: quantity::ShardNumber) -> bool {
        let Some(held_lease) = self.held.remove(&shard) else { return false };
        self.last_fences.insert(shard, held_lease.fence);
        true
    }

    /// Marks every held lease as being released and returns the shards.
    pub(crate) fn release_all(&mut self) -> Vec<quantity::ShardNumber> {
        self.held.values_mut().for_each(|held_lease| held_lease.is_releasing = true);
        self.held.keys().copied().collect()
    }

    /// Marks one lease of an open shard as being released and returns the shard. Returns `None`
    /// while another lease is being released, and if no held shard is open.
    pub(crate) fn release_one(&mut self) -> Option<quantity::ShardNumber> {
        if self.held.values().any(|held_lease| held_lease.is_releasing) {
            return None;
        }
        let daemon = &self.instance.daemon;
        // Only open shards are released: a shard that closes before it has opened leaves a lease
        // row that still names this daemon, so no other daemon could take it over.
        let open_shards = self.held.iter_mut().filter(|(_, held_lease)| held_lease.is_open);
        let (shard, held_lease) =
            open_shards.max_by_key(|(shard, _)| rendezvous::rank(daemon, **shard))?;
        held_lease.is_releasing = true;
        Some(*shard)
    }

    fn observe_fence(&mut self, shard: quantity::ShardNumber, fence: quantity::FencingToken) {
        let greatest_fence = self.greatest_fences.entry(shard).or_default();
        *greatest_fence = fence.max(*greatest_fence);
    }

    fn detect_change(&self, scan_number: u64, shard: quantity::ShardNumber) -> Option<LeaseChange> {
        let lease = self.rows.get(&shard);
        let is_ours = lease.is_some_and(|lease| lease.row.holder.as_ref() == Some(&self.instance));
        let fence = lease.map(|lease| lease.row.fence);
        let Some(held_lease) = self.held.get(&shard) else {
            // A row whose fencing token is not greater is the lease that this daemon gave up.
            let is_new_lease = fence > self.last_fences.get(&shard).copied();
            let acquired = lease.filter(|_| is_ours && is_new_lease)?;
            return Some(LeaseChange::Acquired(shard, Box::new(acquired.clone())));
        };
        let is_held_lease = is_ours && fence == Some(held_lease.fence);
        let is_lost = held_lease.visible_from_scan <= scan_number && !is_held_lease;
        is_lost.then_some(LeaseChange::Lost(shard))
    }

    /// Returns whether this daemon may take over the shard.
    fn is_free(
        &self,
        shard: quantity::ShardNumber,
        is_expired: impl Fn(&row::DaemonInstance) -> bool,
    ) -> bool {
        if self.held.contains_key(&shard) {
            return false;
        }
        let Some(lease) = self.rows.get(&shard) else { return true };
        let Some(holder) = &lease.row.holder else { return true };
        // A lease row that names this instance although the lease is not held here belongs to a
        // shard that was closed before it had opened.
        *holder == self.instance || is_expired(holder)
    }

    fn shards(&self) -> impl Iterator<Item = quantity::ShardNumber> + use<> {
        (0..self.shard_count).map(quantity::ShardNumber::new)
    }
}
