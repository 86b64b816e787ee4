//! Time model of an engine that batches continuously: pure state that advances a step at a time.
//!
//! A step computes prompt tokens of admitted sequences up to a limit, and one token of each
//! sequence whose prompt is computed. Its length grows with both.

use std::collections;
use std::time::Duration;

use samphiremoor_base::quantity;

use crate::blocks;
use crate::cache;

/// Speed of an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TimeModel {
    /// Prompt tokens that are computed in a second.
    pub prefill_per_second: u64,
    /// Prompt tokens of one step.
    pub prefill_chunk: u64,
    /// Length of a step with one sequence.
    pub decode_base: Duration,
    /// Length that each sequence in the batch adds.
    pub decode_each: Duration,
    /// Sequences in the batch.
    pub max_batch: usize,
}

/// Number of a sequence in one engine's life.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SequenceNumber(u64);

/// What is to be computed.
#[derive(Clone, Debug)]
pub struct SequenceJob {
    /// Priority; a smaller one is admitted first.
    pub priority: quantity::PriorityLevel,
    /// Blocks of the prompt.
    pub blocks: Vec<blocks::BlockHash>,
    /// Tokens of the prompt.
    pub prompt: quantity::TokenCount,
    /// Tokens of the answer that were delivered before; they are computed like the prompt.
    pub delivered: quantity::TokenCount,
    /// Leading tokens of prompt and answer that were imported and need no computation.
    pub imported: quantity::TokenCount,
    /// Tokens of the whole answer.
    pub target: quantity::TokenCount,
}

/// What a step did to a sequence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SequenceEvent {
    /// It was admitted: so many tokens were in the cache, and so many are computed.
    Admitted {
        /// Tokens from the cache.
        cached: quantity::TokenCount,
        /// Tokens to compute.
        computed: quantity::TokenCount,
    },
    /// It has the answer's token of this index.
    Token(u64),
    /// Its answer is whole.
    Finished,
}

/// An event and its sequence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StepEvent {
    /// The sequence.
    pub sequence: SequenceNumber,
    /// The event.
    pub event: SequenceEvent,
}

/// What one step did and how long it takes.
#[derive(Clone, Debug, Default)]
pub struct BatchStep {
    /// Length of the step; the events happen at its end.
    pub length: Duration,
    /// Events in order.
    pub events: Vec<StepEvent>,
    /// Changes of the prefix cache.
    pub changes: Vec<cache::CacheChange>,
}

/// Load of an engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BatchLoad {
    /// Sequences in the batch.
    pub running: u32,
    /// Sequences that wait.
    pub queued: u32,
    /// Tokens that are still to be computed before answers.
    pub queued_tokens: quantity::TokenCount,
}

/// The queue, the batch and the cache of one engine.
#[derive(Clone, Debug)]
pub struct BatchScheduler {
    model: TimeModel,
    cache: cache::PrefixCache,
    last_number: u64,
    queue: collections::BTreeMap<QueuePlace, SequenceJob>,
    batch: Vec<RunningSequence>,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct QueuePlace {
    priority: quantity::PriorityLevel,
    number: SequenceNumber,
}

#[derive(Clone, Debug)]
struct RunningSequence {
    number: SequenceNumber,
    job: SequenceJob,
    uncomputed: u64,
    next_index: u64,
}

impl BatchScheduler {
    /// An idle engine.
    pub fn new(model: TimeModel, cache: cache::PrefixCache) -> Self {
        BatchScheduler {
            model,
            cache,
            last_number: 0,
            queue: collections::BTreeMap::new(),
            batch: Vec::new(),
        }
    }

    /// Queues a job.
    pub fn submit(&mut self, job: SequenceJob) -> SequenceNumber {
        self.last_number += 1;
        let number = SequenceNumber(self.last_number);
        self.queue.insert(QueuePlace { priority: job.priority, number }, job);
        number
    }

    /// Takes a sequence out of the queue or the batch.
    pub fn cancel(&mut self, number: SequenceNumber) {
        self.queue.retain(|place, _| place.number != number);
        self.batch.retain(|running| running.number != number);
    }

