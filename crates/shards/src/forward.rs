//! Finds the holder of a call's shard and forwards the call to it.

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
use crate::state;
use crate::stored;

/// Maximum time that the holder waits for the call's outcome before it responds that the call is
/// still running.
const POLL_TIMEOUT: time::Millis = time::Millis::new(500);

/// Pause before the holder is looked up again.
const LOOKUP_INTERVAL: time::Millis = time::Millis::new(50);

/// Number of lookups from which peers are asked for the holder, because this daemon may be
/// disconnected from the table.
const LOCAL_LOOKUPS: usize = 3;

/// Delay after which a refused caller may retry.
const RETRY_AFTER: time::Millis = time::Millis::new(1_000);

/// Result of sending a call to a holder.
enum ForwardResult {
    /// The call has an outcome.
    Finished(call::KeyedResponse),
    /// The call is running; the holder should be asked again immediately.
    Running,
    /// The holder could not be reached or did not accept the call, and has not run it.
    NoHolder,
    /// The holder did not respond and may have received the call.
    NoResponse,
}

/// A holder and the daemon instance that it belongs to.
#[derive(Clone)]
struct HolderTarget {
    id: event::HolderId,
    instance: row::DaemonInstance,
}

/// Forwards one call.
pub(crate) struct CallForwarder<'a> {
    state: &'a state::ServiceState,
    call: sync::Arc<call::KeyedCall>,
    /// When the call was submitted.
    started_at: std_time::Instant,
    /// Number of times that the holder was looked up again.
    lookup_count: usize,
    /// The holder with the greatest fencing token that peers have reported.
    reported_holder: Option<HolderTarget>,
    /// The holder that reported the call as running.
    running_at: Option<HolderTarget>,
    /// Holders that may have run the call.
    maybe_run_at: collections::BTreeSet<event::HolderId>,
}

impl<'a> CallForwarder<'a> {
    pub(crate) fn new(state: &'a state::ServiceState, call: call::KeyedCall) -> Self {
        CallForwarder {
            state,
            call: sync::Arc::new(call),
            started_at: std_time::Instant::now(),
            lookup_count: 0,
            reported_holder: None,
            running_at: None,
            maybe_run_at: collections::BTreeSet::new(),
        }
    }

    /// Sends the call to the holder of its shard until the call has an outcome or must be given up.
    pub(crate) async fn submit(mut self) -> call::KeyedResponse {
        loop {
            let Some(holder) = self.current_holder() else {
                self.refresh_holder().await;
                if self.should_give_up() {
                    return self.give_up_response();
                }
                continue;
            };
            match self.send_to(&holder).await {
                ForwardResult::Finished(response) => {
                    return self.qualify(response, Some(holder.id));
                }
                // A holder that runs the call is asked again even if it has lost the shard in the
                // meantime.
                ForwardResult::Running => {
                    self.maybe_run_at.insert(holder.id);
                    self.running_at = Some(holder);
                }
                ForwardResult::NoHolder => {
                    self.running_at = None;
                    self.refresh_holder().await;
                }
                ForwardResult::NoResponse => {
                    self.maybe_run_at.insert(holder.id);
                    self.running_at = None;
                    self.refresh_holder().await;
                }
            }
            if self.should_give_up() {
                return self.give_up_response();
            }
        }
    }

    /// Returns the holder to send the call to: the one that runs the call, or else the known holder
    /// with the greatest fencing token.
    fn current_holder(&self) -> Option<HolderTarget> {
        if let Some(holder) = &self.running_at {
            return Some(holder.clone());
        }
        let known_holders = self.mapped_holder().into_iter().chain(self.reported_holder.clone());
        known_holders.max_by_key(|holder| holder.id.fence)
    }

    /// Returns the holder of the call's shard in the local map.
    fn mapped_holder(&self) -> Option<HolderTarget> {
        let map = self.state.map.load_full()?;
        let shard = map.layout.shard_of(&self.call.key);
        let shard_target = map.holder(shard)?.clone();
        let id = event::HolderId { shard, fence: shard_target.fence };
        Some(HolderTarget { id, instance: shard_target.instance })
    }

    /// Asks a peer for the holder of the shard, a different one each time. The result is only a
    /// hint: the call carries the fencing token of the holder, and no other holder accepts it.
    async fn ask_peer_for_holder(&mut self) {
        let Some(map) = self.state.map.load_full() else { return };
        let shard = map.layout.shard_of(&self.call.key);
        let context = &self.state.context;
        let mut peers = context.directory.daemons();
        peers.retain(|peer| peer.id != context.daemon && peer.state == zone::UpstreamState::Live);
        // Peers in other zones come first, because this whole zone may be disconnected from the
        // table.
        peers.sort_by_key(|peer| peer.zone == context.zone);
        if peers.is_empty() {
            return;
        }
        let peer = &peers[(self.lookup_count - LOCAL_LOOKUPS) % peers.len()];
        let response =
            context.transport.request(peer, message::ShardRequest::LookUpHolder { shard }).await;
        let Ok(message::ShardResponse::HeldBy { instance, fence }) = response else { return };
        let holder = HolderTarget { id: event::HolderId { shard, fence }, instance };
        if self.reported_holder.as_ref().is_none_or(|reported| reported.id.fence < fence) {
            self.reported_holder = Some(holder);
        }
    }

