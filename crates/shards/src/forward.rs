//! Finds the holder of a call's shard and gets the call's answer from it.

use std::collections;
use std::sync;
use std::time as std_time;

use async_std::task;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_lease::row;
use samphiremoor_peers::client;
use samphiremoor_view::zone;

use crate::call;
use crate::event;
use crate::message;
use crate::peer;
use crate::shared;
use crate::stored;

/// Longest wait of the holder before it says that a call still runs.
const POLL_WAIT: time::Millis = time::Millis::new(500);

/// Pause before the holder is looked up again.
const LOOKUP_PAUSE: time::Millis = time::Millis::new(50);

/// Look-ups without a holder after which another daemon is asked for it: this one may be cut off
/// from the table.
const OWN_LOOKUPS: usize = 3;

/// When a refused caller is told to come back.
const RETRY_AFTER: time::Millis = time::Millis::new(1_000);

/// One attempt's result.
enum ForwardStep {
    /// The call ended.
    Ended(call::KeyedResponse),
    /// The call runs; ask again at once.
    Running,
    /// The holder is not known, or does not hold the shard any more.
    NoHolder,
    /// The holder did not answer, and it may have got the call.
    Silent,
}

/// A hold, and the daemon that has it.
#[derive(Clone)]
struct HoldTarget {
    id: event::HoldId,
    life: row::DaemonInstance,
}

/// Gets the answer of one call.
pub(crate) struct CallForwarder<'a> {
    shared: &'a shared::ServiceShared,
    call: sync::Arc<call::KeyedCall>,
    start: std_time::Instant,
    /// Look-ups so far.
    lookups: usize,
    /// The latest hold that other daemons know.
    learned: Option<HoldTarget>,
    /// The holder that said that it runs the call.
    runs_at: Option<HoldTarget>,
    /// Holds that may have run the call.
    maybe_run_at: collections::BTreeSet<event::HoldId>,
}

impl<'a> CallForwarder<'a> {
    pub(crate) fn new(shared: &'a shared::ServiceShared, call: call::KeyedCall) -> Self {
        CallForwarder {
            shared,
            call: sync::Arc::new(call),
            start: std_time::Instant::now(),
            lookups: 0,
            learned: None,
            runs_at: None,
            maybe_run_at: collections::BTreeSet::new(),
        }
    }

    pub(crate) async fn submit(mut self) -> call::KeyedResponse {
        loop {
            let Some(hold) = self.target() else {
                self.pause().await;
                if self.is_over() {
                    return self.given_up();
                }
                continue;
            };
            match self.send(&hold).await {
                ForwardStep::Ended(answer) => return self.qualified(answer, Some(hold.id)),
                // A holder that runs the call is asked again, also when it has lost the shard since.
                ForwardStep::Running => {
                    self.maybe_run_at.insert(hold.id);
                    self.runs_at = Some(hold);
                }
                ForwardStep::NoHolder => {
                    self.runs_at = None;
                    self.pause().await;
                }
                ForwardStep::Silent => {
                    self.maybe_run_at.insert(hold.id);
                    self.runs_at = None;
                    self.pause().await;
                }
            }
            if self.is_over() {
                return self.given_up();
            }
        }
    }

    fn target(&self) -> Option<HoldTarget> {
        if let Some(hold) = &self.runs_at {
            return Some(hold.clone());
        }
        let known = self.known_hold().into_iter().chain(self.learned.clone());
        known.max_by_key(|hold| hold.id.fence)
    }

    fn known_hold(&self) -> Option<HoldTarget> {
        let map = self.shared.map.load_full()?;
        let shard = map.layout.shard_of(&self.call.key);
        let target = map.holder(shard)?.clone();
        let id = event::HoldId { shard, fence: target.fence };
        Some(HoldTarget { id, life: target.life })
    }

    /// Asks another daemon, each time the next one, who holds the shard. What it says is a hint: the
    /// call names the fencing number, and only that hold takes it.
    async fn learn_holder(&mut self) {
        let Some(map) = self.shared.map.load_full() else { return };
        let shard = map.layout.shard_of(&self.call.key);
        let parts = &self.shared.parts;
        let mut peers = parts.directory.daemons();
        peers.retain(|peer| peer.id != parts.daemon && peer.state == zone::UpstreamState::Live);
        // Other zones first: this one may be cut off as a whole.
        peers.sort_by_key(|peer| peer.zone == parts.zone);
        if peers.is_empty() {
            return;
        }
        let peer = &peers[(self.lookups - OWN_LOOKUPS) % peers.len()];
        let answer = parts.transport.request(peer, message::ShardRequest::Holder { shard }).await;
        let Ok(message::ShardResponse::HeldBy { life, fence }) = answer else { return };
        let hold = HoldTarget { id: event::HoldId { shard, fence }, life };
        if self.learned.as_ref().is_none_or(|learned| learned.id.fence < fence) {
            self.learned = Some(hold);
        }
    }

