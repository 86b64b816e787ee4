//! Runs chat and completion calls: a stream that goes on over replicas.

use std::future;
use std::net;
use std::pin;
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
use crate::run::transfer;
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
    leaving: Option<LeavingMove>,
}

/// A move from a leaving replica that is being prepared while that replica still streams.
struct LeavingMove {
    attempt: input::AttemptNumber,
    transfer: pin::Pin<Box<dyn future::Future<Output = transfer::TransferVerdict> + Send>>,
}

/// What wakes a run.
enum RunEvent {
    Attempt(attempt::AttemptEvent),
    Woken,
    Command(kept::RunCommand),
    Prepared(transfer::TransferVerdict),
}

impl ModelRun {
    fn new(core: Arc<core::EntryCore>, job: ModelJob) -> Self {
        let policy = core.settings.request_policy(policy::RepeatPolicy::Repeatable);
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
        ModelRun { core, shell, driver, admitted: job.admitted, commands, timer, leaving: None }
    }

    async fn run(mut self) {
        self.shell.feed(RequestInput::Start, &mut self.driver);
        let mut answer = None;
        while self.shell.end().is_none() {
            match self.next_event().await {
                RunEvent::Attempt(event) => self.take_attempt(event, &mut answer),
                RunEvent::Woken => self.shell.feed(RequestInput::TimerFired, &mut self.driver),
                RunEvent::Command(command) => self.take_command(command, &mut answer),
                RunEvent::Prepared(verdict) => self.leave_replica(verdict),
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
                None => future::pending().await,
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
                Err(_) => future::pending().await,
            }
        };
        let leaving = &mut self.leaving;
        let prepared = async {
            match leaving {
                Some(leaving) => RunEvent::Prepared((&mut leaving.transfer).await),
                None => future::pending().await,
            }
        };
        attempt.or(woken).or(command).or(prepared).await
    }

    fn take_attempt(&mut self, event: attempt::AttemptEvent, answer: &mut Option<kept::KeptEnd>) {
        let Some(number) = self.driver.attempt_number() else { return };
        let input = match event {
            attempt::AttemptEvent::Head => RequestInput::HeadReceived(number),
            attempt::AttemptEvent::Token { offset, text } => {
                self.shell.note_first();
                self.driver.announced = Some(text);
                RequestInput::TokenReceived { attempt: number, offset }
            }
            attempt::AttemptEvent::Foreign => RequestInput::ForeignResponse(number),
            attempt::AttemptEvent::Ended { finish_reason, usage } => {
                if let Some(usage) = usage {
                    self.shell.note_usage(prompt_usage(usage));
                }
                self.driver.close_attempt(usage);
                let usage = usage.map(|usage| self.driver.caller_usage(usage));
                *answer = Some(kept::KeptEnd::Streamed { finish_reason, usage });
                RequestInput::ResponseComplete(number)
            }
            attempt::AttemptEvent::Rejected(rejected) => {
                *answer = Some(kept::KeptEnd::Plain(rejected));
                RequestInput::ResponseComplete(number)
            }
            attempt::AttemptEvent::Failed(failure) => {
                self.driver.close_attempt(None);
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
            kept::RunCommand::LeaveReplica(replica) => return self.prepare_move(&replica),
        };
        self.shell.feed(input, &mut self.driver);
    }

    /// Starts the transfer of the KV cache; where no other replica is left, the stream stays.
    fn prepare_move(&mut self, replica: &id::ReplicaId) {
        let Some(attempt) = self.driver.attempt_number() else { return };
        if self.shell.replica() != Some(replica) {
            return;
        }
        let Some(next) = self.shell.plan_move() else { return };
        let addresses = (self.shell.address_of(replica), self.shell.address_of(&next));
        let (Some(from), Some(to)) = addresses else { return };
        let upstreams = &self.core.settings.upstreams;
        let tokens = self.driver.prompt_tokens.get() + self.driver.kept.token_count().get();
        if tokens < upstreams.kv_transfer_min_tokens.get() {
            let verdict = transfer::TransferVerdict::Failed;
            let transfer = Box::pin(future::ready(verdict));
            self.leaving = Some(LeavingMove { attempt, transfer });
            return;
        }
        let transfer = transfer::KvTransfer {
            from,
            to,
            request: self.driver.kept.head.id.clone(),
            limits: self.driver.limits,
            max_bytes: upstreams.max_answer_bytes,
        };
        self.leaving = Some(LeavingMove { attempt, transfer: Box::pin(transfer.run()) });
    }

    fn leave_replica(&mut self, verdict: transfer::TransferVerdict) {
        let Some(leaving) = self.leaving.take() else { return };
        if verdict == transfer::TransferVerdict::Moved {
            self.core.metrics.moved_caches.inc();
        }
        let failure = input::AttemptFailure::ReplicaLeaving;
        let input = RequestInput::AttemptFailed { attempt: leaving.attempt, failure };
        // An attempt that ended meanwhile is not the present one, and nothing happens.
        self.shell.feed(input, &mut self.driver);
    }

    fn conclude(mut self, end: action::RequestEnd, answer: Option<kept::KeptEnd>) {
        let is_answered =
            matches!(end.cause, action::EndCause::Completed | action::EndCause::HandedOver);
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
            None => future::pending().await,
        }
    }
}

/// The open dispatch.
struct CurrentAttempt {
    number: input::AttemptNumber,
    continue_from: quantity::TokenCount,
    has_token: bool,
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
    fn dispatch(&mut self, order: &action::DispatchCommand, address: net::SocketAddr) {
        self.close_attempt(None);
        let tokens = self.kept.progress(0).tokens;
        let resume = request::ResumePoint { offset: order.continue_from, text: tokens.concat() };
        let upstreams = &self.core.settings.upstreams;
        let call = attempt::AttemptCall {
            address,
            path: self.body.call.path(),
            request: self.kept.head.id.clone(),
            priority: self.priority,
            remaining: order.remaining,
            continue_from: order.continue_from,
            body: self.body.to_upstream(&self.target, &resume),
            limits: client::CallLimits {
                // The watch for silent streams is the stricter one after the first token.
                silence: upstreams.first_token_ms.max(upstreams.silence_ms),
                ..self.limits
            },
            silence: upstreams.silence_ms,
            first_token: upstreams.first_token_ms,
            max_answer: upstreams.max_answer_bytes,
        };
        self.current = Some(CurrentAttempt {
            number: order.attempt,
            continue_from: order.continue_from,
            has_token: false,
            stream: attempt::StreamAttempt::open(call),
        });
    }

    fn deliver(&mut self, _: quantity::TokenCount) {
        let Some(text) = self.announced.take() else { return };
        self.observe_token();
        if let Some(current) = &mut self.current {
            current.has_token = true;
        }
        self.kept.push_token(text);
    }

    fn cancel(&mut self, address: Option<net::SocketAddr>) {
        self.close_attempt(None);
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

    /// Closes the open dispatch and counts what its replica computed again to go on with the stream.
    fn close_attempt(&mut self, usage: Option<chunk::TokenUsage>) {
        let Some(current) = self.current.take() else { return };
        if current.continue_from.get() == 0 || !(current.has_token || usage.is_some()) {
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
