//! Runs calls of plain services, whose responses are not streamed.

use std::future;
use std::net;
use std::pin;
use std::sync::Arc;

use futures_lite::FutureExt as _;
use http_types::Method;
use http_types::Request;
use http_types::Url;
use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_fleet::suspect;
use samphiremoor_httpio::client;
use samphiremoor_httpio::problem;
use samphiremoor_requests::action;
use samphiremoor_requests::input;
use samphiremoor_requests::input::RequestInput;
use samphiremoor_requests::policy;
use samphiremoor_shards::call;

use crate::core;
use crate::headers;
use crate::run::attempt;
use crate::run::dial;
use crate::run::executor;

/// A call of a plain service.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query at the upstream.
    pub path: Arc<str>,
    /// Forwarded headers.
    pub headers: Vec<call::CallHeader>,
    /// Request body.
    pub body: Arc<[u8]>,
}

impl PlainCall {
    /// Returns the fingerprint of the call of a workspace to a service.
    pub fn fingerprint(
        &self,
        workspace: &id::WorkspaceId,
        service: &id::ServiceId,
    ) -> suspect::RequestFingerprint {
        suspect::RequestIdentity {
            host: service.as_str(),
            method: self.method.as_ref(),
            target: &self.path,
            workspace: Some(workspace),
            body: &self.body,
        }
        .fingerprint()
    }
}

/// Result of a call of a plain service.
#[derive(Clone, Debug)]
pub struct PlainEnd {
    /// How the request ended.
    pub end: action::RequestEnd,
    /// The upstream's response, if there is one.
    pub response: Option<call::CallResult>,
}

/// Runs a call to its end. A non-repeatable call must be claimed first.
pub async fn run(
    core: Arc<core::EntryCore>,
    context: executor::RunContext,
    call: PlainCall,
    repeat: policy::RepeatPolicy,
    deadline: time::MonotonicTime,
) -> PlainEnd {
    let policy = core.settings.request_policy(repeat);
    let fingerprint = call.fingerprint(&context.workspace, &context.service.id);
    let suspects = [suspect::SuspectId::Request(fingerprint)];
    let mut driver = PlainDriver {
        core: core.clone(),
        call,
        request: context.request.clone(),
        repeat,
        limits: core.settings.call_limits(),
        response_timeout: core.settings.upstreams.answer_timeout_ms,
        max_response_bytes: core.settings.upstreams.max_answer_bytes,
        current_attempt: None,
    };
    let delivered = quantity::TokenCount::default();
    let mut executor =
        executor::RequestExecutor::new(core.clone(), context, policy, deadline, delivered);
    executor.feed(RequestInput::Start, &mut driver);
    let mut response = None;
    loop {
        if let Some(end) = executor.end() {
            return PlainEnd { end, response };
        }
        match next_event(&core, &executor, &mut driver).await {
            PlainEvent::TimerFired => executor.feed(RequestInput::TimerFired, &mut driver),
            PlainEvent::AttemptEnded(attempt_number, Ok(result)) => {
                driver.current_attempt = None;
                executor.record_first_response();
                core.observe_survival(&suspects);
                response = Some(result);
                executor.feed(RequestInput::ResponseComplete(attempt_number), &mut driver);
            }
            PlainEvent::AttemptEnded(attempt_number, Err(failure)) => {
                driver.current_attempt = None;
                let replica = executor.replica().cloned();
                let failure =
                    core.check_failure(replica.as_ref(), &driver.request, &suspects, failure).await;
                let input = RequestInput::AttemptFailed { attempt: attempt_number, failure };
                executor.feed(input, &mut driver);
            }
            PlainEvent::AttemptOverdue(attempt_number) => {
                executor.feed(RequestInput::AttemptOverdue(attempt_number), &mut driver);
            }
        }
    }
}

type PlainResult = Result<call::CallResult, input::AttemptFailure>;

enum PlainEvent {
    TimerFired,
    AttemptEnded(input::AttemptNumber, PlainResult),
    AttemptOverdue(input::AttemptNumber),
}

async fn next_event(
    core: &core::EntryCore,
    executor: &executor::RequestExecutor,
    driver: &mut PlainDriver,
) -> PlainEvent {
    let attempt_event = async {
        match &mut driver.current_attempt {
            Some(current) => current.next_event().await,
            None => future::pending().await,
        }
    };
    let timer_fired = async {
        match executor.next_timer() {
            Some(timer) => {
                async_io::Timer::after(timer.since(core.now()).to_duration()).await;
                PlainEvent::TimerFired
            }
            None => future::pending().await,
        }
    };
    attempt_event.or(timer_fired).await
}

