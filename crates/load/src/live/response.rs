//! Reads the responses of entry daemons.

use std::time::Instant;

use futures_lite::StreamExt as _;
use http_types::Response;
use samphiremoor_base::quantity;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_httpio::body;
use serde::Deserialize;

/// Maximum size of a response body that is not streamed.
const MAX_BODY: quantity::ByteCount = quantity::ByteCount::new(1024 * 1024);
/// Data of the event that ends a stream.
const DONE_DATA: &[u8] = b"[DONE]";

/// Response to one attempt of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallResponse {
    /// A complete stream.
    Stream {
        /// Time at which the first token was received.
        first_token_at: Instant,
        /// Time at which the last token was received.
        last_token_at: Instant,
        /// Number of tokens.
        tokens: u64,
        /// Text of the tokens.
        text: String,
    },
    /// A complete response of a plain service.
    Plain {
        /// Time at which the response head was received.
        head_received_at: Instant,
    },
    /// A refusal or failure reported by the daemon.
    Problem(ResponseProblem),
    /// No response, or a response without its end marker.
    Incomplete,
}

/// A problem reported by a daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResponseProblem {
    /// Reason of the refusal, if it is a known one.
    pub reason: Option<reason::RefusalReason>,
    /// Delay after which a retry may succeed.
    pub retry_after: Option<time::Millis>,
}

#[derive(Deserialize)]
struct ProblemFields {
    title: String,
    retry_after_ms: Option<u64>,
}

#[derive(Deserialize)]
struct ChunkFields {
    #[serde(default)]
    choices: Vec<ChoiceFields>,
}

#[derive(Deserialize)]
struct ChoiceFields {
    #[serde(default)]
    delta: DeltaFields,
}

#[derive(Default, Deserialize)]
struct DeltaFields {
    #[serde(default)]
    content: Option<String>,
}

/// Reads the response of a plain service.
pub async fn read_plain(mut response: Response, head_received_at: Instant) -> CallResponse {
    if !response.status().is_success() {
        return read_problem(response).await;
    }
    match body::read(response.take_body(), MAX_BODY).await {
        Ok(_) => CallResponse::Plain { head_received_at },
        Err(_) => CallResponse::Incomplete,
    }
}

/// Reads a streamed response of a model service.
pub async fn read_stream(response: Response) -> CallResponse {
    if !response.status().is_success() {
        return read_problem(response).await;
    }
    let mut events = async_sse::decode(response);
    let mut text = String::new();
    let mut tokens = 0;
    let mut first_token_at = None;
    let mut last_token_at = Instant::now();
    while let Some(Ok(event)) = events.next().await {
        let async_sse::Event::Message(message) = event else { continue };
        if message.name() == "error" {
            return parse_problem(message.data());
        }
        if message.data() == DONE_DATA {
            let first_token_at = first_token_at.unwrap_or(last_token_at);
            return CallResponse::Stream { first_token_at, last_token_at, tokens, text };
        }
        let Some(token) = parse_token(message.data()) else { continue };
        last_token_at = Instant::now();
        first_token_at.get_or_insert(last_token_at);
        tokens += 1;
        text.push_str(&token);
    }
    CallResponse::Incomplete
}

fn parse_token(data: &[u8]) -> Option<String> {
    let chunk: ChunkFields = serde_json::from_slice(data).ok()?;
    let content = chunk.choices.into_iter().next()?.delta.content?;
    (!content.is_empty()).then_some(content)
}

async fn read_problem(mut response: Response) -> CallResponse {
    match body::read(response.take_body(), MAX_BODY).await {
        Ok(bytes) => parse_problem(&bytes),
        Err(_) => CallResponse::Incomplete,
    }
}

fn parse_problem(data: &[u8]) -> CallResponse {
    let Ok(fields) = serde_json::from_slice::<ProblemFields>(data) else {
        return CallResponse::Problem(ResponseProblem { reason: None, retry_after: None });
    };
    let reasons = reason::RefusalReason::ALL.iter().copied();
    let reason = reasons.into_iter().find(|reason| reason.label() == fields.title);
    let retry_after = fields.retry_after_ms.map(time::Millis::new);
    CallResponse::Problem(ResponseProblem { reason, retry_after })
}