    async fn send(&self, hold: &HoldTarget) -> ForwardStep {
        if self.shared.is_self(&hold.life) {
            let call = sync::Arc::new(self.present_call());
            let answer = self.shared.submit_here(hold.id, call).await;
            return stored::once_answer(answer).map_or(ForwardStep::NoHolder, ForwardStep::Ended);
        }
        let daemons = self.shared.parts.directory.daemons();
        let Some(peer) = daemons.iter().find(|peer| peer.id == hold.life.daemon) else {
            return ForwardStep::NoHolder;
        };
        if !self.is_reachable(peer, &hold.life).await {
            return ForwardStep::NoHolder;
        }
        self.forward(peer, hold).await
    }

    /// Makes sure that the holder answers before it gets a call, so that a cut link costs no
    /// unknown outcome.
    async fn is_reachable(&self, peer: &peer::PeerEntry, holder: &row::DaemonInstance) -> bool {
        if self.shared.contacts.is_fresh(&peer.id) {
            return true;
        }
        let answer = self.shared.parts.transport.request(peer, message::ShardRequest::Ping).await;
        let Ok(message::ShardResponse::Pong { incarnation }) = answer else { return false };
        if incarnation != holder.incarnation {
            return false;
        }
        self.shared.contacts.note(&peer.id);
        true
    }

    async fn forward(&self, peer: &peer::PeerEntry, hold: &HoldTarget) -> ForwardStep {
        let call = Box::new(self.present_call());
        let wait = Ord::min(POLL_WAIT, call.remaining);
        let incarnation = hold.life.incarnation;
        let event::HoldId { shard, fence } = hold.id;
        let question = message::ShardRequest::Submit { incarnation, shard, fence, call, wait };
        let answer = self.shared.parts.transport.request(peer, question).await;
        match &answer {
            Ok(_) => self.shared.contacts.note(&peer.id),
            Err(_) => self.shared.contacts.forget(&peer.id),
        }
        match answer {
            Ok(message::ShardResponse::Ended(answer)) => ForwardStep::Ended(*answer),
            Ok(message::ShardResponse::Running) => ForwardStep::Running,
            // The question may have been sent twice, and the life that is gone may have run the call.
            Ok(message::ShardResponse::OtherLife) => ForwardStep::Silent,
            Ok(_) | Err(client::PeerError::Unreachable) => ForwardStep::NoHolder,
            Err(_) => ForwardStep::Silent,
        }
    }

    /// The call with the time that is left now.
    fn present_call(&self) -> call::KeyedCall {
        let mut call = call::KeyedCall::clone(&self.call);
        call.remaining = call.remaining.saturating_sub(time::Millis::from(self.start.elapsed()));
        call
    }

    async fn pause(&mut self) {
        self.lookups += 1;
        self.shared.refresh_map().await;
        if self.lookups >= OWN_LOOKUPS {
            self.learn_holder().await;
        }
        task::sleep(LOOKUP_PAUSE.to_duration()).await;
    }

    /// Whether it is time to give up: at the deadline, and earlier where nobody may have the call.
    fn is_over(&self) -> bool {
        let elapsed = time::Millis::from(self.start.elapsed());
        let limit = self.shared.parts.settings.claim_timeout;
        elapsed >= self.call.remaining || (self.maybe_run_at.is_empty() && elapsed >= limit)
    }

    fn given_up(&self) -> call::KeyedResponse {
        let reason = reason::RefusalReason::ShardUnavailable;
        let answer = call::KeyedResponse::NotRun { reason, retry_after: Some(RETRY_AFTER) };
        self.qualified(answer, None)
    }

    /// Turns `not run` into `unknown` where a hold other than the answering one may have run the
    /// call. A hold answers for every send that it got: it refuses late copies of a refused request.
    fn qualified(
        &self,
        answer: call::KeyedResponse,
        answering: Option<event::HoldId>,
    ) -> call::KeyedResponse {
        let may_have_run = self.maybe_run_at.iter().any(|hold| Some(*hold) != answering);
        match answer {
            call::KeyedResponse::NotRun { reason, retry_after } if may_have_run => {
                call::KeyedResponse::Unknown { reason, retry_after }
            }
            answer => answer,
        }
    }
}
