//! One dispatch of a model call: its connection and the events received on it.

use std::collections::VecDeque;
use std::future;
use std::io;
use std::pin;
use std::sync::Arc;
use std::time::Instant;

use futures_lite::FutureExt as _;
use futures_lite::StreamExt as _;
use http_types::Body;
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

use crate::core;
use crate::finish;
use crate::headers;
use crate::run::dial;
use crate::wire::chunk;

/// Request and limits of one dispatch.
#[derive(Clone, Debug)]
pub struct AttemptCall {
    /// The replica.
    pub target: dial::DialTarget,
    /// Path of the call.
    pub path: &'static str,
    /// Id of the request.
    pub request: id::RequestId,
    /// Priority of the service.
    pub priority: quantity::PriorityLevel,
    /// Remaining time until the request's deadline.
    pub remaining: time::Millis,
    /// Number of tokens received in earlier dispatches.
    pub continue_from: quantity::TokenCount,
    /// Request body.
    pub body: Vec<u8>,
    /// Time limits of the HTTP call.
    pub limits: client::CallLimits,
    /// Time limit from the response head to the first token.
    pub first_token_timeout: time::Millis,
    /// Time limit between two tokens.
    pub token_timeout: time::Millis,
    /// Size limit of a response that is not a stream.
    pub max_response_bytes: quantity::ByteCount,
}

/// Event on the connection of a dispatch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptEvent {
    /// The response head of a stream was received.
    Head,
    /// A token was received.
    Token {
        /// Index of the token in the full response.
        offset: quantity::TokenCount,
        /// Text of the token.
        text: Arc<str>,
    },
    /// A chunk of another response was received.
    Foreign,
    /// The response is complete.
    Ended {
        /// Finish reason of the upstream.
        finish_reason: Arc<str>,
        /// Token usage as reported by the upstream.
        usage: Option<chunk::TokenUsage>,
    },
    /// The upstream rejected the call as the caller's error.
    Rejected(call::CallResult),
    /// The dispatch failed.
    Failed(input::AttemptFailure),
}

type OpeningFuture = pin::Pin<Box<dyn future::Future<Output = OpenedResponse> + Send>>;

enum AttemptPhase {
    Opening(OpeningFuture),
    Reading(Box<EventReader>),
    Closed,
}

/// Reader of the events of a response.
struct EventReader {
    decoder: async_sse::Decoder<Body>,
    failure: body::BodyFailure,
}

impl EventReader {
    fn new(mut response: Response) -> Self {
        let (body, failure) = body::split_failure(response.take_body());
        EventReader { decoder: async_sse::decode(body), failure }
    }

    /// Returns the next event, or `None` at the end of the body. Fails if the connection failed or
    /// the events are malformed.
    async fn next(&mut self) -> Option<Result<async_sse::Event, input::AttemptFailure>> {
        let next = self.decoder.next().await;
        match (next, self.failure.kind()) {
            (Some(Ok(event)), _) => Some(Ok(event)),
            (_, Some(io::ErrorKind::TimedOut)) => {
                Some(Err(input::AttemptFailure::ConnectionSilent))
            }
            (_, Some(io::ErrorKind::FileTooLarge)) => {
                Some(Err(input::AttemptFailure::InvalidResponse))
            }
            (None, None) => None,
            _ => Some(Err(input::AttemptFailure::ConnectionClosed)),
        }
    }
}

enum OpenedResponse {
    Stream(Box<Response>),
    Rejected(call::CallResult),
    Failed(input::AttemptFailure),
}

/// An open dispatch. Dropping it closes the connection.
pub struct StreamAttempt {
    phase: AttemptPhase,
    request: id::RequestId,
    next_offset: quantity::TokenCount,
    response_id: Option<Arc<str>>,
    finish_reason: Option<Arc<str>>,
    usage: Option<chunk::TokenUsage>,
    token_timer: TokenTimer,
    ready_events: VecDeque<AttemptEvent>,
}

impl StreamAttempt {
    /// Creates a dispatch. Nothing is sent before the first call of [`next`](Self::next).
    pub fn open(core: Arc<core::EntryCore>, call: AttemptCall) -> Self {
        let request = call.request.clone();
        let next_offset = call.continue_from;
        let token_timer = TokenTimer::new(call.first_token_timeout, call.token_timeout);
        StreamAttempt {
            phase: AttemptPhase::Opening(Box::pin(open_response(core, call))),
            request,
            next_offset,
            response_id: None,
            finish_reason: None,
            usage: None,
            token_timer,
            ready_events: VecDeque::new(),
        }
    }

