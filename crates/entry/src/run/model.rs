//! Runs chat and completion calls, and resumes their streams on other replicas after failures.

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
use samphiremoor_fleet::suspect;
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
use crate::quarantine;
use crate::run::attempt;
use crate::run::dial;
use crate::run::executor;
use crate::run::transfer;
use crate::wire::chunk;
use crate::wire::request;

/// A model call that is ready to run.
pub struct ModelJob {
    /// The kept request, which stores the response so far.
    pub kept: Arc<kept::KeptRequest>,
    /// The caller's body.
    pub body: Arc<request::CallBody>,
    /// Model that serves the call.
    pub target: set::LoadedModel,
    /// Routing context of the call.
    pub context: executor::RunContext,
    /// Admission permit of the call.
    pub admitted: core::AdmittedRequest,
}

/// Runs a model call to its end.
pub async fn run(core: Arc<core::EntryCore>, job: ModelJob) {
    ModelRun::new(core, job).run().await;
}

struct ModelRun {
    core: Arc<core::EntryCore>,
    executor: executor::RequestExecutor,
    driver: StreamDriver,
    admitted: core::AdmittedRequest,
    commands: channel::Receiver<kept::RunCommand>,
    timer: RunTimer,
    migration: Option<StreamMigration>,
}

/// Migration away from a leaving replica, which keeps streaming until the KV cache is transferred.
struct StreamMigration {
    attempt: input::AttemptNumber,
    transfer: pin::Pin<Box<dyn future::Future<Output = transfer::TransferOutcome> + Send>>,
}

/// Event that a run waits for.
enum RunEvent {
    Attempt(attempt::AttemptEvent),
    TimerFired,
    Command(kept::RunCommand),
    TransferEnded(transfer::TransferOutcome),
}

impl ModelRun {
    fn new(core: Arc<core::EntryCore>, job: ModelJob) -> Self {
        let policy = core.settings.request_policy(policy::RepeatPolicy::Repeatable);
        let deadline = job.kept.info.deadline;
        let delivered = job.kept.token_count();
        let commands = job.kept.command_receiver();
        let latency = core.metrics.token_latency(&job.kept.info.service);
        let driver = StreamDriver {
            core: core.clone(),
            limits: core.settings.call_limits(),
            kept: job.kept,
            body: job.body,
            target: job.target,
            priority: job.context.service.priority,
            prompt_tokens: job.context.prompt_tokens,
            latency,
            current_attempt: None,
            pending_token: None,
            ttft: None,
            last_token_at: None,
        };
        let executor =
            executor::RequestExecutor::new(core.clone(), job.context, policy, deadline, delivered);
        let timer = RunTimer::default();
        ModelRun {
            core,
            executor,
            driver,
            admitted: job.admitted,
            commands,
            timer,
            migration: None,
        }
    }

    async fn run(mut self) {
        self.executor.feed(RequestInput::Start, &mut self.driver);
        let mut response_end = None;
        while self.executor.end().is_none() {
            match self.next_event().await {
                RunEvent::Attempt(event) => {
                    let event = self.check_failure(event).await;
                    self.handle_attempt_event(event, &mut response_end);
                }
                RunEvent::TimerFired => {
                    self.executor.feed(RequestInput::TimerFired, &mut self.driver)
                }
                RunEvent::Command(command) => self.handle_command(command, &mut response_end),
                RunEvent::TransferEnded(outcome) => self.finish_migration(outcome),
            }
        }
        let end = self.executor.end().expect("the loop exits only after the request has ended");
        self.finish(end, response_end);
    }

    async fn next_event(&mut self) -> RunEvent {
        self.timer.set(self.executor.next_timer(), self.core.now());
        let current = &mut self.driver.current_attempt;
        let attempt = async {
            match current {
                Some(current) => RunEvent::Attempt(current.stream.next().await),
                None => future::pending().await,
            }
        };
        let timer = &mut self.timer;
        let timer_fired = async {
            timer.wait().await;
            RunEvent::TimerFired
        };
        let commands = &self.commands;
        let command = async {
            match commands.recv().await {
                Ok(command) => RunEvent::Command(command),
                Err(_) => future::pending().await,
            }
        };
        let migration = &mut self.migration;
        let transferred = async {
            match migration {
                Some(migration) => RunEvent::TransferEnded((&mut migration.transfer).await),
                None => future::pending().await,
            }
        };
        attempt.or(timer_fired).or(command).or(transferred).await
    }

