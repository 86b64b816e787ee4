//! Runs calls of plain services, whose answers come whole.

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
use crate::run::shell;

/// A call of a plain service.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// Method.
    pub method: Method,
    /// Path and query at the upstream.
    pub path: Arc<str>,
    /// Headers that are passed on.
    pub headers: Vec<call::CallHeader>,
    /// Body.
    pub body: Arc<[u8]>,
}

/// How a call of a plain service ended.
#[derive(Clone, Debug)]
pub struct PlainEnd {
    /// The end.
    pub end: action::RequestEnd,
    /// The answer, where the call was answered.
    pub answer: Option<call::CallResult>,
}

/// Runs a call to its end. A call that may not be repeated must be claimed before.
pub async fn run(
    core: Arc<core::EntryCore>,
    context: shell::RunContext,
    call: PlainCall,
    repeat: policy::RepeatPolicy,
    deadline: time::MonotonicTime,
) -> PlainEnd {
    let policy = core.settings.request_policy(repeat);
    let mut driver = WholeDriver {
        call,
        request: context.request.clone(),
        limits: core.settings.call_limits(),
        answer_timeout: core.settings.upstreams.answer_timeout_ms,
        max_answer: core.settings.upstreams.max_answer_bytes,
        current: None,
    };
    let delivered = quantity::TokenCount::default();
    let mut shell = shell::RequestShell::new(core.clone(), context, policy, deadline, delivered);
    shell.feed(RequestInput::Start, &mut driver);
    let mut answer = None;
    loop {
        if let Some(end) = shell.end() {
            return PlainEnd { end, answer };
        }
        match next_event(&core, &shell, &mut driver).await {
            PlainEvent::Woken => shell.feed(RequestInput::TimerFired, &mut driver),
            PlainEvent::Settled(number, Ok(whole)) => {
                driver.current = None;
                shell.note_first();
                answer = Some(whole);
                shell.feed(RequestInput::ResponseComplete(number), &mut driver);
            }
            PlainEvent::Settled(number, Err(failure)) => {
                driver.current = None;
                let input = RequestInput::AttemptFailed { attempt: number, failure };
                shell.feed(input, &mut driver);
            }
        }
    }
}

type WholeResult = Result<call::CallResult, input::AttemptFailure>;

enum PlainEvent {
    Woken,
    Settled(input::AttemptNumber, WholeResult),
}

async fn next_event(
    core: &core::EntryCore,
    shell: &shell::RequestShell,
    driver: &mut WholeDriver,
) -> PlainEvent {
    let settled = async {
        match &mut driver.current {
            Some(current) => PlainEvent::Settled(current.number, (&mut current.answer).await),
            None => future::pending().await,
        }
    };
    let woken = async {
        match shell.next_wake() {
            Some(wake) => {
                async_io::Timer::after(wake.since(core.now()).to_duration()).await;
                PlainEvent::Woken
            }
            None => future::pending().await,
        }
    };
    settled.or(woken).await
}

struct CurrentCall {
    number: input::AttemptNumber,
    answer: pin::Pin<Box<dyn future::Future<Output = WholeResult> + Send>>,
}

struct WholeDriver {
    call: PlainCall,
    request: id::RequestId,
    limits: client::CallLimits,
    answer_timeout: time::Millis,
    max_answer: quantity::ByteCount,
    current: Option<CurrentCall>,
}

impl shell::CallDriver for WholeDriver {
    fn dispatch(&mut self, order: &action::DispatchCommand, address: net::SocketAddr) {
        let limits =
            client::CallLimits { head: order.remaining.min(self.answer_timeout), ..self.limits };
        let send = WholeSend {
            address,
            call: self.call.clone(),
            request: self.request.clone(),
            remaining: order.remaining,
            limits,
            max_answer: self.max_answer,
        };
        self.current = Some(CurrentCall { number: order.attempt, answer: Box::pin(send.run()) });
    }

    fn deliver(&mut self, _: quantity::TokenCount) {}

    fn cancel(&mut self, _: Option<net::SocketAddr>) {
        self.current = None;
    }
}

/// One send of a call.
struct WholeSend {
    address: net::SocketAddr,
    call: PlainCall,
    request: id::RequestId,
    remaining: time::Millis,
    limits: client::CallLimits,
    max_answer: quantity::ByteCount,
}

impl WholeSend {
    async fn run(self) -> WholeResult {
        let url = client::url(self.address, &self.call.path)
            .map_err(|_| input::AttemptFailure::ConnectFailed)?;
        let response = client::send(self.address, self.to_request(url), self.limits)
            .await
            .map_err(|cause| attempt::call_failure(&cause))?;
        if !headers::answers_request(&response, &self.request) {
            return Err(input::AttemptFailure::InvalidResponse);
        }
        if let Some(failure) = attempt::status_failure(&response) {
            return Err(failure);
        }
        attempt::whole_answer(response, self.max_answer).await
    }

    fn to_request(&self, url: Url) -> Request {
        let mut request = Request::new(self.call.method, url);
        request.set_body(self.call.body.as_ref());
        // Setting a body sets a content type, which the caller's own replaces.
        request.remove_header("content-type");
        for line in &self.call.headers {
            request.append_header(line.name.as_ref(), line.value.as_ref());
        }
        request.insert_header(problem::REQUEST_ID_HEADER, self.request.as_str());
        request.insert_header(problem::TIMEOUT_HEADER, self.remaining.get().to_string());
        request
    }
}
