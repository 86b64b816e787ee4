//! The service that the entry daemon calls.

use std::io;
use std::sync;
use std::thread;

use arc_swap::ArcSwapOption;
use async_std::channel;
use async_std::future;
use async_std::task;
use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_claims::step;
use samphiremoor_lease::keeper;
use samphiremoor_peers::server;
use samphiremoor_platform::table;

use crate::call;
use crate::control;
use crate::effects;
use crate::event;
use crate::forward;
use crate::layout;
use crate::map;
use crate::message;
use crate::metrics;
use crate::peer;
use crate::settings;
use crate::stored;

/// What the service is built from.
pub struct ShardParts {
    /// This daemon.
    pub daemon: id::DaemonId,
    /// Number of this daemon's life; differs after each restart.
    pub incarnation: quantity::Incarnation,
    /// This daemon's availability zone.
    pub zone: id::ZoneId,
    /// Settings.
    pub settings: settings::ShardSettings,
    /// The platform's table.
    pub table: sync::Arc<dyn table::TableStore>,
    /// Runs the calls.
    pub runner: sync::Arc<dyn call::CallRunner>,
    /// Gives the other daemons.
    pub directory: sync::Arc<dyn peer::PeerDirectory>,
    /// Talks to the other daemons.
    pub transport: sync::Arc<dyn peer::PeerTransport>,
}

/// Runs calls that may not be repeated; cheap to clone. The thread ends with the last clone.
#[derive(Clone)]
pub struct ShardService {
    shared: sync::Arc<ServiceShared>,
}

pub(crate) struct ServiceShared {
    pub(crate) parts: sync::Arc<ShardParts>,
    pub(crate) map: sync::Arc<ArcSwapOption<map::ShardMap>>,
    pub(crate) contacts: forward::ContactTimes,
    sender: channel::Sender<event::ControlEvent>,
}

impl ShardService {
    /// Starts the thread that holds leases and claims, and registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails where the registry has metrics of the same names already, or no thread can be started.
    pub fn start(
        parts: ShardParts,
        registry: &prometheus::Registry,
    ) -> Result<ShardService, StartError> {
        let metrics = metrics::ShardMetrics::register(registry).map_err(StartError::Metrics)?;
        let parts = sync::Arc::new(parts);
        let map = sync::Arc::new(ArcSwapOption::empty());
        let (sender, receiver) = channel::unbounded();
        let effects = effects::EffectStarter::new(parts.clone(), sender.clone());
        let control =
            control::ShardControl::new(parts.clone(), metrics, map.clone(), receiver, effects);
        let builder = thread::Builder::new().name("shards".to_owned());
        builder.spawn(move || control.run()).map_err(StartError::Thread)?;
        agree_layout(parts.clone(), sender.clone());
        let contacts = forward::ContactTimes::new();
        Ok(ShardService { shared: sync::Arc::new(ServiceShared { parts, map, contacts, sender }) })
    }

    /// Runs the call at most once over all daemons, or gives the answer of an earlier send.
    pub async fn submit(&self, call: call::OnceCall) -> call::OnceAnswer {
        forward::CallForwarder::new(&self.shared, call).submit().await
    }

    /// Answers a question of another daemon.
    pub fn answer(
        &self,
        question: message::ShardQuestion,
    ) -> server::AnswerFuture<message::ShardAnswer> {
        let shared = self.shared.clone();
        Box::pin(async move { shared.answer(question).await })
    }

    /// Number of shards whose holder is known here, and the number of shards.
    pub fn coverage(&self) -> ShardCoverage {
        let map = self.shared.map.load();
        let holders = map.as_ref().map_or(&[][..], |map| &map.holders);
        ShardCoverage {
            held: holders.iter().flatten().count(),
            own: holders
                .iter()
                .flatten()
                .filter(|target| self.shared.is_self(&target.life))
                .count(),
            total: holders.len(),
        }
    }

    /// Finishes what runs and gives the shards away, within `limit`.
    pub async fn stop(&self, limit: time::Millis) {
        let (sender, receiver) = channel::bounded(1);
        self.shared.send(event::ControlEvent::Stop(sender)).await;
        // Shards that are not given away by then are taken over when their lease time has passed.
        let _ = future::timeout(limit.to_duration(), receiver.recv()).await;
    }
}

/// How many shards have a holder.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShardCoverage {
    /// Shards with a holder.
    pub held: usize,
    /// Shards that this daemon holds.
    pub own: usize,
    /// All shards; 0 until the layout is known.
    pub total: usize,
}

/// Why the service can't be started.
#[derive(Debug)]
pub enum StartError {
    /// The metrics can't be registered.
    Metrics(prometheus::Error),
    /// The thread can't be started.
    Thread(io::Error),
}

