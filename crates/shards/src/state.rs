//! State of the shard service, and the handling of requests from other daemons.

use std::sync;

use arc_swap::ArcSwapOption;
use async_std::channel;
use async_std::future;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_claims::transition;
use samphiremoor_lease::manager;

use crate::call;
use crate::contacts;
use crate::context;
use crate::event;
use crate::map;
use crate::message;
use crate::stored;

/// State that the calls submitted to this daemon and the requests from other daemons share.
pub(crate) struct ServiceState {
    pub(crate) context: sync::Arc<context::ShardContext>,
    /// The shard map that the control thread publishes; `None` until the layout is known.
    pub(crate) map: sync::Arc<ArcSwapOption<map::ShardMap>>,
    pub(crate) contacts: contacts::ContactTimes,
    /// Sends events to the control thread.
    pub(crate) event_sender: channel::Sender<event::ControlEvent>,
}

impl ServiceState {
    /// Returns whether `instance` is this daemon in its current incarnation.
    pub(crate) fn is_local_instance(
        &self,
        instance: &samphiremoor_lease::row::DaemonInstance,
    ) -> bool {
        instance.daemon == self.context.daemon && instance.incarnation == self.context.incarnation
    }

    /// Passes a call to a holder on this daemon and waits for the response.
    pub(crate) async fn submit_locally(
        &self,
        holder_id: event::HolderId,
        call: sync::Arc<call::KeyedCall>,
    ) -> transition::SubmitResponse {
        let (responder, receiver) = channel::bounded(1);
        self.send(event::ControlEvent::Submit { holder_id, call, responder }).await;
        // The channel is closed without a response only if the control thread has ended.
        receiver.recv().await.unwrap_or(transition::SubmitResponse::Moved)
    }

    /// Requests a scan of the lease rows as soon as possible.
    pub(crate) async fn request_scan(&self) {
        self.send(event::ControlEvent::Lease(manager::LeaseInput::RequestScan)).await;
    }

    /// Sends an event to the control thread.
    pub(crate) async fn send(&self, event: event::ControlEvent) {
        // An error means that the control thread has ended; the event and its responder are dropped.
        let _ = self.event_sender.send(event).await;
    }

    /// Handles a request from another daemon.
    pub(crate) async fn handle_request(
        &self,
        request: message::ShardRequest,
    ) -> message::ShardResponse {
        let local_incarnation = self.context.incarnation;
        match request {
            message::ShardRequest::Ping => {
                message::ShardResponse::Pong { incarnation: local_incarnation }
            }
            message::ShardRequest::Submit { incarnation, .. }
            | message::ShardRequest::StoreCopies { incarnation, .. }
            | message::ShardRequest::Seal { incarnation, .. }
                if incarnation != local_incarnation =>
            {
                message::ShardResponse::WrongIncarnation
            }
            message::ShardRequest::Submit { shard, fence, call, max_wait, .. } => {
                self.handle_submit(event::HolderId { shard, fence }, *call, max_wait).await
            }
            message::ShardRequest::StoreCopies {
                shard, fence, first_unwritten, batches, ..
            } => {
                let holder_id = event::HolderId { shard, fence };
                self.request_control(|responder| event::ControlEvent::StoreCopies {
                    holder_id,
                    first_unwritten,
                    batches,
                    responder,
                })
                .await
            }
            message::ShardRequest::Seal { shard, fence, .. } => {
                let holder_id = event::HolderId { shard, fence };
                self.request_control(|responder| event::ControlEvent::Seal { holder_id, responder })
                    .await
            }
            message::ShardRequest::LookUpHolder { shard } => self.look_up_holder(shard),
            message::ShardRequest::LeaseReleased => {
                self.request_scan().await;
                message::ShardResponse::Pong { incarnation: local_incarnation }
            }
        }
    }

    fn look_up_holder(&self, shard: quantity::ShardNumber) -> message::ShardResponse {
        let map = self.map.load();
        match map.as_ref().and_then(|map| map.holder(shard)) {
            Some(holder) => message::ShardResponse::HeldBy {
                instance: holder.instance.clone(),
                fence: holder.fence,
            },
            None => message::ShardResponse::NotHolder,
        }
    }

    async fn handle_submit(
        &self,
        holder_id: event::HolderId,
        call: call::KeyedCall,
        max_wait: time::Millis,
    ) -> message::ShardResponse {
        let submission = self.submit_locally(holder_id, sync::Arc::new(call));
        let Ok(response) = future::timeout(max_wait.to_duration(), submission).await else {
            return message::ShardResponse::Running;
        };
        match stored::keyed_response(response) {
            Some(response) => message::ShardResponse::Finished(Box::new(response)),
            None => message::ShardResponse::NotHolder,
        }
    }

    /// Sends an event to the control thread and waits for the response.
    async fn request_control(
        &self,
        build_event: impl FnOnce(channel::Sender<message::ShardResponse>) -> event::ControlEvent,
    ) -> message::ShardResponse {
        let (responder, receiver) = channel::bounded(1);
        self.send(build_event(responder)).await;
        receiver.recv().await.unwrap_or(message::ShardResponse::Stopping)
    }
}

impl Drop for ServiceState {
    fn drop(&mut self) {
        // An error means that the control thread has already ended.
        let _ = self.event_sender.try_send(event::ControlEvent::Quit);
    }
}