    /// Returns the event, or the crash that a failure turns out to be if it may be this call's fault.
    /// The call then goes to no other engine.
    async fn check_failure(&mut self, event: attempt::AttemptEvent) -> attempt::AttemptEvent {
        let attempt::AttemptEvent::Failed(failure) = &event else { return event };
        let has_survived =
            self.driver.current_attempt.as_ref().is_some_and(|current| current.has_survived);
        if has_survived {
            return event;
        }
        let suspects = self.driver.suspects();
        let (replica, request) = (self.executor.replica(), &self.driver.kept.info.id);
        let failure = self.core.check_failure(replica, request, &suspects, *failure).await;
        attempt::AttemptEvent::Failed(failure)
    }

    fn handle_attempt_event(
        &mut self,
        event: attempt::AttemptEvent,
        response_end: &mut Option<kept::KeptEnd>,
    ) {
        let Some(attempt_number) = self.driver.attempt_number() else { return };
        let input = match event {
            attempt::AttemptEvent::Head => RequestInput::HeadReceived(attempt_number),
            attempt::AttemptEvent::Token { offset, text } => {
                self.executor.record_first_response();
                self.driver.pending_token = Some(text);
                RequestInput::TokenReceived { attempt: attempt_number, offset }
            }
            attempt::AttemptEvent::Foreign => RequestInput::ForeignResponse(attempt_number),
            attempt::AttemptEvent::Ended { finish_reason, usage } => {
                if let Some(usage) = usage {
                    self.executor.record_usage(prompt_usage(usage));
                }
                self.driver.observe_survival();
                self.driver.close_attempt(usage);
                let usage = usage.map(|usage| self.driver.caller_usage(usage));
                *response_end = Some(kept::KeptEnd::Streamed { finish_reason, usage });
                RequestInput::ResponseComplete(attempt_number)
            }
            // An earlier replica accepted the call, so the rejection is not the caller's error.
            attempt::AttemptEvent::Rejected(_) if self.driver.kept.token_count().get() > 0 => {
                self.driver.close_attempt(None);
                let failure = input::AttemptFailure::InvalidResponse;
                RequestInput::AttemptFailed { attempt: attempt_number, failure }
            }
            attempt::AttemptEvent::Rejected(rejected) => {
                *response_end = Some(kept::KeptEnd::Plain(rejected));
                RequestInput::ResponseComplete(attempt_number)
            }
            attempt::AttemptEvent::Failed(failure) => {
                self.driver.close_attempt(None);
                RequestInput::AttemptFailed { attempt: attempt_number, failure }
            }
        };
        self.executor.feed(input, &mut self.driver);
    }

    fn handle_command(
        &mut self,
        command: kept::RunCommand,
        response_end: &mut Option<kept::KeptEnd>,
    ) {
        let input = match command {
            kept::RunCommand::Abandon => RequestInput::Abandoned,
            kept::RunCommand::HandOver(peer) => {
                *response_end = Some(kept::KeptEnd::HandedOver(peer));
                RequestInput::HandedOver
            }
            kept::RunCommand::LeaveReplica(replica) => return self.start_migration(&replica),
        };
        self.executor.feed(input, &mut self.driver);
    }

    /// Starts a migration. The KV cache is transferred unless the request has too few tokens. If no
    /// other replica is available, the stream stays at the leaving one.
    fn start_migration(&mut self, replica: &id::ReplicaId) {
        let Some(attempt) = self.driver.attempt_number() else { return };
        let suspects = self.driver.suspects();
        if self.executor.replica() != Some(replica) || self.core.is_crash_suspect(&suspects) {
            return;
        }
        let Some(next_replica) = self.executor.plan_migration() else { return };
        let addresses =
            (self.executor.address_of(replica), self.executor.address_of(&next_replica));
        let (Some(from), Some(to)) = addresses else { return };
        let upstreams = &self.core.settings.upstreams;
        let tokens = self.driver.prompt_tokens.get() + self.driver.kept.token_count().get();
        if tokens < upstreams.kv_transfer_min_tokens.get() {
            let outcome = transfer::TransferOutcome::Failed;
            let transfer = Box::pin(future::ready(outcome));
            self.migration = Some(StreamMigration { attempt, transfer });
            return;
        }
        let transfer = transfer::KvTransfer {
            from,
            to,
            request: self.driver.kept.info.id.clone(),
            limits: self.driver.limits,
            max_bytes: upstreams.max_answer_bytes,
        };
        self.migration = Some(StreamMigration { attempt, transfer: Box::pin(transfer.run()) });
    }

