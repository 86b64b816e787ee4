//! The thread that owns leases, claims and copies.

use std::collections;
use std::sync;

use arc_swap::ArcSwapOption;
use async_std::channel;
use async_std::future;
use async_std::task;
use samphiremoor_base::event as log_event;
use samphiremoor_base::log_event;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_claims::copies;
use samphiremoor_claims::journal;
use samphiremoor_claims::key;
use samphiremoor_claims::ledger;
use samphiremoor_claims::opening;
use samphiremoor_claims::shard;
use samphiremoor_claims::step;
use samphiremoor_claims::writer;
use samphiremoor_lease::answer;
use samphiremoor_lease::keeper;
use samphiremoor_lease::row;

use crate::call;
use crate::copy_peers;
use crate::effects;
use crate::event;
use crate::map;
use crate::message;
use crate::metrics;
use crate::service;

/// Longest wait between two looks at the time.
const LONGEST_WAIT: time::Millis = time::Millis::new(500);

/// Shortest wait, so that a wake-up that is due can't spin the thread.
const SHORTEST_WAIT: time::Millis = time::Millis::new(1);

/// Time between pings of the daemons that could keep copies.
const PING_INTERVAL: time::Millis = time::Millis::new(1_000);

/// State of the thread.
pub(crate) struct ShardControl {
    parts: sync::Arc<service::ShardParts>,
    metrics: metrics::ShardMetrics,
    map: sync::Arc<ArcSwapOption<map::ShardMap>>,
    clock: time::MonotonicClock,
    events: channel::Receiver<event::ControlEvent>,
    effects: effects::EffectStarter,
    life: row::DaemonLife,
    layout: Option<key::ShardLayout>,
    keeper: Option<keeper::LeaseKeeper>,
    holders: collections::BTreeMap<event::HoldId, shard::ShardHolder>,
    /// When each holder wants its next tick, as it said after its last input.
    wakeups: collections::BTreeMap<event::HoldId, time::MonotonicTime>,
    copies: copies::CopyStore,
    calls: collections::BTreeMap<ledger::CallNumber, PendingCall>,
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
    call: sync::Arc<call::OnceCall>,
    received: time::MonotonicTime,
    responder: channel::Sender<step::ClaimAnswer>,
}

impl ShardControl {
    pub(crate) fn new(
        parts: sync::Arc<service::ShardParts>,
        metrics: metrics::ShardMetrics,
        map: sync::Arc<ArcSwapOption<map::ShardMap>>,
        events: channel::Receiver<event::ControlEvent>,
        effects: effects::EffectStarter,
    ) -> Self {
        let life = row::DaemonLife { daemon: parts.daemon.clone(), incarnation: parts.incarnation };
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
        let keeper = self.keeper.iter().map(keeper::LeaseKeeper::next_wakeup);
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
            event::ControlEvent::Keep { hold, written, batches, responder } => {
                let answer = match self.copies.keep(hold.shard, hold.fence, written, batches) {
                    copies::KeepAnswer::Kept => message::ShardAnswer::Kept,
                    copies::KeepAnswer::Sealed => message::ShardAnswer::Refused,
                };
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
            self.claim_input(hold, step::ClaimInput::Tick);
        }
        if self.keeper.as_ref().is_some_and(|keeper| keeper.next_wakeup() <= now) {
            self.lease_input(keeper::LeaseInput::Tick);
        }
        if self.last_ping.is_none_or(|last| now.since(last) >= PING_INTERVAL) {
            self.last_ping = Some(now);
            self.every_interval();
        }
    }

    /// Work that is done once in each ping interval.
    fn every_interval(&mut self) {
        let input = keeper::LeaseInput::Candidate(self.peers.is_candidate());
        self.lease_input(input);
        if !self.holders.is_empty() {
            self.effects.ping(self.peers.copy_peers());
        }
        self.prefer_copies();
        let holds: Vec<_> = self.holders.keys().copied().collect();
        for hold in holds {
            self.claim_input(hold, step::ClaimInput::Tick);
        }
        let keys: usize = self.holders.values().map(shard::ShardHolder::key_count).sum();
        self.metrics.keys.set(i64::try_from(keys).unwrap_or(i64::MAX));
    }

    fn start_keeper(&mut self, layout: key::ShardLayout) {
        let policy = self.parts.settings.lease_policy(layout.count);
        self.layout = Some(layout);
        self.keeper = Some(keeper::LeaseKeeper::new(self.life.clone(), policy));
        self.lease_input(keeper::LeaseInput::Tick);
    }

    fn lease_input(&mut self, input: keeper::LeaseInput) {
        let now = self.clock.now();
        let Some(keeper) = &mut self.keeper else { return };
        let actions = keeper.handle(now, input);
        for action in actions {
            self.lease_action(action);
        }
        self.publish();
    }