    /// Sends the call to a holder on this daemon or on another one.
    async fn send_to(&self, holder: &HolderTarget) -> ForwardResult {
        if self.state.is_local_instance(&holder.instance) {
            let call = sync::Arc::new(self.call_with_remaining_time());
            let response = self.state.submit_locally(holder.id, call).await;
            return stored::keyed_response(response)
                .map_or(ForwardResult::NoHolder, ForwardResult::Finished);
        }
        let daemons = self.state.context.directory.daemons();
        let Some(peer) = daemons.iter().find(|peer| peer.id == holder.instance.daemon) else {
            return ForwardResult::NoHolder;
        };
        if !self.is_reachable(peer, &holder.instance).await {
            return ForwardResult::NoHolder;
        }
        self.forward(peer, holder).await
    }

    /// Checks that the holder responds before it gets the call, so that a broken link leads to a
    /// refusal rather than to an unknown outcome.
    async fn is_reachable(&self, peer: &peer::PeerEntry, holder: &row::DaemonInstance) -> bool {
        if self.state.contacts.is_fresh(&peer.id) {
            return true;
        }
        let response =
            self.state.context.transport.request(peer, message::ShardRequest::Ping).await;
        let Ok(message::ShardResponse::Pong { incarnation }) = response else { return false };
        if incarnation != holder.incarnation {
            return false;
        }
        self.state.contacts.record(&peer.id);
        true
    }

    /// Sends the call to a holder on another daemon.
    async fn forward(&self, peer: &peer::PeerEntry, holder: &HolderTarget) -> ForwardResult {
        let call = Box::new(self.call_with_remaining_time());
        let max_wait = Ord::min(POLL_TIMEOUT, call.remaining);
        let incarnation = holder.instance.incarnation;
        let event::HolderId { shard, fence } = holder.id;
        let request = message::ShardRequest::Submit { incarnation, shard, fence, call, max_wait };
        let response = self.state.context.transport.request(peer, request).await;
        match &response {
            Ok(_) => self.state.contacts.record(&peer.id),
            Err(_) => self.state.contacts.remove(&peer.id),
        }
        match response {
            Ok(message::ShardResponse::Finished(response)) => ForwardResult::Finished(*response),
            Ok(message::ShardResponse::Running) => ForwardResult::Running,
            // The request may have been sent twice, and the earlier incarnation may have run the
            // call.
            Ok(message::ShardResponse::WrongIncarnation) => ForwardResult::NoResponse,
            Ok(_) | Err(client::PeerError::Unreachable) => ForwardResult::NoHolder,
            Err(_) => ForwardResult::NoResponse,
        }
    }

    /// Returns the call with the time that remains until its deadline.
    fn call_with_remaining_time(&self) -> call::KeyedCall {
        let mut call = call::KeyedCall::clone(&self.call);
        call.remaining =
            call.remaining.saturating_sub(time::Millis::from(self.started_at.elapsed()));
        call
    }

    /// Requests a scan of the lease rows, asks a peer after [`LOCAL_LOOKUPS`] lookups, and pauses.
    async fn refresh_holder(&mut self) {
        self.lookup_count += 1;
        self.state.request_scan().await;
        if self.lookup_count >= LOCAL_LOOKUPS {
            self.ask_peer_for_holder().await;
        }
        task::sleep(LOOKUP_INTERVAL.to_duration()).await;
    }

    /// Returns whether to give up: after the claim timeout if no holder may have run the call,
    /// otherwise at the deadline.
    fn should_give_up(&self) -> bool {
        let elapsed = time::Millis::from(self.started_at.elapsed());
        let claim_timeout = self.state.context.settings.claim_timeout;
        elapsed >= self.call.remaining || (self.maybe_run_at.is_empty() && elapsed >= claim_timeout)
    }

    /// Returns the response to a call that is given up.
    fn give_up_response(&self) -> call::KeyedResponse {
        let reason = reason::RefusalReason::ShardUnavailable;
        let response = call::KeyedResponse::NotRun { reason, retry_after: Some(RETRY_AFTER) };
        self.qualify(response, None)
    }

    /// Turns not-run into unknown if a holder other than `responder` may have run the call. The
    /// responding holder itself is covered by its response, because it also refuses delayed
    /// duplicates of a refused request.
    fn qualify(
        &self,
        response: call::KeyedResponse,
        responder: Option<event::HolderId>,
    ) -> call::KeyedResponse {
        let may_have_run = self.maybe_run_at.iter().any(|holder| Some(*holder) != responder);
        match response {
            call::KeyedResponse::NotRun { reason, retry_after } if may_have_run => {
                call::KeyedResponse::Unknown { reason, retry_after }
            }
            response => response,
        }
    }
}
