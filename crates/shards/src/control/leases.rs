//! Leases of the control thread: the keeper's inputs and actions, and the map that traffic reads.

use std::sync;

use async_std::channel;
use samphiremoor_base::event as log_event;
use samphiremoor_base::log_event;
use samphiremoor_base::quantity;
use samphiremoor_claims::key;
use samphiremoor_claims::shard;
use samphiremoor_claims::transition;
use samphiremoor_lease::manager;
use samphiremoor_lease::row;

use crate::control;
use crate::event;
use crate::map;

impl control::ShardControl {
    /// Starts to take leases, now that the number of shards is known.
    pub(super) fn start_keeper(&mut self, layout: key::ShardLayout) {
        let policy = self.parts.settings.lease_policy(layout.count);
        self.layout = Some(layout);
        self.keeper = Some(manager::LeaseManager::new(self.life.clone(), policy));
        self.lease_input(manager::LeaseInput::Tick);
    }

    /// Hands an input to the keeper of the leases and carries out what it wants.
    pub(super) fn lease_input(&mut self, input: manager::LeaseInput) {
        let now = self.clock.now();
        let Some(keeper) = &mut self.keeper else { return };
        let actions = keeper.handle(now, input);
        for action in actions {
            self.lease_action(action);
        }
        self.publish();
    }

    fn lease_action(&mut self, action: manager::LeaseAction) {
        match action {
            manager::LeaseAction::Scan => self.effects.scan_leases(),
            manager::LeaseAction::Commit(transaction) => {
                self.metrics.table_writes.inc();
                self.effects.commit_lease(transaction);
            }
            manager::LeaseAction::Acquired { shard, lease } => self.open(shard, lease),
            manager::LeaseAction::Lost(shard) => {
                self.each_hold(shard, &transition::ClaimInput::LeaseLost)
            }
            manager::LeaseAction::Release(shard) => {
                self.each_hold(shard, &transition::ClaimInput::Release);
            }
            manager::LeaseAction::Stopped => {
                if let Some(responder) = self.stopping.take() {
                    // The waiting side may have given up.
                    let _ = responder.try_send(());
                }
            }
        }
    }

    /// Hands an input to the open hold of a shard.
    fn each_hold(&mut self, shard: quantity::ShardNumber, input: &transition::ClaimInput) {
        let Some(hold) = self.open_hold(shard) else { return };
        self.claim_input(hold, input.clone());
    }

    fn open_hold(&self, shard: quantity::ShardNumber) -> Option<event::HoldId> {
        let open = self.holders.iter().filter(|(_, holder)| !holder.is_closed());
        open.map(|(hold, _)| *hold).find(|hold| hold.shard == shard)
    }

    fn open(&mut self, shard: quantity::ShardNumber, lease: row::VersionedLease) {
        let hold = event::HoldId { shard, fence: lease.row.fence };
        log_event!(log_event::LogEvent::LeaseTaken, shard = shard, fence = hold.fence);
        self.metrics.takeovers.inc();
        let copy_set = self.peers.preferred_copies(shard, &row::CopySet::new());
        let policy = self.parts.settings.claim_policy();
        let holder = shard::ShardHolder::new(shard, lease, copy_set, policy);
        self.holders.insert(hold, holder);
        self.claim_input(hold, transition::ClaimInput::Tick);
    }

    /// Gives every lease away and tells the waiting side when that is done.
    pub(super) fn stop(&mut self, responder: channel::Sender<()>) {
        if self.keeper.is_none() {
            // No lease was ever taken; the waiting side may have given up.
            let _ = responder.try_send(());
            return;
        }
        self.stopping = Some(responder);
        self.lease_input(manager::LeaseInput::Stop);
    }

    /// Shows traffic who holds what.
    fn publish(&self) {
        let (Some(layout), Some(keeper)) = (self.layout, &self.keeper) else { return };
        let holder = |number| {
            let row = keeper.lease_of(quantity::ShardNumber::new(number))?;
            let life = row.holder.clone()?;
            Some(map::ShardTarget { life, fence: row.fence })
        };
        let holders: Vec<_> = (0..layout.count).map(holder).collect();
        let is_same = self.map.load().as_ref().is_some_and(|map| map.holders == holders);
        if !is_same {
            self.map.store(Some(sync::Arc::new(map::ShardMap { layout, holders })));
        }
    }
}