    /// Waits for the next event. Cancel-safe: dropping the future loses no event.
    pub async fn next(&mut self) -> AttemptEvent {
        loop {
            if let Some(event) = self.ready_events.pop_front() {
                return event;
            }
            match &mut self.phase {
                AttemptPhase::Opening(opening) => {
                    let opened = opening.await;
                    self.handle_opened(opened);
                }
                AttemptPhase::Reading(reader) => {
                    let read = async { Some(reader.next().await) };
                    let timeout = async {
                        self.token_timer.wait().await;
                        None
                    };
                    match read.or(timeout).await {
                        Some(read) => self.handle_read(read),
                        None => {
                            self.close_with(AttemptEvent::Failed(
                                input::AttemptFailure::ConnectionSilent,
                            ));
                        }
                    }
                }
                AttemptPhase::Closed => return future::pending().await,
            }
        }
    }

    fn handle_opened(&mut self, opened: OpenedResponse) {
        match opened {
            OpenedResponse::Stream(response) => {
                self.phase = AttemptPhase::Reading(Box::new(EventReader::new(*response)));
                self.token_timer.start();
                self.ready_events.push_back(AttemptEvent::Head);
            }
            OpenedResponse::Rejected(result) => self.close_with(AttemptEvent::Rejected(result)),
            OpenedResponse::Failed(failure) => self.close_with(AttemptEvent::Failed(failure)),
        }
    }

    fn handle_read(&mut self, read: Option<Result<async_sse::Event, input::AttemptFailure>>) {
        match read {
            Some(Ok(async_sse::Event::Message(message))) => self.handle_message(message),
            Some(Ok(async_sse::Event::Retry(_))) => {}
            Some(Err(failure)) => self.close_with(AttemptEvent::Failed(failure)),
            None => self.handle_end(input::AttemptFailure::ConnectionClosed),
        }
    }

    fn handle_message(&mut self, message: async_sse::Message) {
        if message.name() == "error" {
            return self.close_with(AttemptEvent::Failed(input::AttemptFailure::ServerError));
        }
        if message.data() == chunk::DONE_DATA.as_bytes() {
            return self.handle_end(input::AttemptFailure::InvalidResponse);
        }
        let Ok(chunk) = chunk::UpstreamChunk::parse(message.data()) else {
            return self.close_with(AttemptEvent::Failed(input::AttemptFailure::InvalidResponse));
        };
        if !self.belongs_to_response(&chunk) {
            return self.ready_events.push_back(AttemptEvent::Foreign);
        }
        if let AttemptPhase::Reading(reader) = &self.phase {
            reader.failure.record_use();
        }
        self.handle_chunk(message.id().as_deref(), &chunk);
    }

    fn handle_chunk(&mut self, event_id: Option<&str>, chunk: &chunk::UpstreamChunk) {
        if let Some(text) = chunk.text() {
            let offset = self.token_offset(event_id);
            self.next_offset = offset.next();
            self.token_timer.on_token();
            self.ready_events.push_back(AttemptEvent::Token { offset, text });
        }
        if let Some(reason) = chunk.finish_reason() {
            self.finish_reason = Some(reason);
        }
        if let Some(usage) = chunk.usage {
            self.usage = Some(usage);
        }
    }

    /// Returns the token's index: the event's id, or the next expected index if the event has no
    /// numeric id.
    fn token_offset(&self, event_id: Option<&str>) -> quantity::TokenCount {
        event_id.and_then(|id| id.parse().ok()).unwrap_or(self.next_offset)
    }

    /// Returns whether the chunk belongs to this response. An id in the form of a request id must
    /// be this request's id. Any other id is assigned by the upstream, and must be the same as in
    /// the first such chunk.
    fn belongs_to_response(&mut self, chunk: &chunk::UpstreamChunk) -> bool {
        let Some(chunk_id) = &chunk.id else { return true };
        if is_request_id(chunk_id) {
            return &**chunk_id == self.request.as_str();
        }
        let expected_id = self.response_id.get_or_insert_with(|| chunk_id.clone());
        expected_id == chunk_id
    }

    /// Ends the dispatch: as complete if a finish reason was received, else with the failure.
    fn handle_end(&mut self, failure: input::AttemptFailure) {
        let event = match self.finish_reason.take() {
            Some(finish_reason) => AttemptEvent::Ended { finish_reason, usage: self.usage },
            None => AttemptEvent::Failed(failure),
        };
        self.close_with(event);
    }

    fn close_with(&mut self, event: AttemptEvent) {
        self.phase = AttemptPhase::Closed;
        self.ready_events.push_back(event);
    }
}

/// Returns whether an id has the form of a request id of this system.
fn is_request_id(id: &str) -> bool {
    id.rsplit_once(':').is_some_and(|(_, unique)| uuid::Uuid::try_parse(unique).is_ok())
}

/// Timeout for a stream without tokens.
struct TokenTimer {
    first_token_timeout: time::Millis,
    token_timeout: time::Millis,
    /// Time of the last token, or of the response head before the first token.
    waiting_since: Instant,
    has_token: bool,
    /// Timer of the current wait. Later tokens don't move it: when it fires, it is set again if the
    /// timeout since the last token has not passed. That saves setting a timer for each token.
    timer: Option<async_io::Timer>,
}