impl std::fmt::Display for StartError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StartError::Metrics(cause) => {
                write!(f, "shard metrics can't be registered ({cause}); start one service only")
            }
            StartError::Thread(cause) => {
                write!(f, "no thread for the shards ({cause}); raise the limit of threads")
            }
        }
    }
}

impl std::error::Error for StartError {}

impl ServiceShared {
    pub(crate) fn is_self(&self, life: &samphiremoor_lease::row::DaemonLife) -> bool {
        life.daemon == self.parts.daemon && life.incarnation == self.parts.incarnation
    }

    /// Hands a call to the holder on this daemon and awaits its answer.
    pub(crate) async fn submit_here(
        &self,
        hold: event::HoldId,
        call: sync::Arc<call::OnceCall>,
    ) -> step::ClaimAnswer {
        let (responder, receiver) = channel::bounded(1);
        self.send(event::ControlEvent::Submit { hold, call, responder }).await;
        // The thread has ended, and it has not run the call.
        receiver.recv().await.unwrap_or(step::ClaimAnswer::Moved)
    }

    /// Has the lease rows read again soon.
    pub(crate) async fn refresh_map(&self) {
        self.send(event::ControlEvent::Lease(keeper::LeaseInput::ScanSoon)).await;
    }

    async fn send(&self, event: event::ControlEvent) {
        // The thread ends with the service only.
        let _ = self.sender.send(event).await;
    }

    async fn answer(&self, question: message::ShardQuestion) -> message::ShardAnswer {
        let own = self.parts.incarnation;
        match question {
            message::ShardQuestion::Ping => message::ShardAnswer::Pong { incarnation: own },
            message::ShardQuestion::Submit { incarnation, .. }
            | message::ShardQuestion::Keep { incarnation, .. }
            | message::ShardQuestion::Seal { incarnation, .. }
                if incarnation != own =>
            {
                message::ShardAnswer::OtherLife
            }
            message::ShardQuestion::Submit { shard, fence, call, wait, .. } => {
                self.answer_submit(event::HoldId { shard, fence }, *call, wait).await
            }
            message::ShardQuestion::Keep { shard, fence, written, batches, .. } => {
                let hold = event::HoldId { shard, fence };
                self.ask_control(|responder| event::ControlEvent::Keep {
                    hold,
                    written,
                    batches,
                    responder,
                })
                .await
            }
            message::ShardQuestion::Seal { shard, fence, .. } => {
                let hold = event::HoldId { shard, fence };
                self.ask_control(|responder| event::ControlEvent::Seal { hold, responder }).await
            }
            message::ShardQuestion::Holder { shard } => self.known_holder(shard),
            message::ShardQuestion::Released => {
                self.refresh_map().await;
                message::ShardAnswer::Pong { incarnation: own }
            }
        }
    }

    fn known_holder(&self, shard: quantity::ShardNumber) -> message::ShardAnswer {
        let map = self.map.load();
        match map.as_ref().and_then(|map| map.holder(shard)) {
            Some(target) => {
                message::ShardAnswer::HeldBy { life: target.life.clone(), fence: target.fence }
            }
            None => message::ShardAnswer::NotHolder,
        }
    }

    async fn answer_submit(
        &self,
        hold: event::HoldId,
        call: call::OnceCall,
        wait: time::Millis,
    ) -> message::ShardAnswer {
        let answer = self.submit_here(hold, sync::Arc::new(call));
        let Ok(answer) = future::timeout(wait.to_duration(), answer).await else {
            return message::ShardAnswer::Running;
        };
        match stored::once_answer(answer) {
            Some(answer) => message::ShardAnswer::Ended(Box::new(answer)),
            None => message::ShardAnswer::NotHolder,
        }
    }

    async fn ask_control(
        &self,
        event: impl FnOnce(channel::Sender<message::ShardAnswer>) -> event::ControlEvent,
    ) -> message::ShardAnswer {
        let (responder, receiver) = channel::bounded(1);
        self.send(event(responder)).await;
        receiver.recv().await.unwrap_or(message::ShardAnswer::Stopping)
    }
}

impl Drop for ServiceShared {
    fn drop(&mut self) {
        // A full or closed channel means that the thread has ended.
        let _ = self.sender.try_send(event::ControlEvent::Quit);
    }
}

/// Finds the layout of the shards and tells the thread.
fn agree_layout(parts: sync::Arc<ShardParts>, sender: channel::Sender<event::ControlEvent>) {
    task::spawn(async move {
        let layout = layout::agree_layout(&*parts.table, parts.settings.count).await;
        // The thread has ended: nobody needs the layout.
        let _ = sender.send(event::ControlEvent::Layout(layout)).await;
    });
}
