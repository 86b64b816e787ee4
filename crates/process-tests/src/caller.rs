//! Caller that sends requests as customers' clients do, and records the responses.

use std::net;

use async_std::stream::StreamExt as _;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use samphiremoor_base::outcome;
use samphiremoor_base::time;
use samphiremoor_httpio::client;
use samphiremoor_httpio::problem;
use samphiremoor_standin_engine::tokens;
use serde_json::Value;
use serde_json::json;

use crate::records;

/// Timeouts of a caller. A call that exceeds one counts as a call without a response.
const TIMEOUTS: client::CallLimits = client::CallLimits {
    connect: time::Millis::new(5_000),
    head: time::Millis::new(90_000),
    silence: time::Millis::new(90_000),
};

/// Data of the last event of a complete stream.
const DONE_DATA: &[u8] = b"[DONE]";

/// Outcome of a call as a response reports it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportedOutcome {
    /// The response contains this outcome.
    Reported(outcome::CallOutcome),
    /// The connection ended, or a timeout expired, before the response gave an outcome.
    Missing,
}

/// Response that is not a stream.
#[derive(Clone, Debug)]
pub struct PlainResponse {
    /// HTTP status; 0 if there was no response.
    pub status: u16,
    /// Reported outcome.
    pub outcome: ReportedOutcome,
    /// Id of the request.
    pub request_id: Option<String>,
    /// Response body.
    pub body: String,
}

impl PlainResponse {
    /// Returns the body as JSON, or `null` if the body isn't JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }

    /// Returns the problem type of a refused or failed call.
    pub fn reason(&self) -> Option<String> {
        reason_in(&self.json())
    }

    /// Returns the stand-in service's receipt, if the body contains one.
    pub fn receipt(&self) -> Option<String> {
        self.json()["receipt"].as_str().map(str::to_owned)
    }

    fn missing() -> Self {
        PlainResponse {
            status: 0,
            outcome: ReportedOutcome::Missing,
            request_id: None,
            body: String::new(),
        }
    }
}

/// End of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamEnd {
    /// The end marker `[DONE]` arrived.
    Done,
    /// An error event with this outcome arrived.
    Error(ReportedOutcome),
    /// The call was refused with this HTTP status and outcome before the first event.
    Refused(u16, ReportedOutcome),
    /// The connection closed before any of these.
    Disconnected,
}

/// Streamed response as far as the caller received it.
#[derive(Clone, Debug)]
pub struct StreamResponse {
    /// Id of the request.
    pub request_id: Option<String>,
    /// Received tokens.
    pub tokens: Vec<StreamToken>,
    /// Id of the last event.
    pub last_event: Option<String>,
    /// End of the stream.
    pub end: StreamEnd,
    /// Problem type if the call was refused or failed.
    pub reason: Option<String>,
}

/// Token of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamToken {
    /// Index of the token, from the id of its event.
    pub index: Option<u64>,
    /// Text of the token.
    pub text: String,
}

impl StreamResponse {
    /// Returns the concatenated text of the tokens.
    pub fn text(&self) -> String {
        self.tokens.iter().map(|token| token.text.as_str()).collect()
    }

    /// Asserts that the stream is complete and contains each token once, in order.
    ///
    /// # Panics
    ///
    /// Panics if it doesn't.
    pub fn assert_complete(&self, prompt: &str, max_tokens: u64) {
        assert_eq!(self.end, StreamEnd::Done, "after {} tokens", self.tokens.len());
        self.assert_tokens(prompt, 0, max_tokens);
    }

    /// Asserts that the stream contains exactly the tokens `from..to`, each once, in order.
    ///
    /// # Panics
    ///
    /// Panics if it doesn't.
    pub fn assert_tokens(&self, prompt: &str, from: u64, to: u64) {
        let expected: Vec<_> = expected_tokens(prompt, from, to);
        for (position, (received, expected_token)) in self.tokens.iter().zip(&expected).enumerate()
        {
            assert_eq!(received, expected_token, "at position {position}");
        }
        assert_eq!(self.tokens.len(), expected.len());
    }
}

