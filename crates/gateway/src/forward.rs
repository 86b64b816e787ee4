//! One request on its way through one or more sends to replicas.

use std::cell;
use std::rc;
use std::sync;

use async_std::future;
use samphiremoor_base::event;
use samphiremoor_base::id;
use samphiremoor_base::log_event;
use samphiremoor_base::quantity;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_fleet::admission;
use samphiremoor_fleet::dispatch;
use samphiremoor_fleet::placing;
use samphiremoor_fleet::policy;
use samphiremoor_httpio::message;

use crate::border;
use crate::core;
use crate::events;
use crate::stream;
use crate::upstream;

/// Connections that may fail for one request before it is given up; no byte of it was sent on them.
const CONNECT_TRIES: u32 = 4;
/// A repeatable plain call is given up on a replica after this multiple of its target, so that
/// another replica can still answer in time.
const PLAIN_PATIENCE: u64 = 4;
/// A stream's first event is awaited for this multiple of the forecast, and of the target, whichever
/// is longer, before another replica is tried.
const FIRST_PATIENCE: u64 = 2;
/// Time after which a caller may come back where nothing better is known; a replica that refused
/// for want of room has some again after a few answers.
const COME_BACK_MS: f64 = 250.0;
/// Time after which a caller may come back to a daemon that knows no policy or no replica yet.
const NOT_READY_MS: f64 = 700.0;

/// A request that was read and has a route.
pub struct IncomingCall {
    /// Its head.
    pub head: message::RequestHead,
    /// Its body.
    pub body: Vec<u8>,
    /// What the head asks for.
    pub terms: border::CallTerms,
    /// Its route.
    pub route: sync::Arc<policy::RouteRule>,
    /// The caller's workspace.
    pub workspace: Option<sync::Arc<policy::WorkspaceRule>>,
    /// When its first byte came.
    pub arrived: time::MonotonicTime,
    /// When its time is over.
    pub deadline: time::MonotonicTime,
    /// Revision of the policy that it is served by.
    pub revision: quantity::RevisionNumber,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum CallEnd {
    /// A replica's answer was delivered.
    Answered(u16),
    /// The gateway answers itself.
    Own(border::OwnAnswer, reason::RefusalReason),
    /// A stream that was begun can't be ended.
    BrokenOff,
    /// The caller left.
    CallerGone,
}

/// Progress of a request that is still known when its time runs out.
pub struct CallProgress {
    /// What became of its sends.
    pub ledger: cell::Cell<dispatch::DispatchLedger>,
    /// The replica of the last send.
    pub replica: cell::RefCell<Option<id::ReplicaId>>,
}

impl CallProgress {
    /// A request that was not sent yet.
    pub fn new(route: &policy::RouteRule) -> Self {
        let ledger = dispatch::DispatchLedger::new(route.kind, route.max_attempts);
        CallProgress { ledger: cell::Cell::new(ledger), replica: cell::RefCell::new(None) }
    }

    fn update(&self, change: impl FnOnce(&mut dispatch::DispatchLedger)) {
        let mut ledger = self.ledger.get();
        change(&mut ledger);
        self.ledger.set(ledger);
    }
}

/// What one send came to.
enum SendEnd {
    /// The request is over.
    Done(CallEnd),
    /// No byte was sent.
    NotSent,
    /// Another replica has the address.
    Elsewhere,
    /// The replica did not run the request.
    NotRun,
    /// The replica may have run it, and has failed it.
    Failed(reason::RetryReason),
    /// The replica's own failure, which is passed on if no other one is asked.
    Error(Box<PlainAnswer>),
    /// The replica leaves; the same run goes on at another one.
    Moved(Box<MovedRun>),
}

/// A run whose memory was moved.
struct MovedRun {
    choice: placing::PlacingChoice,
    memory: sync::Arc<str>,
}

struct PlainAnswer {
    head: message::AnswerHead,
    body: Vec<u8>,
}

/// Carries a request through its sends.
pub async fn carry(
    core: &rc::Rc<core::GatewayCore>,
    call: &IncomingCall,
    progress: &CallProgress,
    sink: &mut stream::AnswerSink,
) -> CallEnd {
    let mut carrier = CallCarrier {
        core,
        call,
        progress,
        splitter: events::EventSplitter::new(call.terms.last_event),
        avoided: core::AvoidedReplicas::new(),
        connect_tries: 0,
        is_moved: false,
    };
    carrier.run(sink).await
}

struct CallCarrier<'a> {
    core: &'a rc::Rc<core::GatewayCore>,
    call: &'a IncomingCall,
    progress: &'a CallProgress,
    splitter: events::EventSplitter,
    avoided: core::AvoidedReplicas,
    connect_tries: u32,
    /// Whether the present send goes on with the memory of the one before.
    is_moved: bool,
}

