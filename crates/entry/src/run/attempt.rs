//! One dispatch of a model call: the connection and the events on it.

use std::collections::VecDeque;
use std::future;
use std::io;
use std::net;
use std::pin;
use std::sync::Arc;
use std::time::Instant;

use futures_lite::FutureExt as _;
use futures_lite::StreamExt as _;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use samphiremoor_base::id;
use samphiremoor_base::outcome;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_httpio::body;
use samphiremoor_httpio::client;
use samphiremoor_httpio::problem;
use samphiremoor_requests::input;
use samphiremoor_shards::call;

use crate::headers;
use crate::wire::chunk;

/// What is sent to an upstream.
#[derive(Clone, Debug)]
pub struct AttemptCall {
    /// Where the replica serves.
    pub address: net::SocketAddr,
    /// Path of the call.
    pub path: &'static str,
    /// The request.
    pub request: id::RequestId,
    /// Priority of the service.
    pub priority: quantity::PriorityLevel,
    /// Time that is left to the request.
    pub remaining: time::Millis,
    /// Tokens that are kept already.
    pub continue_from: quantity::TokenCount,
    /// Body.
    pub body: Vec<u8>,
    /// Time limits.
    pub limits: client::CallLimits,
    /// Time from the head of the answer to the first token.
    pub first_token: time::Millis,
    /// Time between two tokens.
    pub silence: time::Millis,
    /// Bytes of an answer that is not a stream.
    pub max_answer: quantity::ByteCount,
}

/// What happened on the connection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptEvent {
    /// The head of a stream came.
    Head,
    /// A token came.
    Token {
        /// Its index in the whole answer.
        offset: quantity::TokenCount,
        /// Its text.
        text: Arc<str>,
    },
    /// A chunk came that names another answer.
    Foreign,
    /// The answer is whole.
    Ended {
        /// Why the answer ends.
        finish_reason: Arc<str>,
        /// What the upstream counted.
        usage: Option<chunk::TokenUsage>,
    },
    /// The upstream refused the call as the caller's mistake.
    Rejected(call::CallResult),
    /// The dispatch failed.
    Failed(input::AttemptFailure),
}

type OpeningFuture = pin::Pin<Box<dyn future::Future<Output = OpenedAnswer> + Send>>;

enum AttemptPhase {
    Opening(OpeningFuture),
    Reading(Box<async_sse::Decoder<Response>>),
    Over,
}

enum OpenedAnswer {
    Stream(Box<Response>),
    Rejected(call::CallResult),
    Failed(input::AttemptFailure),
}

/// One dispatch; dropping it closes its connection.
pub struct StreamAttempt {
    phase: AttemptPhase,
    request: id::RequestId,
    next_offset: quantity::TokenCount,
    answer_name: Option<Arc<str>>,
    finish_reason: Option<Arc<str>>,
    usage: Option<chunk::TokenUsage>,
    silence: SilenceWatch,
    ready: VecDeque<AttemptEvent>,
}

impl StreamAttempt {
    /// Starts a dispatch; nothing is sent before the first look.
    pub fn open(call: AttemptCall) -> Self {
        let request = call.request.clone();
        let next_offset = call.continue_from;
        let silence = SilenceWatch::new(call.first_token, call.silence);
        StreamAttempt {
            phase: AttemptPhase::Opening(Box::pin(open_answer(call))),
            request,
            next_offset,
            answer_name: None,
            finish_reason: None,
            usage: None,
            silence,
            ready: VecDeque::new(),
        }
    }