/// Returns the tokens that the engines generate for a chat with one user message.
pub fn expected_tokens(prompt: &str, from: u64, to: u64) -> Vec<StreamToken> {
    let hash = tokens::PromptHash::of(&tokens::chat_line("user", prompt));
    (from..to).map(|index| StreamToken { index: Some(index), text: hash.token(index) }).collect()
}

/// Caller with the API key of a workspace.
#[derive(Clone, Debug)]
pub struct TestCaller {
    /// API key of the workspace.
    pub key: &'static str,
}

impl TestCaller {
    /// Creates a caller of the workspace that most tests use.
    pub fn new() -> Self {
        TestCaller { key: records::KEY }
    }

    /// Sends a chat call with a streamed response, and reads the stream to its end.
    pub async fn chat(
        &self,
        entry: net::SocketAddr,
        prompt: &str,
        max_tokens: u64,
    ) -> StreamResponse {
        match self.open_chat(entry, prompt, max_tokens).await {
            Some(opened) => opened.read_to_end().await,
            None => disconnected_response(),
        }
    }

    /// Sends a chat call with a streamed response. Returns `None` if the connection closed before
    /// the response head.
    pub async fn open_chat(
        &self,
        entry: net::SocketAddr,
        prompt: &str,
        max_tokens: u64,
    ) -> Option<OpenStream> {
        let body = json!({
            "model": records::DRAFT,
            "stream": true,
            "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": prompt}],
        });
        let mut request = self.request(entry, Method::Post, "/v1/chat/completions");
        request.insert_header("Content-Type", "application/json");
        request.set_body(body.to_string());
        match client::send(entry, request, TIMEOUTS).await {
            Ok(response) => Some(OpenStream::new(response).await),
            Err(_) => None,
        }
    }

    /// Reattaches to a request, after the event with the id `last_event`.
    pub async fn reattach(
        &self,
        entry: net::SocketAddr,
        request_id: &str,
        last_event: Option<&str>,
    ) -> StreamResponse {
        let path = format!("/v1/requests/{request_id}");
        let mut request = self.request(entry, Method::Get, &path);
        if let Some(last_event) = last_event {
            request.insert_header("Last-Event-ID", last_event);
        }
        match client::send(entry, request, TIMEOUTS).await {
            Ok(response) => OpenStream::new(response).await.read_to_end().await,
            Err(_) => disconnected_response(),
        }
    }

    /// Calls a plain service.
    pub async fn call(
        &self,
        entry: net::SocketAddr,
        service: &str,
        key: Option<&str>,
        body: &str,
    ) -> PlainResponse {
        let path = format!("/v1/services/{service}/calls");
        let mut request = self.request(entry, Method::Post, &path);
        request.set_body(body);
        if let Some(key) = key {
            request.insert_header("Idempotency-Key", key);
        }
        match client::send(entry, request, TIMEOUTS).await {
            Ok(response) => read_plain(response).await,
            Err(_) => PlainResponse::missing(),
        }
    }

    /// Reattaches to an accepted plain call and reads its response.
    pub async fn reattach_plain(&self, entry: net::SocketAddr, request_id: &str) -> PlainResponse {
        let path = format!("/v1/requests/{request_id}");
        match client::send(entry, self.request(entry, Method::Get, &path), TIMEOUTS).await {
            Ok(response) => read_plain(response).await,
            Err(_) => PlainResponse::missing(),
        }
    }

    fn request(&self, entry: net::SocketAddr, method: Method, path: &str) -> Request {
        let url = client::url(entry, path).expect("the path is valid");
        let mut request = Request::new(method, url);
        request.insert_header("Authorization", format!("Bearer {}", self.key));
        request
    }
}

impl Default for TestCaller {
    fn default() -> Self {
        TestCaller::new()
    }
}

/// Stream whose response head was received.
pub struct OpenStream {
    received: StreamResponse,
    status: u16,
    outcome: ReportedOutcome,
    events: async_sse::Decoder<Response>,
}

