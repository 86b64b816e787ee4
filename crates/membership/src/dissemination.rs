//! Selects the updates for a gossip message of bounded size.
//!
//! Fresh updates come first, each a bounded number of times. The rest of the message is filled by
//! anti-entropy: a cursor walks over all daemons, upstreams and poll reports, so that a daemon
//! that missed an update receives it within one pass of the cursor.

use std::collections;

use crate::gossip;

/// Number of transmissions of an update in addition to `ilog2(daemon_count) + 1`.
const EXTRA_TRANSMISSIONS: u32 = 2;

/// Receivers of an update.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum UpdateScope {
    /// Only the daemons of the local availability zone.
    LocalZone,
    /// The daemons of all availability zones.
    AllZones,
}

/// Size limits of the updates in one gossip message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UpdateBudget {
    /// Maximum size of all updates, in bytes.
    pub message_bytes: usize,
    /// Maximum size of the updates that anti-entropy adds, in bytes.
    pub anti_entropy_bytes: usize,
}

/// Fresh updates that wait for transmission, and the anti-entropy cursor.
#[derive(Clone, Debug, Default)]
pub struct UpdateQueue {
    all_zones: FreshUpdates,
    local_zone: FreshUpdates,
    anti_entropy_cursor: Option<gossip::UpdateKey>,
}

impl UpdateQueue {
    /// Queues an update. Updates for all zones go to the front of their queue, updates for the
    /// local zone to the back of theirs.
    pub fn push(&mut self, key: gossip::UpdateKey, scope: UpdateScope, daemon_count: usize) {
        let transmissions_left = daemon_count.max(1).ilog2() + 1 + EXTRA_TRANSMISSIONS;
        match scope {
            UpdateScope::AllZones => {
                self.local_zone.remove(&key);
                self.all_zones.push_front(key, transmissions_left);
            }
            // An update that is queued for all zones reaches the local zone as well.
            UpdateScope::LocalZone if self.all_zones.contains(&key) => {}
            UpdateScope::LocalZone => self.local_zone.push_back(key, transmissions_left),
        }
    }

    /// Returns the updates that fit into the budget: fresh ones first, then those of anti-entropy.
    /// Counts a transmission of each fresh update and advances the anti-entropy cursor.
    ///
    /// `get_update` returns the current update for a key. `next_key_after` returns the key that
    /// follows in the order of all keys, or the first key for `None`.
    pub fn take(
        &mut self,
        budget: UpdateBudget,
        scope: UpdateScope,
        get_update: impl Fn(&gossip::UpdateKey) -> Option<gossip::GossipUpdate>,
        next_key_after: impl Fn(Option<&gossip::UpdateKey>) -> Option<gossip::UpdateKey>,
    ) -> Vec<gossip::GossipUpdate> {
        let mut batch = UpdateBatch { updates: Vec::new(), bytes_left: budget.message_bytes };
        self.all_zones.take(&mut batch, &get_update);
        if scope == UpdateScope::LocalZone {
            self.local_zone.take(&mut batch, &get_update);
        }
        batch.bytes_left = batch.bytes_left.min(budget.anti_entropy_bytes);
        self.add_anti_entropy(&mut batch, &get_update, &next_key_after);
        batch.updates
    }

    /// Adds updates from the cursor on until one does not fit or all keys have been visited.
    fn add_anti_entropy(
        &mut self,
        batch: &mut UpdateBatch,
        get_update: &impl Fn(&gossip::UpdateKey) -> Option<gossip::GossipUpdate>,
        next_key_after: &impl Fn(Option<&gossip::UpdateKey>) -> Option<gossip::UpdateKey>,
    ) {
        let mut first_visited = None;
        loop {
            let next_key =
                next_key_after(self.anti_entropy_cursor.as_ref()).or_else(|| next_key_after(None));
            let Some(next_key) = next_key else { return };
            if first_visited.as_ref() == Some(&next_key) {
                return;
            }
            let update = get_update(&next_key).filter(|update| !batch.contains(update));
            if update.is_some_and(|update| !batch.add(update)) {
                return;
            }
            first_visited.get_or_insert_with(|| next_key.clone());
            self.anti_entropy_cursor = Some(next_key);
        }
    }
}

/// Queue of fresh updates with a number of remaining transmissions each.
#[derive(Clone, Debug, Default)]
struct FreshUpdates {
    /// Position of each queued update in `queued_updates`.
    positions: collections::HashMap<gossip::UpdateKey, i64>,
    /// Queued updates by position. The lowest position is the front.
    queued_updates: collections::BTreeMap<i64, QueuedUpdate>,
}

#[derive(Clone, Debug)]
struct QueuedUpdate {
    key: gossip::UpdateKey,
    transmissions_left: u32,
}

impl FreshUpdates {
    fn contains(&self, key: &gossip::UpdateKey) -> bool {
        self.positions.contains_key(key)
    }

    /// Adds an update at the front, also if it is already queued.
    fn push_front(&mut self, key: gossip::UpdateKey, transmissions_left: u32) {
        self.remove(&key);
        let position =
            self.queued_updates.first_key_value().map_or(0, |(position, _)| position - 1);
        self.insert(position, QueuedUpdate { key, transmissions_left });
    }

    /// Adds an update at the back. An update that is already queued keeps its position.
    fn push_back(&mut self, key: gossip::UpdateKey, transmissions_left: u32) {
        if let Some(position) = self.positions.get(&key) {
            self.queued_updates.insert(*position, QueuedUpdate { key, transmissions_left });
            return;
        }
        let position = self.queued_updates.last_key_value().map_or(0, |(position, _)| position + 1);
        self.insert(position, QueuedUpdate { key, transmissions_left });
    }

    fn insert(&mut self, position: i64, queued: QueuedUpdate) {
        self.positions.insert(queued.key.clone(), position);
        self.queued_updates.insert(position, queued);
    }

    fn remove(&mut self, key: &gossip::UpdateKey) {
        if let Some(position) = self.positions.remove(key) {
            self.queued_updates.remove(&position);
        }
    }

    /// Takes updates from the front while they fit. Each taken update is queued again at the back
    /// until its transmissions are used up.
    fn take(
        &mut self,
        batch: &mut UpdateBatch,
        get_update: &impl Fn(&gossip::UpdateKey) -> Option<gossip::GossipUpdate>,
    ) {
        let mut taken_updates = Vec::new();
        while let Some((position, queued)) = self.queued_updates.pop_first() {
            self.positions.remove(&queued.key);
            // The subject is no longer known, so there is nothing to send.
            let Some(update) = get_update(&queued.key) else { continue };
            if !batch.add(update) {
                self.insert(position, queued);
                break;
            }
            taken_updates.push(queued);
        }
        for queued in taken_updates.into_iter().filter(|queued| queued.transmissions_left > 1) {
            self.push_back(queued.key, queued.transmissions_left - 1);
        }
    }
}

/// Updates selected for one message, and the remaining size limit.
struct UpdateBatch {
    updates: Vec<gossip::GossipUpdate>,
    bytes_left: usize,
}

impl UpdateBatch {
    /// Adds an update if it fits and returns whether it was added. The first update is always
    /// added, so that an update with long names cannot block the queue.
    fn add(&mut self, update: gossip::GossipUpdate) -> bool {
        let size = update.estimated_bytes();
        if size > self.bytes_left && !self.updates.is_empty() {
            return false;
        }
        self.bytes_left = self.bytes_left.saturating_sub(size);
        self.updates.push(update);
        true
    }

    fn contains(&self, update: &gossip::GossipUpdate) -> bool {
        self.updates.contains(update)
    }
}
