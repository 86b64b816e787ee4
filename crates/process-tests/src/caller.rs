//! A caller: sends requests as clients of the firms do, and notes what it is told.

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

/// Time limits of a caller; a call without an answer within them counts as not answered.
const LIMITS: client::CallLimits = client::CallLimits {
    connect: time::Millis::new(5_000),
    head: time::Millis::new(90_000),
    silence: time::Millis::new(90_000),
};

/// Data of the last event of a stream.
const DONE_DATA: &[u8] = b"[DONE]";

/// What a caller was told of the effect of its call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ToldOutcome {
    /// The answer names this outcome.
    Told(outcome::CallOutcome),
    /// The connection ended or the caller's patience did, without an outcome.
    Nothing,
}

/// An answer that is not a stream.
#[derive(Clone, Debug)]
pub struct PlainAnswer {
    /// HTTP status; 0 where there was no answer.
    pub status: u16,
    /// What was told.
    pub told: ToldOutcome,
    /// The request's id.
    pub request_id: Option<String>,
    /// The body.
    pub body: String,
}

impl PlainAnswer {
    /// The body as JSON; null where it is none.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }

    /// Why the call was refused or failed, where it was.
    pub fn reason(&self) -> Option<String> {
        reason_in(&self.json())
    }

    /// The stand-in service's receipt.
    pub fn receipt(&self) -> Option<String> {
        self.json()["receipt"].as_str().map(str::to_owned)
    }

    fn none() -> Self {
        PlainAnswer { status: 0, told: ToldOutcome::Nothing, request_id: None, body: String::new() }
    }
}

/// How a stream ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamEnd {
    /// With the end mark.
    Done,
    /// With an error event that names this outcome.
    Error(ToldOutcome),
    /// With a refusal before the first event.
    Refused(u16, ToldOutcome),
    /// Without any of these: the connection broke.
    Cut,
}

/// A streamed answer as far as the caller got it.
#[derive(Clone, Debug)]
pub struct StreamAnswer {
    /// The request's id.
    pub request_id: Option<String>,
    /// Tokens with the index that their events had.
    pub tokens: Vec<StreamToken>,
    /// Id of the last event.
    pub last_event: Option<String>,
    /// How it ended.
    pub end: StreamEnd,
    /// Why it was refused or failed, where it was.
    pub reason: Option<String>,
}

/// One token of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamToken {
    /// Id of its event.
    pub index: Option<u64>,
    /// Its text.
    pub text: String,
}

impl StreamAnswer {
    /// The whole text.
    pub fn text(&self) -> String {
        self.tokens.iter().map(|token| token.text.as_str()).collect()
    }

    /// Asserts that the stream is whole and holds each token once, in order.
    ///
    /// # Panics
    ///
    /// Panics where it does not.
    pub fn assert_whole(&self, prompt: &str, max_tokens: u64) {
        assert_eq!(self.end, StreamEnd::Done, "after {} tokens", self.tokens.len());
        self.assert_tokens(prompt, 0, max_tokens);
    }

    /// Asserts that the stream holds the tokens of the range, each once, in order.
    ///
    /// # Panics
    ///
    /// Panics where it does not.
    pub fn assert_tokens(&self, prompt: &str, from: u64, to: u64) {
        let expected: Vec<_> = expected_tokens(prompt, from, to);
        for (position, (found, wanted)) in self.tokens.iter().zip(&expected).enumerate() {
            assert_eq!(found, wanted, "at position {position}");
        }
        assert_eq!(self.tokens.len(), expected.len());
    }
}

/// The tokens that the engines give for a chat with one user message.
pub fn expected_tokens(prompt: &str, from: u64, to: u64) -> Vec<StreamToken> {
    let hash = tokens::PromptHash::of(&tokens::chat_line("user", prompt));
    (from..to).map(|index| StreamToken { index: Some(index), text: hash.token(index) }).collect()
}

/// A caller with a workspace's key.
#[derive(Clone, Debug)]
pub struct TestCaller {
    /// The workspace's key.
    pub key: &'static str,
}

impl TestCaller {
    /// A caller of the workspace that most tests use.
    pub fn new() -> Self {
        TestCaller { key: records::KEY }
    }

    /// Asks for a streamed answer and reads it to its end.
    pub async fn chat(
        &self,
        entry: net::SocketAddr,
        prompt: &str,
        max_tokens: u64,
    ) -> StreamAnswer {
        match self.open_chat(entry, prompt, max_tokens).await {
            Some(opened) => opened.read_to_end().await,
            None => cut_answer(),
        }
    }