impl OpenStream {
    async fn new(mut response: Response) -> Self {
        let mut received =
            StreamResponse { request_id: request_id(&response), ..disconnected_response() };
        let status = u16::from(response.status());
        if status != 200 {
            received.reason = response.body_json().await.ok().as_ref().and_then(reason_in);
        }
        let outcome = reported_outcome(&response);
        OpenStream { received, status, outcome, events: async_sse::decode(response) }
    }

    /// Returns the id of the request.
    pub fn request_id(&self) -> Option<&str> {
        self.received.request_id.as_deref()
    }

    /// Returns the id of the last event that was read.
    pub fn last_event(&self) -> Option<&str> {
        self.received.last_event.as_deref()
    }

    /// Reads until `count` tokens were received. Returns `false` if the stream ended earlier.
    pub async fn read_tokens(&mut self, count: usize) -> bool {
        while self.received.tokens.len() < count {
            if self.read_event().await.is_some() {
                return false;
            }
        }
        true
    }

    /// Reads the stream to its end.
    pub async fn read_to_end(mut self) -> StreamResponse {
        if self.status != 200 {
            self.received.end = StreamEnd::Refused(self.status, self.outcome);
            return self.received;
        }
        loop {
            if let Some(end) = self.read_event().await {
                self.received.end = end;
                return self.received;
            }
        }
    }

    /// Closes the connection and returns the part received so far.
    pub fn disconnect(self) -> StreamResponse {
        self.received
    }

    /// Reads one event. Returns the end of the stream if this was the last event.
    async fn read_event(&mut self) -> Option<StreamEnd> {
        let message = match self.events.next().await {
            Some(Ok(async_sse::Event::Message(message))) => message,
            Some(Ok(async_sse::Event::Retry(_))) => return None,
            Some(Err(_)) | None => return Some(StreamEnd::Disconnected),
        };
        let chunk: Value = serde_json::from_slice(message.data()).unwrap_or(Value::Null);
        if message.name() == "error" {
            self.received.reason = reason_in(&chunk);
            return Some(StreamEnd::Error(outcome_in(&chunk)));
        }
        self.received.last_event = message.id().clone();
        if message.data() == DONE_DATA {
            return Some(StreamEnd::Done);
        }
        let text = chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default();
        if !text.is_empty() {
            let index = message.id().as_deref().and_then(|id| id.parse().ok());
            self.received.tokens.push(StreamToken { index, text: text.to_owned() });
        }
        None
    }
}

fn disconnected_response() -> StreamResponse {
    StreamResponse {
        request_id: None,
        tokens: Vec::new(),
        last_event: None,
        end: StreamEnd::Disconnected,
        reason: None,
    }
}

async fn read_plain(mut response: Response) -> PlainResponse {
    let status = u16::from(response.status());
    let outcome = reported_outcome(&response);
    let request_id = request_id(&response);
    match response.body_string().await {
        Ok(body) => PlainResponse { status, outcome, request_id, body },
        Err(_) => PlainResponse { request_id, ..PlainResponse::missing() },
    }
}

fn request_id(response: &Response) -> Option<String> {
    response.header(problem::REQUEST_ID_HEADER).map(|value| value.as_str().to_owned())
}

fn reported_outcome(response: &Response) -> ReportedOutcome {
    let Some(value) = response.header(problem::OUTCOME_HEADER) else {
        return ReportedOutcome::Missing;
    };
    value.as_str().parse().map_or(ReportedOutcome::Missing, ReportedOutcome::Reported)
}

/// Returns the last segment of a problem's type URN.
fn reason_in(body: &Value) -> Option<String> {
    let problem_type = body["type"].as_str()?;
    problem_type.rsplit(':').next().map(str::to_owned)
}

fn outcome_in(body: &Value) -> ReportedOutcome {
    let outcome = body["outcome"].as_str().and_then(|text| text.parse().ok());
    outcome.map_or(ReportedOutcome::Missing, ReportedOutcome::Reported)
}