    fn finish_migration(&mut self, outcome: transfer::TransferOutcome) {
        let Some(migration) = self.migration.take() else { return };
        if outcome == transfer::TransferOutcome::Transferred {
            self.core.metrics.moved_caches.inc();
        }
        let failure = input::AttemptFailure::ReplicaLeaving;
        let input = RequestInput::AttemptFailed { attempt: migration.attempt, failure };
        // The state machine ignores the input if the attempt has ended in the meantime.
        self.executor.feed(input, &mut self.driver);
    }

    fn finish(mut self, end: action::RequestEnd, response_end: Option<kept::KeptEnd>) {
        let has_response =
            matches!(end.cause, action::EndCause::Completed | action::EndCause::HandedOver);
        let kept_end = match response_end {
            Some(response_end) if has_response => response_end,
            _ => kept::KeptEnd::Failed(finish::problem_for_end(&end)),
        };
        self.admitted.set_report(finish::permit_outcome(&end), self.driver.ttft);
        finish::finish_request(&self.core, &self.driver.kept, &end, kept_end);
    }
}

/// Timer of a run, which is rearmed only when the time changes.
#[derive(Default)]
struct RunTimer {
    fires_at: Option<base_time::MonotonicTime>,
    timer: Option<async_io::Timer>,
}

impl RunTimer {
    fn set(&mut self, fires_at: Option<base_time::MonotonicTime>, now: base_time::MonotonicTime) {
        if self.fires_at == fires_at {
            return;
        }
        self.fires_at = fires_at;
        self.timer =
            fires_at.map(|fires_at| async_io::Timer::after(fires_at.since(now).to_duration()));
    }

    async fn wait(&mut self) {
        match &mut self.timer {
            Some(timer) => {
                timer.await;
                self.fires_at = None;
            }
            None => future::pending().await,
        }
    }
}

/// The open dispatch.
struct CurrentAttempt {
    number: input::AttemptNumber,
    /// Number of tokens that the response had when the dispatch was sent.
    continue_from: quantity::TokenCount,
    /// Whether the dispatch has delivered a token.
    has_token: bool,
    /// When the dispatch delivered its first token.
    first_token_at: Option<base_time::MonotonicTime>,
    /// Whether the response has proceeded for a while after its first token.
    has_survived: bool,
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
    current_attempt: Option<CurrentAttempt>,
    /// Text of the received token that the state machine decides on next: deliver or drop.
    pending_token: Option<Arc<str>>,
    /// Time from the acceptance of the request to its first token.
    ttft: Option<base_time::Millis>,
    last_token_at: Option<time::Instant>,
}

impl executor::CallDriver for StreamDriver {
    fn dispatch(&mut self, command: &action::DispatchCommand, address: net::SocketAddr) {
        self.close_attempt(None);
        let tokens = self.kept.progress(0).tokens;
        let resume = request::ResumePoint { offset: command.continue_from, text: tokens.concat() };
        let upstreams = &self.core.settings.upstreams;
        let target = dial::DialTarget { replica: command.replica.clone(), address };
        let call = attempt::AttemptCall {
            target,
            path: self.body.call.path(),
            request: self.kept.info.id.clone(),
            priority: self.priority,
            remaining: command.remaining,
            continue_from: command.continue_from,
            body: self.body.to_upstream(&self.target, &resume),
            limits: client::CallLimits {
                // Only a fallback: after the first token, the token timeout below is the stricter
                // limit.
                silence: upstreams.first_token_ms.max(upstreams.silence_ms),
                ..self.limits
            },
            token_timeout: upstreams.silence_ms,
            first_token_timeout: upstreams.first_token_ms,
            max_response_bytes: upstreams.max_answer_bytes,
        };
        self.current_attempt = Some(CurrentAttempt {
            number: command.attempt,
            continue_from: command.continue_from,
            has_token: false,
            first_token_at: None,
            has_survived: false,
            stream: attempt::StreamAttempt::open(self.core.clone(), call),
        });
    }