impl TokenTimer {
    fn new(first_token_timeout: time::Millis, token_timeout: time::Millis) -> Self {
        TokenTimer {
            first_token_timeout,
            token_timeout,
            waiting_since: Instant::now(),
            has_token: false,
            timer: None,
        }
    }

    fn start(&mut self) {
        self.waiting_since = Instant::now();
    }

    fn on_token(&mut self) {
        self.waiting_since = Instant::now();
        if !self.has_token {
            self.has_token = true;
            self.timer = None;
        }
    }

    async fn wait(&mut self) {
        let timeout = if self.has_token { self.token_timeout } else { self.first_token_timeout };
        loop {
            let timeout_at = self.waiting_since + timeout.to_duration();
            if Instant::now() >= timeout_at {
                return;
            }
            let timer = self.timer.get_or_insert_with(|| async_io::Timer::at(timeout_at));
            timer.await;
            self.timer = None;
        }
    }
}

async fn open_response(core: Arc<core::EntryCore>, call: AttemptCall) -> OpenedResponse {
    let request = match upstream_request(&call) {
        Ok(request) => request,
        Err(failure) => return OpenedResponse::Failed(failure),
    };
    let response = match dial::send(&core, &call.target, request, call.limits).await {
        Ok(response) => response,
        Err(cause) => return OpenedResponse::Failed(call_failure(&cause)),
    };
    core.upstreams.observe_response(&call.target.replica, &response, core.now());
    if !headers::is_response_to(&response, &call.request) {
        return OpenedResponse::Failed(input::AttemptFailure::InvalidResponse);
    }
    if response.status().is_success() {
        return OpenedResponse::Stream(Box::new(response));
    }
    if let Some(failure) = status_failure(&response) {
        return OpenedResponse::Failed(failure);
    }
    match read_full_response(response, call.max_response_bytes).await {
        Ok(result) => OpenedResponse::Rejected(result),
        Err(failure) => OpenedResponse::Failed(failure),
    }
}

fn upstream_request(call: &AttemptCall) -> Result<Request, input::AttemptFailure> {
    let url = client::url(call.target.address, call.path)
        .map_err(|_| input::AttemptFailure::ConnectFailed)?;
    let mut request = Request::new(Method::Post, url);
    request.set_body(call.body.as_slice());
    request.insert_header("Content-Type", "application/json");
    request.insert_header("Accept", "text/event-stream");
    request.insert_header(problem::REQUEST_ID_HEADER, call.request.as_str());
    request.insert_header(headers::PRIORITY_HEADER, call.priority.to_string());
    request.insert_header(problem::TIMEOUT_HEADER, call.remaining.get().to_string());
    Ok(request)
}

/// Returns the attempt failure for a call without a response.
pub fn call_failure(cause: &client::CallError) -> input::AttemptFailure {
    match cause {
        client::CallError::NotConnected(_) => input::AttemptFailure::ConnectFailed,
        client::CallError::TimedOut => input::AttemptFailure::ConnectionSilent,
        client::CallError::Broken(_) => input::AttemptFailure::ConnectionClosed,
    }
}

/// Returns the attempt failure that a response status means, or `None` if the response goes to the
/// caller.
pub fn status_failure(response: &Response) -> Option<input::AttemptFailure> {
    let status = response.status();
    let says_not_run = response
        .header(problem::OUTCOME_HEADER)
        .is_some_and(|value| value.as_str() == outcome::CallOutcome::NotRun.label());
    match (finish::promises_not_run(status), says_not_run) {
        (true, true) => Some(input::AttemptFailure::RefusedNotRun),
        (true, false) => Some(input::AttemptFailure::UnconfirmedRefusal),
        (false, _) => status.is_server_error().then_some(input::AttemptFailure::ServerError),
    }
}

/// Reads a full response.
///
/// # Errors
///
/// Returns an error if the body is truncated, times out or is too large.
pub async fn read_full_response(
    mut response: Response,
    limit: quantity::ByteCount,
) -> Result<call::CallResult, input::AttemptFailure> {
    let status = u16::from(response.status());
    let headers = headers::forwarded(response.iter());
    // These statuses have no body, whatever length the head names.
    if matches!(response.status(), StatusCode::NoContent | StatusCode::NotModified) {
        return Ok(call::CallResult { status, headers, body: Arc::default() });
    }
    let bytes = body::read(response.take_body(), limit).await.map_err(|cause| match cause {
        body::BodyError::TimedOut => input::AttemptFailure::ConnectionSilent,
        body::BodyError::Truncated => input::AttemptFailure::ConnectionClosed,
        body::BodyError::TooLarge(_) => input::AttemptFailure::InvalidResponse,
    })?;
    Ok(call::CallResult { status, headers, body: Arc::from(bytes) })
}
