//! The shard service, which the entry daemon uses.

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
use crate::state;
use crate::timed_table;

/// Runs calls with idempotency keys at most once. Clones share one control thread, which ends when
/// the last clone is dropped.
#[derive(Clone)]
pub struct ShardService {
    state: sync::Arc<state::ServiceState>,
}

impl ShardService {
    /// Starts the control thread and registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails if the registry already contains metrics of the same names, or if the thread can't be
    /// started.
    pub fn start(
        context: context::ShardContext,
        registry: &prometheus::Registry,
    ) -> Result<ShardService, StartError> {
        let metrics = metrics::ShardMetrics::register(registry).map_err(StartError::Metrics)?;
        let table = sync::Arc::new(timed_table::TimedTable::new(context.table));
        let context = sync::Arc::new(context::ShardContext { table, ..context });
        let map = sync::Arc::new(ArcSwapOption::empty());
        let (event_sender, event_receiver) = channel::unbounded();
        let effects = effects::EffectSpawner::new(context.clone(), event_sender.clone());
        let control = control::ShardControl::new(
            context.clone(),
            metrics,
            map.clone(),
            event_receiver,
            effects,
        );
        let builder = thread::Builder::new().name("shards".to_owned());
        builder.spawn(move || control.run()).map_err(StartError::Thread)?;
        spawn_layout_task(context.clone(), event_sender.clone());
        let contacts = contacts::ContactTimes::new();
        Ok(ShardService {
            state: sync::Arc::new(state::ServiceState { context, map, contacts, event_sender }),
        })
    }

    /// Runs the call at most once across all daemons, or returns the stored response of an earlier
    /// submission.
    pub async fn submit(&self, call: call::KeyedCall) -> call::KeyedResponse {
        forward::CallForwarder::new(&self.state, call).submit().await
    }

    /// Handles a request from another daemon.
    pub fn handle_request(
        &self,
        request: message::ShardRequest,
    ) -> server::ResponseFuture<message::ShardResponse> {
        let state = self.state.clone();
        Box::pin(async move { state.handle_request(request).await })
    }

    /// Returns how many shards have a known holder.
    pub fn coverage(&self) -> ShardCoverage {
        let map = self.state.map.load();
        let holders = map.as_ref().map_or(&[][..], |map| &map.holders);
        ShardCoverage {
            held: holders.iter().flatten().count(),
            held_locally: holders
                .iter()
                .flatten()
                .filter(|target| self.state.is_local_instance(&target.instance))
                .count(),
            total: holders.len(),
        }
    }

    /// Finishes running calls and releases all leases. Returns whether that is done within
    /// `time_limit`; if not, it goes on and can be waited for again.
    pub async fn stop(&self, time_limit: time::Millis) -> bool {
        let (responder, receiver) = channel::bounded(1);
        self.state.send(event::ControlEvent::Stop(responder)).await;
        // Leases that are not released by then expire and are taken over by other daemons.
        matches!(future::timeout(time_limit.to_duration(), receiver.recv()).await, Ok(Ok(())))
    }
}

/// Number of shards with a holder.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShardCoverage {
    /// Shards with a holder, as far as this daemon knows.
    pub held: usize,
    /// Shards that this daemon holds.
    pub held_locally: usize,
    /// All shards; 0 until the layout is known.
    pub total: usize,
}

/// Why the service could not be started.
#[derive(Debug)]
pub enum StartError {
    /// The metrics could not be registered.
    Metrics(prometheus::Error),
    /// The control thread could not be started.
    Thread(io::Error),
}

impl std::fmt::Display for StartError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StartError::Metrics(cause) => {
                write!(
                    f,
                    "failed to register the shard metrics: {cause}; start only one shard service"
                )
            }
            StartError::Thread(cause) => {
                write!(
                    f,
                    "failed to start the shard control thread: {cause}; raise the thread limit"
                )
            }
        }
    }
}

impl std::error::Error for StartError {}

/// Determines the layout of the shards and passes it to the control thread.
fn spawn_layout_task(
    context: sync::Arc<context::ShardContext>,
    event_sender: channel::Sender<event::ControlEvent>,
) {
    task::spawn(async move {
        let layout = layout::read_or_create_layout(&*context.table, context.settings.count).await;
        // An error means that the control thread has ended, so the layout is not needed.
        let _ = event_sender.send(event::ControlEvent::Layout(layout)).await;
    });
}
