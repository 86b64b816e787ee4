//! The thread that owns leases, claims and copies.

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

/// Longest wait between two looks at the time.
const LONGEST_WAIT: time::Millis = time::Millis::new(500);

/// Shortest wait, so that a wake-up that is due can't spin the thread.
const SHORTEST_WAIT: time::Millis = time::Millis::new(1);

/// Time between pings of the daemons that could keep copies.
const PING_INTERVAL: time::Millis = time::Millis::new(1_000);

/// State of the thread.
pub(crate) struct ShardControl {
    parts: sync::Arc<context::ShardContext>,
    metrics: metrics::ShardMetrics,
    map: sync::Arc<ArcSwapOption<map::ShardMap>>,
    clock: time::MonotonicClock,
    events: channel::Receiver<event::ControlEvent>,
    effects: effects::EffectStarter,
    life: row::DaemonInstance,
    layout: Option<key::ShardLayout>,
    keeper: Option<manager::LeaseManager>,
    holders: collections::BTreeMap<event::HoldId, shard::ShardHolder>,
    /// When each holder wants its next tick, as it said after its last input.
    wakeups: collections::BTreeMap<event::HoldId, time::MonotonicTime>,
    copies: copies::CopyStore,
    calls: collections::BTreeMap<index::SubmissionId, PendingCall>,
    call_count: u64,
    peers: copy_peers::CopyPeers,
    /// Whether the table failed to do the last write.
    is_table_down: bool,
    /// Holds whose claims peers keep at present.
    copying: collections::BTreeSet<event::HoldId>,
    last_ping: Option<time::MonotonicTime>,
    stopping: Option<channel::Sender<()>>,
}

/// A send whose answer is awaited.
struct PendingCall {
    call: sync::Arc<call::KeyedCall>,
    received: time::MonotonicTime,
    responder: channel::Sender<transition::SubmitResponse>,
}

impl ShardControl {
    pub(crate) fn new(
        parts: sync::Arc<context::ShardContext>,
        metrics: metrics::ShardMetrics,
        map: sync::Arc<ArcSwapOption<map::ShardMap>>,
        events: channel::Receiver<event::ControlEvent>,
        effects: effects::EffectStarter,
    ) -> Self {
        let life =
            row::DaemonInstance { daemon: parts.daemon.clone(), incarnation: parts.incarnation };
        let peers = copy_peers::CopyPeers::new(parts.clone());
        ShardControl {
            parts,
            metrics,
            map,
            clock: time::MonotonicClock::start(),
            events,
            effects,
            life,
            layout: None,
            keeper: None,
            holders: collections::BTreeMap::new(),
            wakeups: collections::BTreeMap::new(),
            copies: copies::CopyStore::default(),
            calls: collections::BTreeMap::new(),
            call_count: 0,
            peers,
            is_table_down: false,
            copying: collections::BTreeSet::new(),
            last_ping: None,
            stopping: None,
        }
    }

    /// Handles events until the thread is told to quit.
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
        let keeper = self.keeper.iter().map(manager::LeaseManager::next_wakeup);
        let due = self.wakeups.values().copied().chain(keeper).min();
        let wait = due.map_or(LONGEST_WAIT, |due| due.since(now));
        wait.clamp(SHORTEST_WAIT, LONGEST_WAIT)
    }

    fn handle(&mut self, event: event::ControlEvent) {
        match event {
            event::ControlEvent::Layout(layout) => self.start_keeper(layout),
            event::ControlEvent::Lease(input) => self.lease_input(input),
            event::ControlEvent::Claim(hold, input) => self.claim_input(hold, input),
            event::ControlEvent::Submit { hold, call, responder } => {
                self.submit(hold, call, responder);
            }
            event::ControlEvent::Keep { hold, first_unwritten, batches, responder } => {
                let answer = self.keep(hold, first_unwritten, batches);
                respond(&responder, answer);
            }
            event::ControlEvent::Seal { hold, responder } => self.seal(hold, &responder),
            event::ControlEvent::Pinged(daemon, seen) => self.peers.pinged(daemon, seen),
            event::ControlEvent::Stop(responder) => self.stop(responder),
            event::ControlEvent::Quit => {}
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        let due = self.wakeups.iter().filter(|(_, wakeup)| **wakeup <= now);
        let due: Vec<event::HoldId> = due.map(|(hold, _)| *hold).collect();
        for hold in due {
            self.claim_input(hold, transition::ClaimInput::Tick);
        }
        if self.keeper.as_ref().is_some_and(|keeper| keeper.next_wakeup() <= now) {
            self.lease_input(manager::LeaseInput::Tick);
        }
        if self.last_ping.is_none_or(|last| now.since(last) >= PING_INTERVAL) {
            self.last_ping = Some(now);
            self.every_interval();
        }
    }

    /// Work that is done once in each ping interval.
    fn every_interval(&mut self) {
        let input = manager::LeaseInput::SetCandidate(self.peers.is_candidate());
        self.lease_input(input);
        if !self.holders.is_empty() {
            let pinged = self.peers.next_pinged();
            self.effects.ping(pinged);
        }
        self.prefer_copies();
        let holds: Vec<_> = self.holders.keys().copied().collect();
        for hold in holds {
            self.claim_input(hold, transition::ClaimInput::Tick);
        }
        let keys: usize = self.holders.values().map(shard::ShardHolder::key_count).sum();
        self.metrics.keys.set(i64::try_from(keys).unwrap_or(i64::MAX));
    }
}

/// Answers a waiting task; it may have given up.
fn respond<T>(responder: &channel::Sender<T>, answer: T) {
    let _ = responder.try_send(answer);
}
