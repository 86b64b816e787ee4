//! Time model of an engine with continuous batching, which advances one step at a time and reads no
//! clock.
//!
//! A step computes up to `prefill_chunk` prompt tokens of the admitted sequences, and one response
//! token of each sequence whose prefill is complete. The duration of the step grows with both.

use std::collections;
use std::time::Duration;

use samphiremoor_base::quantity;

use crate::blocks;
use crate::cache;

/// Speed of an engine and size of its batch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TimeModel {
    /// Prefill speed in prompt tokens per second.
    pub prefill_per_second: u64,
    /// Maximum number of prompt tokens that one step computes.
    pub prefill_chunk: u64,
    /// Duration of a decode step with one sequence.
    pub decode_base: Duration,
    /// Duration that each additional sequence adds to a decode step.
    pub decode_each: Duration,
    /// Maximum number of sequences in the batch.
    pub max_batch: usize,
}

/// Number of a sequence, unique within one process run of an engine.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SequenceNumber(u64);

/// Sequence to compute.
#[derive(Clone, Debug)]
pub struct SequenceJob {
    /// Priority; a smaller value is admitted first.
    pub priority: quantity::PriorityLevel,
    /// Block hashes of the prompt.
    pub blocks: Vec<blocks::BlockHash>,
    /// Number of prompt tokens.
    pub prompt: quantity::TokenCount,
    /// Number of response tokens that were delivered earlier; they are prefilled like the prompt.
    pub delivered: quantity::TokenCount,
    /// Number of leading prompt and response tokens whose KV cache was imported, which need no
    /// prefill.
    pub imported: quantity::TokenCount,
    /// Number of tokens of the complete response.
    pub target: quantity::TokenCount,
}

/// Progress of a sequence within a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SequenceEvent {
    /// The sequence entered the batch.
    Admitted {
        /// Number of tokens found in the cache.
        cached: quantity::TokenCount,
        /// Number of tokens to prefill.
        computed: quantity::TokenCount,
    },
    /// The response token with this index was decoded.
    Token(u64),
    /// The response is complete.
    Finished,
}

/// Event of one sequence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StepEvent {
    /// Sequence that the event belongs to.
    pub sequence: SequenceNumber,
    /// Progress of the sequence.
    pub event: SequenceEvent,
}

/// Outcome and duration of one step.
#[derive(Clone, Debug, Default)]
pub struct BatchStep {
    /// Duration of the step; the events take effect at its end.
    pub length: Duration,
    /// Events in the order in which they occurred.
    pub events: Vec<StepEvent>,
    /// Changes of the prefix cache.
    pub changes: Vec<cache::CacheChange>,
}

/// Load of an engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BatchLoad {
    /// Number of sequences in the batch.
    pub running: u32,
    /// Number of sequences that wait for admission.
    pub queued: u32,
    /// Number of tokens still to be prefilled, in the queue and in the batch.
    pub queued_tokens: quantity::TokenCount,
}

/// Scheduler of one engine: queue, batch and prefix cache.
#[derive(Clone, Debug)]
pub struct BatchScheduler {
    model: TimeModel,
    cache: cache::PrefixCache,
    last_number: u64,
    queue: collections::BTreeMap<QueuePosition, SequenceJob>,
    batch: Vec<RunningSequence>,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct QueuePosition {
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
    /// Creates a scheduler with an empty queue and an empty batch.
    pub fn new(model: TimeModel, cache: cache::PrefixCache) -> Self {
        BatchScheduler {
            model,
            cache,
            last_number: 0,
            queue: collections::BTreeMap::new(),
            batch: Vec::new(),
        }
    }

    /// Appends a job to the queue, behind the jobs of the same priority.
    pub fn submit(&mut self, job: SequenceJob) -> SequenceNumber {
        self.last_number += 1;
        let number = SequenceNumber(self.last_number);
        self.queue.insert(QueuePosition { priority: job.priority, number }, job);
        number
    }

    /// Removes a sequence from the queue or the batch.
    pub fn cancel(&mut self, number: SequenceNumber) {
        self.queue.retain(|position, _| position.number != number);
        self.batch.retain(|running| running.number != number);
    }

    /// Returns whether the queue and the batch are empty.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.batch.is_empty()
    }

    /// Returns the current load.
    pub fn load(&self) -> BatchLoad {
        let queued: u64 = self.queue.values().map(SequenceJob::total_prompt).sum();
        let running: u64 = self.batch.iter().map(|running| running.uncomputed).sum();
        BatchLoad {
            running: self.batch.len() as u32,
            queued: self.queue.len() as u32,
            queued_tokens: quantity::TokenCount::new(queued + running),
        }
    }

    /// Stores imported blocks in the prefix cache and returns the changes.
    pub fn import(&mut self, blocks: &[blocks::BlockHash]) -> Vec<cache::CacheChange> {
        self.cache.store(blocks)
    }

    /// Runs one step.
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
            let Some((position, job)) = self.queue.pop_first() else { return };
            let cached = self.cached_tokens(&job);
            let uncomputed = job.total_prompt().saturating_sub(cached);
            step.events.push(StepEvent {
                sequence: position.number,
                event: SequenceEvent::Admitted {
                    cached: quantity::TokenCount::new(cached),
                    computed: quantity::TokenCount::new(uncomputed),
                },
            });
            let next_index = job.delivered.get();
            self.batch.push(RunningSequence {
                number: position.number,
                job,
                uncomputed,
                next_index,
            });
        }
    }

    fn cached_tokens(&mut self, job: &SequenceJob) -> u64 {
        let prompt_cached = self.cache.match_prefix(&job.blocks) as u64 * blocks::BLOCK_TOKENS;
        // An imported KV cache also covers the tokens after the last full block.
        prompt_cached.max(job.imported.get().min(job.total_prompt()))
    }

    /// Decodes the next token of each sequence whose prefill is complete. Returns the number of
    /// these sequences.
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

    /// Prefills prompt tokens up to the limit of a step. Returns the number of tokens computed.
    fn prefill(&mut self, step: &mut BatchStep) -> u64 {
        let mut remaining = self.model.prefill_chunk;
        for running in self.batch.iter_mut().filter(|running| running.uncomputed > 0) {
            let computed = running.uncomputed.min(remaining);
            running.uncomputed -= computed;
            remaining -= computed;
            if running.uncomputed == 0 {
                step.changes.extend(self.cache.store(&running.job.blocks));
            }
        }
        self.model.prefill_chunk - remaining
    }
}

impl SequenceJob {
    /// Number of tokens whose KV cache is needed before the next response token can be decoded.
    fn total_prompt(&self) -> u64 {
        self.prompt.get() + self.delivered.get()
    }
}

impl TimeModel {
    /// Returns the duration of a step that prefills `prefill` tokens and decodes `decoding`
    /// sequences.
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
