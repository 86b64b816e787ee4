//! Runtime of the engine: runs the scheduler, the cache journal and the order book in real time.

use std::collections;
use std::sync;
use std::time::Instant;

use async_std::channel;
use async_std::task;
use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_httpio::server;
use samphiremoor_records::set;
use samphiremoor_standin::fault;
use samphiremoor_standin::program;

use crate::batch;
use crate::blocks;
use crate::cache;
use crate::journal;
use crate::orders;
use crate::settings;
use crate::tokens;
use crate::wire;

/// Maximum number of requests whose KV cache is kept for export, including queued and running
/// requests.
const MAX_EXPORTS: usize = 1_024;
/// Maximum number of imported KV caches whose requests have not arrived.
pub const MAX_IMPORTS: usize = 1_024;

/// State of the engine, shared by the scheduler loop and the HTTP handler.
pub struct EngineRuntime {
    settings: settings::EngineSettings,
    clock: time::MonotonicClock,
    /// Injected faults.
    pub faults: fault::FaultInjector,
    /// Counter of calls in progress.
    pub calls: program::CallCounter,
    /// Signal that is triggered when the engine is asked to stop.
    pub draining: server::StopSignal,
    wake_sender: channel::Sender<()>,
    wake_receiver: channel::Receiver<()>,
    shared: sync::Mutex<SharedState>,
}

struct SharedState {
    scheduler: batch::BatchScheduler,
    journal: journal::CacheJournal,
    orders: orders::OrderBook,
    jobs: collections::HashMap<batch::SequenceNumber, JobHandle>,
    exports: collections::VecDeque<wire::KvBlob>,
    /// Requests whose KV cache was imported and that have not arrived, and the tokens in it.
    imports: collections::VecDeque<(id::RequestId, quantity::TokenCount)>,
    counts: wire::EngineCounts,
    last_sample: LoadSample,
}

struct JobHandle {
    request: id::RequestId,
    sender: channel::Sender<batch::SequenceEvent>,
}

#[derive(Clone, Copy, Debug, Default)]
struct LoadSample {
    sampled_at: time::MonotonicTime,
    load: batch::BatchLoad,
}

/// Parsed generation call.
#[derive(Clone, Debug)]
pub struct EngineCall {
    /// Id of the request.
    pub request: id::RequestId,
    /// Priority; a smaller value is admitted first.
    pub priority: quantity::PriorityLevel,
    /// Full text of the prompt.
    pub prompt: String,
    /// Number of response tokens that the caller already has.
    pub continue_from: u64,
    /// Number of tokens of the complete response, including those that the caller already has.
    pub target: u64,
}

impl EngineRuntime {
    /// Creates an idle engine.
    pub fn new(settings: settings::EngineSettings) -> Self {
        let (wake_sender, wake_receiver) = channel::bounded(1);
        let memory = settings.memory;
        let reports = settings.reports;
        let cache = cache::PrefixCache::new(memory.cache_blocks);
        let shared = SharedState {
            scheduler: batch::BatchScheduler::new(settings.speed.into(), cache),
            journal: journal::CacheJournal::new(reports.cache_lag, reports.cache_gap_every),
            orders: orders::OrderBook::new(
                settings.checks_fencing,
                memory.max_models,
                memory.load_time,
                &settings.models,
            ),
            jobs: collections::HashMap::new(),
            exports: collections::VecDeque::new(),
            imports: collections::VecDeque::new(),
            counts: wire::EngineCounts::default(),
            last_sample: LoadSample::default(),
        };
        EngineRuntime {
            settings,
            clock: time::MonotonicClock::start(),
            faults: fault::FaultInjector::default(),
            calls: program::CallCounter::default(),
            draining: server::StopSignal::new(),
            wake_sender,
            wake_receiver,
            shared: sync::Mutex::new(shared),
        }
    }

    /// Runs the scheduler one step at a time; never returns.
    pub async fn run(&self) {
        let mut step_end = Instant::now();
        loop {
            self.faults.wait_until_resumed().await;
            let Some(step) = self.next_step() else {
                // The sender is a field of this value, so the channel is never closed.
                let _ = self.wake_receiver.recv().await;
                continue;
            };
            step_end = step_end.max(Instant::now()) + self.faults.scale(step.length);
            task::sleep(step_end.saturating_duration_since(Instant::now())).await;
            self.faults.wait_until_resumed().await;
            self.deliver_step(&step);
        }
    }

