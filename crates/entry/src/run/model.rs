//! Runs chat and completion calls: a stream that goes on over replicas.

use std::net;
use std::sync::Arc;
use std::time;

use async_std::channel;
use async_std::task;
use futures_lite::FutureExt as _;
use http_types::Method;
use http_types::Request;
use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time as base_time;
use samphiremoor_httpio::client;
use samphiremoor_records::set;
use samphiremoor_requests::action;
use samphiremoor_requests::input;
use samphiremoor_requests::input::RequestInput;
use samphiremoor_requests::policy;
use samphiremoor_routing::picker;

use crate::core;
use crate::finish;
use crate::kept;
use crate::metrics;
use crate::run::attempt;
use crate::run::shell;
use crate::wire::chunk;
use crate::wire::request;

/// What a model call needs beside the kept request.
pub struct ModelJob {
    /// The kept request, which holds the answer so far.
    pub kept: Arc<kept::KeptRequest>,
    /// The caller's body.
    pub body: Arc<request::CallBody>,
    /// The model that serves it.
    pub target: set::LoadedModel,
    /// What the routing policy is asked with.
    pub context: shell::RunContext,
    /// Its admission.
    pub admitted: core::AdmittedRequest,
}

/// Runs a model call to its end.
pub async fn run(core: Arc<core::EntryCore>, job: ModelJob) {
    ModelRun::new(core, job).run().await;
}

struct ModelRun {
    core: Arc<core::EntryCore>,
    shell: shell::RequestShell,
    driver: StreamDriver,
    admitted: core::AdmittedRequest,
    commands: channel::Receiver<kept::RunCommand>,
    timer: RunTimer,
}

/// What wakes a run.
enum RunEvent {
    Attempt(attempt::AttemptEvent),
    Woken,
    Command(kept::RunCommand),
}

impl ModelRun {
    fn new(core: Arc<core::EntryCore>, job: ModelJob) -> Self {
        let policy = core.settings.request_policy(policy::RepeatRule::Repeatable);
        let deadline = job.kept.head.deadline;
        let delivered = job.kept.token_count();
        let commands = job.kept.commands();
        let latency = core.metrics.token_latency(&job.kept.head.service);
        let driver = StreamDriver {
            core: core.clone(),
            limits: core.settings.call_limits(),
            kept: job.kept,
            body: job.body,
            target: job.target,
            priority: job.context.service.priority,
            prompt_tokens: job.context.prompt_tokens,
            latency,
            current: None,
            announced: None,
            first: None,
            last_token_at: None,
        };
        let shell =
            shell::RequestShell::new(core.clone(), job.context, policy, deadline, delivered);
        let timer = RunTimer::default();
        ModelRun { core, shell, driver, admitted: job.admitted, commands, timer }
    }

    async fn run(mut self) {
        self.shell.feed(RequestInput::Start, &mut self.driver);
        let mut answer = None;
        while self.shell.end().is_none() {
            match self.next_event().await {
                RunEvent::Attempt(event) => self.take_attempt(event, &mut answer),
                RunEvent::Woken => self.shell.feed(RequestInput::Woken, &mut self.driver),
                RunEvent::Command(command) => self.take_command(command, &mut answer),
            }
        }
        let end = self.shell.end().expect("the loop ends with an end");
        self.conclude(end, answer);
    }

    async fn next_event(&mut self) -> RunEvent {
        self.timer.set(self.shell.next_wake(), self.core.now());
        let current = &mut self.driver.current;
        let attempt = async {
            match current {
                Some(current) => RunEvent::Attempt(current.stream.next().await),
                None => std::future::pending().await,
            }
        };
        let timer = &mut self.timer;
        let woken = async {
            timer.wait().await;
            RunEvent::Woken
        };
        let commands = &self.commands;
        let command = async {
            match commands.recv().await {
                Ok(command) => RunEvent::Command(command),
                Err(_) => std::future::pending().await,
            }
        };
        attempt.or(woken).or(command).await
    }

