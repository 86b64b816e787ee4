//! Generates calls from a workload and a seed.
//!
//! Arrivals are open-loop: a slow system receives as many calls as a fast one.

use std::sync;

use rand::Rng as _;
use rand::SeedableRng as _;
use samphiremoor_base::id;
use samphiremoor_base::time;

use crate::workload;

/// Maximum number of calls in one plan.
pub const MAX_CALLS: usize = 200_000;

/// Parameters of a plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlanOptions {
    /// Duration during which calls arrive.
    pub length: time::Millis,
    /// Factor by which every rate of the workload is multiplied.
    pub rate_factor: f64,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// A planned call.
#[derive(Clone, Debug)]
pub struct PlannedCall {
    /// Arrival time since the start of the run.
    pub arrives_at: time::Millis,
    /// Service that is called.
    pub service: id::ServiceId,
    /// Workspace of the caller.
    pub workspace: id::WorkspaceId,
    /// Content of the call.
    pub content: CallContent,
}

/// Content of a call.
#[derive(Clone, Debug)]
pub enum CallContent {
    /// A call of a session with a model service.
    Model {
        /// Session of the call.
        session: sync::Arc<SessionPlan>,
        /// Index of the call in its session.
        turn: usize,
    },
    /// A call of a plain service.
    Plain(PlainCall),
}

/// A call of a plain service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlainCall {
    /// Index of the mix in the workload file.
    pub mix: usize,
    /// Number of the call in its mix, used in its idempotency key.
    pub number: u64,
    /// Bytes of the request body.
    pub body_bytes: u64,
    /// Time for which the call occupies its replica in an experiment.
    pub service_time: time::Millis,
}

/// A session: calls whose prompts extend each other.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SessionPlan {
    /// Number of the session, unique in the plan.
    pub number: u64,
    /// Service that is called; its name is part of the template.
    pub service: id::ServiceId,
    /// Number of the prompt template.
    pub template: u64,
    /// Tokens of the prompt template.
    pub template_tokens: u64,
    /// Calls of the session, in order.
    pub turns: Vec<TurnPlan>,
}

/// A call of a session.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TurnPlan {
    /// Tokens that the call adds to the prompt.
    pub tokens: u64,
    /// Tokens of the response.
    pub answer_tokens: u64,
}

/// Generates the calls, sorted by arrival time.
pub fn calls(file: &workload::WorkloadFile, options: &PlanOptions) -> Vec<PlannedCall> {
    let mut calls = Vec::new();
    for (number, mix) in file.model.iter().enumerate() {
        let generator = generator(options.seed, number as u64);
        add_sessions(&mut calls, mix, options, number as u64, generator);
    }
    for (number, mix) in file.plain.iter().enumerate() {
        let generator = generator(options.seed, PLAIN_STREAMS + number as u64);
        add_plain_calls(&mut calls, mix, options, number, generator);
    }
    calls.sort_by_key(|call| call.arrives_at);
    calls.truncate(MAX_CALLS);
    calls
}

/// Number of the first random stream used for plain services; lower streams are for model services.
const PLAIN_STREAMS: u64 = 1_000;
/// Size of the range of session numbers reserved for each mix.
const SESSIONS_PER_MIX: u64 = 1_000_000;

/// Returns the generator of one mix. Each mix has its own random stream, so changing one mix does
/// not change the calls of the others.
fn generator(seed: u64, stream: u64) -> rand_chacha::ChaCha8Rng {
    let mut generator = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    generator.set_stream(stream);
    generator
}

fn add_sessions(
    calls: &mut Vec<PlannedCall>,
    mix: &workload::ModelMix,
    options: &PlanOptions,
    mix_number: u64,
    mut generator: rand_chacha::ChaCha8Rng,
) {
    let rate = mix.sessions_per_second * options.rate_factor;
    let mut arrival_ms = exponential_ms(&mut generator, rate);
    let mut number = mix_number * SESSIONS_PER_MIX;
    while arrival_ms < options.length.get() as f64 && calls.len() < MAX_CALLS {
        let template = generator.random_range(0..mix.templates);
        let turns = draw(&mut generator, mix.turns);
        let turns: Vec<TurnPlan> = (0..turns)
            .map(|_| TurnPlan {
                tokens: draw(&mut generator, mix.turn_tokens),
                answer_tokens: draw(&mut generator, mix.answer_tokens),
            })
            .collect();
        let session = sync::Arc::new(SessionPlan {
            number,
            service: mix.service.clone(),
            template,
            template_tokens: template_tokens(mix, template),
            turns,
        });
        let workspace = draw_workspace(&mut generator, &mix.workspaces);
        let mut turn_arrival_ms = arrival_ms;
        for turn in 0..session.turns.len() {
            if turn_arrival_ms < options.length.get() as f64 {
                calls.push(PlannedCall {
                    arrives_at: time::Millis::new(turn_arrival_ms as u64),
                    service: mix.service.clone(),
                    workspace: workspace.clone(),
                    content: CallContent::Model { session: session.clone(), turn },
                });
            }
            turn_arrival_ms += draw(&mut generator, mix.think_ms) as f64;
        }
        number += 1;
        arrival_ms += exponential_ms(&mut generator, rate);
    }
}

/// Returns the length of a template; lengths are spaced evenly over their range.
fn template_tokens(mix: &workload::ModelMix, template: u64) -> u64 {
    let range = mix.template_tokens;
    let steps = mix.templates.saturating_sub(1).max(1);
    range.least + (range.greatest - range.least) * template.min(steps) / steps
}

fn add_plain_calls(
    calls: &mut Vec<PlannedCall>,
    mix: &workload::PlainMix,
    options: &PlanOptions,
    mix_number: usize,
    mut generator: rand_chacha::ChaCha8Rng,
) {
    let rate = mix.calls_per_second * options.rate_factor;
    let mut arrival_ms = exponential_ms(&mut generator, rate);
    let mut number = 0;
    while arrival_ms < options.length.get() as f64 && calls.len() < MAX_CALLS {
        let call = PlainCall {
            mix: mix_number,
            number,
            body_bytes: draw(&mut generator, mix.body_bytes),
            service_time: time::Millis::new(draw(&mut generator, mix.service_ms)),
        };
        calls.push(PlannedCall {
            arrives_at: time::Millis::new(arrival_ms as u64),
            service: mix.service.clone(),
            workspace: draw_workspace(&mut generator, &mix.workspaces),
            content: CallContent::Plain(call),
        });
        number += 1;
        arrival_ms += exponential_ms(&mut generator, rate);
    }
}

fn draw(generator: &mut rand_chacha::ChaCha8Rng, range: workload::ValueRange) -> u64 {
    generator.random_range(range.least..=range.greatest)
}

/// Draws the time to the next arrival of a Poisson process with the rate.
fn exponential_ms(generator: &mut rand_chacha::ChaCha8Rng, per_second: f64) -> f64 {
    if per_second <= 0.0 {
        return f64::INFINITY;
    }
    let uniform: f64 = generator.random_range(0.0..1.0);
    -(1.0 - uniform).ln() / per_second * 1_000.0
}

fn draw_workspace(
    generator: &mut rand_chacha::ChaCha8Rng,
    mixes: &[workload::WorkspaceMix],
) -> id::WorkspaceId {
    let sum: u32 = mixes.iter().map(|mix| mix.share).sum();
    let mut drawn = generator.random_range(0..sum);
    for mix in mixes {
        if drawn < mix.share {
            return mix.id.clone();
        }
        drawn -= mix.share;
    }
    unreachable!("the draw is below the sum of the shares")
}