    /// Returns the current time on the engine's clock.
    pub fn now(&self) -> time::MonotonicTime {
        self.clock.now()
    }

    /// Queues a call and returns the receiver of its events. Dropping the receiver cancels the
    /// call.
    pub fn submit(&self, call: &EngineCall) -> channel::Receiver<batch::SequenceEvent> {
        let prompt_tokens = tokens::prompt_tokens(&call.prompt);
        let blocks = blocks::hash_blocks(&prompt_tokens);
        let mut shared = self.lock();
        let job = batch::SequenceJob {
            priority: call.priority,
            blocks: blocks.clone(),
            prompt: quantity::TokenCount::new(prompt_tokens.len() as u64),
            delivered: quantity::TokenCount::new(call.continue_from),
            imported: shared.take_import(&call.request).unwrap_or_default(),
            target: quantity::TokenCount::new(call.target),
        };
        let (sender, receiver) = channel::unbounded();
        let number = shared.scheduler.submit(job);
        shared.counts.calls += 1;
        shared.jobs.insert(number, JobHandle { request: call.request.clone(), sender });
        let kv_tokens = prompt_tokens.len() as u64 + call.continue_from;
        shared.push_export(self.kv_blob(&call.request, blocks, kv_tokens));
        drop(shared);
        // A full channel means that a wake-up is already pending.
        let _ = self.wake_sender.try_send(());
        receiver
    }

    /// Cancels all calls of a request and returns their number.
    pub fn cancel(&self, request: &id::RequestId) -> usize {
        let mut shared = self.lock();
        let numbers: Vec<_> = shared
            .jobs
            .iter()
            .filter(|(_, job)| job.request == *request)
            .map(|(number, _)| *number)
            .collect();
        numbers.iter().for_each(|number| shared.cancel(*number));
        numbers.len()
    }

    /// Executes an order that arrived at `received`.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`orders::OrderBook::execute`].
    pub fn order(
        &self,
        order: &wire::EngineOrder,
        received: time::MonotonicTime,
    ) -> Result<(), orders::OrderRefusal> {
        let now = self.clock.now();
        self.lock().orders.execute(order, received, now)
    }

    /// Returns the state that `GET /state` reports.
    pub fn state(&self) -> wire::EngineState {
        let models = self.loaded_models();
        let shared = self.lock();
        let draining = self.draining.is_triggered();
        wire::EngineState {
            id: self.settings.id.clone(),
            ready: !draining && !models.is_empty(),
            models,
            fence: shared.orders.fence(),
            draining,
            role: shared.orders.role(),
        }
    }

    /// Returns the models that are loaded.
    pub fn loaded_models(&self) -> Vec<set::LoadedModel> {
        self.lock().orders.loaded_models(self.clock.now())
    }

    /// Returns the last sample of the load, and takes a new one when the sampling interval has
    /// passed.
    pub fn load(&self) -> wire::LoadBody {
        let now = self.clock.now();
        let mut shared = self.lock();
        if now.since(shared.last_sample.sampled_at) >= self.settings.reports.load_interval {
            shared.last_sample = LoadSample { sampled_at: now, load: shared.scheduler.load() };
        }
        let LoadSample { sampled_at, load } = shared.last_sample;
        wire::LoadBody {
            running: load.running,
            queued: load.queued,
            queued_tokens: load.queued_tokens.get(),
            age_ms: now.since(sampled_at).get(),
        }
    }

    /// Returns the published cache events with a serial number above `serial`.
    pub fn cache_events(&self, serial: u64) -> Vec<wire::CacheEvent> {
        self.lock().journal.events_after(serial, self.clock.now())
    }

    /// Returns the counts since startup.
    pub fn counts(&self) -> wire::EngineCounts {
        self.lock().counts
    }

    /// Counts a continuation whose delivered text differs from this engine's response.
    pub fn count_wrong_continuation(&self) {
        self.lock().counts.wrong_continuations += 1;
    }