    fn take_attempt(&mut self, event: attempt::AttemptEvent, answer: &mut Option<kept::KeptEnd>) {
        let Some(number) = self.driver.attempt_number() else { return };
        let input = match event {
            attempt::AttemptEvent::Head => RequestInput::HeadArrived(number),
            attempt::AttemptEvent::Token { offset, text } => {
                self.shell.note_first();
                self.driver.announced = Some(text);
                RequestInput::TokenArrived { attempt: number, offset }
            }
            attempt::AttemptEvent::Foreign => RequestInput::ForeignAnswer(number),
            attempt::AttemptEvent::Ended { finish_reason, usage } => {
                if let Some(usage) = usage {
                    self.shell.note_usage(prompt_usage(usage));
                }
                self.driver.count_recomputed(usage);
                let usage = usage.map(|usage| self.driver.caller_usage(usage));
                *answer = Some(kept::KeptEnd::Streamed { finish_reason, usage });
                RequestInput::AnswerEnded(number)
            }
            attempt::AttemptEvent::Rejected(rejected) => {
                *answer = Some(kept::KeptEnd::Plain(rejected));
                RequestInput::AnswerEnded(number)
            }
            attempt::AttemptEvent::Failed(failure) => {
                self.driver.count_recomputed(None);
                self.driver.current = None;
                RequestInput::AttemptFailed { attempt: number, failure }
            }
        };
        self.shell.feed(input, &mut self.driver);
    }

    fn take_command(&mut self, command: kept::RunCommand, answer: &mut Option<kept::KeptEnd>) {
        let input = match command {
            kept::RunCommand::Abandon => RequestInput::Abandoned,
            kept::RunCommand::HandOver(peer) => {
                *answer = Some(kept::KeptEnd::HandedOver(peer));
                RequestInput::HandedOver
            }
            kept::RunCommand::LeaveReplica(replica) => {
                let Some(attempt) = self.driver.attempt_number() else { return };
                if self.shell.replica() != Some(&replica) {
                    return;
                }
                let failure = input::AttemptFailure::ReplicaLeaving;
                RequestInput::AttemptFailed { attempt, failure }
            }
        };
        self.shell.feed(input, &mut self.driver);
    }

    fn conclude(mut self, end: action::RequestEnd, answer: Option<kept::KeptEnd>) {
        let is_answered =
            matches!(end.cause, action::EndCause::Answered | action::EndCause::HandedOver);
        let kept_end = match answer {
            Some(answer) if is_answered => answer,
            _ => kept::KeptEnd::Failed(finish::problem_of_end(&end)),
        };
        self.admitted.report(finish::permit_outcome(&end), self.driver.first);
        finish::conclude(&self.core, &self.driver.kept, &end, kept_end);
    }
}

/// The timer of a run; it is set anew only when the time changes.
#[derive(Default)]
struct RunTimer {
    at: Option<base_time::MonotonicTime>,
    timer: Option<async_io::Timer>,
}

impl RunTimer {
    fn set(&mut self, at: Option<base_time::MonotonicTime>, now: base_time::MonotonicTime) {
        if self.at == at {
            return;
        }
        self.at = at;
        self.timer = at.map(|at| async_io::Timer::after(at.since(now).to_duration()));
    }

    async fn wait(&mut self) {
        match &mut self.timer {
            Some(timer) => {
                timer.await;
                self.at = None;
            }
            None => std::future::pending().await,
        }
    }
}

/// The open dispatch.
struct CurrentAttempt {
    number: input::AttemptNumber,
    continue_from: quantity::TokenCount,
    stream: attempt::StreamAttempt,
}

