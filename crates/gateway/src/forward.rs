//! One request on its way through one or more sends to replicas: which one is next, and how it ends.
//! [`attempt`](crate::attempt) carries out each send.

use std::cell;
use std::rc;
use std::sync;

use samphiremoor_base::event;
use samphiremoor_base::id;
use samphiremoor_base::log_event;
use samphiremoor_base::quantity;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_fleet::admission;
use samphiremoor_fleet::dispatch;
use samphiremoor_fleet::policy;
use samphiremoor_fleet::selection;
use samphiremoor_httpio::message;

use crate::adapter;
use crate::core;
use crate::events;
use crate::stream;

/// Connections that may fail for one request before it is given up; no byte of it was sent on them.
const CONNECT_TRIES: u32 = 4;
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
    pub terms: adapter::RequestMetadata,
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
    Own(adapter::LocalResponse, reason::RefusalReason),
    /// A stream that was begun can't be ended.
    BrokenOff,
    /// The caller left.
    CallerGone,
}

/// Progress of a request that is still known when its time runs out.
pub struct CallProgress {
    /// What became of its sends.
    pub ledger: cell::Cell<dispatch::DispatchTracker>,
    /// The replica of the last send.
    pub replica: cell::RefCell<Option<id::ReplicaId>>,
}

impl CallProgress {
    /// A request that was not sent yet.
    pub fn new(route: &policy::RouteRule) -> Self {
        let ledger = dispatch::DispatchTracker::new(route.kind, route.max_attempts);
        CallProgress { ledger: cell::Cell::new(ledger), replica: cell::RefCell::new(None) }
    }

    fn update(&self, change: impl FnOnce(&mut dispatch::DispatchTracker)) {
        let mut ledger = self.ledger.get();
        change(&mut ledger);
        self.ledger.set(ledger);
    }
}