    /// Returns the KV cache of a request that is queued or running, or that ended recently.
    pub fn export(&self, request: &id::RequestId) -> Option<wire::KvBlob> {
        self.lock().exports.iter().rev().find(|blob| blob.request == *request).cloned()
    }

    /// Imports a KV cache. Completes after the simulated transfer time.
    pub async fn import(&self, blob: &wire::KvBlob) {
        let bytes_per_second = self.settings.memory.kv_bytes_per_second.get();
        let transfer_time = time::Millis::new(blob.bytes.saturating_mul(1_000) / bytes_per_second);
        task::sleep(self.faults.scale(transfer_time.to_duration())).await;
        let now = self.clock.now();
        let mut shared = self.lock();
        let changes = shared.scheduler.import(&blob.blocks);
        shared.journal.append(&changes, now);
        shared.push_import(blob.request.clone(), quantity::TokenCount::new(blob.tokens));
    }

    fn kv_blob(
        &self,
        request: &id::RequestId,
        blocks: Vec<blocks::BlockHash>,
        tokens: u64,
    ) -> wire::KvBlob {
        let bytes = tokens * self.settings.memory.kv_bytes_per_token.get();
        wire::KvBlob { request: request.clone(), blocks, tokens, bytes }
    }

    fn next_step(&self) -> Option<batch::BatchStep> {
        let mut shared = self.lock();
        (!shared.scheduler.is_idle()).then(|| shared.scheduler.step())
    }

    fn deliver_step(&self, step: &batch::BatchStep) {
        let now = self.clock.now();
        let bytes_per_token = self.settings.memory.kv_bytes_per_token.get();
        let mut shared = self.lock();
        shared.journal.append(&step.changes, now);
        for batch::StepEvent { sequence, event } in &step.events {
            shared.counts.add_event(event);
            shared.deliver_event(*sequence, *event, bytes_per_token);
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, SharedState> {
        self.shared.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl SharedState {
    fn deliver_event(
        &mut self,
        number: batch::SequenceNumber,
        event: batch::SequenceEvent,
        bytes_per_token: u64,
    ) {
        // A cancelled sequence has no job handle.
        let Some(job) = self.jobs.get(&number) else { return };
        let is_closed = job.sender.try_send(event).is_err();
        if matches!(event, batch::SequenceEvent::Token(_)) {
            let request = job.request.clone();
            self.extend_export(&request, bytes_per_token);
        }
        if event == batch::SequenceEvent::Finished {
            self.jobs.remove(&number);
        } else if is_closed {
            self.cancel(number);
        }
    }

    fn cancel(&mut self, number: batch::SequenceNumber) {
        self.scheduler.cancel(number);
        self.jobs.remove(&number);
        self.counts.cancelled += 1;
    }

    fn push_export(&mut self, blob: wire::KvBlob) {
        self.exports.push_back(blob);
        if self.exports.len() > MAX_EXPORTS {
            self.exports.pop_front();
        }
    }

    /// Stores an import, and drops the oldest one if there are too many: its request may never come.
    fn push_import(&mut self, request: id::RequestId, tokens: quantity::TokenCount) {
        self.take_import(&request);
        self.imports.push_back((request, tokens));
        if self.imports.len() > MAX_IMPORTS {
            self.imports.pop_front();
        }
    }

    fn take_import(&mut self, request: &id::RequestId) -> Option<quantity::TokenCount> {
        let index = self.imports.iter().position(|(imported, _)| imported == request)?;
        self.imports.remove(index).map(|(_, tokens)| tokens)
    }

    fn extend_export(&mut self, request: &id::RequestId, bytes_per_token: u64) {
        let export = self.exports.iter_mut().rev().find(|blob| blob.request == *request);
        if let Some(blob) = export {
            blob.tokens += 1;
            blob.bytes += bytes_per_token;
        }
    }
}

impl wire::EngineCounts {
    fn add_event(&mut self, event: &batch::SequenceEvent) {
        match event {
            batch::SequenceEvent::Admitted { cached, computed } => {
                self.cached_tokens += cached.get();
                self.computed_tokens += computed.get();
            }
            batch::SequenceEvent::Token(_) => self.answer_tokens += 1,
            batch::SequenceEvent::Finished => {}
        }
    }
}
