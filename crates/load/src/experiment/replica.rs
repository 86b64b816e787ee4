//! Simulated upstreams.

use std::collections;
use std::time::Duration;

use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_routing::picker;
use samphiremoor_routing::prefix;
use samphiremoor_standin_engine::batch;
use samphiremoor_standin_engine::cache;
use samphiremoor_standin_engine::journal;
use samphiremoor_view::zone;
use smallvec::smallvec;

/// Time model of the simulated engines.
pub const ENGINE_MODEL: batch::TimeModel = batch::TimeModel {
    prefill_per_second: 8_000,
    prefill_chunk: 256,
    decode_base: Duration::from_millis(18),
    decode_each: Duration::from_micros(800),
    max_batch: 24,
};
/// Capacity of a simulated engine's prefix cache, in blocks.
pub const ENGINE_CACHE_BLOCKS: usize = 4_096;
/// One of this many cache events is dropped.
pub const CACHE_GAP_EVERY: u64 = 50;
/// Maximum number of calls that one plain replica runs concurrently.
pub const PLAIN_SERVERS: usize = 2;
/// Minimum duration of a step, which ensures that simulated time advances.
const MIN_STEP: Duration = Duration::from_micros(100);

/// Ages of the reports on which the daemons base their decisions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportAges {
    /// Interval between load samples of a replica, which is the maximum age of a load report.
    pub load: time::Millis,
    /// Delay before an engine publishes a cache event.
    pub cache: time::Millis,
}

impl Default for ReportAges {
    fn default() -> Self {
        ReportAges { load: time::Millis::new(500), cache: time::Millis::new(200) }
    }
}

/// Index of a call in its run.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallNumber(pub usize);

/// A simulated upstream.
#[derive(Debug)]
pub struct SimReplica {
    /// The replica as the zone views show it.
    pub view: zone::ReplicaView,
    /// Whether the replica is running.
    pub is_alive: bool,
    /// Number of times that the replica stopped; events scheduled in an earlier epoch are ignored.
    pub epoch: u32,
    /// Duration of its steps, in percent of the normal duration.
    pub step_percent: u32,
    /// Time after the warm-up during which the replica computed.
    pub busy_time: Duration,
    /// Queued and running work.
    pub work: ReplicaWork,
    /// Time at which the VM was started.
    pub started_at: Duration,
    /// Time at which the VM was removed.
    pub ended_at: Option<Duration>,
    /// Whether the VM is released once the replica is idle.
    pub is_released: bool,
    sampled_at: time::MonotonicTime,
    last_serial: u64,
}

/// Work of an upstream.
#[derive(Debug)]
pub enum ReplicaWork {
    /// A model engine.
    Engine(Box<EngineWork>),
    /// A plain service.
    Plain(PlainWork),
}

/// Work of a model engine.
#[derive(Debug)]
pub struct EngineWork {
    /// Queue, batch and prefix cache.
    pub scheduler: batch::BatchScheduler,
    /// Whether a batch step is in progress.
    pub is_stepping: bool,
    /// Calls by sequence number.
    pub calls: collections::BTreeMap<batch::SequenceNumber, CallNumber>,
    journal: journal::CacheJournal,
}

/// Work of a plain service: one queue and [`PLAIN_SERVERS`] servers.
#[derive(Debug, Default)]
pub struct PlainWork {
    /// Queued calls.
    pub queue: collections::VecDeque<CallNumber>,
    /// Running calls.
    pub running: Vec<CallNumber>,
}

/// Cache events of one replica with consecutive serial numbers.
#[derive(Clone, Debug)]
pub struct EventBatch {
    /// Serial number of the first event.
    pub first_number: u64,
    /// Events in order of their serial numbers.
    pub events: Vec<picker::CacheEvent>,
}