struct CurrentAttempt {
    number: input::AttemptNumber,
    response: pin::Pin<Box<dyn future::Future<Output = PlainResult> + Send>>,
    /// Timer for a response that is overdue; `None` if the attempt then ends, or has fired.
    overdue_timer: Option<async_io::Timer>,
}

impl CurrentAttempt {
    /// Waits for the next event. Cancel-safe: dropping the future loses no event.
    async fn next_event(&mut self) -> PlainEvent {
        let number = self.number;
        let response = &mut self.response;
        let ended = async { PlainEvent::AttemptEnded(number, response.await) };
        let overdue_timer = &mut self.overdue_timer;
        let overdue = async {
            match overdue_timer {
                Some(timer) => timer.await,
                None => future::pending().await,
            };
            *overdue_timer = None;
            PlainEvent::AttemptOverdue(number)
        };
        ended.or(overdue).await
    }
}

struct PlainDriver {
    core: Arc<core::EntryCore>,
    repeat: policy::RepeatPolicy,
    call: PlainCall,
    request: id::RequestId,
    limits: client::CallLimits,
    response_timeout: time::Millis,
    max_response_bytes: quantity::ByteCount,
    current_attempt: Option<CurrentAttempt>,
}

impl executor::CallDriver for PlainDriver {
    fn dispatch(&mut self, command: &action::DispatchCommand, address: net::SocketAddr) {
        let (limits, overdue_timer) = match self.repeat {
            policy::RepeatPolicy::Repeatable => {
                let head = command.remaining.min(self.response_timeout);
                (client::CallLimits { head, ..self.limits }, None)
            }
            // Only the deadline ends the attempt, since no other replica may run the call.
            policy::RepeatPolicy::AtMostOnce => {
                let (head, silence) = (command.remaining, command.remaining);
                let timer = async_io::Timer::after(self.response_timeout.to_duration());
                (client::CallLimits { head, silence, ..self.limits }, Some(timer))
            }
        };
        let target = dial::DialTarget { replica: command.replica.clone(), address };
        let dispatch = PlainDispatch {
            core: self.core.clone(),
            target,
            call: self.call.clone(),
            request: self.request.clone(),
            remaining: command.remaining,
            limits,
            max_response_bytes: self.max_response_bytes,
        };
        self.current_attempt = Some(CurrentAttempt {
            number: command.attempt,
            response: Box::pin(dispatch.run()),
            overdue_timer,
        });
    }

    fn deliver(&mut self, _: quantity::TokenCount) {}

    fn cancel(&mut self, _: Option<net::SocketAddr>) {
        self.current_attempt = None;
    }
}

/// One dispatch of a call to an upstream.
struct PlainDispatch {
    core: Arc<core::EntryCore>,
    target: dial::DialTarget,
    call: PlainCall,
    request: id::RequestId,
    remaining: time::Millis,
    limits: client::CallLimits,
    max_response_bytes: quantity::ByteCount,
}

impl PlainDispatch {
    async fn run(self) -> PlainResult {
        let url = client::url(self.target.address, &self.call.path)
            .map_err(|_| input::AttemptFailure::ConnectFailed)?;
        let request = self.to_request(url);
        let response = dial::send(&self.core, &self.target, request, self.limits)
            .await
            .map_err(|cause| attempt::call_failure(&cause))?;
        let now = self.core.now();
        self.core.upstreams.observe_response(&self.target.replica, &response, now);
        if !headers::is_response_to(&response, &self.request) {
            return Err(input::AttemptFailure::InvalidResponse);
        }
        if let Some(failure) = attempt::status_failure(&response) {
            return Err(failure);
        }
        attempt::read_full_response(response, self.max_response_bytes).await
    }

    fn to_request(&self, url: Url) -> Request {
        let mut request = Request::new(self.call.method, url);
        request.set_body(self.call.body.as_ref());
        // `set_body` sets a content type; the caller's one replaces it.
        request.remove_header("content-type");
        for header in &self.call.headers {
            request.append_header(header.name.as_ref(), header.value.as_ref());
        }
        request.insert_header(problem::REQUEST_ID_HEADER, self.request.as_str());
        request.insert_header(problem::TIMEOUT_HEADER, self.remaining.get().to_string());
        request
    }
}