    /// Waits for the next event; a wait that is dropped loses nothing.
    pub async fn next(&mut self) -> AttemptEvent {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return event;
            }
            match &mut self.phase {
                AttemptPhase::Opening(opening) => {
                    let opened = opening.await;
                    self.take_opened(opened);
                }
                AttemptPhase::Reading(decoder) => {
                    let read = async { Some(decoder.next().await) };
                    let silence = async {
                        self.silence.wait().await;
                        None
                    };
                    match read.or(silence).await {
                        Some(read) => self.take_read(read),
                        None => {
                            self.close_with(AttemptEvent::Failed(
                                input::AttemptFailure::ConnectionSilent,
                            ));
                        }
                    }
                }
                AttemptPhase::Over => return future::pending().await,
            }
        }
    }

    fn take_opened(&mut self, opened: OpenedAnswer) {
        match opened {
            OpenedAnswer::Stream(response) => {
                self.phase = AttemptPhase::Reading(Box::new(async_sse::decode(*response)));
                self.silence.start();
                self.ready.push_back(AttemptEvent::Head);
            }
            OpenedAnswer::Rejected(answer) => self.close_with(AttemptEvent::Rejected(answer)),
            OpenedAnswer::Failed(failure) => self.close_with(AttemptEvent::Failed(failure)),
        }
    }

    fn take_read(&mut self, read: Option<http_types::Result<async_sse::Event>>) {
        match read {
            Some(Ok(async_sse::Event::Message(message))) => self.take_message(message),
            Some(Ok(async_sse::Event::Retry(_))) => {}
            Some(Err(cause)) => self.close_with(AttemptEvent::Failed(read_failure(&cause))),
            None => self.take_end(input::AttemptFailure::ConnectionClosed),
        }
    }

    fn take_message(&mut self, message: async_sse::Message) {
        if message.name() == "error" {
            return self.close_with(AttemptEvent::Failed(input::AttemptFailure::ServerError));
        }
        if message.data() == chunk::DONE_DATA.as_bytes() {
            return self.take_end(input::AttemptFailure::InvalidResponse);
        }
        let Ok(chunk) = chunk::UpstreamChunk::parse(message.data()) else {
            return self.close_with(AttemptEvent::Failed(input::AttemptFailure::InvalidResponse));
        };
        if !self.is_own(&chunk) {
            return self.ready.push_back(AttemptEvent::Foreign);
        }
        self.take_chunk(message.id().as_deref(), &chunk);
    }

    fn take_chunk(&mut self, id: Option<&str>, chunk: &chunk::UpstreamChunk) {
        if let Some(text) = chunk.text() {
            let offset = self.offset_of(id);
            self.next_offset = offset.next();
            self.silence.note_token();
            self.ready.push_back(AttemptEvent::Token { offset, text });
        }
        if let Some(reason) = chunk.finish_reason() {
            self.finish_reason = Some(reason);
        }
        if let Some(usage) = chunk.usage {
            self.usage = Some(usage);
        }
    }

    /// The token's index: the event's id, or the successor of the last one where it has none.
    fn offset_of(&self, id: Option<&str>) -> quantity::TokenCount {
        id.and_then(|id| id.parse().ok()).unwrap_or(self.next_offset)
    }

    /// Whether the chunk belongs to this answer: it names this request, or repeats the name of the
    /// answer's first chunk where the upstream has names of its own.
    fn is_own(&mut self, chunk: &chunk::UpstreamChunk) -> bool {
        let Some(name) = &chunk.id else { return true };
        if names_request(name) {
            return &**name == self.request.as_str();
        }
        let known = self.answer_name.get_or_insert_with(|| name.clone());
        known == name
    }

    fn take_end(&mut self, failure: input::AttemptFailure) {
        let event = match self.finish_reason.take() {
            Some(finish_reason) => AttemptEvent::Ended { finish_reason, usage: self.usage },
            None => AttemptEvent::Failed(failure),
        };
        self.close_with(event);
    }

    fn close_with(&mut self, event: AttemptEvent) {
        self.phase = AttemptPhase::Over;
        self.ready.push_back(event);
    }
}

/// Whether a name has the form of this system's request ids.
fn names_request(name: &str) -> bool {
    name.rsplit_once(':').is_some_and(|(_, unique)| uuid::Uuid::try_parse(unique).is_ok())
}

/// Finds a stream that brings no token in time.
struct SilenceWatch {
    first: time::Millis,
    between: time::Millis,
    since: Instant,
    has_token: bool,
    /// Set for the limit at some earlier token, and set anew only when it has run out.
    timer: Option<async_io::Timer>,
}

impl SilenceWatch {
    fn new(first: time::Millis, between: time::Millis) -> Self {
        SilenceWatch { first, between, since: Instant::now(), has_token: false, timer: None }
    }

    fn start(&mut self) {
        self.since = Instant::now();
    }