    fn lease_action(&mut self, action: keeper::LeaseAction) {
        match action {
            keeper::LeaseAction::Scan => self.effects.scan_leases(),
            keeper::LeaseAction::Commit(transaction) => {
                self.metrics.table_writes.inc();
                self.effects.commit_lease(transaction);
            }
            keeper::LeaseAction::Taken { shard, lease } => self.open(shard, lease),
            keeper::LeaseAction::Lost(shard) => self.each_hold(shard, &step::ClaimInput::LeaseLost),
            keeper::LeaseAction::Release(shard) => {
                self.each_hold(shard, &step::ClaimInput::Release);
            }
            keeper::LeaseAction::Stopped => {
                if let Some(responder) = self.stopping.take() {
                    // The waiting side may have given up.
                    let _ = responder.try_send(());
                }
            }
        }
    }

    /// Hands an input to the open hold of a shard.
    fn each_hold(&mut self, shard: quantity::ShardNumber, input: &step::ClaimInput) {
        let Some(hold) = self.open_hold(shard) else { return };
        self.claim_input(hold, input.clone());
    }

    fn open_hold(&self, shard: quantity::ShardNumber) -> Option<event::HoldId> {
        let open = self.holders.iter().filter(|(_, holder)| !holder.is_closed());
        open.map(|(hold, _)| *hold).find(|hold| hold.shard == shard)
    }

    fn open(&mut self, shard: quantity::ShardNumber, lease: row::HeldLease) {
        let hold = event::HoldId { shard, fence: lease.row.fence };
        log_event!(log_event::LogEvent::LeaseTaken, shard = shard, fence = hold.fence);
        self.metrics.takeovers.inc();
        let copy_set = self.peers.preferred_copies(shard, &row::CopySet::new());
        let policy = self.parts.settings.claim_policy();
        let holder = shard::ShardHolder::new(shard, lease, copy_set, policy);
        self.holders.insert(hold, holder);
        self.claim_input(hold, step::ClaimInput::Tick);
    }

    fn submit(
        &mut self,
        hold: event::HoldId,
        call: sync::Arc<call::OnceCall>,
        responder: channel::Sender<step::ClaimAnswer>,
    ) {
        if !self.holders.contains_key(&hold) {
            respond(&responder, step::ClaimAnswer::Moved);
            return;
        }
        let received = self.clock.now();
        self.call_count += 1;
        let number = ledger::CallNumber(self.call_count);
        let send = step::CallSend {
            call: number,
            request: call.request.clone(),
            key: call.key.clone(),
            digest: call.digest.clone(),
            deadline: received + call.remaining,
        };
        self.calls.insert(number, PendingCall { call, received, responder });
        self.claim_input(hold, step::ClaimInput::Submit(send));
    }

    fn claim_input(&mut self, hold: event::HoldId, input: step::ClaimInput) {
        let now = self.clock.now();
        self.note_answer(hold, &input);
        let Some(holder) = self.holders.get_mut(&hold) else { return };
        let actions = holder.handle(now, input);
        match holder.next_wakeup(now) {
            Some(wakeup) => self.wakeups.insert(hold, wakeup),
            None => self.wakeups.remove(&hold),
        };
        self.claim_actions(hold, actions);
        self.retire(hold);
    }

    /// Logs the table's answers; an outage once when it begins and once when it ends.
    fn note_answer(&mut self, hold: event::HoldId, input: &step::ClaimInput) {
        let step::ClaimInput::TableAnswered(answer) = input else { return };
        let is_down = *answer == answer::TableAnswer::NotDone;
        if is_down && !self.is_table_down {
            log_event!(log_event::LogEvent::PlatformUnavailable, shard = hold.shard);
        }
        if !is_down && self.is_table_down {
            log_event!(log_event::LogEvent::PlatformBack, shard = hold.shard);
        }
        self.is_table_down = is_down;
        match answer {
            answer::TableAnswer::Committed(_) => {
                self.copying.remove(&hold);
                log_event!(log_event::LogEvent::ClaimsWritten, shard = hold.shard);
            }
            answer::TableAnswer::Refused => {
                log_event!(log_event::LogEvent::ClaimsRefused, shard = hold.shard);
            }
            answer::TableAnswer::Unknown => {
                log_event!(log_event::LogEvent::ClaimsUnsettled, shard = hold.shard);
            }
            answer::TableAnswer::NotDone => {}
        }
    }

    fn claim_actions(&mut self, hold: event::HoldId, actions: Vec<step::ClaimAction>) {
        for action in actions {
            self.claim_action(hold, action);
        }
    }

    fn claim_action(&mut self, hold: event::HoldId, action: step::ClaimAction) {
        match action {
            step::ClaimAction::Write(action) => self.write(hold, action),
            step::ClaimAction::Open(opening::OpeningAction::ReadJournal) => {
                self.effects.read_journal(hold);
            }
            step::ClaimAction::Open(opening::OpeningAction::Seal(member)) => {
                self.seal_member(hold, member);
            }
            step::ClaimAction::Run { call, .. } => self.run_call(hold, call),
            step::ClaimAction::Answer { call, answer } => {
                if let Some(pending) = self.calls.remove(&call) {
                    respond(&pending.responder, answer);
                }
            }
            step::ClaimAction::Opened => {
                self.metrics.open_shards.inc();
                self.prefer_copies();
                self.lease_input(keeper::LeaseInput::Opened(hold.shard));
            }
            step::ClaimAction::Closed { reason, was_open } => {
                self.closed(hold, reason, was_open);
            }
        }
    }