    fn deliver(&mut self, _: quantity::TokenCount) {
        let Some(text) = self.pending_token.take() else { return };
        self.observe_token();
        let now = self.core.now();
        if let Some(current) = &mut self.current_attempt {
            current.has_token = true;
            let first_token_at = *current.first_token_at.get_or_insert(now);
            let has_proceeded = now.since(first_token_at) >= quarantine::SURVIVAL_TIME;
            if has_proceeded && !std::mem::replace(&mut current.has_survived, true) {
                self.observe_survival();
            }
        }
        self.kept.push_token(text);
    }

    fn cancel(&mut self, address: Option<net::SocketAddr>) {
        self.close_attempt(None);
        let Some(address) = address else { return };
        let cancel = cancel_call(address, self.kept.info.id.clone(), self.limits);
        task::spawn(cancel);
    }
}

impl StreamDriver {
    /// Returns what upstreams may crash under: the messages that other calls share, and the call.
    fn suspects(&self) -> suspect::SuspectIds {
        let mut suspects = self.body.shared_segments();
        suspects.push(self.call_suspect());
        suspects
    }

    fn call_suspect(&self) -> suspect::SuspectId {
        suspect::SuspectId::Request(self.body.fingerprint(&self.kept.info.workspace))
    }

    fn observe_survival(&self) {
        let mut survivors = self.body.all_segments();
        survivors.push(self.call_suspect());
        self.core.observe_survival(&survivors);
    }

    fn attempt_number(&self) -> Option<input::AttemptNumber> {
        self.current_attempt.as_ref().map(|current| current.number)
    }

    fn observe_token(&mut self) {
        let now = time::Instant::now();
        match self.last_token_at.replace(now) {
            Some(previous) => self.latency.between_tokens.observe((now - previous).as_secs_f64()),
            None => {
                let ttft = self.core.now().since(self.kept.info.accepted_at);
                self.ttft = Some(ttft);
                self.latency.first_token.observe(ttft.to_duration().as_secs_f64());
            }
        }
    }

    /// Closes the open dispatch and counts the tokens that its replica recomputed to resume the
    /// stream.
    fn close_attempt(&mut self, usage: Option<chunk::TokenUsage>) {
        let Some(current) = self.current_attempt.take() else { return };
        if current.continue_from.get() == 0 || !(current.has_token || usage.is_some()) {
            return;
        }
        let recomputed = match usage.map(prompt_usage) {
            Some(usage) => usage.computed.get(),
            None => self.prompt_tokens.get() + current.continue_from.get(),
        };
        self.core.metrics.recomputed_tokens.inc_by(recomputed);
    }

    /// Returns the token usage that the caller receives: the prompt's tokens as the last replica
    /// reports them, and all tokens of the response.
    fn caller_usage(&self, last_usage: chunk::TokenUsage) -> chunk::TokenUsage {
        let completion = self.kept.token_count();
        let total = last_usage.prompt_tokens.get() + completion.get();
        chunk::TokenUsage {
            completion_tokens: completion,
            total_tokens: quantity::TokenCount::new(total),
            ..last_usage
        }
    }
}

/// Splits the tokens of the prompt into cached and computed ones.
fn prompt_usage(usage: chunk::TokenUsage) -> picker::PromptUsage {
    let details = usage.prompt_tokens_details.unwrap_or_default();
    let cached = details.cached_tokens;
    let uncached = usage.prompt_tokens.get().saturating_sub(cached.get());
    let computed = details.computed_tokens.unwrap_or(quantity::TokenCount::new(uncached));
    picker::PromptUsage { cached, computed }
}

/// Sends a cancellation to a replica. Errors are ignored, because a replica also cancels a request
/// when its connection closes.
async fn cancel_call(address: net::SocketAddr, request: id::RequestId, limits: client::CallLimits) {
    let Ok(url) = client::url(address, &format!("/v1/requests/{request}/cancel")) else { return };
    let _ = client::send(address, Request::new(Method::Post, url), limits).await;
}
