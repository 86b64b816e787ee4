//! Lease handling of the control thread: passes events to the lease manager, executes its actions
//! and publishes the shard map.

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
    /// Starts the lease manager, which needs the number of shards of the layout.
    pub(super) fn start_lease_manager(&mut self, layout: key::ShardLayout) {
        let policy = self.context.settings.lease_policy(layout.count);
        self.layout = Some(layout);
        self.lease_manager = Some(manager::LeaseManager::new(self.instance.clone(), policy));
        self.handle_lease_input(manager::LeaseInput::Tick);
    }

    /// Passes an event to the lease manager and executes the resulting actions.
    pub(super) fn handle_lease_input(&mut self, input: manager::LeaseInput) {
        let now = self.clock.now();
        let Some(manager) = &mut self.lease_manager else { return };
        let actions = manager.handle(now, input);
        for action in actions {
            self.execute_lease_action(action);
        }
        self.publish_map();
    }

    fn execute_lease_action(&mut self, action: manager::LeaseAction) {
        match action {
            manager::LeaseAction::Scan => self.effects.scan_leases(),
            manager::LeaseAction::Commit(transaction) => {
                self.metrics.table_writes.inc();
                self.effects.commit_lease(transaction);
            }
            manager::LeaseAction::Acquired { shard, lease } => self.open_shard(shard, lease),
            manager::LeaseAction::Lost(shard) => {
                self.send_to_active_holder(shard, &transition::ClaimInput::LeaseLost)
            }
            manager::LeaseAction::Release(shard) => {
                self.send_to_active_holder(shard, &transition::ClaimInput::Release);
            }
            manager::LeaseAction::Stopped => {
                if let Some(responder) = self.stop_responder.take() {
                    // The result is ignored: the waiting task may have given up.
                    let _ = responder.try_send(());
                }
            }
        }
    }

    /// Passes an event to the holder of a shard, if this daemon has one that is not closed.
    fn send_to_active_holder(
        &mut self,
        shard: quantity::ShardNumber,
        input: &transition::ClaimInput,
    ) {
        let Some(holder_id) = self.active_holder(shard) else { return };
        self.handle_claim_input(holder_id, input.clone());
    }

    /// Returns the holder of a shard on this daemon, if there is one that is not closed.
    fn active_holder(&self, shard: quantity::ShardNumber) -> Option<event::HolderId> {
        let active_holders = self.holders.iter().filter(|(_, holder)| !holder.is_closed());
        active_holders.map(|(holder_id, _)| *holder_id).find(|holder_id| holder_id.shard == shard)
    }

    /// Creates the holder of a shard whose lease was acquired.
    fn open_shard(&mut self, shard: quantity::ShardNumber, lease: row::VersionedLease) {
        let holder_id = event::HolderId { shard, fence: lease.row.fence };
        log_event!(log_event::LogEvent::LeaseTaken, shard = shard, fence = holder_id.fence);
        self.metrics.takeovers.inc();
        let copy_set = self.peers.choose_copy_set(shard, &row::CopySet::new());
        let policy = self.context.settings.claim_policy();
        let holder = shard::ShardHolder::new(shard, lease, copy_set, policy);
        self.holders.insert(holder_id, holder);
        self.handle_claim_input(holder_id, transition::ClaimInput::Tick);
    }

    /// Releases every lease and notifies the waiting task when that is done.
    pub(super) fn stop(&mut self, responder: channel::Sender<()>) {
        if self.lease_manager.is_none() {
            // No lease was acquired yet. The result is ignored: the waiting task may have given up.
            let _ = responder.try_send(());
            return;
        }
        self.stop_responder = Some(responder);
        self.handle_lease_input(manager::LeaseInput::Stop);
    }

    /// Publishes the holders of all shards to the tasks that forward calls.
    fn publish_map(&self) {
        let (Some(layout), Some(manager)) = (self.layout, &self.lease_manager) else { return };
        let holder_of = |shard| {
            let row = manager.lease_of(quantity::ShardNumber::new(shard))?;
            let instance = row.holder.clone()?;
            Some(map::ShardTarget { instance, fence: row.fence })
        };
        let holders: Vec<_> = (0..layout.count).map(holder_of).collect();
        let is_unchanged = self.map.load().as_ref().is_some_and(|map| map.holders == holders);
        if !is_unchanged {
            self.map.store(Some(sync::Arc::new(map::ShardMap { layout, holders })));
        }
    }
}
