//! The service that the entry daemon calls.

use std::io;
use std::sync;
use std::thread;

use arc_swap::ArcSwapOption;
use async_std::channel;
use async_std::future;
use async_std::task;
use samphiremoor_base::time;
use samphiremoor_peers::server;

use crate::call;
use crate::contacts;
use crate::context;
use crate::control;
use crate::effects;
use crate::event;
use crate::forward;
use crate::layout;
use crate::message;
use crate::metrics;
use crate::shared;

/// Runs calls that may not be repeated; cheap to clone. The thread ends with the last clone.
#[derive(Clone)]
pub struct ShardService {
    shared: sync::Arc<shared::ServiceShared>,
}

impl ShardService {
    /// Starts the thread that holds leases and claims, and registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails where the registry has metrics of the same names already, or no thread can be started.
    pub fn start(
        parts: context::ShardContext,
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
        let contacts = contacts::ContactTimes::new();
        Ok(ShardService {
            shared: sync::Arc::new(shared::ServiceShared { parts, map, contacts, sender }),
        })
    }

    /// Runs the call at most once over all daemons, or gives the answer of an earlier send.
    pub async fn submit(&self, call: call::KeyedCall) -> call::KeyedResponse {
        forward::CallForwarder::new(&self.shared, call).submit().await
    }

    /// Answers a question of another daemon.
    pub fn handle_request(
        &self,
        question: message::ShardRequest,
    ) -> server::ResponseFuture<message::ShardResponse> {
        let shared = self.shared.clone();
        Box::pin(async move { shared.answer(question).await })
    }

    /// Number of shards whose holder is known here, and the number of shards.
    pub fn coverage(&self) -> ShardCoverage {
        let map = self.shared.map.load();
        let holders = map.as_ref().map_or(&[][..], |map| &map.holders);
        ShardCoverage {
            held: holders.iter().flatten().count(),
            held_locally: holders
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
    pub held_locally: usize,
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

/// Finds the layout of the shards and tells the thread.
fn agree_layout(
    parts: sync::Arc<context::ShardContext>,
    sender: channel::Sender<event::ControlEvent>,
) {
    task::spawn(async move {
        let layout = layout::agree_layout(&*parts.table, parts.settings.count).await;
        // The thread has ended: nobody needs the layout.
        let _ = sender.send(event::ControlEvent::Layout(layout)).await;
    });
}
