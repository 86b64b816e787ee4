//! What calls of this daemon and questions of others share.

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

/// The state that calls and questions of other daemons share.
pub(crate) struct ServiceShared {
    pub(crate) parts: sync::Arc<context::ShardContext>,
    pub(crate) map: sync::Arc<ArcSwapOption<map::ShardMap>>,
    pub(crate) contacts: contacts::ContactTimes,
    pub(crate) sender: channel::Sender<event::ControlEvent>,
}

impl ServiceShared {
    /// Whether it is the life of this daemon.
    pub(crate) fn is_self(&self, life: &samphiremoor_lease::row::DaemonInstance) -> bool {
        life.daemon == self.parts.daemon && life.incarnation == self.parts.incarnation
    }

    /// Hands a call to the holder on this daemon and awaits its answer.
    pub(crate) async fn submit_here(
        &self,
        hold: event::HoldId,
        call: sync::Arc<call::KeyedCall>,
    ) -> transition::SubmitResponse {
        let (responder, receiver) = channel::bounded(1);
        self.send(event::ControlEvent::Submit { hold, call, responder }).await;
        // The thread has ended, and it has not run the call.
        receiver.recv().await.unwrap_or(transition::SubmitResponse::Moved)
    }

    /// Has the lease rows read again soon.
    pub(crate) async fn refresh_map(&self) {
        self.send(event::ControlEvent::Lease(manager::LeaseInput::RequestScan)).await;
    }

    /// Sends an event to the thread.
    pub(crate) async fn send(&self, event: event::ControlEvent) {
        // The thread ends with the service only.
        let _ = self.sender.send(event).await;
    }

    /// Answers a question of another daemon.
    pub(crate) async fn answer(&self, question: message::ShardRequest) -> message::ShardResponse {
        let own = self.parts.incarnation;
        match question {
            message::ShardRequest::Ping => message::ShardResponse::Pong { incarnation: own },
            message::ShardRequest::Submit { incarnation, .. }
            | message::ShardRequest::Keep { incarnation, .. }
            | message::ShardRequest::Seal { incarnation, .. }
                if incarnation != own =>
            {
                message::ShardResponse::OtherLife
            }
            message::ShardRequest::Submit { shard, fence, call, wait, .. } => {
                self.answer_submit(event::HoldId { shard, fence }, *call, wait).await
            }
            message::ShardRequest::Keep { shard, fence, first_unwritten, batches, .. } => {
                let hold = event::HoldId { shard, fence };
                self.ask_control(|responder| event::ControlEvent::Keep {
                    hold,
                    first_unwritten,
                    batches,
                    responder,
                })
                .await
            }
            message::ShardRequest::Seal { shard, fence, .. } => {
                let hold = event::HoldId { shard, fence };
                self.ask_control(|responder| event::ControlEvent::Seal { hold, responder }).await
            }
            message::ShardRequest::Holder { shard } => self.known_holder(shard),
            message::ShardRequest::Released => {
                self.refresh_map().await;
                message::ShardResponse::Pong { incarnation: own }
            }
        }
    }

    fn known_holder(&self, shard: quantity::ShardNumber) -> message::ShardResponse {
        let map = self.map.load();
        match map.as_ref().and_then(|map| map.holder(shard)) {
            Some(target) => {
                message::ShardResponse::HeldBy { life: target.life.clone(), fence: target.fence }
            }
            None => message::ShardResponse::NotHolder,
        }
    }

    async fn answer_submit(
        &self,
        hold: event::HoldId,
        call: call::KeyedCall,
        wait: time::Millis,
    ) -> message::ShardResponse {
        let answer = self.submit_here(hold, sync::Arc::new(call));
        let Ok(answer) = future::timeout(wait.to_duration(), answer).await else {
            return message::ShardResponse::Running;
        };
        match stored::once_answer(answer) {
            Some(answer) => message::ShardResponse::Ended(Box::new(answer)),
            None => message::ShardResponse::NotHolder,
        }
    }

    async fn ask_control(
        &self,
        event: impl FnOnce(channel::Sender<message::ShardResponse>) -> event::ControlEvent,
    ) -> message::ShardResponse {
        let (responder, receiver) = channel::bounded(1);
        self.send(event(responder)).await;
        receiver.recv().await.unwrap_or(message::ShardResponse::Stopping)
    }
}

impl Drop for ServiceShared {
    fn drop(&mut self) {
        // A full or closed channel means that the thread has ended.
        let _ = self.sender.try_send(event::ControlEvent::Quit);
    }
}
