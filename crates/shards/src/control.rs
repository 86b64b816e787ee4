//! The control thread, which owns the state of leases, claims and copies.

mod claims;
mod leases;
mod sealing;

use std::collections;
use std::sync;

use arc_swap::ArcSwapOption;
use async_std::channel;
use async_std::future;
use async_std::task;
use samphiremoor_base::time;
use samphiremoor_claims::copies;
use samphiremoor_claims::index;
use samphiremoor_claims::key;
use samphiremoor_claims::shard;
use samphiremoor_claims::transition;
use samphiremoor_lease::manager;
use samphiremoor_lease::row;

use crate::call;
use crate::context;
use crate::copy_peers;
use crate::effects;
use crate::event;
use crate::map;
use crate::metrics;

/// Maximum time between two checks for due work.
const MAX_WAIT: time::Millis = time::Millis::new(500);

/// Minimum time between two checks for due work, so that an overdue wake-up does not cause a busy
/// loop.
const MIN_WAIT: time::Millis = time::Millis::new(1);

/// Time between pings of the daemons that can store copies.
const PING_INTERVAL: time::Millis = time::Millis::new(1_000);

/// State of the control thread.
pub(crate) struct ShardControl {
    context: sync::Arc<context::ShardContext>,
    metrics: metrics::ShardMetrics,
    /// The holders of all shards, shared with the tasks that forward calls.
    map: sync::Arc<ArcSwapOption<map::ShardMap>>,
    clock: time::MonotonicClock,
    events: channel::Receiver<event::ControlEvent>,
    effects: effects::EffectSpawner,
    instance: row::DaemonInstance,
    /// The layout of the shards; `None` until it has been read.
    layout: Option<key::ShardLayout>,
    /// `None` until the layout has been read.
    lease_manager: Option<manager::LeaseManager>,
    holders: collections::BTreeMap<event::HolderId, shard::ShardHolder>,
    /// When each holder needs its next tick, as of its last event.
    wakeups: collections::BTreeMap<event::HolderId, time::MonotonicTime>,
    /// Copies that this daemon stores for the holders of shards.
    copies: copies::CopyStore,
    /// Submissions to the holders on this daemon that have no response yet.
    pending_calls: collections::BTreeMap<index::SubmissionId, PendingCall>,
    /// Number of submissions so far, from which their ids are assigned.
    submission_count: u64,
    peers: copy_peers::CopyPeers,
    /// Whether the last write could not be applied because the table is unavailable.
    is_table_unavailable: bool,
    /// Holders whose claims are currently copied to peers.
    copying_holders: collections::BTreeSet<event::HolderId>,
    /// When the periodic work, which includes the pings, last ran.
    last_periodic_at: Option<time::MonotonicTime>,
    /// Gets a message when every lease is released after a stop was requested.
    stop_responder: Option<channel::Sender<()>>,
}

/// A submission that waits for its response.
struct PendingCall {
    call: sync::Arc<call::KeyedCall>,
    received_at: time::MonotonicTime,
    responder: channel::Sender<transition::SubmitResponse>,
}

impl ShardControl {
    pub(crate) fn new(
        context: sync::Arc<context::ShardContext>,
        metrics: metrics::ShardMetrics,
        map: sync::Arc<ArcSwapOption<map::ShardMap>>,
        events: channel::Receiver<event::ControlEvent>,
        effects: effects::EffectSpawner,
    ) -> Self {
        let instance = row::DaemonInstance {
            daemon: context.daemon.clone(),
            incarnation: context.incarnation,
        };
        let peers = copy_peers::CopyPeers::new(context.clone());
        ShardControl {
            context,
            metrics,
            map,
            clock: time::MonotonicClock::start(),
            events,
            effects,
            instance,
            layout: None,
            lease_manager: None,
            holders: collections::BTreeMap::new(),
            wakeups: collections::BTreeMap::new(),
            copies: copies::CopyStore::default(),
            pending_calls: collections::BTreeMap::new(),
            submission_count: 0,
            peers,
            is_table_unavailable: false,
            copying_holders: collections::BTreeSet::new(),
            last_periodic_at: None,
            stop_responder: None,
        }
    }