    /// Whether there is nothing to do.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.batch.is_empty()
    }

    /// The present load.
    pub fn load(&self) -> BatchLoad {
        let queued: u64 = self.queue.values().map(SequenceJob::total_prompt).sum();
        let running: u64 = self.batch.iter().map(|running| running.uncomputed).sum();
        BatchLoad {
            running: self.batch.len() as u32,
            queued: self.queue.len() as u32,
            queued_tokens: quantity::TokenCount::new(queued + running),
        }
    }

    /// Puts imported blocks into the cache.
    pub fn import(&mut self, blocks: &[blocks::BlockHash]) -> Vec<cache::CacheChange> {
        self.cache.store(blocks)
    }

    /// Does one step.
    pub fn step(&mut self) -> BatchStep {
        let mut step = BatchStep::default();
        self.admit(&mut step);
        let decoding = self.decode(&mut step);
        let computed = self.prefill(&mut step);
        step.length = self.model.step_length(computed, decoding);
        step
    }

    fn admit(&mut self, step: &mut BatchStep) {
        while self.batch.len() < self.model.max_batch {
            let Some((place, job)) = self.queue.pop_first() else { return };
            let cached = self.cached_tokens(&job);
            let uncomputed = job.total_prompt().saturating_sub(cached);
            step.events.push(StepEvent {
                sequence: place.number,
                event: SequenceEvent::Admitted {
                    cached: quantity::TokenCount::new(cached),
                    computed: quantity::TokenCount::new(uncomputed),
                },
            });
            let next_index = job.delivered.get();
            self.batch.push(RunningSequence { number: place.number, job, uncomputed, next_index });
        }
    }

    fn cached_tokens(&mut self, job: &SequenceJob) -> u64 {
        let prompt_cached = self.cache.match_prefix(&job.blocks) as u64 * blocks::BLOCK_TOKENS;
        // Imported state holds the tokens after the last whole block too.
        prompt_cached.max(job.imported.get().min(job.total_prompt()))
    }

    /// Gives each sequence whose prompt is computed its next token; returns how many there are.
    fn decode(&mut self, step: &mut BatchStep) -> usize {
        let mut decoding = 0;
        for running in self.batch.iter_mut().filter(|running| running.uncomputed == 0) {
            decoding += 1;
            if running.next_index < running.job.target.get() {
                let event = SequenceEvent::Token(running.next_index);
                step.events.push(StepEvent { sequence: running.number, event });
                running.next_index += 1;
            }
            if running.next_index >= running.job.target.get() {
                let event = SequenceEvent::Finished;
                step.events.push(StepEvent { sequence: running.number, event });
            }
        }
        self.batch.retain(|running| {
            running.uncomputed > 0 || running.next_index < running.job.target.get()
        });
        decoding
    }

    /// Computes prompt tokens up to the limit of a step; returns how many.
    fn prefill(&mut self, step: &mut BatchStep) -> u64 {
        let mut left = self.model.prefill_chunk;
        for running in self.batch.iter_mut().filter(|running| running.uncomputed > 0) {
            let part = running.uncomputed.min(left);
            running.uncomputed -= part;
            left -= part;
            if running.uncomputed == 0 {
                step.changes.extend(self.cache.store(&running.job.blocks));
            }
        }
        self.model.prefill_chunk - left
    }
}

impl SequenceJob {
    /// Tokens that have to be in memory before the next token of the answer.
    fn total_prompt(&self) -> u64 {
        self.prompt.get() + self.delivered.get()
    }
}

impl TimeModel {
    /// Length of a step that computes `prefill` prompt tokens and decodes `decoding` sequences.
    fn step_length(&self, prefill: u64, decoding: usize) -> Duration {
        let prefill_micros = prefill * 1_000_000 / self.prefill_per_second.max(1);
        let decode = if decoding == 0 {
            Duration::ZERO
        } else {
            self.decode_base + self.decode_each * (decoding as u32 - 1)
        };
        Duration::from_micros(prefill_micros) + decode
    }
}
