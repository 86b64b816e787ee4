//! Calls by a seed: open-loop arrivals, so that a slow system gets no fewer.

use std::sync;

use rand::Rng as _;
use rand::SeedableRng as _;
use samphiremoor_base::id;
use samphiremoor_base::time;

use crate::workload;

/// Greatest number of calls in one plan.
pub const MAX_CALLS: usize = 200_000;

/// What a plan is made for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlanSpan {
    /// Time in which calls arrive.
    pub length: time::Millis,
    /// Factor on every rate of the workload.
    pub rate_factor: f64,
    /// The seed.
    pub seed: u64,
}

/// One call.
#[derive(Clone, Debug)]
pub struct PlannedCall {
    /// Time of its arrival since the start.
    pub at: time::Millis,
    /// The service.
    pub service: id::ServiceId,
    /// The caller.
    pub workspace: id::WorkspaceId,
    /// What is sent.
    pub content: CallContent,
}

/// What a call sends.
#[derive(Clone, Debug)]
pub enum CallContent {
    /// The next call of a session with a model.
    Model {
        /// The session.
        session: sync::Arc<SessionPlan>,
        /// Number of the call in its session, from 0.
        turn: usize,
    },
    /// A call of a plain service.
    Plain(PlainCall),
}

/// A call of a plain service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlainCall {
    /// Number of the mix in the workload file.
    pub mix: usize,
    /// Number that makes its idempotency key.
    pub number: u64,
    /// Bytes of the body.
    pub body_bytes: u64,
    /// Time that it takes of its replica in an experiment.
    pub service_time: time::Millis,
}

/// One session.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SessionPlan {
    /// Number of the session.
    pub number: u64,
    /// The service; its name is a part of the shared start.
    pub service: id::ServiceId,
    /// Number of the shared start.
    pub template: u64,
    /// Tokens of the shared start.
    pub template_tokens: u64,
    /// The calls.
    pub turns: Vec<TurnPlan>,
}

/// One call of a session.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TurnPlan {
    /// Tokens that it adds.
    pub tokens: u64,
    /// Tokens of its answer.
    pub answer_tokens: u64,
}

/// Makes the calls, in the order of their arrival.
pub fn calls(file: &workload::WorkloadFile, span: &PlanSpan) -> Vec<PlannedCall> {
    let mut calls = Vec::new();
    for (number, mix) in file.model.iter().enumerate() {
        let generator = generator(span.seed, number as u64);
        add_sessions(&mut calls, mix, span, number as u64, generator);
    }
    for (number, mix) in file.plain.iter().enumerate() {
        let generator = generator(span.seed, PLAIN_STREAMS + number as u64);
        add_plain_calls(&mut calls, mix, span, number, generator);
    }
    calls.sort_by_key(|call| call.at);
    calls.truncate(MAX_CALLS);
    calls
}

/// First stream of random numbers of the plain services.
const PLAIN_STREAMS: u64 = 1_000;
/// Sessions of one service that are numbered apart from those of the next.
const SESSIONS_PER_MIX: u64 = 1_000_000;

/// Each mix draws from a stream of its own, so that a change of one leaves the others as they are.
fn generator(seed: u64, stream: u64) -> rand_chacha::ChaCha8Rng {
    let mut generator = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    generator.set_stream(stream);
    generator
}

fn add_sessions(
    calls: &mut Vec<PlannedCall>,
    mix: &workload::ModelMix,
    span: &PlanSpan,
    mix_number: u64,
    mut generator: rand_chacha::ChaCha8Rng,
) {
    let rate = mix.sessions_per_second * span.rate_factor;
    let mut at_ms = exponential_ms(&mut generator, rate);
    let mut number = mix_number * SESSIONS_PER_MIX;
    while at_ms < span.length.get() as f64 && calls.len() < MAX_CALLS {
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
        let mut turn_at = at_ms;
        for turn in 0..session.turns.len() {
            if turn_at < span.length.get() as f64 {
                calls.push(PlannedCall {
                    at: time::Millis::new(turn_at as u64),
                    service: mix.service.clone(),
                    workspace: workspace.clone(),
                    content: CallContent::Model { session: session.clone(), turn },
                });
            }
            turn_at += draw(&mut generator, mix.think_ms) as f64;
        }
        number += 1;
        at_ms += exponential_ms(&mut generator, rate);
    }
}

/// Lengths of the shared starts are spread evenly over their range.
fn template_tokens(mix: &workload::ModelMix, template: u64) -> u64 {
    let range = mix.template_tokens;
    let steps = mix.templates.saturating_sub(1).max(1);
    range.least + (range.greatest - range.least) * template.min(steps) / steps
}

fn add_plain_calls(
    calls: &mut Vec<PlannedCall>,
    mix: &workload::PlainMix,
    span: &PlanSpan,
    mix_number: usize,
    mut generator: rand_chacha::ChaCha8Rng,
) {
    let rate = mix.calls_per_second * span.rate_factor;
    let mut at_ms = exponential_ms(&mut generator, rate);
    let mut number = 0;
    while at_ms < span.length.get() as f64 && calls.len() < MAX_CALLS {
        let call = PlainCall {
            mix: mix_number,
            number,
            body_bytes: draw(&mut generator, mix.body_bytes),
            service_time: time::Millis::new(draw(&mut generator, mix.service_ms)),
        };
        calls.push(PlannedCall {
            at: time::Millis::new(at_ms as u64),
            service: mix.service.clone(),
            workspace: draw_workspace(&mut generator, &mix.workspaces),
            content: CallContent::Plain(call),
        });
        number += 1;
        at_ms += exponential_ms(&mut generator, rate);
    }
}

fn draw(generator: &mut rand_chacha::ChaCha8Rng, range: workload::TokenRange) -> u64 {
    generator.random_range(range.least..=range.greatest)
}

/// Time to the next of the arrivals that come independently at the rate.
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