    fn note_token(&mut self) {
        self.since = Instant::now();
        if !self.has_token {
            self.has_token = true;
            self.timer = None;
        }
    }

    async fn wait(&mut self) {
        let limit = if self.has_token { self.between } else { self.first };
        loop {
            let end = self.since + limit.to_duration();
            if Instant::now() >= end {
                return;
            }
            let timer = self.timer.get_or_insert_with(|| async_io::Timer::at(end));
            timer.await;
            self.timer = None;
        }
    }
}

async fn open_answer(call: AttemptCall) -> OpenedAnswer {
    let request = match upstream_request(&call) {
        Ok(request) => request,
        Err(failure) => return OpenedAnswer::Failed(failure),
    };
    let response = match client::send(call.address, request, call.limits).await {
        Ok(response) => response,
        Err(cause) => return OpenedAnswer::Failed(call_failure(&cause)),
    };
    if !headers::answers_request(&response, &call.request) {
        return OpenedAnswer::Failed(input::AttemptFailure::InvalidResponse);
    }
    if response.status().is_success() {
        return OpenedAnswer::Stream(Box::new(response));
    }
    if let Some(failure) = status_failure(&response) {
        return OpenedAnswer::Failed(failure);
    }
    match whole_answer(response, call.max_answer).await {
        Ok(answer) => OpenedAnswer::Rejected(answer),
        Err(failure) => OpenedAnswer::Failed(failure),
    }
}

fn upstream_request(call: &AttemptCall) -> Result<Request, input::AttemptFailure> {
    let url =
        client::url(call.address, call.path).map_err(|_| input::AttemptFailure::ConnectFailed)?;
    let mut request = Request::new(Method::Post, url);
    request.set_body(call.body.as_slice());
    request.insert_header("Content-Type", "application/json");
    request.insert_header("Accept", "text/event-stream");
    request.insert_header(problem::REQUEST_ID_HEADER, call.request.as_str());
    request.insert_header(headers::PRIORITY_HEADER, call.priority.to_string());
    request.insert_header(problem::TIMEOUT_HEADER, call.remaining.get().to_string());
    Ok(request)
}

/// The failure behind a call without an answer.
pub fn call_failure(cause: &client::CallError) -> input::AttemptFailure {
    match cause {
        client::CallError::NotConnected(_) => input::AttemptFailure::ConnectFailed,
        client::CallError::TimedOut => input::AttemptFailure::ConnectionSilent,
        client::CallError::Broken(_) => input::AttemptFailure::ConnectionClosed,
    }
}

/// The failure that an answer's status stands for; none where the caller is to get the answer.
pub fn status_failure(response: &Response) -> Option<input::AttemptFailure> {
    let status = response.status();
    let says_not_run = response
        .header(problem::OUTCOME_HEADER)
        .is_some_and(|value| value.as_str() == outcome::CallOutcome::NotRun.label());
    if status == StatusCode::ServiceUnavailable && says_not_run {
        return Some(input::AttemptFailure::RefusedNotRun);
    }
    status.is_server_error().then_some(input::AttemptFailure::ServerError)
}

/// Reads a whole answer.
///
/// # Errors
///
/// Fails where it breaks off, is silent or is too large.
pub async fn whole_answer(
    mut response: Response,
    limit: quantity::ByteCount,
) -> Result<call::CallResult, input::AttemptFailure> {
    let status = u16::from(response.status());
    let headers = headers::forwarded(response.iter());
    let bytes = body::read(response.take_body(), limit).await.map_err(|cause| match cause {
        body::BodyError::TimedOut => input::AttemptFailure::ConnectionSilent,
        body::BodyError::Truncated => input::AttemptFailure::ConnectionClosed,
        body::BodyError::TooLarge(_) => input::AttemptFailure::InvalidResponse,
    })?;
    Ok(call::CallResult { status, headers, body: Arc::from(bytes) })
}

fn read_failure(cause: &http_types::Error) -> input::AttemptFailure {
    match cause.downcast_ref::<io::Error>().map(io::Error::kind) {
        Some(io::ErrorKind::TimedOut) => input::AttemptFailure::ConnectionSilent,
        _ => input::AttemptFailure::ConnectionClosed,
    }
}