struct StreamDriver {
    core: Arc<core::EntryCore>,
    limits: client::CallLimits,
    kept: Arc<kept::KeptRequest>,
    body: Arc<request::CallBody>,
    target: set::LoadedModel,
    priority: quantity::PriorityLevel,
    prompt_tokens: quantity::TokenCount,
    latency: metrics::TokenLatency,
    current: Option<CurrentAttempt>,
    /// Text of the token that the machine judges next.
    announced: Option<Arc<str>>,
    first: Option<base_time::Millis>,
    last_token_at: Option<time::Instant>,
}

impl shell::CallDriver for StreamDriver {
    fn dispatch(&mut self, order: &action::DispatchOrder, address: net::SocketAddr) {
        let tokens = self.kept.progress(0).tokens;
        let resume = request::ResumePoint { offset: order.continue_from, text: tokens.concat() };
        let call = attempt::AttemptCall {
            address,
            path: self.body.call.path(),
            request: self.kept.head.id.clone(),
            priority: self.priority,
            remaining: order.remaining,
            continue_from: order.continue_from,
            body: self.body.to_upstream(&self.target, &resume),
            limits: self.limits,
            first_token: self.core.settings.upstreams.first_token_ms,
            max_answer: self.core.settings.upstreams.max_answer_bytes,
        };
        self.current = Some(CurrentAttempt {
            number: order.attempt,
            continue_from: order.continue_from,
            stream: attempt::StreamAttempt::open(call),
        });
    }

    fn deliver(&mut self, _: quantity::TokenCount) {
        let Some(text) = self.announced.take() else { return };
        self.observe_token();
        self.kept.push_token(text);
    }

    fn cancel(&mut self, address: Option<net::SocketAddr>) {
        self.current = None;
        let Some(address) = address else { return };
        let cancel = cancel_call(address, self.kept.head.id.clone(), self.limits);
        task::spawn(cancel);
    }
}

impl StreamDriver {
    fn attempt_number(&self) -> Option<input::AttemptNumber> {
        self.current.as_ref().map(|current| current.number)
    }

    fn observe_token(&mut self) {
        let now = time::Instant::now();
        match self.last_token_at.replace(now) {
            Some(before) => self.latency.between.observe((now - before).as_secs_f64()),
            None => {
                let first = self.core.now().since(self.kept.head.accepted_at);
                self.first = Some(first);
                self.latency.first.observe(first.to_duration().as_secs_f64());
            }
        }
    }

    /// Counts what a replica computed again to go on with the stream.
    fn count_recomputed(&self, usage: Option<chunk::TokenUsage>) {
        let Some(current) = &self.current else { return };
        if current.continue_from.get() == 0 {
            return;
        }
        let recomputed = match usage.map(prompt_usage) {
            Some(usage) => usage.computed.get(),
            None => self.prompt_tokens.get() + current.continue_from.get(),
        };
        self.core.metrics.recomputed_tokens.inc_by(recomputed);
    }

    /// Usage over all replicas that served the answer.
    fn caller_usage(&self, last: chunk::TokenUsage) -> chunk::TokenUsage {
        let completion = self.kept.token_count();
        let total = last.prompt_tokens.get() + completion.get();
        chunk::TokenUsage {
            completion_tokens: completion,
            total_tokens: quantity::TokenCount::new(total),
            ..last
        }
    }
}

fn prompt_usage(usage: chunk::TokenUsage) -> picker::PromptUsage {
    let details = usage.prompt_tokens_details.unwrap_or_default();
    let cached = details.cached_tokens;
    let uncached = usage.prompt_tokens.get().saturating_sub(cached.get());
    let computed = details.computed_tokens.unwrap_or(quantity::TokenCount::new(uncached));
    picker::PromptUsage { cached, computed }
}

/// Tells a replica that nobody wants the answer; a replica that does not hear it ends it when the
/// connection closes.
async fn cancel_call(address: net::SocketAddr, request: id::RequestId, limits: client::CallLimits) {
    let Ok(url) = client::url(address, &format!("/v1/requests/{request}/cancel")) else { return };
    let _ = client::send(address, Request::new(Method::Post, url), limits).await;
}