impl CallCarrier<'_> {
    async fn run(&mut self, sink: &mut stream::AnswerSink) -> CallEnd {
        let Some(service) = self.call.route.service(rand::random()).cloned() else {
            return self.refuse(reason::RefusalReason::UnknownService, NOT_READY_MS);
        };
        self.earn(&service);
        let mut failure: Option<Box<PlainAnswer>> = None;
        let mut moved: Option<Box<MovedRun>> = None;
        loop {
            let (choice, memory) = match moved.take() {
                Some(run) => (run.choice, Some(run.memory)),
                None => match self.place(&service) {
                    Ok(choice) => (choice, None),
                    Err(end) => return self.settle(failure, end, sink).await,
                },
            };
            self.is_moved = memory.is_some();
            self.progress.update(dispatch::DispatchLedger::begin);
            self.progress.replica.replace(Some(choice.replica.clone()));
            let retry = match self.send(&service, &choice, memory.as_deref(), sink).await {
                SendEnd::Done(end) => return end,
                SendEnd::Moved(run) => {
                    // The run before is the same one: nothing was decided about it.
                    self.progress.update(dispatch::DispatchLedger::undo);
                    log_event!(
                        event::LogEvent::StreamMoved,
                        request = self.name(),
                        from = choice.replica,
                        to = run.choice.replica,
                        delivered = self.splitter.delivered(),
                    );
                    self.avoided.push(choice.replica);
                    moved = Some(run);
                    continue;
                }
                SendEnd::NotSent => {
                    self.progress.update(dispatch::DispatchLedger::undo);
                    self.connect_tries += 1;
                    reason::RetryReason::ConnectFailed
                }
                SendEnd::Elsewhere => {
                    self.progress.update(dispatch::DispatchLedger::undo);
                    self.connect_tries += 1;
                    reason::RetryReason::ReplicaLeaving
                }
                SendEnd::NotRun => {
                    self.progress.update(|ledger| ledger.end(dispatch::DispatchEnd::NotRun));
                    reason::RetryReason::RefusedByUpstream
                }
                SendEnd::Failed(reason) => {
                    self.progress.update(|ledger| ledger.end(dispatch::DispatchEnd::MayHaveRun));
                    reason
                }
                SendEnd::Error(answer) => {
                    self.progress.update(|ledger| ledger.end(dispatch::DispatchEnd::Ran));
                    failure = Some(answer);
                    reason::RetryReason::UpstreamError
                }
            };
            self.note_send_failure(&choice.replica, retry);
            self.avoided.push(choice.replica);
            if let Some(end) = self.check_retry(&service, retry) {
                return self.settle(failure, end, sink).await;
            }
        }
    }

    /// Delivers a replica's own failure where there is one; else the request ends as said.
    async fn settle(
        &self,
        failure: Option<Box<PlainAnswer>>,
        end: CallEnd,
        sink: &mut stream::AnswerSink,
    ) -> CallEnd {
        match failure {
            Some(answer) => self.deliver(*answer, sink).await,
            None => end,
        }
    }

    async fn deliver(&self, answer: PlainAnswer, sink: &mut stream::AnswerSink) -> CallEnd {
        let mut out = stream::write_head(&answer.head, Some(answer.body.len()), sink.closes);
        if &*self.call.head.method != "HEAD" {
            out.extend_from_slice(&answer.body);
        }
        match sink.write(&out).await {
            true => CallEnd::Answered(answer.head.status),
            false => CallEnd::CallerGone,
        }
    }

    fn earn(&self, service: &id::ServiceId) {
        let mut state = self.core.state.borrow_mut();
        state.budget(service, &self.core.settings.shared).earn();
    }

    /// Chooses a replica, or says how the request ends without one.
    fn place(&self, service: &id::ServiceId) -> Result<placing::PlacingChoice, CallEnd> {
        let now = self.core.now();
        let state = self.core.state.borrow();
        let is_engine = state.policy.as_ref().is_some_and(|policy| {
            policy.services.get(service).is_some_and(|rule| rule.engine_slots.is_some())
        });
        let prompt = self.call.terms.prompt.as_ref().filter(|_| is_engine);
        let mut query = placing::PlacingQuery {
            service,
            zone: &self.core.settings.availability_zone,
            prompt,
            avoided: &self.avoided,
            draw: rand::random(),
            now,
        };
        let mut found = placing::choose(&state.replicas, &query);
        if found.is_none() && self.progress.ledger.get().sent() == 0 {
            // A replica whose connection failed is better than none.
            query.avoided = &[];
            found = placing::choose(&state.replicas, &query);
        }
        let Some(choice) = found else {
            return Err(self.refuse(reason::RefusalReason::NoReplica, NOT_READY_MS));
        };
        if prompt.is_some() && self.progress.ledger.get().sent() == 0 {
            let admission = admission::AdmissionQuery {
                service,
                priority: self.priority(),
                target: self.call.route.target,
                left: self.call.deadline.since(now),
                ahead: choice.ahead,
                draw: rand::random(),
            };
            if let Err(wait) = state.forecast.admit(&admission) {
                return Err(self.refuse(reason::RefusalReason::Shed, wait.get() as f64));
            }
        }
        log_event!(
            event::LogEvent::ReplicaChosen,
            request = self.name(),
            replica = choice.replica,
            ahead_tokens = choice.ahead as u64,
            unread_tokens = choice.unread,
            fill = format_args!("{:.2}", choice.fill),
            daemons_known = state.daemons,
            sends = self.progress.ledger.get().sent(),
        );
        Ok(choice)
    }

    /// How the request ends, unless it may be sent once more.
    fn check_retry(&self, service: &id::ServiceId, reason: reason::RetryReason) -> Option<CallEnd> {
        let now = self.core.now();
        if now >= self.call.deadline {
            return Some(self.give_up(reason::RefusalReason::DeadlinePassed));
        }
        let is_free = reason == reason::RetryReason::ConnectFailed;
        let is_spent = self.connect_tries >= CONNECT_TRIES;
        if is_spent || !self.progress.ledger.get().may_send() {
            return Some(self.give_up(reason::RefusalReason::UpstreamFailed));
        }
        let mut state = self.core.state.borrow_mut();
        if !is_free && !state.budget(service, &self.core.settings.shared).try_take() {
            drop(state);
            return Some(self.give_up(reason::RefusalReason::RetryBudgetSpent));
        }
        self.core.metrics.retried(reason);
        log_event!(
            event::LogEvent::RequestRetried,
            request = self.name(),
            reason = reason,
            replica = self.avoided.last().map_or("", id::ReplicaId::as_str),
            delivered = self.splitter.delivered(),
        );
        None
    }

    /// The end of a request that is given up after its sends.
    fn give_up(&self, reason: reason::RefusalReason) -> CallEnd {
        if self.splitter.delivered() > 0 {
            return CallEnd::BrokenOff;
        }
        if self.progress.ledger.get().is_not_run() {
            return self.refuse(reason, COME_BACK_MS);
        }
        match reason {
            reason::RefusalReason::DeadlinePassed => {
                CallEnd::Own(border::OwnAnswer::TimedOut, reason)
            }
            _ => CallEnd::Own(border::OwnAnswer::Failed, reason),
        }
    }

    /// The end of a request of which nothing was run.
    fn refuse(&self, reason: reason::RefusalReason, wait_ms: f64) -> CallEnd {
        if !self.progress.ledger.get().is_not_run() || self.splitter.delivered() > 0 {
            return match self.splitter.delivered() {
                0 => CallEnd::Own(border::OwnAnswer::Failed, reason),
                _ => CallEnd::BrokenOff,
            };
        }
        let wait = admission::spread(wait_ms, rand::random());
        CallEnd::Own(border::OwnAnswer::NotRun(wait), reason)
    }

    fn priority(&self) -> quantity::PriorityLevel {
        let declared = self.call.workspace.as_ref().and_then(|rule| rule.priority);
        declared.unwrap_or(self.call.route.priority)
    }

    fn name(&self) -> &str {
        self.call.terms.request.as_deref().unwrap_or("-")
    }

    async fn send(
        &mut self,
        service: &id::ServiceId,
        choice: &placing::PlacingChoice,
        memory: Option<&str>,
        sink: &mut stream::AnswerSink,
    ) -> SendEnd {
        let is_stream = self.call.route.kind.is_stream();
        let unread = if self.call.terms.prompt.is_some() { choice.unread } else { 0 };
        let Some(mut guard) = core::LoadGuard::new(self.core, &choice.replica, unread) else {
            return SendEnd::NotSent;
        };
        let is_repeatable = self.call.route.kind.is_repeatable();
        let address = guard.address();
        let acquired = upstream::acquire(self.core, &choice.replica, address, is_repeatable).await;
        let mut open = match acquired {
            Ok(open) => open,
            Err(_) => {
                self.blame(&choice.replica);
                return SendEnd::NotSent;
            }
        };
        let begun = self.core.now();
        let limit = self.first_limit(service, choice, begun);
        let bytes = self.request_bytes(choice, address, memory, begun);
        if unread > 0 {
            let mut state = self.core.state.borrow_mut();
            state.prompts.entry(service.clone()).or_default().note(unread, begun);
        }
        let method = self.call.head.method.clone();
        let name = self.call.terms.request.as_deref();
        let exchange = upstream::exchange(self.core, &mut open, &bytes, &method, name);
        let answer = match future::timeout(limit.to_duration(), exchange).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(cause)) => {
                let is_stale = open.is_reused && cause == upstream::ExchangeError::Closed;
                self.note_failure(&choice.replica, !is_stale);
                self.count_run();
                return SendEnd::Failed(reason::RetryReason::ConnectionClosed);
            }
            Err(_) => {
                self.blame(&choice.replica);
                self.count_run();
                return SendEnd::Failed(reason::RetryReason::ConnectionSilent);
            }
        };
        if answer.terms.is_other_replica || answer.terms.is_not_run {
            let is_other = answer.terms.is_other_replica;
            // The body of a refusal is short; a connection that does not end it is not kept.
            if upstream::whole_body(&mut open, &answer).await.is_ok() {
                upstream::release(self.core, &choice.replica, open, &answer);
            }
            if is_other {
                self.blame(&choice.replica);
                return SendEnd::Elsewhere;
            }
            self.note_failure(&choice.replica, true);
            return SendEnd::NotRun;
        }
        let is_success = (200..300).contains(&answer.head.status);
        if is_stream && is_success {
            let run = stream::StreamRun::new(open, answer);
            self.pass_on(service, choice, run, &mut guard, begun, sink).await
        } else {
            self.read_plain(choice, open, answer, begun, sink).await
        }
    }

    async fn read_plain(
        &self,
        choice: &placing::PlacingChoice,
        mut open: upstream::UpstreamConnection,
        answer: upstream::ReplicaAnswer,
        begun: time::MonotonicTime,
        sink: &mut stream::AnswerSink,
    ) -> SendEnd {
        self.count_run();
        let left = self.call.deadline.since(self.core.now());
        let reading = upstream::whole_body(&mut open, &answer);
        let body = match future::timeout(left.to_duration(), reading).await {
            Ok(Ok(body)) => body,
            Ok(Err(_)) => {
                self.note_failure(&choice.replica, true);
                return SendEnd::Failed(reason::RetryReason::ConnectionClosed);
            }
            Err(_) => return SendEnd::Failed(reason::RetryReason::ConnectionSilent),
        };
        let is_error = answer.head.status >= 500;
        self.note_failure(&choice.replica, is_error);
        upstream::release(self.core, &choice.replica, open, &answer);
        self.core.metrics.first(self.core.now().since(begun));
        let whole = PlainAnswer { head: answer.head, body };
        if is_error && self.call.route.kind.is_repeatable() {
            return SendEnd::Error(Box::new(whole));
        }
        SendEnd::Done(self.deliver(whole, sink).await)
    }

    async fn pass_on(
        &mut self,
        service: &id::ServiceId,
        choice: &placing::PlacingChoice,
        mut run: stream::StreamRun,
        guard: &mut core::LoadGuard,
        begun: time::MonotonicTime,
        sink: &mut stream::AnswerSink,
    ) -> SendEnd {
        self.splitter.restart();
        let core = self.core;
        let workspace = self.call.workspace.as_ref().map(|rule| &rule.id);
        let window = core.settings.times.usage_window_ms;
        let is_first_run = self.splitter.delivered() == 0;
        // A run that goes on with its memory is the one that began elsewhere.
        let is_moved = self.is_moved;
        let on_first = || {
            let now = core.now();
            guard.prompt_read();
            core.metrics.first(now.since(begun));
            let mut state = core.state.borrow_mut();
            if is_first_run {
                state.forecast.sample(service, choice.ahead, now.since(begun));
            }
            if let Some(workspace) = workspace.filter(|_| !is_moved) {
                state.note_run(workspace, window, now);
            }
        };
        let can_move = self.can_move(service);
        let is_to_be_left = || can_move && self.core.is_to_be_left(&choice.replica);
        let end = run.pass_on(&mut self.splitter, sink, on_first, is_to_be_left).await;
        if end != stream::RunEnd::Leaving {
            return self.end_run(choice, run, end);
        }
        let Some(moving) = self.start_move(service, choice) else {
            let end = run.pass_on(&mut self.splitter, sink, || {}, || false).await;
            return self.end_run(choice, run, end);
        };
        // The run makes events until the replica stops it.
        let passing = run.pass_on(&mut self.splitter, sink, || {}, || false);
        let (moved, end) = futures_lite::future::zip(moving, passing).await;
        match (moved, end) {
            (Some(moved), stream::RunEnd::Broken) => SendEnd::Moved(Box::new(moved)),
            (_, end) => self.end_run(choice, run, end),
        }
    }

    /// Whether the memory of this request's run can be moved.
    fn can_move(&self, service: &id::ServiceId) -> bool {
        let state = self.core.state.borrow();
        let rule = state.policy.as_ref().and_then(|policy| policy.services.get(service));
        rule.is_some_and(|rule| rule.moves_memory) && self.call.terms.request.is_some()
    }

    /// Starts the move of a run to the best other replica; nothing where there is none or the budget
    /// of further sends is spent.
    fn start_move(
        &self,
        service: &id::ServiceId,
        choice: &placing::PlacingChoice,
    ) -> Option<impl std::future::Future<Output = Option<MovedRun>> + use<>> {
        let core = self.core.clone();
        let request = self.call.terms.request.clone()?;
        let source = choice.replica.clone();
        let mut avoided = self.avoided.clone();
        avoided.push(source.clone());
        let mut state = core.state.borrow_mut();
        let query = placing::PlacingQuery {
            service,
            zone: &core.settings.availability_zone,
            prompt: self.call.terms.prompt.as_ref(),
            avoided: &avoided,
            draw: rand::random(),
            now: core.now(),
        };
        let mut target = placing::choose(&state.replicas, &query)?;
        // The memory comes along: nothing is read again.
        target.unread = 0;
        let source_address = state.replicas.get(&source)?.entry.address;
        let target_address = state.replicas.get(&target.replica)?.entry.address;
        if !state.budget(service, &core.settings.shared).try_take() {
            return None;
        }
        drop(state);
        core.metrics.retried(reason::RetryReason::ReplicaLeaving);
        Some(async move {
            let moving =
                upstream::move_memory(&core, &source, source_address, target_address, &request);
            let memory = moving.await?;
            Some(MovedRun { choice: target, memory })
        })
    }

    fn end_run(
        &self,
        choice: &placing::PlacingChoice,
        run: stream::StreamRun,
        end: stream::RunEnd,
    ) -> SendEnd {
        match end {
            stream::RunEnd::Complete => {
                self.note_failure(&choice.replica, false);
                let status = run.answer.head.status;
                upstream::release(self.core, &choice.replica, run.open, &run.answer);
                SendEnd::Done(CallEnd::Answered(status))
            }
            stream::RunEnd::Silent => {
                self.blame(&choice.replica);
                SendEnd::Failed(reason::RetryReason::ConnectionSilent)
            }
            stream::RunEnd::CallerGone => SendEnd::Done(CallEnd::CallerGone),
            stream::RunEnd::Broken | stream::RunEnd::Leaving => {
                self.note_failure(&choice.replica, true);
                SendEnd::Failed(reason::RetryReason::ConnectionClosed)
            }
        }
    }

    fn request_bytes(
        &self,
        choice: &placing::PlacingChoice,
        address: std::net::SocketAddr,
        memory: Option<&str>,
        now: time::MonotonicTime,
    ) -> Vec<u8> {
        let terms = border::DispatchTerms {
            replica: &choice.replica,
            address,
            left: self.call.deadline.since(now),
            workspace: self.call.workspace.as_ref().map(|rule| &rule.id),
            priority: self.priority(),
            last_event: self.splitter.last(),
            memory,
            body: self.call.body.len(),
        };
        let mut bytes = Vec::with_capacity(1024 + self.call.body.len());
        self.core.adapter.codec.write_dispatch(&self.call.head, &terms, &mut bytes);
        bytes.extend_from_slice(&self.call.body);
        bytes
    }

    /// Time for which the first byte of an answer is awaited.
    fn first_limit(
        &self,
        service: &id::ServiceId,
        choice: &placing::PlacingChoice,
        now: time::MonotonicTime,
    ) -> time::Millis {
        let left = self.call.deadline.since(now);
        let may_repeat = self.call.route.kind.is_repeatable()
            && self.progress.ledger.get().sent() < self.call.route.max_attempts;
        if !may_repeat {
            return left;
        }
        let target = self.call.route.target.get();
        let limit = if self.call.route.kind.is_stream() {
            let forecast = self.core.state.borrow().forecast.first_ms(service, choice.ahead);
            target.max(forecast as u64).saturating_mul(FIRST_PATIENCE)
        } else {
            target.saturating_mul(PLAIN_PATIENCE)
        };
        left.min(time::Millis::new(limit))
    }

    /// Counts the run of a plain call, or of a request whose answer was lost.
    fn count_run(&self) {
        let Some(workspace) = &self.call.workspace else { return };
        let window = self.core.settings.times.usage_window_ms;
        let now = self.core.now();
        self.core.state.borrow_mut().note_run(&workspace.id, window, now);
    }

    fn note_failure(&self, replica: &id::ReplicaId, is_failure: bool) {
        let now = self.core.now();
        let mut state = self.core.state.borrow_mut();
        if let Some(known) = state.replicas.get_mut(replica) {
            known.note_answer(is_failure, now);
        }
    }

    fn note_send_failure(&self, replica: &id::ReplicaId, reason: reason::RetryReason) {
        let now = self.core.now();
        let state = self.core.state.borrow();
        let known = state.replicas.get(replica);
        let heard = known.and_then(|known| known.heard_at).map(|at| now.since(at));
        log_event!(
            event::LogEvent::SendFailed,
            request = self.name(),
            replica = replica,
            reason = reason,
            delivered = self.splitter.delivered(),
            replica_known = known.is_some(),
            replica_leaving = known.is_some_and(|known| known.entry.is_draining),
            failing = format_args!("{:.2}", known.map_or(0.0, |known| known.failure_share(now))),
            heard_ago = heard.map_or_else(|| "never".to_owned(), |age| age.to_string()),
            after = now.since(self.call.arrived),
        );
    }

    fn blame(&self, replica: &id::ReplicaId) {
        let now = self.core.now();
        let mut state = self.core.state.borrow_mut();
        state.idle.remove(replica);
        if let Some(known) = state.replicas.get_mut(replica) {
            known.note_unreachable(now);
        }
        log_event!(event::LogEvent::UpstreamSuspected, replica = replica, request = self.name());
    }
}