    /// Asks for a streamed answer; none where the connection broke before the head.
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
        match client::send(entry, request, LIMITS).await {
            Ok(response) => Some(OpenStream::new(response).await),
            Err(_) => None,
        }
    }

    /// Attaches to a request again, after the event with the id.
    pub async fn attach(
        &self,
        entry: net::SocketAddr,
        request_id: &str,
        last_event: Option<&str>,
    ) -> StreamAnswer {
        let path = format!("/v1/requests/{request_id}");
        let mut request = self.request(entry, Method::Get, &path);
        if let Some(last_event) = last_event {
            request.insert_header("Last-Event-ID", last_event);
        }
        match client::send(entry, request, LIMITS).await {
            Ok(response) => OpenStream::new(response).await.read_to_end().await,
            Err(_) => cut_answer(),
        }
    }

    /// Calls a plain service.
    pub async fn call(
        &self,
        entry: net::SocketAddr,
        service: &str,
        key: Option<&str>,
        body: &str,
    ) -> PlainAnswer {
        let path = format!("/v1/services/{service}/calls");
        let mut request = self.request(entry, Method::Post, &path);
        request.set_body(body);
        if let Some(key) = key {
            request.insert_header("Idempotency-Key", key);
        }
        match client::send(entry, request, LIMITS).await {
            Ok(response) => read_plain(response).await,
            Err(_) => PlainAnswer::none(),
        }
    }

    /// Reads the answer of an accepted plain call again.
    pub async fn attach_plain(&self, entry: net::SocketAddr, request_id: &str) -> PlainAnswer {
        let path = format!("/v1/requests/{request_id}");
        match client::send(entry, self.request(entry, Method::Get, &path), LIMITS).await {
            Ok(response) => read_plain(response).await,
            Err(_) => PlainAnswer::none(),
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

/// A stream whose head has come.
pub struct OpenStream {
    answer: StreamAnswer,
    status: u16,
    told: ToldOutcome,
    events: async_sse::Decoder<Response>,
}

impl OpenStream {
    async fn new(mut response: Response) -> Self {
        let mut answer = StreamAnswer { request_id: request_id(&response), ..cut_answer() };
        let status = u16::from(response.status());
        if status != 200 {
            answer.reason = response.body_json().await.ok().as_ref().and_then(reason_in);
        }
        let told = told_outcome(&response);
        OpenStream { answer, status, told, events: async_sse::decode(response) }
    }

    /// The request's id.
    pub fn request_id(&self) -> Option<&str> {
        self.answer.request_id.as_deref()
    }

    /// Id of the last event that was read.
    pub fn last_event(&self) -> Option<&str> {
        self.answer.last_event.as_deref()
    }

    /// Reads until there are `count` tokens; false where the stream ended before.
    pub async fn read_tokens(&mut self, count: usize) -> bool {
        while self.answer.tokens.len() < count {
            if self.read_event().await.is_some() {
                return false;
            }
        }
        true
    }

    /// Reads to the end.
    pub async fn read_to_end(mut self) -> StreamAnswer {
        if self.status != 200 {
            self.answer.end = StreamEnd::Refused(self.status, self.told);
            return self.answer;
        }
        loop {
            if let Some(end) = self.read_event().await {
                self.answer.end = end;
                return self.answer;
            }
        }
    }

    /// What was read so far; the connection is closed.
    pub fn leave(self) -> StreamAnswer {
        self.answer
    }

    /// Reads one event; the end where it was the last.
    async fn read_event(&mut self) -> Option<StreamEnd> {
        let message = match self.events.next().await {
            Some(Ok(async_sse::Event::Message(message))) => message,
            Some(Ok(async_sse::Event::Retry(_))) => return None,
            Some(Err(_)) | None => return Some(StreamEnd::Cut),
        };
        let chunk: Value = serde_json::from_slice(message.data()).unwrap_or(Value::Null);
        if message.name() == "error" {
            self.answer.reason = reason_in(&chunk);
            return Some(StreamEnd::Error(told_in(&chunk)));
        }
        self.answer.last_event = message.id().clone();
        if message.data() == DONE_DATA {
            return Some(StreamEnd::Done);
        }
        let text = chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default();
        if !text.is_empty() {
            let index = message.id().as_deref().and_then(|id| id.parse().ok());
            self.answer.tokens.push(StreamToken { index, text: text.to_owned() });
        }
        None
    }
}

fn cut_answer() -> StreamAnswer {
    StreamAnswer {
        request_id: None,
        tokens: Vec::new(),
        last_event: None,
        end: StreamEnd::Cut,
        reason: None,
    }
}

async fn read_plain(mut response: Response) -> PlainAnswer {
    let status = u16::from(response.status());
    let told = told_outcome(&response);
    let request_id = request_id(&response);
    match response.body_string().await {
        Ok(body) => PlainAnswer { status, told, request_id, body },
        Err(_) => PlainAnswer { request_id, ..PlainAnswer::none() },
    }
}

fn request_id(response: &Response) -> Option<String> {
    response.header(problem::REQUEST_ID_HEADER).map(|value| value.as_str().to_owned())
}

fn told_outcome(response: &Response) -> ToldOutcome {
    let Some(value) = response.header(problem::OUTCOME_HEADER) else { return ToldOutcome::Nothing };
    value.as_str().parse().map_or(ToldOutcome::Nothing, ToldOutcome::Told)
}

/// The last part of a problem's type.
fn reason_in(body: &Value) -> Option<String> {
    let kind = body["type"].as_str()?;
    kind.rsplit(':').next().map(str::to_owned)
}

fn told_in(body: &Value) -> ToldOutcome {
    let outcome = body["outcome"].as_str().and_then(|text| text.parse().ok());
    outcome.map_or(ToldOutcome::Nothing, ToldOutcome::Told)
}
