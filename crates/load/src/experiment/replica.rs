//! Upstreams with simulated time.

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

/// Speed of the simulated engines.
pub const ENGINE_MODEL: batch::TimeModel = batch::TimeModel {
    prefill_per_second: 8_000,
    prefill_chunk: 256,
    decode_base: Duration::from_millis(18),
    decode_each: Duration::from_micros(800),
    max_batch: 24,
};
/// Blocks in the prefix cache of a simulated engine.
pub const ENGINE_CACHE_BLOCKS: usize = 4_096;
/// One cache event in so many is lost.
pub const CACHE_GAP_EVERY: u64 = 50;
/// Calls that one plain replica runs at the same time.
pub const PLAIN_SERVERS: usize = 2;
/// Shortest step, so that simulated time always moves on.
const LEAST_STEP: Duration = Duration::from_micros(100);

/// How old what the daemons know of a replica gets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportAges {
    /// Time between two samples of a replica's load, so the greatest age of a report.
    pub load: time::Millis,
    /// Time after which an engine publishes a cache event.
    pub cache: time::Millis,
}

impl Default for ReportAges {
    fn default() -> Self {
        ReportAges { load: time::Millis::new(500), cache: time::Millis::new(200) }
    }
}

/// Number of a call in its run.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallNumber(pub usize);

/// One upstream.
#[derive(Debug)]
pub struct SimReplica {
    /// What the views show of it.
    pub shown: zone::ReplicaView,
    /// Whether it runs.
    pub is_alive: bool,
    /// Counts its deaths: what was under way before one has no effect.
    pub epoch: u32,
    /// Time that it takes, in hundredths of the normal time.
    pub pace_percent: u32,
    /// Time in which it computed something.
    pub busy: Duration,
    /// What it runs.
    pub work: ReplicaWork,
    /// When its VM was bought.
    pub started: Duration,
    /// When its VM was gone.
    pub ended: Option<Duration>,
    /// Whether its VM is given back once it is idle.
    pub is_released: bool,
    sampled: time::MonotonicTime,
    last_event: u64,
}

/// What an upstream runs.
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
    /// Queue, batch and cache.
    pub scheduler: batch::BatchScheduler,
    /// Whether a step is under way.
    pub is_stepping: bool,
    /// Calls by sequence.
    pub calls: collections::BTreeMap<batch::SequenceNumber, CallNumber>,
    journal: journal::CacheJournal,
}

/// Work of a plain service: a queue before a few servers.
#[derive(Debug, Default)]
pub struct PlainWork {
    /// Calls that wait.
    pub queue: collections::VecDeque<CallNumber>,
    /// Calls that run.
    pub running: Vec<CallNumber>,
}

/// Consecutive cache events of one replica.
#[derive(Clone, Debug)]
pub struct EventRun {
    /// Number of the first.
    pub first_number: u64,
    /// The events.
    pub events: Vec<picker::CacheEvent>,
}

impl SimReplica {
    /// An idle replica.
    pub fn new(shown: zone::ReplicaView, ages: ReportAges) -> Self {
        let work = if shown.models.is_empty() {
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
            shown,
            is_alive: true,
            epoch: 0,
            pace_percent: 100,
            busy: Duration::ZERO,
            work,
            started: Duration::ZERO,
            ended: None,
            is_released: false,
            sampled: time::MonotonicTime::default(),
            last_event: 0,
        }
    }

    /// A length at the replica's present pace.
    pub fn paced(&self, length: Duration) -> Duration {
        (length * self.pace_percent / 100).max(LEAST_STEP)
    }

    /// Time between the instants for which its VM was held.
    pub fn held(&self, from: Duration, to: Duration) -> Duration {
        let last = self.ended.unwrap_or(to).min(to);
        last.saturating_sub(self.started.max(from))
    }

    /// Whether it has nothing to do.
    pub fn is_idle(&self) -> bool {
        match &self.work {
            ReplicaWork::Engine(engine) => engine.scheduler.is_idle(),
            ReplicaWork::Plain(plain) => plain.queue.is_empty() && plain.running.is_empty(),
        }
    }

    /// Starts the next step of an idle engine that has work.
    pub fn start_step(&mut self) -> Option<batch::BatchStep> {
        let ReplicaWork::Engine(engine) = &mut self.work else { return None };
        if !self.is_alive || engine.is_stepping || engine.scheduler.is_idle() {
            return None;
        }
        engine.is_stepping = true;
        let mut step = engine.scheduler.step();
        step.length = self.paced(step.length);
        self.busy += step.length;
        Some(step)
    }

    /// Notes cache changes of an ended step.
    pub fn note_changes(&mut self, changes: &[cache::CacheChange], now: time::MonotonicTime) {
        if let ReplicaWork::Engine(engine) = &mut self.work {
            engine.journal.append(changes, now);
        }
    }

    /// Samples the load where that is due, and ages the shown report.
    pub fn refresh_load(&mut self, interval: time::Millis, now: time::MonotonicTime) {
        if self.is_alive && now.since(self.sampled) >= interval {
            self.sampled = now;
            self.shown.load = self.load();
        }
        self.shown.load.age = now.since(self.sampled);
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

    /// Cache events that were published since the last call, cut where some were lost.
    pub fn published_events(&mut self, now: time::MonotonicTime) -> Vec<EventRun> {
        let ReplicaWork::Engine(engine) = &self.work else { return Vec::new() };
        let mut runs: Vec<EventRun> = Vec::new();
        for published in engine.journal.events_after(self.last_event, now) {
            let event = match published.change {
                cache::CacheChange::Stored(block) => {
                    picker::CacheEvent::Stored(smallvec![prefix::PrefixHash::new(block.get())])
                }
                cache::CacheChange::Evicted(block) => {
                    picker::CacheEvent::Evicted(smallvec![prefix::PrefixHash::new(block.get())])
                }
            };
            let is_next = published.serial == self.last_event + 1;
            self.last_event = published.serial;
            match runs.last_mut() {
                Some(run) if is_next => run.events.push(event),
                _ => runs.push(EventRun { first_number: published.serial, events: vec![event] }),
            }
        }
        runs
    }
}