    /// Handles events until [`event::ControlEvent::Quit`] arrives.
    pub(crate) fn run(mut self) {
        loop {
            let wait = self.next_wait().to_duration();
            match task::block_on(future::timeout(wait, self.events.recv())) {
                Ok(Ok(event::ControlEvent::Quit) | Err(_)) => return,
                Ok(Ok(event)) => self.handle(event),
                Err(_) => {}
            }
            self.tick();
        }
    }

    fn next_wait(&self) -> time::Millis {
        let now = self.clock.now();
        let manager_wakeup = self.lease_manager.iter().map(manager::LeaseManager::next_wakeup);
        let next_wakeup = self.wakeups.values().copied().chain(manager_wakeup).min();
        let wait = next_wakeup.map_or(MAX_WAIT, |wakeup| wakeup.since(now));
        wait.clamp(MIN_WAIT, MAX_WAIT)
    }

    fn handle(&mut self, event: event::ControlEvent) {
        match event {
            event::ControlEvent::Layout(layout) => self.start_lease_manager(layout),
            event::ControlEvent::Lease(input) => self.handle_lease_input(input),
            event::ControlEvent::Claim(holder_id, input) => {
                self.handle_claim_input(holder_id, input)
            }
            event::ControlEvent::Submit { holder_id, call, responder } => {
                self.submit(holder_id, call, responder);
            }
            event::ControlEvent::StoreCopies { holder_id, first_unwritten, batches, responder } => {
                let response = self.store_copies(holder_id, first_unwritten, batches);
                respond(&responder, response);
            }
            event::ControlEvent::Seal { holder_id, responder } => {
                self.handle_seal(holder_id, &responder)
            }
            event::ControlEvent::PingFinished(daemon, candidate) => {
                self.peers.handle_ping(daemon, candidate)
            }
            event::ControlEvent::Stop(responder) => self.stop(responder),
            event::ControlEvent::Quit => {}
        }
    }

    /// Ticks the holders and the lease manager whose wake-up time has come, and runs the periodic
    /// work if it is due.
    fn tick(&mut self) {
        let now = self.clock.now();
        let due_holders = self.wakeups.iter().filter(|(_, wakeup)| **wakeup <= now);
        let due_holders: Vec<event::HolderId> =
            due_holders.map(|(holder_id, _)| *holder_id).collect();
        for holder_id in due_holders {
            self.handle_claim_input(holder_id, transition::ClaimInput::Tick);
        }
        if self.lease_manager.as_ref().is_some_and(|manager| manager.next_wakeup() <= now) {
            self.handle_lease_input(manager::LeaseInput::Tick);
        }
        if self.last_periodic_at.is_none_or(|last| now.since(last) >= PING_INTERVAL) {
            self.last_periodic_at = Some(now);
            self.run_periodic();
        }
    }

    /// Runs the work that is due once per ping interval.
    fn run_periodic(&mut self) {
        let input = manager::LeaseInput::SetCandidate(self.peers.is_candidate());
        self.handle_lease_input(input);
        if !self.holders.is_empty() {
            let peers = self.peers.peers_to_ping();
            self.effects.ping(peers);
        }
        self.update_copy_sets();
        let holder_ids: Vec<_> = self.holders.keys().copied().collect();
        for holder_id in holder_ids {
            self.handle_claim_input(holder_id, transition::ClaimInput::Tick);
        }
        let key_count: usize = self.holders.values().map(shard::ShardHolder::key_count).sum();
        self.metrics.keys.set(i64::try_from(key_count).unwrap_or(i64::MAX));
    }
}

/// Sends a response to a waiting task, which may already have given up.
fn respond<T>(responder: &channel::Sender<T>, response: T) {
    let _ = responder.try_send(response);
}