    fn write(&mut self, hold: event::HoldId, action: writer::WriterAction) {
        match &action {
            writer::WriterAction::Commit(_) => self.metrics.table_writes.inc(),
            writer::WriterAction::Copy { batches, .. } => {
                self.metrics.copies.inc();
                if !batches.is_empty() && self.copying.insert(hold) {
                    log_event!(log_event::LogEvent::ClaimsCopied, shard = hold.shard);
                }
            }
            writer::WriterAction::ReadLease => {}
        }
        self.effects.write(hold, action);
    }

    fn seal_member(&mut self, hold: event::HoldId, member: row::DaemonLife) {
        if member != self.life {
            return self.effects.seal(hold, member);
        }
        let batches = self.seal_here(hold);
        let answer = opening::SealAnswer::Sealed(batches);
        self.claim_input(hold, step::ClaimInput::SealAnswered { member, answer });
    }

    fn run_call(&mut self, hold: event::HoldId, number: ledger::CallNumber) {
        let Some(pending) = self.calls.get(&number) else { return };
        let waited = self.clock.now().since(pending.received);
        let mut call = call::OnceCall::clone(&pending.call);
        call.remaining = call.remaining.saturating_sub(waited);
        self.metrics.runs.inc();
        self.effects.run(hold, sync::Arc::new(call));
    }

    fn closed(&mut self, hold: event::HoldId, reason: step::CloseReason, was_open: bool) {
        if was_open {
            self.metrics.open_shards.dec();
        }
        if reason == step::CloseReason::Lost {
            log_event!(log_event::LogEvent::LeaseLost, shard = hold.shard, fence = hold.fence);
        }
        self.lease_input(keeper::LeaseInput::Closed(hold.shard));
        if reason == step::CloseReason::Released {
            self.effects.notify_released(self.peers.copy_peers());
        }
    }

    /// Keeps what a closed holder has left, and forgets the holder when its runs have ended.
    fn retire(&mut self, hold: event::HoldId) {
        let Some(holder) = self.holders.get_mut(&hold).filter(|holder| holder.is_closed()) else {
            return;
        };
        let batches = holder.seal(&mut Vec::new());
        let is_idle = holder.active_count() == 0;
        self.copies.absorb(hold.shard, batches);
        if is_idle {
            self.holders.remove(&hold);
            self.wakeups.remove(&hold);
            self.copying.remove(&hold);
        }
    }

    fn seal(&mut self, hold: event::HoldId, responder: &channel::Sender<message::ShardAnswer>) {
        log_event!(log_event::LogEvent::ShardSealed, shard = hold.shard, fence = hold.fence);
        let batches = self.seal_here(hold);
        respond(responder, message::ShardAnswer::Sealed(batches));
    }

    /// Closes earlier holds of the shard here and refuses earlier holders' copies.
    fn seal_here(&mut self, hold: event::HoldId) -> Vec<journal::JournalBatch> {
        let is_earlier =
            |other: &&event::HoldId| other.shard == hold.shard && other.fence < hold.fence;
        let earlier: Vec<_> = self.holders.keys().filter(is_earlier).copied().collect();
        for hold in earlier {
            let Some(holder) = self.holders.get_mut(&hold) else { continue };
            let mut actions = Vec::new();
            let batches = holder.seal(&mut actions);
            self.copies.absorb(hold.shard, batches);
            self.claim_actions(hold, actions);
            self.retire(hold);
        }
        self.copies.seal(hold.shard, hold.fence)
    }

    /// Tells each holder which peers should keep its copies.
    fn prefer_copies(&mut self) {
        let open = self.holders.iter().filter(|(_, holder)| holder.is_open());
        let wanted: Vec<_> = open
            .map(|(hold, holder)| {
                let present = &holder.lease().row.copy_set;
                (*hold, self.peers.preferred_copies(hold.shard, present))
            })
            .collect();
        for (hold, copy_set) in wanted {
            self.claim_input(hold, step::ClaimInput::CopySetPreferred(copy_set));
        }
    }

    fn stop(&mut self, responder: channel::Sender<()>) {
        if self.keeper.is_none() {
            // No lease was ever taken; the waiting side may have given up.
            let _ = responder.try_send(());
            return;
        }
        self.stopping = Some(responder);
        self.lease_input(keeper::LeaseInput::Stop);
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

/// Answers a waiting task; it may have given up.
fn respond<T>(responder: &channel::Sender<T>, answer: T) {
    let _ = responder.try_send(answer);
}
