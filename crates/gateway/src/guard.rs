//! Counts that hold while a request is in progress.

use std::net::SocketAddr;
use std::rc;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_fleet::load;

use crate::core;
use crate::crash_probe;

/// Counts a request in progress until dropped.
pub struct ProgressGuard(rc::Rc<core::GatewayCore>);

impl ProgressGuard {
    /// Counts a request.
    pub fn new(core: &rc::Rc<core::GatewayCore>) -> Self {
        core.state.borrow_mut().in_progress += 1;
        ProgressGuard(core.clone())
    }
}

impl Drop for ProgressGuard {
    fn drop(&mut self) {
        self.0.state.borrow_mut().in_progress -= 1;
    }
}

/// Counts a request in its replica's load until dropped.
pub struct LoadGuard {
    core: rc::Rc<core::GatewayCore>,
    replica: id::ReplicaId,
    incarnation: quantity::Incarnation,
    address: SocketAddr,
    pending_tokens: u32,
}

impl LoadGuard {
    /// Adds a request with `pending_tokens` prompt tokens to prefill to a replica's load. Returns
    /// `None` if the replica is not known.
    pub fn new(
        core: &rc::Rc<core::GatewayCore>,
        replica: &id::ReplicaId,
        pending_tokens: u32,
    ) -> Option<Self> {
        let mut state = core.state.borrow_mut();
        let known_replica = state.replicas.get_mut(replica)?;
        known_replica.local_load.running += 1;
        known_replica.local_load.pending_tokens += pending_tokens;
        let (incarnation, address) = (known_replica.entry.incarnation, known_replica.entry.address);
        let core = core.clone();
        Some(LoadGuard { core, replica: replica.clone(), incarnation, address, pending_tokens })
    }

    /// Returns the replica's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the start of the replica that has the request.
    pub fn replica_start(&self) -> crash_probe::ReplicaStart {
        let (incarnation, address) = (self.incarnation, self.address);
        crash_probe::ReplicaStart { replica: self.replica.clone(), incarnation, address }
    }

    /// Records that the replica answered the request, which was sent at `sent_at`.
    pub fn record_answer(&self, sent_at: time::MonotonicTime) {
        let mut state = self.core.state.borrow_mut();
        let Some(known_replica) = state.replicas.get_mut(&self.replica) else { return };
        if known_replica.entry.is_of_start(self.incarnation, self.address) {
            known_replica.on_answer(sent_at);
        }
    }

    /// Removes the request's prompt tokens from the load, since the prefill is done.
    pub fn finish_prefill(&mut self) {
        let pending_tokens = std::mem::take(&mut self.pending_tokens);
        self.update_load(|load| {
            load.pending_tokens = load.pending_tokens.saturating_sub(pending_tokens)
        });
    }

    fn update_load(&self, update: impl FnOnce(&mut load::ReplicaLoad)) {
        let mut state = self.core.state.borrow_mut();
        let Some(known_replica) = state.replicas.get_mut(&self.replica) else { return };
        // A new incarnation of the replica carries none of this load.
        if known_replica.entry.is_of_start(self.incarnation, self.address) {
            update(&mut known_replica.local_load);
        }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.finish_prefill();
        self.update_load(|load| load.running = load.running.saturating_sub(1));
    }
}