impl SimReplica {
    /// Creates an idle replica.
    pub fn new(view: zone::ReplicaView, ages: ReportAges) -> Self {
        let work = if view.models.is_empty() {
            ReplicaWork::Plain(PlainWork::default())
        } else {
            let cache = cache::PrefixCache::new(ENGINE_CACHE_BLOCKS);
            ReplicaWork::Engine(Box::new(EngineWork {
                scheduler: batch::BatchScheduler::new(ENGINE_MODEL, cache),
                is_stepping: false,
                calls: collections::BTreeMap::new(),
                journal: journal::CacheJournal::new(ages.cache, CACHE_GAP_EVERY),
            }))
        };
        SimReplica {
            view,
            is_alive: true,
            epoch: 0,
            step_percent: 100,
            busy_time: Duration::ZERO,
            work,
            started_at: Duration::ZERO,
            ended_at: None,
            is_released: false,
            sampled_at: time::MonotonicTime::default(),
            last_serial: 0,
        }
    }

    /// Scales a duration by `step_percent`.
    pub fn scaled_duration(&self, duration: Duration) -> Duration {
        (duration * self.step_percent / 100).max(MIN_STEP)
    }

    /// Returns the part of the interval during which the VM existed.
    pub fn held_time(&self, from: Duration, to: Duration) -> Duration {
        let end = self.ended_at.unwrap_or(to).min(to);
        end.saturating_sub(self.started_at.max(from))
    }

    /// Returns whether the replica has no queued or running work.
    pub fn is_idle(&self) -> bool {
        match &self.work {
            ReplicaWork::Engine(engine) => engine.scheduler.is_idle(),
            ReplicaWork::Plain(plain) => plain.queue.is_empty() && plain.running.is_empty(),
        }
    }

    /// Starts the next batch step if the engine has work and no step is in progress.
    pub fn start_step(&mut self) -> Option<batch::BatchStep> {
        let ReplicaWork::Engine(engine) = &mut self.work else { return None };
        if !self.is_alive || engine.is_stepping || engine.scheduler.is_idle() {
            return None;
        }
        engine.is_stepping = true;
        let mut step = engine.scheduler.step();
        step.length = self.scaled_duration(step.length);
        Some(step)
    }

    /// Records the cache changes of a finished step.
    pub fn record_changes(&mut self, changes: &[cache::CacheChange], now: time::MonotonicTime) {
        if let ReplicaWork::Engine(engine) = &mut self.work {
            engine.journal.append(changes, now);
        }
    }

    /// Samples the load if a sample is due, and updates the age of the report.
    pub fn refresh_load(&mut self, interval: time::Millis, now: time::MonotonicTime) {
        if self.is_alive && now.since(self.sampled_at) >= interval {
            self.sampled_at = now;
            self.view.load = self.load();
        }
        self.view.load.age = now.since(self.sampled_at);
    }

    fn load(&self) -> zone::LoadReport {
        let age = time::Millis::new(0);
        match &self.work {
            ReplicaWork::Engine(engine) => {
                let load = engine.scheduler.load();
                zone::LoadReport {
                    running: load.running,
                    queued: load.queued,
                    queued_tokens: load.queued_tokens,
                    age,
                }
            }
            ReplicaWork::Plain(plain) => zone::LoadReport {
                running: plain.running.len() as u32,
                queued: plain.queue.len() as u32,
                queued_tokens: quantity::TokenCount::new(0),
                age,
            },
        }
    }

    /// Returns the cache events published since the last call, split at lost events.
    pub fn published_events(&mut self, now: time::MonotonicTime) -> Vec<EventBatch> {
        let ReplicaWork::Engine(engine) = &self.work else { return Vec::new() };
        let mut batches: Vec<EventBatch> = Vec::new();
        for published in engine.journal.events_after(self.last_serial, now) {
            let event = match published.change {
                cache::CacheChange::Stored(block) => {
                    picker::CacheEvent::Stored(smallvec![prefix::PrefixHash::new(block.get())])
                }
                cache::CacheChange::Evicted(block) => {
                    picker::CacheEvent::Evicted(smallvec![prefix::PrefixHash::new(block.get())])
                }
            };
            let is_next = published.serial == self.last_serial + 1;
            self.last_serial = published.serial;
            match batches.last_mut() {
                Some(batch) if is_next => batch.events.push(event),
                _ => {
                    batches.push(EventBatch { first_number: published.serial, events: vec![event] })
                }
            }
        }
        batches
    }
}