/// What one send came to.
pub(crate) enum SendEnd {
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
pub(crate) struct MovedRun {
    /// The replica that has the memory.
    pub(crate) choice: selection::SelectedReplica,
    /// Where it lies.
    pub(crate) memory: sync::Arc<str>,
}

pub(crate) struct PlainAnswer {
    /// Its head.
    pub(crate) head: message::ResponseHead,
    /// Its whole body.
    pub(crate) body: Vec<u8>,
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

/// State of one request between its sends.
pub(crate) struct CallCarrier<'a> {
    pub(crate) core: &'a rc::Rc<core::GatewayCore>,
    pub(crate) call: &'a IncomingCall,
    pub(crate) progress: &'a CallProgress,
    /// Events of the stream over all runs.
    pub(crate) splitter: events::EventSplitter,
    /// Replicas that the request was sent to.
    pub(crate) avoided: core::AvoidedReplicas,
    connect_tries: u32,
    /// Whether the present send goes on with the memory of the one before.
    pub(crate) is_moved: bool,
}

impl CallCarrier<'_> {
    async fn run(&mut self, sink: &mut stream::AnswerSink) -> CallEnd {
        let Some(service) = self.call.route.pick_service(rand::random()).cloned() else {
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
            self.progress.update(dispatch::DispatchTracker::begin_attempt);
            self.progress.replica.replace(Some(choice.replica.clone()));
            let retry = match self.send(&service, &choice, memory.as_deref(), sink).await {
                SendEnd::Done(end) => return end,
                SendEnd::Moved(run) => {
                    self.progress.update(dispatch::DispatchTracker::migrate);
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
                    self.progress.update(dispatch::DispatchTracker::cancel_attempt);
                    self.connect_tries += 1;
                    reason::RetryReason::ConnectFailed
                }
                SendEnd::Elsewhere => {
                    self.progress.update(dispatch::DispatchTracker::cancel_attempt);
                    self.connect_tries += 1;
                    reason::RetryReason::ReplicaLeaving
                }
                SendEnd::NotRun => {
                    self.progress
                        .update(|ledger| ledger.end_attempt(dispatch::DispatchOutcome::NotRun));
                    reason::RetryReason::RefusedByUpstream
                }
                SendEnd::Failed(reason) => {
                    self.progress
                        .update(|ledger| ledger.end_attempt(dispatch::DispatchOutcome::MayHaveRun));
                    reason
                }
                SendEnd::Error(answer) => {
                    self.progress
                        .update(|ledger| ledger.end_attempt(dispatch::DispatchOutcome::Ran));
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

    pub(crate) async fn deliver(
        &self,
        answer: PlainAnswer,
        sink: &mut stream::AnswerSink,
    ) -> CallEnd {
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
        state.budget(service, &self.core.settings.shared).deposit();
    }

    /// Chooses a replica, or says how the request ends without one.
    fn place(&self, service: &id::ServiceId) -> Result<selection::SelectedReplica, CallEnd> {
        let now = self.core.now();
        let mut state = self.core.state.borrow_mut();
        let is_engine = state.policy.as_ref().is_some_and(|policy| {
            policy.services.get(service).is_some_and(|rule| rule.engine_slots.is_some())
        });
        let prompt = self.call.terms.prompt.as_ref().filter(|_| is_engine);
        let mut query = selection::SelectionQuery {
            service,
            zone: &self.core.settings.availability_zone,
            prompt,
            excluded: &self.avoided,
            daemon_count: state.daemons,
            draw: rand::random(),
            now,
        };
        let mut found = selection::choose(&state.replicas, &query);
        if found.is_none() && self.progress.ledger.get().attempts() == 0 {
            // A replica whose connection failed is better than none.
            query.excluded = &[];
            found = selection::choose(&state.replicas, &query);
        }
        let Some(choice) = found else {
            return Err(self.refuse(reason::RefusalReason::NoReplica, NOT_READY_MS));
        };
        if prompt.is_some() && self.progress.ledger.get().attempts() == 0 {
            let admission = admission::AdmissionQuery {
                service,
                priority: self.priority(),
                ttft_target: self.call.route.latency_target,
                deadline_left: self.call.deadline.since(now),
                tokens_ahead: choice.tokens_ahead,
                draw: rand::random(),
            };
            if let Err(wait) = state.forecast.admit(&admission) {
                // Capacity is planned for what is asked, not for what is let in.
                state.note_prompt(service, choice.uncached_tokens, now);
                return Err(self.refuse(reason::RefusalReason::Shed, wait.get() as f64));
            }
        }
        log_event!(
            event::LogEvent::ReplicaChosen,
            request = self.name(),
            replica = choice.replica,
            ahead_tokens = choice.tokens_ahead as u64,
            unread_tokens = choice.uncached_tokens,
            fill = format_args!("{:.2}", choice.utilization),
            daemons_known = state.daemons,
            sends = self.progress.ledger.get().attempts(),
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
        if !is_free && !state.budget(service, &self.core.settings.shared).try_withdraw() {
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
        if self.progress.ledger.get().is_known_not_run() {
            return self.refuse(reason, COME_BACK_MS);
        }
        match reason {
            reason::RefusalReason::DeadlinePassed => {
                CallEnd::Own(adapter::LocalResponse::TimedOut, reason)
            }
            _ => CallEnd::Own(adapter::LocalResponse::Failed, reason),
        }
    }

    /// The end of a request of which nothing was run.
    fn refuse(&self, reason: reason::RefusalReason, wait_ms: f64) -> CallEnd {
        if !self.progress.ledger.get().is_known_not_run() || self.splitter.delivered() > 0 {
            return match self.splitter.delivered() {
                0 => CallEnd::Own(adapter::LocalResponse::Failed, reason),
                _ => CallEnd::BrokenOff,
            };
        }
        let wait = admission::retry_after(wait_ms, rand::random());
        CallEnd::Own(adapter::LocalResponse::NotRun(wait), reason)
    }

    pub(crate) fn priority(&self) -> quantity::PriorityLevel {
        let declared = self.call.workspace.as_ref().and_then(|rule| rule.priority);
        declared.unwrap_or(self.call.route.priority)
    }

    pub(crate) fn name(&self) -> &str {
        self.call.terms.request.as_deref().unwrap_or("-")
    }
}
